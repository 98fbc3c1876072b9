package hosted

import (
	"cmp"
	"fmt"
	"slices"
)

// Defaults of pools.
const (
	// defaultPoolName is the name of the only pool where the node has none.
	defaultPoolName   = "gapgapd"
	defaultPoolWeight = 1.0
	// defaultGuaranteeSum is what pools are guaranteed together where the file does not say.
	defaultGuaranteeSum = 0.5
)

const (
	// maxPoolWeight bounds the weight of a pool.
	maxPoolWeight = 1000
	// guaranteeTolerance is by how much the sum of guarantees may be over its bound, for rounding.
	guaranteeTolerance = 1e-9
)

// poolSpec is one pool as the file has it, with what it has of [node].
type poolSpec struct {
	poolTables
	name         string
	discovery    string
	counter      string
	counterSpace string
	zone         string
	seed         string
	// maxInFlight is 0 if the file does not say.
	maxInFlight          int
	maxServerConnections int
	weight               float64
	guarantee            float64
	// tablePrefix precedes the fields of its tables in errors, and fieldPrefix its own fields.
	tablePrefix string
	fieldPrefix string
}

// pools checks the pools and returns one at least.
func (f *configFile) pools() ([]Pool, error) {
	specs, err := f.poolSpecs()
	if err != nil {
		return nil, err
	}
	var pools []Pool
	for i := range specs {
		pool, err := f.pool(&specs[i])
		if err != nil {
			return nil, err
		}
		pools = append(pools, pool)
	}
	return pools, nil
}

// poolSpecs returns the pools of the file; without any the whole file is one.
func (f *configFile) poolSpecs() ([]poolSpec, error) {
	if len(f.Pools) == 0 {
		return []poolSpec{f.onlyPoolSpec()}, nil
	}
	if err := f.checkNoPoolTables(); err != nil {
		return nil, err
	}
	var specs []poolSpec
	guaranteeSum := 0.0
	for i := range f.Pools {
		spec, err := f.poolSpec(i, specs)
		if err != nil {
			return nil, err
		}
		guaranteeSum += spec.guarantee
		if !(spec.guarantee >= 0) || guaranteeSum > maxGuaranteeSum+guaranteeTolerance {
			return nil, fieldErrorf(spec.fieldPrefix+"guarantee",
				"is negative, or the pools' guarantees are over %.1f together", maxGuaranteeSum)
		}
		if spec.maxServerConnections < 0 {
			return nil, fieldErrorf(spec.fieldPrefix+"server_connections", "is negative")
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// onlyPoolSpec returns the pool of a file without [[pool]].
func (f *configFile) onlyPoolSpec() poolSpec {
	node := &f.Node
	return poolSpec{
		poolTables:  f.poolTables,
		name:        cmp.Or(node.Name, defaultPoolName),
		discovery:   node.Discovery,
		counter:     node.Counter,
		zone:        node.Zone,
		seed:        node.Seed,
		maxInFlight: node.MaxInFlight,
		fieldPrefix: "node.",
	}
}

// checkNoPoolTables checks that nothing that pools have stands outside of them.
func (f *configFile) checkNoPoolTables() error {
	for _, field := range []struct {
		name  string
		isSet bool
	}{
		{"class", len(f.Classes) > 0},
		{"plan", len(f.Plans) > 0},
		{"rule", len(f.Rules) > 0},
		{"node.discovery", f.Node.Discovery != ""},
		{"node.counter", f.Node.Counter != ""},
		{"limits", f.Limits != limitsTable{}},
		{"obligations", f.Obligations != obligationsTable{}},
	} {
		if field.isSet {
			return fieldErrorf(field.name, "belongs into a pool, where there are pools")
		}
	}
	return nil
}

// poolSpec returns one pool of the file; others are those before it. Its name and weight are checked.
func (f *configFile) poolSpec(i int, others []poolSpec) (poolSpec, error) {
	table := &f.Pools[i]
	prefix := fmt.Sprintf("pool[%d].", i)
	isTaken := slices.ContainsFunc(others, func(other poolSpec) bool { return other.name == table.Name })
	if isTaken || !isPlainName(table.Name) {
		return poolSpec{}, fieldErrorf(prefix+"name", "%q is no name, or stands twice", table.Name)
	}
	weight := valueOr(table.Weight, defaultPoolWeight)
	if !(weight > 0 && weight <= maxPoolWeight) {
		return poolSpec{}, fieldErrorf(prefix+"weight", "is not above 0 and up to 1000")
	}
	return poolSpec{
		poolTables:           table.poolTables,
		name:                 table.Name,
		discovery:            table.Discovery,
		counter:              table.Counter,
		counterSpace:         valueOr(table.CounterSpace, table.Name),
		zone:                 table.Zone,
		seed:                 table.Seed,
		maxInFlight:          cmp.Or(table.MaxInFlight, f.Node.MaxInFlight),
		maxServerConnections: table.MaxServerConnections,
		weight:               weight,
		guarantee:            valueOr(table.Guarantee, defaultGuaranteeSum/float64(len(f.Pools))),
		tablePrefix:          prefix,
		fieldPrefix:          prefix,
	}, nil
}

// pool checks one pool.
func (f *configFile) pool(spec *poolSpec) (Pool, error) {
	node, err := f.poolNode(spec)
	if err != nil {
		return Pool{}, err
	}
	accounts, err := f.accounts(node, spec)
	if err != nil {
		return Pool{}, err
	}
	withoutPlans := node.Settings
	withoutPlans.Plans = nil
	return Pool{
		Node:                 node,
		CounterSpace:         spec.counterSpace,
		Weight:               spec.weight,
		Guarantee:            spec.guarantee,
		MaxServerConnections: spec.maxServerConnections,
		Accounts:             accounts,
		shape: fmt.Sprintf("%+v %+v %q %v %v %v", withoutPlans, node.Transport, spec.counterSpace,
			node.Counter != "", spec.weight, spec.maxServerConnections),
		plans: fmt.Sprintf("%+v", node.Settings.Plans),
	}, nil
}

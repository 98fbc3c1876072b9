package hosted

import (
	"cmp"
	"fmt"
	"slices"
)

// Defaults for pools.
const (
	// defaultPoolName is the name of the only pool if node.name is empty.
	defaultPoolName   = "gapgapd"
	defaultPoolWeight = 1.0
	// defaultGuaranteeSum is divided equally among the pools as their default guarantees.
	defaultGuaranteeSum = 0.5
)

const (
	// maxPoolWeight bounds the weight of a pool.
	maxPoolWeight = 1000
	// guaranteeTolerance allows the sum of guarantees to exceed its bound by rounding errors.
	guaranteeTolerance = 1e-9
)

// poolSpec is one pool of the file, including the values that it inherits from [node].
type poolSpec struct {
	poolTables
	name         string
	discovery    string
	counter      string
	counterSpace string
	zone         string
	seed         string
	// maxInFlight is 0 if the file does not set it.
	maxInFlight          int
	maxServerConnections int
	weight               float64
	guarantee            float64
	// tablePrefix precedes the names of the pool's tables in errors, and fieldPrefix those of its own fields.
	tablePrefix string
	fieldPrefix string
}

// pools validates the pools and returns at least one.
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

// poolSpecs returns the pools of the file. Without [[pool]] tables the whole file is one pool.
func (f *configFile) poolSpecs() ([]poolSpec, error) {
	if len(f.Pools) == 0 {
		return []poolSpec{f.singlePoolSpec()}, nil
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
				"is negative, or the sum of the pools' guarantees exceeds %.1f", maxGuaranteeSum)
		}
		if spec.maxServerConnections < 0 {
			return nil, fieldErrorf(spec.fieldPrefix+"server_connections", "is negative")
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// singlePoolSpec returns the pool of a file without [[pool]] tables.
func (f *configFile) singlePoolSpec() poolSpec {
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

// checkNoPoolTables checks that no setting of a pool is outside the [[pool]] tables.
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
			return fieldErrorf(field.name, "must be set in each [[pool]] table if there are any")
		}
	}
	return nil
}

// poolSpec returns one pool of the file after validating its name and weight. others has the pools before it.
func (f *configFile) poolSpec(i int, others []poolSpec) (poolSpec, error) {
	table := &f.Pools[i]
	prefix := fmt.Sprintf("pool[%d].", i)
	isTaken := slices.ContainsFunc(others, func(other poolSpec) bool { return other.name == table.Name })
	if isTaken || !isPlainName(table.Name) {
		return poolSpec{}, fieldErrorf(prefix+"name", "%q is not a valid name, or is used twice", table.Name)
	}
	weight := valueOr(table.Weight, defaultPoolWeight)
	if !(weight > 0 && weight <= maxPoolWeight) {
		return poolSpec{}, fieldErrorf(prefix+"weight", "must be greater than 0 and at most 1000")
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

// pool validates one pool and returns its configuration.
func (f *configFile) pool(spec *poolSpec) (Pool, error) {
	node, err := f.proxyConfig(spec)
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

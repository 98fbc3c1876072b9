package hosted

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/balancer"
)

// rememberOnDisk is the value of the key remember of a class that reserves its keys across all gateways.
const rememberOnDisk = "disk"

// idempotencies has the values of the key effect of a class, and dedupScopes those of the key group.
var (
	idempotencies = map[string]balancer.Idempotency{
		"safe":   balancer.Idempotent,
		"keyed":  balancer.IdempotentByKey,
		"unsafe": balancer.NonIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"":     balancer.DedupAll,
		"all":  balancer.DedupAll,
		"zone": balancer.DedupZone,
		"cell": balancer.DedupCell,
	}
)

// classes validates the classes of a pool and returns them with their names.
func (f *configFile) classes(spec *poolSpec) (classes []balancer.Class, names []string, err error) {
	if len(spec.Classes) == 0 {
		return nil, nil, fieldErrorf(spec.tablePrefix+"class", "at least one class is required")
	}
	for i := range spec.Classes {
		if err := f.checkClass(spec, i, names); err != nil {
			return nil, nil, err
		}
		classes = append(classes, newClass(&spec.Classes[i]))
		names = append(names, spec.Classes[i].Name)
	}
	return classes, names, nil
}

// checkClass validates one class. taken has the names of the classes before it.
func (f *configFile) checkClass(spec *poolSpec, i int, taken []string) error {
	table := &spec.Classes[i]
	field := func(name string) string { return fmt.Sprintf("%sclass[%d].%s", spec.tablePrefix, i, name) }
	idempotency, isEffect := idempotencies[table.Effect]
	_, isGroup := dedupScopes[table.Group]
	switch {
	case !isPlainName(table.Name) || slices.Contains(taken, table.Name):
		return fieldErrorf(field("name"), "%q is not a valid name, or is used twice", table.Name)
	case !isEffect:
		return fieldErrorf(field("effect"), "%q is not safe, keyed or unsafe", table.Effect)
	case !isGroup:
		return fieldErrorf(field("group"), "%q is not all, zone or cell", table.Group)
	case table.ClientTimeout <= 0:
		return fieldErrorf(field("give_up"), "must be greater than 0")
	case table.LatencyObjective < 0 || table.LatencyObjective > table.ClientTimeout:
		return fieldErrorf(field("aim"), "is negative or greater than give_up")
	case table.PriorityWeight < 0 || table.LateWeightFraction < 0:
		return fieldErrorf(field("worth"), "worth or late_worth is negative")
	case idempotency == balancer.IdempotentByKey && table.DedupWindow <= 0:
		return fieldErrorf(field("window"), "must be greater than 0 because the class is keyed")
	}
	return f.checkRemember(table, field("remember"))
}

// checkRemember checks that the keys of a class can be reserved across all gateways, if the class requires it.
func (f *configFile) checkRemember(table *classTable, field string) error {
	switch {
	case table.Remember == "":
		return nil
	case table.Remember != rememberOnDisk:
		return fieldErrorf(field, "%q is not disk", table.Remember)
	case idempotencies[table.Effect] != balancer.IdempotentByKey:
		return fieldErrorf(field, "requires a keyed class")
	case f.Fleet == nil || f.Fleet.KeyRetention == nil:
		return fieldErrorf(field, "wants [fleet.remember]")
	}
	return nil
}

// newClass returns the class of a validated table. If its keys are reserved, its requests may run at most once, because
// endpoints lose the keys that they remember in a power failure.
func newClass(table *classTable) balancer.Class {
	idempotency := idempotencies[table.Effect]
	isReserved := table.Remember != ""
	if isReserved {
		idempotency = balancer.NonIdempotent
	}
	return balancer.Class{
		PriorityWeight:     table.PriorityWeight,
		LateWeightFraction: table.LateWeightFraction,
		LatencyObjective:   time.Duration(table.LatencyObjective),
		ClientTimeout:      time.Duration(table.ClientTimeout),
		Idempotency:        idempotency,
		DedupScope:         dedupScopes[table.Group],
		DedupWindow:        time.Duration(table.DedupWindow),
		KeyReserved:        isReserved,
	}
}

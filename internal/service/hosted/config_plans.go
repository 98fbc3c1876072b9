package hosted

import (
	"cmp"
	"fmt"
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/balancer/quotashare"
)

// defaultPriorityFactor is the default of the key factor of a plan.
const defaultPriorityFactor = 1.0

// partitionPolicies has the values of the key when_cut_off of a plan, which may also be empty.
var partitionPolicies = map[string]quotashare.PartitionPolicy{
	"keep":  quotashare.KeepAll,
	"quota": quotashare.KeepQuota,
	"yield": quotashare.KeepNone,
}

// plans validates the plans of a pool and returns them with their names.
func (f *configFile) plans(spec *poolSpec) (plans []balancer.Plan, names []string, err error) {
	if len(spec.Plans) == 0 {
		return nil, nil, fieldErrorf(spec.tablePrefix+"plan", "at least one plan is required")
	}
	for i := range spec.Plans {
		if err := f.checkPlan(spec, i, names); err != nil {
			return nil, nil, err
		}
		plans = append(plans, newPlan(&spec.Plans[i]))
		names = append(names, spec.Plans[i].Name)
	}
	return plans, names, nil
}

// checkPlan validates one plan. taken has the names of the plans before it.
func (f *configFile) checkPlan(spec *poolSpec, i int, taken []string) error {
	table := &spec.Plans[i]
	field := func(name string) string { return fmt.Sprintf("%splan[%d].%s", spec.tablePrefix, i, name) }
	_, isPolicy := partitionPolicies[table.PartitionPolicy]
	switch {
	case !isPlainName(table.Name) || slices.Contains(taken, table.Name):
		return fieldErrorf(field("name"), "%q is not a valid name, or is used twice", table.Name)
	case table.Rate < 0:
		return fieldErrorf(field("rate"), "is negative")
	case table.Burst < 0 || table.Rate > 0 && table.Burst == 0:
		return fieldErrorf(field("burst"), "is negative, or missing although rate is set")
	case table.MaxInFlight < 0:
		return fieldErrorf(field("at_once"), "is negative")
	case table.PriorityFactor < 0 || table.OverQuotaWeight < 0 || table.OverQuotaCost < 0:
		return fieldErrorf(field("factor"), "factor, over_worth or over_cost is negative")
	case table.CeilingRate < 0:
		return fieldErrorf(field("ceiling_rate"), "is negative")
	case table.PartitionPolicy != "" && f.Fleet == nil:
		return fieldErrorf(field("when_cut_off"), "requires [fleet]")
	case table.PartitionPolicy != "" && !isPolicy:
		return fieldErrorf(field("when_cut_off"), "%q is not keep, quota or yield", table.PartitionPolicy)
	case table.CeilingBurst < 0 || table.CeilingRate > 0 && table.CeilingBurst == 0:
		return fieldErrorf(field("ceiling_depth"), "is negative, or missing although ceiling_rate is set")
	}
	return nil
}

// newPlan returns the plan of a validated table.
func newPlan(table *planTable) balancer.Plan {
	return balancer.Plan{
		Rate:            table.Rate,
		Burst:           table.Burst,
		MaxInFlight:     table.MaxInFlight,
		PriorityFactor:  cmp.Or(table.PriorityFactor, defaultPriorityFactor),
		OverQuotaWeight: table.OverQuotaWeight,
		OverQuotaCost:   table.OverQuotaCost,
		CeilingRate:     table.CeilingRate,
		CeilingBurst:    table.CeilingBurst,
		PartitionPolicy: partitionPolicies[table.PartitionPolicy],
	}
}

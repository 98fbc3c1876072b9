package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

// idempotencyByEffect maps the values of the key effect.
var idempotencyByEffect = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent,
}

// script checks a file and returns its script, or a *keyError for the first invalid key.
func (f *scriptFile) script() (*Script, error) {
	script := &Script{
		Name:             f.Name,
		Seed:             uint64(f.Seed),
		Duration:         time.Duration(f.Lasts),
		Gateways:         f.Doors.Count,
		UseCounter:       f.Counter != nil,
		LeaseCeilings:    f.Doors.Lend,
		DiscoveryDelay:   time.Duration(f.Doors.Told),
		Retries:          f.Clients.Retries,
		RetryWithSameKey: f.Clients.SameKey,
	}
	if err := f.checkTopLevel(script); err != nil {
		return nil, err
	}
	for _, add := range []func(*Script) error{
		f.addClasses,
		f.addPlans,
		f.addEndpoints,
		f.addAccounts,
		f.addEvents,
	} {
		if err := add(script); err != nil {
			return nil, err
		}
	}
	return script, nil
}

// checkTopLevel checks the keys outside of arrays, and that no array is empty or too long.
func (f *scriptFile) checkTopLevel(script *Script) error {
	switch {
	case script.Duration <= 0 || script.Duration > MaxDuration:
		return invalidKey("lasts", "%v must be above 0 and at most %v", script.Duration, MaxDuration)
	case script.Gateways < 1 || script.Gateways > MaxGateways:
		return invalidKey("doors.count", "%d must be from 1 to %d", script.Gateways, MaxGateways)
	case script.DiscoveryDelay < 0:
		return invalidKey("doors.told", "must not be negative")
	case script.Retries < 0 || script.Retries > MaxRetries:
		return invalidKey("clients.retries", "%d must be from 0 to %d", script.Retries, MaxRetries)
	case len(f.Class) == 0:
		return invalidKey("class", "at least one class is required")
	case len(f.Plan) == 0:
		return invalidKey("plan", "at least one plan is required")
	case len(f.Servers) == 0:
		return invalidKey("servers", "at least one group of endpoints is required")
	case len(f.Accounts) == 0:
		return invalidKey("accounts", "at least one group of accounts is required")
	case len(f.Event) > MaxEvents:
		return invalidKey("event", "more than %d events", MaxEvents)
	}
	return nil
}

// addClasses checks the classes and adds them.
func (f *scriptFile) addClasses(script *Script) error {
	shares := 0.0
	for i := range f.Class {
		table := &f.Class[i]
		if err := table.check(fmt.Sprintf("class[%d].", i)); err != nil {
			return err
		}
		shares += table.Share
		script.Classes = append(script.Classes, Class{
			Name:  table.Name,
			Share: table.Share,
			Class: balancer.Class{
				PriorityWeight:   table.Worth,
				LatencyObjective: time.Duration(table.Aim),
				ClientTimeout:    time.Duration(table.GiveUp),
				Idempotency:      idempotencyByEffect[table.Effect],
				DedupWindow:      time.Duration(table.Window),
			},
		})
	}
	if !(shares > 0) {
		return invalidKey("class[0].share", "at least one class must have a share above 0")
	}
	return nil
}

// check checks a class. Its keys begin with the prefix.
func (t *classTable) check(prefix string) error {
	idempotency, isKnown := idempotencyByEffect[t.Effect]
	switch {
	case t.Name == "":
		return invalidKey(prefix+"name", "is required")
	case !isKnown:
		return invalidKey(prefix+"effect", "unknown effect %q: must be safe, keyed or unsafe", t.Effect)
	case t.Share < 0:
		return invalidKey(prefix+"share", "must not be negative")
	case t.GiveUp <= 0:
		return invalidKey(prefix+"give_up", "must be above 0")
	case t.Aim <= 0 || t.Aim > t.GiveUp:
		return invalidKey(prefix+"aim", "must be above 0 and at most give_up")
	case idempotency == balancer.IdempotentByKey && t.Window <= 0:
		return invalidKey(prefix+"window", "must be above 0 for a keyed class")
	}
	return nil
}

// addPlans checks the plans and adds them.
func (f *scriptFile) addPlans(script *Script) error {
	for i := range f.Plan {
		table := &f.Plan[i]
		isTaken := slices.ContainsFunc(script.Plans, func(other Plan) bool { return other.Name == table.Name })
		if table.Name == "" || isTaken {
			return invalidKey(fmt.Sprintf("plan[%d].name", i), "name %q is empty or already used", table.Name)
		}
		if table.Rate < 0 || table.Burst < 0 || table.CeilingRate < 0 || table.CeilingDepth < 0 ||
			table.OverWorth < 0 || table.OverCost < 0 {
			return invalidKey(fmt.Sprintf("plan[%d].rate", i), "the numbers of a plan must not be negative")
		}
		script.Plans = append(script.Plans, Plan{
			Name: table.Name,
			Plan: balancer.Plan{
				Rate:            table.Rate,
				Burst:           table.Burst,
				PriorityFactor:  cmp.Or(table.Factor, 1),
				OverQuotaWeight: table.OverWorth,
				OverQuotaCost:   table.OverCost,
				CeilingRate:     table.CeilingRate,
				CeilingBurst:    table.CeilingDepth,
			},
		})
	}
	return nil
}

// addEndpoints checks the groups of endpoints and adds them. The classes must have been added.
func (f *scriptFile) addEndpoints(script *Script) error {
	sum := 0
	for i := range f.Servers {
		table := &f.Servers[i]
		prefix := fmt.Sprintf("servers[%d].", i)
		if table.Group == "" || script.hasEndpointGroup(table.Group) {
			return invalidKey(prefix+"group", "name %q is empty or already used", table.Group)
		}
		sum += table.Count
		if table.Count < 1 || sum > MaxEndpoints {
			return invalidKey(prefix+"count", "%d must be at least 1, the sum at most %d", table.Count, MaxEndpoints)
		}
		config := table.config(script.Classes)
		if err := config.Check(); err != nil {
			return endpointKeyError(prefix, err)
		}
		script.Endpoints = append(script.Endpoints, EndpointGroup{
			Group:          table.Group,
			Count:          table.Count,
			EndpointConfig: config,
		})
	}
	return nil
}

// config returns the configuration of the endpoints of a group, unchecked.
func (t *endpointsTable) config(classes []Class) simulator.EndpointConfig {
	config := simulator.EndpointConfig{
		Cores:              t.Cores,
		MaxInService:       t.Slots,
		QueueCapacity:      t.Room,
		SlowdownFrom:       t.HeldFrom,
		SlowdownPerRequest: t.HeldEach,
		MinSpeed:           t.LeastSpeed,
		SlowStartCapacity:  t.ColdFrom,
		SlowStartDuration:  time.Duration(t.WarmWithin),
		OverloadMultiple:   t.FallAt,
		OverloadWindow:     time.Duration(t.FallWindow),
	}
	for _, class := range classes {
		config.ServiceTimes = append(config.ServiceTimes, simulator.Distribution{
			Kind: cmp.Or(simulator.DistributionKind(t.Kind), simulator.Exponential),
			Mean: time.Duration(t.Work),
			CV:   t.CV,
		})
		config.DedupWindows = append(config.DedupWindows, class.DedupWindow)
	}
	return config
}

// endpointKeyError converts an error of an endpoint configuration to a keyError. It drops the index of a class, as all
// classes have their service time from the same key.
func endpointKeyError(prefix string, err error) error {
	field := ""
	var invalid *simulator.EndpointConfigError
	if errors.As(err, &invalid) {
		field, _, _ = strings.Cut(invalid.Field, "[")
	}
	return &keyError{key: prefix + field, err: err}
}

// addAccounts checks the groups of accounts and adds them. The plans must have been added.
func (f *scriptFile) addAccounts(script *Script) error {
	sum := 0
	for i := range f.Accounts {
		table := &f.Accounts[i]
		prefix := fmt.Sprintf("accounts[%d].", i)
		plan := slices.IndexFunc(script.Plans, func(p Plan) bool { return p.Name == table.Plan })
		sum += table.Count
		switch {
		case table.Group == "" || script.hasAccountGroup(table.Group):
			return invalidKey(prefix+"group", "name %q is empty or already used", table.Group)
		case plan < 0:
			return invalidKey(prefix+"plan", "plan %q does not exist", table.Plan)
		case table.Count < 1 || sum > MaxAccounts:
			return invalidKey(prefix+"count", "%d must be at least 1, the sum at most %d", table.Count, MaxAccounts)
		case !(table.Rate > 0) || table.Rate > MaxAccountRate:
			return invalidKey(prefix+"rate", "%v must be above 0 and at most 1e6", table.Rate)
		case table.Spread < 0 || table.Spread > script.Gateways:
			return invalidKey(prefix+"spread", "%d must be from 0 to the number of gateways", table.Spread)
		}
		script.Accounts = append(script.Accounts, AccountGroup{
			Group:  table.Group,
			Count:  table.Count,
			Plan:   plan,
			Rate:   table.Rate,
			Spread: table.Spread,
		})
	}
	return nil
}

// hasEndpointGroup reports whether the script has a group of endpoints with the given name.
func (s *Script) hasEndpointGroup(name string) bool {
	return slices.ContainsFunc(s.Endpoints, func(g EndpointGroup) bool { return g.Group == name })
}

// hasAccountGroup reports whether the script has a group of accounts with the given name.
func (s *Script) hasAccountGroup(name string) bool {
	return slices.ContainsFunc(s.Accounts, func(g AccountGroup) bool { return g.Group == name })
}

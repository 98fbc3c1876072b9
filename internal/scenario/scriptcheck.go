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

// idempotencyByEffect maps the words of scripts.
var idempotencyByEffect = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent,
}

// script returns the checked script of a file, or a *keyError for the first key that is not valid.
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

// checkTopLevel checks the keys that are not in an array, and that no array is empty or too long.
func (f *scriptFile) checkTopLevel(script *Script) error {
	switch {
	case script.Duration <= 0 || script.Duration > MaxDuration:
		return invalidKey("lasts", "%v is not above 0 and up to %v", script.Duration, MaxDuration)
	case script.Gateways < 1 || script.Gateways > MaxGateways:
		return invalidKey("doors.count", "%d is not from 1 to %d", script.Gateways, MaxGateways)
	case script.DiscoveryDelay < 0:
		return invalidKey("doors.told", "is negative")
	case script.Retries < 0 || script.Retries > MaxRetries:
		return invalidKey("clients.retries", "%d is not from 0 to %d", script.Retries, MaxRetries)
	case len(f.Class) == 0:
		return invalidKey("class", "there is none")
	case len(f.Plan) == 0:
		return invalidKey("plan", "there is none")
	case len(f.Servers) == 0:
		return invalidKey("servers", "there are none")
	case len(f.Accounts) == 0:
		return invalidKey("accounts", "there are none")
	case len(f.Event) > MaxEvents:
		return invalidKey("event", "there are over %d", MaxEvents)
	}
	return nil
}

// addClasses adds the classes.
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
		return invalidKey("class[0].share", "no class has a part of the requests")
	}
	return nil
}

// check checks a class, whose keys begin with the prefix.
func (t *classTable) check(prefix string) error {
	idempotency, isKnown := idempotencyByEffect[t.Effect]
	switch {
	case t.Name == "":
		return invalidKey(prefix+"name", "is missing")
	case !isKnown:
		return invalidKey(prefix+"effect", "%q is not safe, keyed or unsafe", t.Effect)
	case t.Share < 0:
		return invalidKey(prefix+"share", "is negative")
	case t.GiveUp <= 0:
		return invalidKey(prefix+"give_up", "is not above 0")
	case t.Aim <= 0 || t.Aim > t.GiveUp:
		return invalidKey(prefix+"aim", "is not above 0 and up to give_up")
	case idempotency == balancer.IdempotentByKey && t.Window <= 0:
		return invalidKey(prefix+"window", "is not above 0, but the class is keyed")
	}
	return nil
}

// addPlans adds the plans.
func (f *scriptFile) addPlans(script *Script) error {
	for i := range f.Plan {
		table := &f.Plan[i]
		isTaken := slices.ContainsFunc(script.Plans, func(other Plan) bool { return other.Name == table.Name })
		if table.Name == "" || isTaken {
			return invalidKey(fmt.Sprintf("plan[%d].name", i), "%q is no name, or stands twice", table.Name)
		}
		if table.Rate < 0 || table.Burst < 0 || table.CeilingRate < 0 || table.CeilingDepth < 0 ||
			table.OverWorth < 0 || table.OverCost < 0 {
			return invalidKey(fmt.Sprintf("plan[%d].rate", i), "or another figure is negative")
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

// addEndpoints adds the groups of endpoints. The classes must be there.
func (f *scriptFile) addEndpoints(script *Script) error {
	sum := 0
	for i := range f.Servers {
		table := &f.Servers[i]
		prefix := fmt.Sprintf("servers[%d].", i)
		if table.Group == "" || script.hasEndpointGroup(table.Group) {
			return invalidKey(prefix+"group", "%q is no name, or stands twice", table.Group)
		}
		sum += table.Count
		if table.Count < 1 || sum > MaxEndpoints {
			return invalidKey(prefix+"count", "%d is under 1, or all are over %d", table.Count, MaxEndpoints)
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

// config returns the configuration of a group's endpoints. It is not checked.
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

// endpointKeyError is an error of an endpoint's configuration at its key. All classes have the key of one.
func endpointKeyError(prefix string, err error) error {
	field := ""
	var invalid *simulator.EndpointConfigError
	if errors.As(err, &invalid) {
		field, _, _ = strings.Cut(invalid.Field, "[")
	}
	return &keyError{key: prefix + field, err: err}
}

// addAccounts adds the groups of accounts. The plans must be there.
func (f *scriptFile) addAccounts(script *Script) error {
	sum := 0
	for i := range f.Accounts {
		table := &f.Accounts[i]
		prefix := fmt.Sprintf("accounts[%d].", i)
		plan := slices.IndexFunc(script.Plans, func(p Plan) bool { return p.Name == table.Plan })
		sum += table.Count
		switch {
		case table.Group == "" || script.hasAccountGroup(table.Group):
			return invalidKey(prefix+"group", "%q is no name, or stands twice", table.Group)
		case plan < 0:
			return invalidKey(prefix+"plan", "no plan is named %q", table.Plan)
		case table.Count < 1 || sum > MaxAccounts:
			return invalidKey(prefix+"count", "%d is under 1, or all are over %d", table.Count, MaxAccounts)
		case !(table.Rate > 0) || table.Rate > MaxAccountRate:
			return invalidKey(prefix+"rate", "%v is not above 0", table.Rate)
		case table.Spread < 0 || table.Spread > script.Gateways:
			return invalidKey(prefix+"spread", "%d is not from 0 to the front doors' number", table.Spread)
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

// hasEndpointGroup says that there is a group of endpoints of a name.
func (s *Script) hasEndpointGroup(name string) bool {
	return slices.ContainsFunc(s.Endpoints, func(g EndpointGroup) bool { return g.Group == name })
}

// hasAccountGroup says that there is a group of accounts of a name.
func (s *Script) hasAccountGroup(name string) bool {
	return slices.ContainsFunc(s.Accounts, func(g AccountGroup) bool { return g.Group == name })
}

package hosted

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"net"
	"slices"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/service"
	"gapgap/internal/wire"
)

// The values of node.ceilings. It may also be empty.
const (
	ceilingsDemand = "demand"
	ceilingsEven   = "even"
)

// Defaults for [limits] and [obligations].
const (
	defaultMaxAttempts       = 3
	defaultMaxUnits          = 1.0
	defaultMaxInFlight       = 10_000
	defaultDialTimeout       = 250 * time.Millisecond
	defaultConnIdleTimeout   = 30 * time.Second
	defaultCounterTimeout    = 50 * time.Millisecond
	defaultDrainGrace        = 250 * time.Millisecond
	defaultOverloadMultiple  = 3.0
	defaultOverloadWindow    = 3 * time.Second
	defaultSlowStartCapacity = 0.26
	defaultSlowStartDuration = 15 * time.Second
)

const (
	// timerResolution is the resolution of the balancer's timers.
	timerResolution = 2 * time.Millisecond
	// seedBytes is the number of bytes of a seed.
	seedBytes = 8
)

// proxyConfig validates the settings of a pool's proxy and returns its configuration.
func (f *configFile) proxyConfig(spec *poolSpec) (*service.Config, error) {
	node := &f.Node
	if !slices.Contains([]string{"", ceilingsDemand, ceilingsEven}, node.Ceilings) {
		return nil, fieldErrorf("node.ceilings", "%q is not demand or even", node.Ceilings)
	}
	if err := f.checkNotNegative(spec); err != nil {
		return nil, err
	}
	settings := f.settings(spec)
	if node.Index < 0 || node.Index >= settings.Gateways {
		return nil, fieldErrorf("node.rank", "must be from 0 to %d, less than node.doors", settings.Gateways-1)
	}
	if err := checkAddresses(spec); err != nil {
		return nil, err
	}
	transport := spec.transport()
	var err error
	if settings.Classes, transport.Classes, err = f.classes(spec); err != nil {
		return nil, err
	}
	if settings.Plans, transport.Plans, err = f.plans(spec); err != nil {
		return nil, err
	}
	seed, err := spec.parseSeed()
	if err != nil {
		return nil, err
	}
	return &service.Config{
		Name:      spec.name,
		Discovery: spec.discovery,
		Counter:   spec.counter,
		Seed:      seed,
		MemoryMB:  node.MemoryMB,
		Sockets:   node.Sockets,
		Settings:  settings,
		Transport: transport,
	}, nil
}

// checkNotNegative checks that no number of [node] or of a pool is negative.
func (f *configFile) checkNotNegative(spec *poolSpec) error {
	node, limits, obligations := &f.Node, &spec.Limits, &spec.Obligations
	limit := func(name string) string { return spec.tablePrefix + "limits." + name }
	obligation := func(name string) string { return spec.tablePrefix + "obligations." + name }
	for _, field := range []struct {
		name       string
		isNegative bool
	}{
		{"node.memory_mb", node.MemoryMB < 0},
		{"node.sockets", node.Sockets < 0},
		{spec.fieldPrefix + "most_open", spec.maxInFlight < 0},
		{"node.doors", node.Gateways < 0},
		{limit("max_attempts"), limits.MaxAttempts < 0},
		{limit("dial_timeout"), limits.DialTimeout < 0},
		{limit("conn_idle"), limits.IdleTimeout < 0},
		{limit("retry_after"), limits.MaxRetryAfter < 0},
		{limit("counter_timeout"), limits.CounterTimeout < 0},
		{limit("max_units"), limits.MaxUnits < 0},
		{obligation("stop_sending_within"), obligations.DrainGrace < 0},
		{obligation("fall_multiple"), obligations.OverloadMultiple < 0},
		{obligation("fall_window"), obligations.OverloadWindow < 0},
		{obligation("cold_from"), obligations.SlowStartCapacity < 0},
		{obligation("warm_within"), obligations.SlowStartDuration < 0},
	} {
		if field.isNegative {
			return fieldErrorf(field.name, "is negative")
		}
	}
	return nil
}

// settings returns the balancer settings of a pool, without its classes and plans.
func (f *configFile) settings(spec *poolSpec) balancer.Settings {
	limits, obligations := &spec.Limits, &spec.Obligations
	isInFleet := f.Fleet != nil
	hasCounter := spec.counter != ""
	leasesCeilings := f.Node.Ceilings == ceilingsDemand || f.Node.Ceilings == "" && isInFleet
	return balancer.Settings{
		LeaseCeilings:     leasesCeilings && hasCounter,
		LeasedShares:      isInFleet,
		Gateways:          cmp.Or(f.Node.Gateways, 1),
		Index:             f.Node.Index,
		MaxAttempts:       cmp.Or(limits.MaxAttempts, defaultMaxAttempts),
		AllowCancel:       valueOr(limits.AllowCancel, true),
		AllowHealthChecks: limits.HealthChecks,
		SendRetryAfter:    limits.MaxRetryAfter > 0,
		MaxRetryAfter:     time.Duration(limits.MaxRetryAfter),
		DrainGrace:        cmp.Or(time.Duration(obligations.DrainGrace), defaultDrainGrace),
		OverloadMultiple:  cmp.Or(obligations.OverloadMultiple, defaultOverloadMultiple),
		OverloadWindow:    cmp.Or(time.Duration(obligations.OverloadWindow), defaultOverloadWindow),
		SlowStartCapacity: cmp.Or(obligations.SlowStartCapacity, defaultSlowStartCapacity),
		SlowStartDuration: cmp.Or(time.Duration(obligations.SlowStartDuration), defaultSlowStartDuration),
		UseCounter:        hasCounter,
		CounterTimeout:    cmp.Or(time.Duration(limits.CounterTimeout), defaultCounterTimeout),
		MaxRequestUnits:   cmp.Or(limits.MaxUnits, defaultMaxUnits),
		Resolution:        timerResolution,
	}
}

// transport returns the connection settings of a pool, without the names of its classes and plans.
func (spec *poolSpec) transport() wire.Transport {
	return wire.Transport{
		DialTimeout: cmp.Or(time.Duration(spec.Limits.DialTimeout), defaultDialTimeout),
		ConnIdle:    cmp.Or(time.Duration(spec.Limits.IdleTimeout), defaultConnIdleTimeout),
		MostOpen:    cmp.Or(spec.maxInFlight, defaultMaxInFlight),
		Zones:       []string{spec.zone},
		Kinds:       []string{""},
	}
}

// checkAddresses validates the addresses of discovery and of the counter, which may be empty.
func checkAddresses(spec *poolSpec) error {
	if _, _, err := net.SplitHostPort(spec.discovery); err != nil {
		return fieldErrorf(spec.fieldPrefix+"discovery", "must have the form host:port")
	}
	if spec.counter == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(spec.counter); err != nil {
		return fieldErrorf(spec.fieldPrefix+"counter", "must have the form host:port")
	}
	return nil
}

// parseSeed returns the seed of a pool's random numbers. It is random if the file has none.
func (spec *poolSpec) parseSeed() (uint64, error) {
	if spec.seed == "" {
		var random [seedBytes]byte
		_, _ = rand.Read(random[:]) // never fails
		return binary.BigEndian.Uint64(random[:]), nil
	}
	seed, err := strconv.ParseUint(spec.seed, 16, 64)
	if err != nil {
		return 0, fieldErrorf(spec.fieldPrefix+"seed", "must have 1 to 16 hexadecimal digits")
	}
	return seed, nil
}

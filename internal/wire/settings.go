package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gapgap/internal/balancer"
)

// values holds settings by their paths and the first error in parsing them.
type values struct {
	byPath map[string]string
	err    error
}

func (p *values) float(k string) float64 {
	s, ok := p.byPath[k]
	if !ok || s == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if (err != nil || v != v) && p.err == nil {
		p.err = fmt.Errorf("setting %s: not a number", k)
	}
	return v
}

func (p *values) int(k string) int { return int(p.float(k)) }

func (p *values) micros(k string) time.Duration {
	return time.Duration(p.float(k) * float64(time.Microsecond))
}

func (p *values) bool(k string) bool { return p.byPath[k] == "true" || p.byPath[k] == "1" }

// lookup returns the table's value for a setting, or the zero value if the setting is absent.
func lookup[T any](p *values, k string, table map[string]T) T {
	s, given := p.byPath[k]
	v, ok := table[s]
	if given && !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s: unknown value", k)
	}
	return v
}

var idempotencyByName = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent}

var dedupScopes = map[string]balancer.DedupScope{"all": balancer.DedupAll, "zone": balancer.DedupZone,
	"cell": balancer.DedupCell, "": balancer.DedupAll, "none": balancer.DedupAll, "-": balancer.DedupAll}

var pollByDiscovery = map[string]bool{"pushed": false, "on_request": true}

// parseSettings parses the path=value pairs of a PROVISION line.
func parseSettings(parts []string) (balancer.Settings, error) {
	m := make(map[string]string, len(parts))
	for _, s := range parts {
		k, v, ok := strings.Cut(s, "=")
		if !ok {
			return balancer.Settings{}, fmt.Errorf("setting %.40q has no value", s)
		}
		m[k] = v
	}
	return Settings(m)
}

// Settings converts settings by their paths to those of package balancer. It ignores unknown paths.
func Settings(m map[string]string) (balancer.Settings, error) {
	p := &values{byPath: m}
	set := balancer.Settings{
		Gateways: p.int("peers-total"), Index: p.int("rank"), Zone: p.int("locality"),
		Resolution: p.micros("resolution-us"), MaxAttempts: p.int("limits.max-attempts"),
		AllowHedging: p.bool("limits.second-copies"), AllowCancel: p.bool("limits.cancel"),
		AllowHealthChecks: p.bool("limits.may-probe"), SendRetryAfter: p.bool("limits.retry-after"),
		MaxRetryAfter: p.micros("limits.max-retry-after-us"), PollEndpoints: lookup(p, "discovery", pollByDiscovery),
		PollInterval: p.micros("obligations.ask-every-us"), DeadlineSlack: p.micros("obligations.answer-slack-us"),
		DrainGrace:       p.micros("obligations.stop-sending-within-us"),
		OverloadMultiple: p.float("obligations.fall-multiple"), OverloadWindow: p.micros("obligations.fall-us"),
		SlowStartCapacity: p.float("obligations.cold-from"), SlowStartDuration: p.micros("obligations.warm-within-us"),
		UseCounter:     p.bool("specifics.shared-counter"),
		CounterTimeout: p.micros("specifics.counter-timeout-us"), CounterCallCost: p.float("specifics.count-fee"),
		CrossZoneCost:   p.float("charges.cross-zone"),
		MaxRequestUnits: p.float("specifics.max-units"), EstimatedUnits: p.bool("specifics.trued-up"),
	}
	for i := range p.int("classes.count") {
		k := fmt.Sprintf("classes.%d.", i)
		set.Classes = append(set.Classes, balancer.Class{
			PriorityWeight: p.float(k + "worth"), LateWeightFraction: p.float(k + "late-worth"),
			LatencyObjective: p.micros(k + "target-us"), ClientTimeout: p.micros(k + "give-up-us"),
			Idempotency: lookup(p, k+"effect", idempotencyByName), DedupScope: lookup(p, k+"group", dedupScopes),
			DedupWindow: p.micros(k + "window-us"), Streaming: p.bool(k + "stream"),
		})
	}
	for i := range p.int("tiers-of-service.count") {
		k := fmt.Sprintf("tiers-of-service.%d.", i)
		set.Plans = append(set.Plans, balancer.Plan{
			Rate: p.float(k + "units-per-s"), Burst: p.float(k + "most-at-once"), MaxInFlight: p.int(k + "at-once"),
			PriorityFactor: p.float(k + "value-factor"), OverQuotaWeight: p.float(k + "extra-worth"),
			OverQuotaCost: p.float(k + "over-cost"), CeilingRate: p.float(k + "never-over-rate"),
			CeilingBurst: p.float(k + "cap-depth"),
		})
	}
	return set, p.err
}

// Transport holds the settings on sockets and names. A gateway that opens connections needs them; package balancer does
// not.
type Transport struct {
	// Classes, Plans, Zones and Kinds are names in the order of package balancer's indices.
	Classes, Plans, Zones, Kinds []string
	DialTimeout                  time.Duration
	// ConnIdle is the idle time after which backends close a connection.
	ConnIdle time.Duration
	// MostOpen is the limit on open requests; 0: not set.
	MostOpen int
}

// ReadTransport converts settings by their paths to a Transport.
func ReadTransport(m map[string]string) (Transport, error) {
	p := &values{byPath: m}
	names := func(list string) (all []string) {
		for i := range p.int(list + ".count") {
			all = append(all, m[fmt.Sprintf("%s.%d.name", list, i)])
		}
		return all
	}
	t := Transport{
		Classes: names("classes"), Plans: names("tiers-of-service"),
		Zones: strings.Split(m["areas"], ","), Kinds: strings.Split(m["kinds"], ","),
		DialTimeout: p.micros("limits.dial-timeout-us"), ConnIdle: p.micros("limits.conn-idle-us"),
		MostOpen: p.int("limits.open-cap"),
	}
	return t, p.err
}

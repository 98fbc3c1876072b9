// Package scenario plays incidents that a script tells: which flag servers, front doors and accounts there are, and what
// happens to them when. This is its virtual driver: the decision module and emulated servers in virtual time, so a script and
// a seed give the same run, event for event.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
	"gapgap/internal/tomlfile"
)

// Bounds of a script, so that a slip of the pen is an error and no run without end.
const (
	MostServers  = 2000
	MostDoors    = 500
	MostAccounts = 200_000
	MostEvents   = 1000
	MostLasts    = 24 * time.Hour
)

// Script is a checked script.
type Script struct {
	Name     string
	Seed     uint64
	Lasts    time.Duration
	Doors    int
	Counter  bool
	Lend     bool // ceilings follow demand
	Told     time.Duration
	Retries  int
	SameKey  bool // a client's retry of a keyed request has the key of the first try
	Classes  []Class
	Plans    []Plan
	Servers  []Servers
	Accounts []Accounts
	Events   []Event

	tamper func(*balancer.Settings)                // of each front door; for tests of what the rig finds, as is
	breaks func(balancer.Action) []balancer.Action // what a front door wants
}

// Class is a class of requests and its part of them.
type Class struct {
	Name  string
	Share float64
	balancer.Class
}

// Plan is a plan by its name.
type Plan struct {
	Name string
	balancer.Plan
}

// Servers is a group of flag servers that are alike.
type Servers struct {
	Group string
	Count int
	simulator.EndpointConfig
}

// Accounts is a group of accounts that are alike.
type Accounts struct {
	Group  string
	Count  int
	Plan   int
	Rate   float64 // requests a second of each
	Spread int     // front doors through which each one's come
}

// Do is a kind of event.
type Do string

// What can happen. Those of servers, accounts and doors name a group, or all, and how many of it.
const (
	Slow         Do = "slow"          // servers: work takes Factor times as long, reached evenly within Ramp
	Silent       Do = "silent"        // servers: no answer, no reset; afterwards they are back cold
	Pause        Do = "pause"         // servers: nothing is done for that long
	Die          Do = "die"           // servers: connections break; afterwards they are back cold
	Drain        Do = "drain"         // servers: told as draining
	Flood        Do = "flood"         // accounts: they ask Factor times as much
	KillDoors    Do = "kill-doors"    // front doors: as SIGKILL; afterwards they are back with no memory
	CounterGone  Do = "counter-gone"  // refuses connections
	CounterMute  Do = "counter-mute"  // adds and does not answer
	CounterLate  Do = "counter-late"  // a call takes Takes
	CounterEmpty Do = "counter-empty" // forgets all numbers, at once
)

var ofServers = []Do{Slow, Silent, Pause, Die, Drain}
var all = append([]Do{Flood, KillDoors, CounterGone, CounterMute, CounterLate, CounterEmpty}, ofServers...)

// Event is one thing that happens.
type Event struct {
	Name   string
	Do     Do
	At     time.Duration // from the start, or from the end of the event After
	After  string
	For    time.Duration // 0: to the end
	Group  string        // of servers or accounts; empty: all
	Count  int           // how many of it ...
	Share  float64       // ... or what part; neither: all
	Factor float64
	Ramp   time.Duration
	Takes  time.Duration
}

type file struct {
	Name  string
	Seed  int64
	Lasts tomlfile.Duration
	Doors struct {
		Count int
		Lend  bool
		Told  tomlfile.Duration
	}
	Counter *struct{}
	Clients struct {
		Retries int
		SameKey bool `toml:"same_key"`
	}
	Class []struct {
		Name, Effect string
		Share, Worth float64
		Aim, Window  tomlfile.Duration
		GiveUp       tomlfile.Duration `toml:"give_up"`
	}
	Plan []struct {
		Name         string
		Rate, Burst  float64
		Factor       float64
		OverWorth    float64 `toml:"over_worth"`
		OverCost     float64 `toml:"over_cost"`
		CeilingRate  float64 `toml:"ceiling_rate"`
		CeilingDepth float64 `toml:"ceiling_depth"`
	}
	Servers []struct {
		Group       string
		Count       int
		Cores       float64
		Slots, Room int
		Work        tomlfile.Duration
		Kind        string
		CV          float64           `toml:"cv"`
		HeldFrom    int               `toml:"held_from"`
		HeldEach    float64           `toml:"held_each"`
		LeastSpeed  float64           `toml:"least_speed"`
		ColdFrom    float64           `toml:"cold_from"`
		WarmWithin  tomlfile.Duration `toml:"warm_within"`
		FallAt      float64           `toml:"fall_at"`
		FallWindow  tomlfile.Duration `toml:"fall_window"`
	}
	Accounts []struct {
		Group, Plan string
		Count       int
		Rate        float64
		Spread      int
	}
	Event []struct {
		Name, Do, After, Group string
		At, For, Ramp, Takes   tomlfile.Duration
		Count                  int
		Share, Factor          float64
	}
}

// Load reads and checks a script. An error is an *[tomlfile.Error] with the line.
func Load(name string) (*Script, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &tomlfile.Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// fault is an error at a key.
type fault struct {
	key string
	err error
}

func (f *fault) Error() string { return f.key + ": " + f.err.Error() }

// Parse is Load of what is read already.
func Parse(name string, data []byte) (*Script, error) {
	var f file
	if err := tomlfile.Decode(name, data, &f); err != nil {
		return nil, err
	}
	s, err := f.script()
	var at *fault
	if errors.As(err, &at) {
		return nil, &tomlfile.Error{File: name, Line: tomlfile.LineOf(tomlfile.Lines(data), at.key), Key: at.key, Err: at.err}
	}
	return s, err
}

var effects = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey, "unsafe": balancer.NonIdempotent}

func (f *file) script() (*Script, error) {
	bad := func(key, format string, args ...any) (*Script, error) {
		return nil, &fault{key, fmt.Errorf(format, args...)}
	}
	s := &Script{Name: f.Name, Seed: uint64(f.Seed), Lasts: time.Duration(f.Lasts), Doors: f.Doors.Count, Counter: f.Counter != nil, Lend: f.Doors.Lend,
		Told: time.Duration(f.Doors.Told), Retries: f.Clients.Retries, SameKey: f.Clients.SameKey}
	switch {
	case s.Lasts <= 0 || s.Lasts > MostLasts:
		return bad("lasts", "%v is not above 0 and up to %v", s.Lasts, MostLasts)
	case s.Doors < 1 || s.Doors > MostDoors:
		return bad("doors.count", "%d is not from 1 to %d", s.Doors, MostDoors)
	case s.Told < 0:
		return bad("doors.told", "is negative")
	case s.Retries < 0 || s.Retries > 10:
		return bad("clients.retries", "%d is not from 0 to 10", s.Retries)
	case len(f.Class) == 0:
		return bad("class", "there is none")
	case len(f.Plan) == 0:
		return bad("plan", "there is none")
	case len(f.Servers) == 0:
		return bad("servers", "there are none")
	case len(f.Accounts) == 0:
		return bad("accounts", "there are none")
	case len(f.Event) > MostEvents:
		return bad("event", "there are over %d", MostEvents)
	}
	parts := 0.0
	for i, c := range f.Class {
		key := func(k string) string { return fmt.Sprintf("class[%d].%s", i, k) }
		effect, ok := effects[c.Effect]
		switch {
		case c.Name == "":
			return bad(key("name"), "is missing")
		case !ok:
			return bad(key("effect"), "%q is not safe, keyed or unsafe", c.Effect)
		case c.Share < 0:
			return bad(key("share"), "is negative")
		case c.GiveUp <= 0:
			return bad(key("give_up"), "is not above 0")
		case c.Aim <= 0 || c.Aim > c.GiveUp:
			return bad(key("aim"), "is not above 0 and up to give_up")
		case effect == balancer.IdempotentByKey && c.Window <= 0:
			return bad(key("window"), "is not above 0, but the class is keyed")
		}
		parts += c.Share
		s.Classes = append(s.Classes, Class{c.Name, c.Share, balancer.Class{PriorityWeight: c.Worth, LatencyObjective: time.Duration(c.Aim), ClientTimeout: time.Duration(c.GiveUp),
			Idempotency: effect, DedupWindow: time.Duration(c.Window)}})
	}
	if !(parts > 0) {
		return bad("class[0].share", "no class has a part of the requests")
	}
	for i, p := range f.Plan {
		if p.Name == "" || slices.ContainsFunc(s.Plans, func(o Plan) bool { return o.Name == p.Name }) {
			return bad(fmt.Sprintf("plan[%d].name", i), "%q is no name, or stands twice", p.Name)
		}
		if p.Rate < 0 || p.Burst < 0 || p.CeilingRate < 0 || p.CeilingDepth < 0 || p.OverWorth < 0 || p.OverCost < 0 {
			return bad(fmt.Sprintf("plan[%d].rate", i), "or another figure is negative")
		}
		if p.Factor == 0 {
			p.Factor = 1
		}
		s.Plans = append(s.Plans, Plan{p.Name, balancer.Plan{Rate: p.Rate, Burst: p.Burst, PriorityFactor: p.Factor, OverQuotaWeight: p.OverWorth, OverQuotaCost: p.OverCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingDepth}})
	}
	sum := 0
	for i, g := range f.Servers {
		key := fmt.Sprintf("servers[%d].", i)
		if g.Group == "" || slices.ContainsFunc(s.Servers, func(o Servers) bool { return o.Group == g.Group }) {
			return bad(key+"group", "%q is no name, or stands twice", g.Group)
		}
		if sum += g.Count; g.Count < 1 || sum > MostServers {
			return bad(key+"count", "%d is under 1, or all are over %d", g.Count, MostServers)
		}
		c := simulator.EndpointConfig{Cores: g.Cores, MaxInService: g.Slots, QueueCapacity: g.Room, SlowdownFrom: g.HeldFrom,
			SlowdownPerRequest: g.HeldEach, MinSpeed: g.LeastSpeed, SlowStartCapacity: g.ColdFrom, SlowStartDuration: time.Duration(g.WarmWithin),
			OverloadMultiple: g.FallAt, OverloadWindow: time.Duration(g.FallWindow)}
		for _, cl := range s.Classes {
			kind := g.Kind
			if kind == "" {
				kind = "exponential"
			}
			c.ServiceTimes = append(c.ServiceTimes, simulator.Distribution{Kind: simulator.DistributionKind(kind), Mean: time.Duration(g.Work), CV: g.CV})
			c.DedupWindows = append(c.DedupWindows, cl.DedupWindow)
		}
		if err := c.Check(); err != nil {
			field, _, _ := strings.Cut(err.Error(), ":")
			field, _, _ = strings.Cut(field, "[")
			return nil, &fault{key + field, err}
		}
		s.Servers = append(s.Servers, Servers{g.Group, g.Count, c})
	}
	sum = 0
	for i, a := range f.Accounts {
		key := fmt.Sprintf("accounts[%d].", i)
		plan := slices.IndexFunc(s.Plans, func(p Plan) bool { return p.Name == a.Plan })
		switch sum += a.Count; {
		case a.Group == "" || slices.ContainsFunc(s.Accounts, func(o Accounts) bool { return o.Group == a.Group }):
			return bad(key+"group", "%q is no name, or stands twice", a.Group)
		case plan < 0:
			return bad(key+"plan", "no plan is named %q", a.Plan)
		case a.Count < 1 || sum > MostAccounts:
			return bad(key+"count", "%d is under 1, or all are over %d", a.Count, MostAccounts)
		case !(a.Rate > 0) || a.Rate > 1e6:
			return bad(key+"rate", "%v is not above 0", a.Rate)
		case a.Spread < 0 || a.Spread > s.Doors:
			return bad(key+"spread", "%d is not from 0 to the front doors' number", a.Spread)
		}
		s.Accounts = append(s.Accounts, Accounts{a.Group, a.Count, plan, a.Rate, a.Spread})
	}
	for i, e := range f.Event {
		key := func(k string) string { return fmt.Sprintf("event[%d].%s", i, k) }
		do := Do(e.Do)
		ev := Event{Name: e.Name, Do: do, At: time.Duration(e.At), After: e.After, For: time.Duration(e.For), Group: e.Group, Count: e.Count, Share: e.Share,
			Factor: e.Factor, Ramp: time.Duration(e.Ramp), Takes: time.Duration(e.Takes)}
		groups := func() bool {
			return slices.ContainsFunc(s.Servers, func(g Servers) bool { return g.Group == e.Group })
		}
		if do == Flood {
			groups = func() bool {
				return slices.ContainsFunc(s.Accounts, func(g Accounts) bool { return g.Group == e.Group })
			}
		}
		switch {
		case e.Name == "" || slices.ContainsFunc(s.Events, func(o Event) bool { return o.Name == e.Name }):
			return bad(key("name"), "%q is no name, or stands twice", e.Name)
		case !slices.Contains(all, do):
			return bad(key("do"), "%q is none of %v", e.Do, all)
		case e.At < 0 || e.For < 0 || e.Ramp < 0 || e.Takes < 0:
			return bad(key("at"), "or for, ramp or takes is negative")
		case e.After != "" && !slices.ContainsFunc(s.Events, func(o Event) bool { return o.Name == e.After && o.For > 0 }):
			return bad(key("after"), "no event before this one is named %q and ends", e.After)
		case e.Group != "" && (do != Flood && !slices.Contains(ofServers, do) || !groups()):
			return bad(key("group"), "there is no group %q for this", e.Group)
		case e.Count < 0 || e.Share < 0 || e.Share > 1 || e.Count > 0 && e.Share > 0:
			return bad(key("count"), "or share is negative, the share is over 1, or both are given")
		case (do == Slow || do == Flood) && !(e.Factor > 0):
			return bad(key("factor"), "is not above 0")
		case do == Pause && e.For == 0:
			return bad(key("for"), "a pause must end")
		case do == CounterLate && e.Takes == 0:
			return bad(key("takes"), "is missing")
		case strings.HasPrefix(e.Do, "counter") && !s.Counter:
			return bad(key("do"), "there is no counter")
		}
		s.Events = append(s.Events, ev)
	}
	return s, nil
}

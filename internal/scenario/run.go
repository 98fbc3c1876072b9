package scenario

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

// Report is what became of a run.
type Report struct {
	Script  string        `json:"script"`
	Seed    uint64        `json:"seed"`
	Driver  string        `json:"driver"`
	Service float64       `json:"service"` // worth answered within the aim over the worth asked for
	Totals  Second        `json:"totals"`
	Seconds []Second      `json:"seconds"`
	Parts   []Part        `json:"parts"`  // by class, plan, and group of accounts
	Trace   []string      `json:"trace"`  // what the script did, in order
	Digest  string        `json:"digest"` // of the trace
	Broken  []string      `json:"broken"` // rules, each with its story; none: all were kept
	Events  int           `json:"events"` // of the run itself
	Calls   int           `json:"calls"`  // to the counter
	Took    time.Duration `json:"-"`
}

// Second counts what was asked in one second, clients' retries with their first tries.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"` // within the aim
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"` // no answer, as the front door died
	Worth   float64 `json:"worth"`
	Got     float64 `json:"got"`
	Queue   int     `json:"queue"` // requests held by all flag servers at its end
}

// Part is a part of the requests.
type Part struct {
	Kind   string `json:"kind"` // class, plan or accounts
	Name   string `json:"name"`
	Totals Second `json:"totals"`
}

// Service is the worth answered within the aim over the worth asked for; 1 where nothing was asked.
func (s *Second) Service() float64 {
	if s.Worth == 0 {
		return 1
	}
	return s.Got / s.Worth
}

// add adds another one up.
func (s *Second) add(o *Second) {
	s.Asked += o.Asked
	s.Served += o.Served
	s.Late += o.Late
	s.Refused += o.Refused
	s.Failed += o.Failed
	s.Lost += o.Lost
	s.Worth += o.Worth
	s.Got += o.Got
}

// run is a script being played in virtual time.
type run struct {
	s        *Script
	w        *simulator.World
	r        *Report
	servers  []*server
	accounts []*account
	open     map[*try]bool
	ends     map[string]time.Duration // of events, when they ended
	waits    map[string][]Event       // by the event that they come after

	classes, plans, groups []Part
}

type server struct {
	*simulator.Endpoint
	group string
	told  []time.Duration // by door: when it was told that this one drains; 0: it was not
}

type account struct {
	name, group  string
	part         int // of the groups
	a            *Accounts
	first        int // of its front doors
	factor       float64
	n            int
	level        float64 // of its ceiling's store
	at           time.Duration
	low          float64
	ceilingKnown bool
}

// try is one request of a client with its retries.
type try struct {
	second   int
	class    int
	a        *account
	name     string
	asked    time.Duration // the first try
	attempts int           // tries so far
	answered int           // final answers of the present try
	until    time.Duration
	where    *simulator.Request
}

// Play plays a script in virtual time.
func Play(s *Script) (*Report, error) {
	x := &run{s: s, w: simulator.New(s.Seed, 0), r: &Report{Script: s.Name, Seed: s.Seed, Driver: "virtual", Seconds: make([]Second, int(math.Ceil(s.Lasts.Seconds())))},
		open: map[*try]bool{}, ends: map[string]time.Duration{}, waits: map[string][]Event{}}
	began := time.Now()
	x.w.Endpoints = map[string]*simulator.Endpoint{}
	for _, g := range s.Servers {
		for i := range g.Count {
			b, err := simulator.NewEndpoint(fmt.Sprintf("%s-%d", g.Group, i), g.EndpointConfig, x.w, x.w.Rand)
			if err != nil {
				return nil, err
			}
			x.w.Endpoints[b.Name] = b
			if len(x.servers) > 0 {
				b.ShareDedupWith(x.servers[0].Endpoint)
			}
			x.servers = append(x.servers, &server{Endpoint: b, group: g.Group, told: make([]time.Duration, s.Doors)})
		}
	}
	for range s.Doors {
		set := s.settings()
		if s.tamper != nil {
			s.tamper(&set)
		}
		d := x.w.AddDoor(set)
		d.Intercept = s.breaks
		d.Sent, d.Done, d.Attempted = x.sent, x.done, x.attempted
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	for _, c := range s.Classes {
		x.classes = append(x.classes, Part{Kind: "class", Name: c.Name})
	}
	for _, p := range s.Plans {
		x.plans = append(x.plans, Part{Kind: "plan", Name: p.Name})
	}
	for i := range s.Accounts {
		g := &s.Accounts[i]
		x.groups = append(x.groups, Part{Kind: "accounts", Name: g.Group})
		for n := range g.Count {
			a := &account{name: fmt.Sprintf("%s-%d", g.Group, n), group: g.Group, part: i, a: g, factor: 1}
			rng := x.w.Rand("account", a.name)
			a.first = rng.IntN(s.Doors)
			x.accounts = append(x.accounts, a)
			x.w.After(time.Duration(rng.ExpFloat64()/g.Rate*float64(time.Second)), func() { x.ask(a) })
		}
	}
	for _, e := range s.Events {
		if e.After != "" {
			x.waits[e.After] = append(x.waits[e.After], e)
			continue
		}
		x.w.At(simulator.Start+e.At, func() { x.begin(e) })
	}
	for i := range x.r.Seconds {
		x.w.At(simulator.Start+time.Duration(i+1)*time.Second, func() {
			for _, b := range x.servers {
				x.r.Seconds[i].Queue += b.Held()
			}
		})
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	x.w.Run(simulator.Start + s.Lasts + time.Duration(s.Retries+1)*longest + time.Second)
	x.close()
	x.r.Took = time.Since(began)
	return x.r, nil
}

// settings are those of each front door.
func (s *Script) settings() balancer.Settings {
	set := balancer.Settings{Gateways: s.Doors, Resolution: 2 * time.Millisecond, MaxAttempts: 3, AllowCancel: true, AllowHealthChecks: true, SendRetryAfter: true,
		MaxRetryAfter: 5 * time.Second, DrainGrace: 250 * time.Millisecond, OverloadMultiple: 3, OverloadWindow: 3 * time.Second, SlowStartCapacity: 0.26,
		SlowStartDuration: 15 * time.Second, UseCounter: s.Counter, CounterTimeout: 50 * time.Millisecond, MaxRequestUnits: 1, LeaseCeilings: s.Lend}
	if c := s.Servers[0].EndpointConfig; c.SlowStartCapacity > 0 && c.OverloadMultiple > 0 { // what the operators say of their servers
		set.SlowStartCapacity, set.SlowStartDuration, set.OverloadMultiple, set.OverloadWindow = c.SlowStartCapacity, c.SlowStartDuration, c.OverloadMultiple, c.OverloadWindow
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, p := range s.Plans {
		set.Plans = append(set.Plans, p.Plan)
	}
	return set
}

// now is the time since the start.
func (x *run) now() time.Duration { return x.w.Now - simulator.Start }

func (x *run) note(format string, args ...any) {
	x.r.Trace = append(x.r.Trace, fmt.Sprintf("%9.3f ", x.now().Seconds())+fmt.Sprintf(format, args...))
}

func (x *run) broke(rule, format string, args ...any) {
	const most = 20 // stories of each run
	if len(x.r.Broken) < most {
		x.r.Broken = append(x.r.Broken, fmt.Sprintf("%9.3f %s: ", x.now().Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// ask brings an account's next request, and sets the time of the one after. All that is drawn hangs on account and number.
func (x *run) ask(a *account) {
	if x.now() >= x.s.Lasts {
		return
	}
	a.n++
	rng := x.w.Rand("request", a.name, a.n)
	pick, class := rng.Float64(), 0
	sum := 0.0
	for _, c := range x.s.Classes {
		sum += c.Share
	}
	for pick *= sum; class < len(x.s.Classes)-1 && pick >= x.s.Classes[class].Share; class++ {
		pick -= x.s.Classes[class].Share
	}
	t := &try{second: int(x.now() / time.Second), class: class, a: a, name: fmt.Sprintf("%s/%d", a.name, a.n), asked: x.w.Now}
	x.count(t, Second{Asked: 1, Worth: x.worth(t)})
	x.try(t)
	x.w.After(time.Duration(rng.ExpFloat64()/(a.a.Rate*a.factor)*float64(time.Second)), func() { x.ask(a) })
}

// count adds to a request's second and to its parts.
func (x *run) count(t *try, n Second) {
	x.r.Seconds[t.second].add(&n)
	x.classes[t.class].Totals.add(&n)
	x.plans[t.a.a.Plan].Totals.add(&n)
	x.groups[t.a.part].Totals.add(&n)
}

func (x *run) worth(t *try) float64 {
	return x.s.Classes[t.class].PriorityWeight * x.s.Plans[t.a.a.Plan].PriorityFactor
}

// try brings a request to one of its account's front doors; a dead one does not answer.
func (x *run) try(t *try) {
	t.attempts++
	t.answered = 0
	spread := cmp.Or(t.a.a.Spread, x.s.Doors)
	rng := x.w.Rand("try", t.name, t.attempts)
	door := x.w.Doors[(t.a.first+rng.IntN(spread))%x.s.Doors]
	c := &x.s.Classes[t.class]
	t.until = x.w.Now + c.ClientTimeout
	q := &simulator.Request{Customer: t.a.name, Name: t.name, Class: t.class, Plan: t.a.a.Plan, Units: 1, Left: c.ClientTimeout, Gateways: t.a.a.Spread, ClientRetry: t.attempts > 1}
	if c.Idempotency == balancer.IdempotentByKey {
		if q.Key = t.name; !x.s.SameKey {
			q.Key += fmt.Sprint("#", t.attempts)
		}
	}
	q.Owner = t
	t.where = q
	x.open[t] = true
	if !door.Ask(q) {
		x.w.After(100*time.Millisecond, func() { x.again(t, 0, simulator.Failed) })
		return
	}
	x.w.At(t.until+time.Millisecond, func() {
		if x.open[t] && t.where == q && t.answered == 0 {
			if x.w.Doors[q.Gateway].IsAlive && q.Incarnation == x.w.Doors[q.Gateway].Incarnation() {
				x.broke("no request lost", "%s of %s has no answer from front door %d, asked at %.3f", t.name, c.Name, q.Gateway, (q.At - simulator.Start).Seconds())
			}
			x.count(t, Second{Lost: 1})
			delete(x.open, t)
		}
	})
}

// done takes a final answer.
func (x *run) done(q *simulator.Request, a simulator.Outcome) {
	t := q.Owner.(*try)
	if t.where != q {
		return
	}
	if t.answered++; t.answered > 1 {
		x.broke("one final answer", "%s was answered %d times", t.name, t.answered)
		return
	}
	if x.w.Now > t.until {
		x.broke("no request lost", "%s was answered %v after its time", t.name, x.w.Now-t.until)
	}
	if a != simulator.Served {
		x.again(t, q.RetryAfter, a)
		return
	}
	if c := &x.s.Classes[t.class]; x.w.Now-q.At <= c.LatencyObjective {
		x.count(t, Second{Served: 1, Got: x.worth(t)})
	} else {
		x.count(t, Second{Late: 1})
	}
	delete(x.open, t)
}

// again lets a client retry, or ends its request.
func (x *run) again(t *try, pause time.Duration, a simulator.Outcome) {
	if !x.open[t] {
		return
	}
	if t.attempts <= x.s.Retries && x.now() < x.s.Lasts {
		x.w.After(max(pause, 50*time.Millisecond), func() {
			if x.open[t] {
				x.try(t)
			}
		})
		return
	}
	if a == simulator.Rejected {
		x.count(t, Second{Refused: 1})
	} else {
		x.count(t, Second{Failed: 1})
	}
	delete(x.open, t)
}

// sent counts a request's first attempt against its ceiling.
func (x *run) sent(q *simulator.Request) {
	t := q.Owner.(*try)
	p := &x.s.Plans[t.a.a.Plan]
	if p.CeilingRate == 0 {
		return
	}
	a := t.a
	if !a.ceilingKnown {
		a.ceilingKnown, a.level, a.at = true, p.CeilingBurst, x.w.Now
	}
	a.level = min(p.CeilingBurst, a.level+p.CeilingRate*(x.w.Now-a.at).Seconds()) - q.Units
	a.at = x.w.Now
	if slack := max(q.Units, 0.1*p.CeilingBurst); a.level < -slack && a.level < a.low {
		x.broke("ceilings are kept", "%s is %.1f under its store with %s at front door %d; the slack is %.1f", a.name, -a.level, t.name, q.Gateway, slack)
		a.low = a.level
	}
}

// attempted looks at each attempt as it goes out.
func (x *run) attempted(q *simulator.Request, backend string) {
	t := q.Owner.(*try)
	if t.where == q && t.answered > 0 {
		x.broke("one final answer", "%s goes out to %s after its answer", t.name, backend)
	}
	i := slices.IndexFunc(x.servers, func(s *server) bool { return s.Name == backend })
	const grace = 250 * time.Millisecond
	if at := x.servers[i].told[q.Gateway]; at > 0 && x.w.Now > at+grace {
		x.broke("drains are kept", "%s goes to %s %v after front door %d was told that it drains", t.name, backend, x.w.Now-at, q.Gateway)
	}
}

// close ends the books.
func (x *run) close() {
	for t := range x.open {
		x.count(t, Second{Lost: 1})
	}
	for _, s := range x.servers {
		if s.Stats.Overloaded {
			x.broke("no cold server pushed over", "%s fell over", s.Name)
		}
		if s.Stats.DuplicateEffects > 0 {
			x.broke("no effect twice", "%s did %d effects twice", s.Name, s.Stats.DuplicateEffects)
		}
	}
	for i := range x.r.Seconds {
		x.r.Totals.add(&x.r.Seconds[i])
	}
	x.r.Parts = append(append(x.classes, x.plans...), x.groups...)
	if x.r.Totals.Worth > 0 {
		x.r.Service = x.r.Totals.Got / x.r.Totals.Worth
	}
	h := sha256.New()
	for _, l := range x.r.Trace {
		fmt.Fprintln(h, l)
	}
	x.r.Digest = hex.EncodeToString(h.Sum(nil)[:8])
	x.r.Events, x.r.Calls = x.w.Events, x.w.Counter.Calls
}

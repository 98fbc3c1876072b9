package balancer

import (
	"slices"
	"testing"
	"time"
)

// fleetOf plays a door's servers: all answer within 50 ms but the silent one, on which attempts end by their time.
type fleetOf struct {
	d      *Balancer
	silent string
	now    time.Duration
	id     uint64
	out    []sentAt
}

type sentAt struct {
	Dispatch
	until time.Duration
}

// bearer is a backend that does what it can, in the order in which it comes, whichever door it comes from.
type bearer struct {
	can  func(now time.Duration) float64 // mean requests a second
	at   time.Duration
	done float64
	line []borne
}

type borne struct {
	d    *Balancer
	s    Dispatch
	size float64
	at   time.Duration
}

func (b *bearer) take(now time.Duration, d *Balancer, s Dispatch, size float64) {
	b.line = append(b.line, borne{d, s, size, now})
}

// step answers what is done by now, and returns what the doors want then.
func (b *bearer) step(now time.Duration) (acts map[*Balancer][]Action) {
	acts = map[*Balancer][]Action{}
	b.done += b.can(now) * (now - b.at).Seconds()
	for b.at = now; len(b.line) > 0 && b.done >= b.line[0].size; b.line = b.line[1:] {
		r := b.line[0]
		b.done -= r.size
		acts[r.d] = append(acts[r.d], r.d.Step(now, []Event{served(r.s, 0, now-r.at)})...)
	}
	if len(b.line) == 0 {
		b.done = min(b.done, 1)
	}
	return acts
}

// warming is what a backend can do that has started at a time, and carries so much a second when it is warm.
func warming(set Settings, start time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return rate * (set.SlowStartCapacity + (1-set.SlowStartCapacity)*min(1, (now-start).Seconds()/set.SlowStartDuration.Seconds()))
	}
}

// step goes on by 10 ms with so many new requests, and returns what the door says of its servers.
func (f *fleetOf) step(asks int, more ...Event) []HealthReport {
	f.now += 10 * ms
	evs := append(more, TimerFired{0})
	var left []sentAt
	for _, s := range f.out {
		if f.now < s.until {
			left = append(left, s)
			continue
		}
		o := served(s.Dispatch, 0, 50*ms)
		if s.Endpoint == f.silent {
			o.Status, o.Latency, o.RequestClosed = Timeout, s.Timeout, true
		}
		evs = append(evs, o)
	}
	f.out = left
	for range asks {
		f.id++
		evs = append(evs, ask(f.id, 0, 2))
	}
	acts := f.d.Step(f.now, evs)
	f.sent(acts)
	return only[HealthReport](acts)
}

// sent notes what the door sends.
func (f *fleetOf) sent(acts []Action) {
	for _, s := range only[Dispatch](acts) {
		until := f.now + 50*ms
		if s.Endpoint == f.silent {
			until = f.now + s.Timeout
		}
		f.out = append(f.out, sentAt{s, until})
	}
}

// lend leaves what was just sent to b0 to a bearer.
func (f *fleetOf) lend(b *bearer, sent *[]time.Duration) {
	f.out = slices.DeleteFunc(f.out, func(s sentAt) bool {
		if s.Endpoint != "b0" || s.until != f.now+50*ms {
			return false
		}
		b.take(f.now, f.d, s.Dispatch, 1)
		*sent = append(*sent, f.now)
		return true
	})
}

// leaves goes on until the door leaves the silent server out, and says how long that took from its first attempt there.
func (f *fleetOf) leaves(t *testing.T, asks int) (HealthReport, time.Duration) {
	t.Helper()
	first := time.Duration(0)
	for range 2000 {
		found := f.step(asks)
		if first == 0 && len(f.d.endpoints[f.silent].inFlight) > 0 {
			first = f.now
		}
		if len(found) > 0 {
			return found[0], f.now - first
		}
	}
	t.Fatal("a server that says nothing is never left out")
	return HealthReport{}, 0
}

func lone() Settings {
	set := basic()
	set.Gateways, set.UseCounter, set.AllowHealthChecks = 1, false, true
	return set
}

// What another door says of a server's silence counts as answers owed: one attempt that goes the same way leaves it out,
// where it takes more without; but a door that has heard from the server since goes by that.
func TestEvidenceOfSilence(t *testing.T) {
	play := func() *fleetOf {
		f := &fleetOf{d: open(t, lone(), backends(3)...)}
		for range 200 { // all answer at first
			f.step(1)
		}
		f.silent = "b0"
		return f
	}
	f := play()
	if got, _ := f.leaves(t, 3); got.Health != Unresponsive || got.Endpoint != "b0" || got.Since > f.now-minSilence {
		t.Fatalf("%+v at %v", got, f.now)
	}
	// A door that asks little, with and without the word of another.
	alone := play()
	_, without := alone.leaves(t, 1)
	told := play()
	for range 20 { // it has been quiet here since before the other's word
		told.step(0)
	}
	told.step(0, HealthReport{"b0", Unresponsive, told.now})
	_, with := told.leaves(t, 1)
	if with > minSilence+100*ms || with >= without {
		t.Errorf("left out after %v with the other's word, %v without", with, without)
	}
	// One that has heard from the server after that goes by its own experience.
	heard := play()
	heard.silent = ""
	since := heard.now
	for range 50 {
		heard.step(1)
	}
	heard.step(0, HealthReport{"b0", Unresponsive, since})
	if s := heard.d.endpoints["b0"]; s.timeouts > 0 || s.ejected {
		t.Errorf("another's word outweighs an own sign of life: %+v", s)
	}
}

// A server that another door found broken is left out with the first connection that breaks here, not the third.
func TestEvidenceOfBrokenConnections(t *testing.T) {
	breaks := func(told bool) (n int) {
		d := open(t, lone(), backends(2)...)
		if told {
			d.Step(ms, []Event{HealthReport{"b0", ConnectionsBroken, 0}})
		}
		for i := range 200 {
			now := time.Duration(i+1) * 10 * ms
			for _, s := range only[Dispatch](d.Step(now, []Event{ask(uint64(i), 0, 2)})) {
				if s.Endpoint != "b0" {
					d.Step(now+ms, []Event{served(s, 0, ms)})
					continue
				}
				n++
				acts := d.Step(now+ms, []Event{AttemptResult{ID: s.ID, Endpoint: "b0", Status: ConnectFailed}})
				if f := only[HealthReport](acts); len(f) > 0 {
					if f[0].Health != ConnectionsBroken || f[0].Endpoint != "b0" {
						t.Errorf("%+v", f)
					}
					return n
				}
			}
		}
		return n
	}
	if alone, told := breaks(false), breaks(true); alone != maxConnectionFailures || told != 1 {
		t.Errorf("left out after %d broken connections, and %d with the other's word", alone, told)
	}
}

// A server that comes back cold at one door is cold at the others, also where nobody missed it, and one that they have left
// out is asked at once. One that has answered here all along is not.
func TestEvidenceOfAColdReturn(t *testing.T) {
	const back = 20 * time.Second
	cold := func(busy bool) *endpoint {
		d := open(t, lone(), backends(1)...)
		for now := 10 * ms; busy && now < back; now += 100 * ms {
			for _, s := range only[Dispatch](d.Step(now, []Event{ask(uint64(now), 0, 2)})) {
				d.Step(now+ms, []Event{served(s, 0, ms)})
			}
		}
		d.Step(back, []Event{HealthReport{"b0", WarmingUp, back - ms}, HealthReport{"other", WarmingUp, back}})
		return d.endpoints["b0"]
	}
	if s := cold(false); !s.warmingUp || s.warmUpFrom != back-ms {
		t.Errorf("a server that was started anew is not cold: %+v", s)
	}
	if s := cold(true); s.warmingUp {
		t.Error("a server that answered all along is taken for cold")
	}
	d := open(t, lone(), backends(2)...)
	s, p := d.endpoints["b0"], &fleetOf{d: d, silent: "b0"}
	f, _ := p.leaves(t, 3)
	now := p.now
	if !s.ejected || len(only[HealthCheck](d.Step(now+20*ms, []Event{TimerFired{0}}))) > 0 {
		t.Fatalf("%+v", f)
	}
	if p := only[HealthCheck](d.Step(now+40*ms, []Event{HealthReport{"b0", WarmingUp, now}, TimerFired{0}})); len(p) != 1 {
		t.Error("it is not asked at once")
	}
	acts := d.Step(now+5*time.Second, []Event{HealthCheckResult{"b0", OK}})
	if c := only[HealthReport](acts); len(c) != 1 || c[0].Health != WarmingUp {
		t.Errorf("a cold return is not told: %v", acts)
	}
}

// Two pools that share a server send it, while it is cold and both are flooded, no more together than it bears in any window.
func TestPoolsColdServerBearsOneBudget(t *testing.T) {
	set := lone()
	set.OverloadWindow = 2 * time.Second
	pools := []*fleetOf{{d: open(t, set, backends(4)...)}, {d: open(t, set, backends(4)...)}}
	warm := 0
	for range 3000 { // 30 s: what a warm server carries
		for _, p := range pools {
			p.step(2)
			warm += 2
		}
	}
	capacity := float64(warm) / 30 / 4 // answers a second of one server, of both pools
	start := pools[0].now
	cold := Endpoint{Name: "b0", Weight: 1, StartedAt: start, SlowStartShare: 0.5}
	b := &bearer{can: warming(set, start, capacity), at: start}
	var sent []time.Duration
	for i := range 1700 { // longer than it takes to be warm
		for _, p := range pools {
			var more []Event
			switch i {
			case 0:
				more = []Event{EndpointUpdate{Entries: []Endpoint{cold}}}
			case 100: // the worst case: it is all that is left
				gone := backends(4)[1:]
				for j := range gone {
					gone[j].State = Draining
				}
				more = []Event{EndpointUpdate{Entries: gone}}
			}
			p.step(6, more...)
			p.lend(b, &sent)
		}
		for d, acts := range b.step(pools[0].now) {
			for _, p := range pools {
				if p.d == d {
					p.sent(acts)
					p.lend(b, &sent)
				}
			}
		}
	}
	if len(sent) < 100 {
		t.Fatalf("only %d were sent to the cold server", len(sent))
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at-from < set.OverloadWindow {
				n++
			}
		}
		age := (from - start).Seconds()
		if age > set.SlowStartDuration.Seconds()-set.OverloadWindow.Seconds() {
			break
		}
		has := set.SlowStartCapacity + (1-set.SlowStartCapacity)*age/set.SlowStartDuration.Seconds()
		if most := set.OverloadMultiple * has * capacity * set.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within %v at the age of %.1f s; it bears %.0f", n, set.OverloadWindow, age, most)
		}
	}
}

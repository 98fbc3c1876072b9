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

func (backend *bearer) take(now time.Duration, b *Balancer, s Dispatch, size float64) {
	backend.line = append(backend.line, borne{b, s, size, now})
}

// step answers what is done by now, and returns what the doors want then.
func (backend *bearer) step(now time.Duration) (acts map[*Balancer][]Action) {
	acts = map[*Balancer][]Action{}
	backend.done += backend.can(now) * (now - backend.at).Seconds()
	for backend.at = now; len(backend.line) > 0 && backend.done >= backend.line[0].size; backend.line = backend.line[1:] {
		r := backend.line[0]
		backend.done -= r.size
		acts[r.d] = append(acts[r.d], r.d.Step(now, []Event{served(r.s, 0, now-r.at)})...)
	}
	if len(backend.line) == 0 {
		backend.done = min(backend.done, 1)
	}
	return acts
}

// warming is what a backend can do that has started at a time, and carries so much a second when it is warm.
func warming(settings Settings, start time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*min(1, (now-start).Seconds()/settings.SlowStartDuration.Seconds()))
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
func (f *fleetOf) lend(backend *bearer, sent *[]time.Duration) {
	f.out = slices.DeleteFunc(f.out, func(s sentAt) bool {
		if s.Endpoint != "b0" || s.until != f.now+50*ms {
			return false
		}
		backend.take(f.now, f.d, s.Dispatch, 1)
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
		if first == 0 && len(f.d.endpoints.byName[f.silent].inFlight) > 0 {
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
	settings := basic()
	settings.Gateways, settings.UseCounter, settings.AllowHealthChecks = 1, false, true
	return settings
}

// What another door says of a server's silence counts as answers owed: one attempt that goes the same way leaves it
// out,
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
	if ep := heard.d.endpoints.byName["b0"]; ep.outlier.timeouts > 0 || ep.outlier.ejected {
		t.Errorf("another's word outweighs an own sign of life: %+v", ep)
	}
}

// A server that another door found broken is left out with the first connection that breaks here, not the third.
func TestEvidenceOfBrokenConnections(t *testing.T) {
	breaks := func(told bool) (n int) {
		b := open(t, lone(), backends(2)...)
		if told {
			b.Step(ms, []Event{HealthReport{"b0", ConnectionsBroken, 0}})
		}
		for i := range 200 {
			now := time.Duration(i+1) * 10 * ms
			for _, s := range only[Dispatch](b.Step(now, []Event{ask(uint64(i), 0, 2)})) {
				if s.Endpoint != "b0" {
					b.Step(now+ms, []Event{served(s, 0, ms)})
					continue
				}
				n++
				acts := b.Step(now+ms, []Event{AttemptResult{ID: s.ID, Endpoint: "b0", Status: ConnectFailed}})
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

// A server that comes back cold at one door is cold at the others, also where nobody missed it, and one that they have
// left
// out is asked at once. One that has answered here all along is not.
func TestEvidenceOfAColdReturn(t *testing.T) {
	const back = 20 * time.Second
	cold := func(busy bool) *endpoint {
		b := open(t, lone(), backends(1)...)
		for now := 10 * ms; busy && now < back; now += 100 * ms {
			for _, s := range only[Dispatch](b.Step(now, []Event{ask(uint64(now), 0, 2)})) {
				b.Step(now+ms, []Event{served(s, 0, ms)})
			}
		}
		b.Step(back, []Event{HealthReport{"b0", WarmingUp, back - ms}, HealthReport{"other", WarmingUp, back}})
		return b.endpoints.byName["b0"]
	}
	if ep := cold(false); !ep.slowStart.active || ep.slowStart.since != back-ms {
		t.Errorf("a server that was started anew is not cold: %+v", ep)
	}
	if ep := cold(true); ep.slowStart.active {
		t.Error("a server that answered all along is taken for cold")
	}
	b := open(t, lone(), backends(2)...)
	ep, p := b.endpoints.byName["b0"], &fleetOf{d: b, silent: "b0"}
	f, _ := p.leaves(t, 3)
	now := p.now
	if !ep.outlier.ejected || len(only[HealthCheck](b.Step(now+20*ms, []Event{TimerFired{0}}))) > 0 {
		t.Fatalf("%+v", f)
	}
	if p := only[HealthCheck](
		b.Step(now+40*ms, []Event{HealthReport{"b0", WarmingUp, now}, TimerFired{0}}),
	); len(
		p,
	) != 1 {
		t.Error("it is not asked at once")
	}
	acts := b.Step(now+5*time.Second, []Event{HealthCheckResult{"b0", OK}})
	if c := only[HealthReport](acts); len(c) != 1 || c[0].Health != WarmingUp {
		t.Errorf("a cold return is not told: %v", acts)
	}
}

// Two pools that share a server send it, while it is cold and both are flooded, no more together than it bears in any
// window.
func TestPoolsColdServerBearsOneBudget(t *testing.T) {
	settings := lone()
	settings.OverloadWindow = 2 * time.Second
	pools := []*fleetOf{{d: open(t, settings, backends(4)...)}, {d: open(t, settings, backends(4)...)}}
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
	backend := &bearer{can: warming(settings, start, capacity), at: start}
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
			p.lend(backend, &sent)
		}
		for b, acts := range backend.step(pools[0].now) {
			for _, p := range pools {
				if p.d == b {
					p.sent(acts)
					p.lend(backend, &sent)
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
			if at-from < settings.OverloadWindow {
				n++
			}
		}
		age := (from - start).Seconds()
		if age > settings.SlowStartDuration.Seconds()-settings.OverloadWindow.Seconds() {
			break
		}
		has := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*age/settings.SlowStartDuration.Seconds()
		if most := settings.OverloadMultiple * has * capacity * settings.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within %v at the age of %.1f s; it bears %.0f", n, settings.OverloadWindow, age, most)
		}
	}
}

package balancer

import (
	"testing"
	"time"
)

func TestSilentEndpointIsEjected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	now, id := ms, uint64(0)
	var open, lost []Dispatch
	var openAt, lostAt []time.Duration
	late, left := 0, false
	for range 400 {
		now += 5 * ms
		id++
		evs := []Event{testRequest(id, 0, 2), TimerFired{0}}
		for len(open) > 0 && now >= openAt[0]+40*ms {
			evs = append(evs, succeeded(open[0], 0, 40*ms))
			open, openAt = open[1:], openAt[1:]
		}
		for len(lost) > 0 && now >= lostAt[0]+lost[0].Timeout {
			evs = append(evs, AttemptResult{ID: lost[0].ID, Endpoint: "b0", Status: Timeout, Latency: lost[0].Timeout})
			lost, lostAt = lost[1:], lostAt[1:]
		}
		acts := b.Step(now, evs)
		for _, l := range actionsOf[LogLine](acts) {
			left = left || l.Text == "no longer used: b0"
		}
		for _, s := range actionsOf[Dispatch](acts) {
			if s.Endpoint != "b0" {
				open, openAt = append(open, s), append(openAt, now)
			} else {
				lost, lostAt = append(lost, s), append(lostAt, now)
				if left {
					late++
				}
			}
		}
	}
	if !left || late > 2 {
		t.Errorf("left: %v; %d requests sent to a silent backend after that, want the trials only", left, late)
	}
}

// A broken connection now and then, from any server alike, must not leave servers out: each time their queues and
// attempts would be moved. Several in a row must, and an answer between them counts.
func TestBrokenConnectionsEjectEndpoint(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts, settings.UseCounter = 1, false
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	ep := b.endpoints.byName["b0"]
	for i, status := range []Status{Reset, Reset, OK, ConnectFailed, Reset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		sends := actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i+1), 0, 2)}))
		if len(sends) != 1 || ep.outlier.ejected {
			t.Fatalf("before outcome %d: sent %v, left out %v", i, sends, ep.outlier.ejected)
		}
		b.Step(
			now+10*ms,
			[]Event{
				AttemptResult{
					ID:            sends[0].ID,
					Endpoint:      "b0",
					Status:        status,
					Latency:       10 * ms,
					RequestClosed: status == OK,
				},
			},
		)
	}
	if !ep.outlier.ejected {
		t.Error("three in a row, and it is still used")
	}
}

// A door that stood still finds time-outs of its own making; no backend is left for it.
func TestOwnStallEjectsNoEndpoint(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	var sends []Dispatch
	now := ms
	for i := range 40 {
		now += 20 * ms
		sends = append(sends, actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2), TimerFired{0}}))...)
		if len(sends) > 14 {
			b.Step(now, []Event{succeeded(sends[0], 0, 40*ms)})
			sends = sends[1:]
		}
	}
	now += 2 * time.Second
	evs := []Event{succeeded(sends[0], 0, 40*ms), TimerFired{0}}
	for _, s := range sends[1:] {
		evs = append(evs, succeeded(s, 0, 40*ms))
	}
	if logs := actionsOf[LogLine](b.Step(now, evs)); len(logs) != 0 {
		t.Errorf("after a stall of this door: %v", logs)
	}
}

// What another door says of a server's silence counts as answers owed: one attempt that goes the same way leaves it
// out,
// where it takes more without; but a door that has heard from the server since goes by that.
func TestReportedSilence(t *testing.T) {
	play := func() *endpointFleet {
		f := &endpointFleet{balancer: newTestBalancer(t, singleGatewaySettings(), testEndpoints(3)...)}
		for range 200 { // all answer at first
			f.step(1)
		}
		f.silent = "b0"
		return f
	}
	f := play()
	if got, _ := f.stepUntilEjected(t, 3); got.Health != Unresponsive || got.Endpoint != "b0" || got.Since > f.now-minSilence {
		t.Fatalf("%+v at %v", got, f.now)
	}
	// A door that asks little, with and without the word of another.
	alone := play()
	_, without := alone.stepUntilEjected(t, 1)
	told := play()
	for range 20 { // it has been quiet here since before the other's word
		told.step(0)
	}
	told.step(0, HealthReport{"b0", Unresponsive, told.now})
	_, with := told.stepUntilEjected(t, 1)
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
	if ep := heard.balancer.endpoints.byName["b0"]; ep.outlier.timeouts > 0 || ep.outlier.ejected {
		t.Errorf("another's word outweighs an own sign of life: %+v", ep)
	}
}

// A server that another door found broken is left out with the first connection that breaks here, not the third.
func TestReportedBrokenConnections(t *testing.T) {
	breaks := func(told bool) (n int) {
		b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
		if told {
			b.Step(ms, []Event{HealthReport{"b0", ConnectionsBroken, 0}})
		}
		for i := range 200 {
			now := time.Duration(i+1) * 10 * ms
			for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
				if s.Endpoint != "b0" {
					b.Step(now+ms, []Event{succeeded(s, 0, ms)})
					continue
				}
				n++
				acts := b.Step(now+ms, []Event{AttemptResult{ID: s.ID, Endpoint: "b0", Status: ConnectFailed}})
				if f := actionsOf[HealthReport](acts); len(f) > 0 {
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
func TestReportedWarmUp(t *testing.T) {
	const back = 20 * time.Second
	cold := func(busy bool) *endpoint {
		b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
		for now := 10 * ms; busy && now < back; now += 100 * ms {
			for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(now), 0, 2)})) {
				b.Step(now+ms, []Event{succeeded(s, 0, ms)})
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
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
	ep, p := b.endpoints.byName["b0"], &endpointFleet{balancer: b, silent: "b0"}
	f, _ := p.stepUntilEjected(t, 3)
	now := p.now
	if !ep.outlier.ejected || len(actionsOf[HealthCheck](b.Step(now+20*ms, []Event{TimerFired{0}}))) > 0 {
		t.Fatalf("%+v", f)
	}
	if p := actionsOf[HealthCheck](
		b.Step(now+40*ms, []Event{HealthReport{"b0", WarmingUp, now}, TimerFired{0}}),
	); len(
		p,
	) != 1 {
		t.Error("it is not asked at once")
	}
	acts := b.Step(now+5*time.Second, []Event{HealthCheckResult{"b0", OK}})
	if c := actionsOf[HealthReport](acts); len(c) != 1 || c[0].Health != WarmingUp {
		t.Errorf("a cold return is not told: %v", acts)
	}
}

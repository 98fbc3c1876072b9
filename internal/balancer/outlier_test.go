package balancer

import (
	"testing"
	"time"
)

// An endpoint that answers nothing is ejected and then gets only probe requests.
func TestSilentEndpointIsEjected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	now, id := ms, uint64(0)
	var open, lost []Dispatch
	var openAt, lostAt []time.Duration
	late, left := 0, false
	for range 400 {
		now += 5 * ms
		id++
		events := []Event{testRequest(id, 0, 2), TimerFired{tickCookie}}
		for len(open) > 0 && now >= openAt[0]+40*ms {
			events = append(events, succeeded(open[0], 0, 40*ms))
			open, openAt = open[1:], openAt[1:]
		}
		for len(lost) > 0 && now >= lostAt[0]+lost[0].Timeout {
			events = append(events, resultOf(lost[0], Timeout, lost[0].Timeout))
			lost, lostAt = lost[1:], lostAt[1:]
		}
		actions := b.Step(now, events)
		for _, l := range actionsOf[LogLine](actions) {
			left = left || l.Text == "no longer used: b0"
		}
		for _, dispatch := range actionsOf[Dispatch](actions) {
			if dispatch.Endpoint != "b0" {
				open, openAt = append(open, dispatch), append(openAt, now)
			} else {
				lost, lostAt = append(lost, dispatch), append(lostAt, now)
				if left {
					late++
				}
			}
		}
	}
	if !left || late > 2 {
		t.Errorf("ejected: %v; %d requests dispatched to it after that, want the probe requests only", left, late)
	}
}

// A single broken connection ejects no endpoint, as that would move its queue and attempts. Several in a row do, and
// an answer between them counts.
func TestBrokenConnectionsEjectEndpoint(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts, settings.UseCounter = 1, false
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	ep := b.endpoints.byName["b0"]
	for i, status := range []Status{Reset, Reset, OK, ConnectFailed, Reset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		dispatches := actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i+1), 0, 2)}))
		if len(dispatches) != 1 || ep.outlier.ejected {
			t.Fatalf("before result %d: dispatched %v, ejected %v", i, dispatches, ep.outlier.ejected)
		}
		b.Step(
			now+10*ms,
			[]Event{
				AttemptResult{
					ID:            dispatches[0].ID,
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

// A gateway that stood still finds timeouts of its own making, and ejects no endpoint for them.
func TestOwnStallEjectsNoEndpoint(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	var dispatches []Dispatch
	now := ms
	for i := range 40 {
		now += 20 * ms
		actions := b.Step(now, []Event{testRequest(uint64(i), 0, 2), TimerFired{tickCookie}})
		dispatches = append(dispatches, actionsOf[Dispatch](actions)...)
		if len(dispatches) > 14 {
			b.Step(now, []Event{succeeded(dispatches[0], 0, 40*ms)})
			dispatches = dispatches[1:]
		}
	}
	now += 2 * time.Second
	events := []Event{succeeded(dispatches[0], 0, 40*ms), TimerFired{tickCookie}}
	for _, dispatch := range dispatches[1:] {
		events = append(events, succeeded(dispatch, 0, 40*ms))
	}
	if logs := actionsOf[LogLine](b.Step(now, events)); len(logs) != 0 {
		t.Errorf("after a stall of this gateway: %v", logs)
	}
}

// Another pool's report of silence counts as timeouts: one attempt without an answer then ejects the endpoint, where
// it takes more otherwise. A response since the report outweighs it.
func TestReportedSilence(t *testing.T) {
	play := func() *endpointFleet {
		fleet := &endpointFleet{balancer: newTestBalancer(t, singleGatewaySettings(), testEndpoints(3)...)}
		for range 200 { // all answer at first
			fleet.step(1)
		}
		fleet.silent = "b0"
		return fleet
	}
	fleet := play()
	got, _ := fleet.stepUntilEjected(t, 3)
	if got.Health != Unresponsive || got.Endpoint != "b0" || got.Since > fleet.now-minSilence {
		t.Fatalf("%+v at %v", got, fleet.now)
	}
	// A gateway with few requests, with and without a report.
	alone := play()
	_, without := alone.stepUntilEjected(t, 1)
	reported := play()
	for range 20 { // no request here since before the report
		reported.step(0)
	}
	reported.step(0, HealthReport{"b0", Unresponsive, reported.now})
	_, with := reported.stepUntilEjected(t, 1)
	if with > minSilence+100*ms || with >= without {
		t.Errorf("ejected after %v with a report, %v without", with, without)
	}
	// A later response outweighs the report.
	heard := play()
	heard.silent = ""
	since := heard.now
	for range 50 {
		heard.step(1)
	}
	heard.step(0, HealthReport{"b0", Unresponsive, since})
	if ep := heard.balancer.endpoints.byName["b0"]; ep.outlier.timeouts > 0 || ep.outlier.ejected {
		t.Errorf("the report outweighs a later response: %+v", ep)
	}
}

// An endpoint that another pool reports as broken is ejected with the first connection that breaks here, not with the
// third.
func TestReportedBrokenConnections(t *testing.T) {
	breaks := func(reported bool) (n int) {
		b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
		if reported {
			b.Step(ms, []Event{HealthReport{"b0", ConnectionsBroken, 0}})
		}
		for i := range 200 {
			now := time.Duration(i+1) * 10 * ms
			for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
				if dispatch.Endpoint != "b0" {
					b.Step(now+ms, []Event{succeeded(dispatch, 0, ms)})
					continue
				}
				n++
				actions := b.Step(now+ms, []Event{resultOf(dispatch, ConnectFailed, 0)})
				if f := actionsOf[HealthReport](actions); len(f) > 0 {
					if f[0].Health != ConnectionsBroken || f[0].Endpoint != "b0" {
						t.Errorf("%+v", f)
					}
					return n
				}
			}
		}
		return n
	}
	if alone, reported := breaks(false), breaks(true); alone != maxConnectionFailures || reported != 1 {
		t.Errorf("ejected after %d broken connections, and %d with a report", alone, reported)
	}
}

// An endpoint that another pool has reinstated warms up here too, and is probed at once if it is ejected here. One
// that has responded here all along does not.
func TestReportedWarmUp(t *testing.T) {
	const back = 20 * time.Second
	warming := func(busy bool) *endpoint {
		b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
		for now := 10 * ms; busy && now < back; now += 100 * ms {
			for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(now), 0, 2)})) {
				b.Step(now+ms, []Event{succeeded(dispatch, 0, ms)})
			}
		}
		b.Step(back, []Event{HealthReport{"b0", WarmingUp, back - ms}, HealthReport{"other", WarmingUp, back}})
		return b.endpoints.byName["b0"]
	}
	if ep := warming(false); !ep.slowStart.active || ep.slowStart.since != back-ms {
		t.Errorf("an endpoint that may have been restarted does not warm up: %+v", ep)
	}
	if ep := warming(true); ep.slowStart.active {
		t.Error("an endpoint that answered all along warms up")
	}
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
	ep, pool := b.endpoints.byName["b0"], &endpointFleet{balancer: b, silent: "b0"}
	f, _ := pool.stepUntilEjected(t, 3)
	now := pool.now
	if !ep.outlier.ejected || len(actionsOf[HealthCheck](b.Step(now+20*ms, []Event{TimerFired{tickCookie}}))) > 0 {
		t.Fatalf("%+v", f)
	}
	actions := b.Step(now+40*ms, []Event{HealthReport{"b0", WarmingUp, now}, TimerFired{tickCookie}})
	if len(actionsOf[HealthCheck](actions)) != 1 {
		t.Error("it is not probed at once")
	}
	actions = b.Step(now+5*time.Second, []Event{HealthCheckResult{"b0", OK}})
	if c := actionsOf[HealthReport](actions); len(c) != 1 || c[0].Health != WarmingUp {
		t.Errorf("a reinstated endpoint is not reported as warming up: %v", actions)
	}
}

package balancer

import (
	"testing"
	"time"
)

// TestSilentEndpointIsEjected verifies that an endpoint that answers nothing is ejected, and gets only probe requests
// from then on.
func TestSilentEndpointIsEjected(t *testing.T) {
	const silent = "b0"
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	now := ms
	var answered, lost []openAttempt
	isEjected := false
	attemptsAfterEjection := 0
	for id := range uint64(400) {
		now += 5 * ms
		events := []Event{testRequest(id+1, 0, 2), TimerFired{tickCookie}}
		for len(answered) > 0 && now >= answered[0].answeredAt {
			events = append(events, succeeded(answered[0].Dispatch, 0, 40*ms))
			answered = answered[1:]
		}
		for len(lost) > 0 && now >= lost[0].answeredAt {
			events = append(events, resultOf(lost[0].Dispatch, Timeout, lost[0].Timeout))
			lost = lost[1:]
		}
		actions := b.Step(now, events)
		for _, line := range actionsOf[LogLine](actions) {
			isEjected = isEjected || line.Text == "no longer used: "+silent
		}
		for _, dispatch := range actionsOf[Dispatch](actions) {
			if dispatch.Endpoint != silent {
				answered = append(answered, openAttempt{dispatch, now + 40*ms})
				continue
			}
			lost = append(lost, openAttempt{dispatch, now + dispatch.Timeout})
			if isEjected {
				attemptsAfterEjection++
			}
		}
	}
	if !isEjected || attemptsAfterEjection > 2 {
		t.Errorf("ejected: %v; %d attempts after that, want at most 2 probe requests", isEjected, attemptsAfterEjection)
	}
}

// TestBrokenConnectionsEjectEndpoint verifies that several consecutive broken connections eject an endpoint. A single
// one does not, because an ejection moves the endpoint's queue and attempts, and an answer in between resets the count.
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
		result := resultOf(dispatches[0], status, 10*ms)
		result.RequestClosed = status == OK
		b.Step(now+10*ms, []Event{result})
	}
	if !ep.outlier.ejected {
		t.Error("not ejected after three consecutive broken connections")
	}
}

// TestOwnStallEjectsNoEndpoint verifies that a gateway that has stalled does not eject endpoints for the overdue
// answers that its own stall caused.
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
		t.Errorf("endpoints were ejected after a stall of this gateway: %v", logs)
	}
}

// newSilencedFleet returns a fleet in which all endpoints have answered for a while, and b0 is silent from now on.
func newSilencedFleet(t *testing.T) *endpointFleet {
	t.Helper()
	fleet := &endpointFleet{balancer: newTestBalancer(t, singleGatewaySettings(), testEndpoints(3)...)}
	for range 200 {
		fleet.step(1)
	}
	fleet.silent = "b0"
	return fleet
}

// TestEjectionIsReported verifies that the ejection of a silent endpoint is reported with the time of its last
// response.
func TestEjectionIsReported(t *testing.T) {
	fleet := newSilencedFleet(t)
	got, _ := fleet.stepUntilEjected(t, 3)
	if got.Health != Unresponsive || got.Endpoint != "b0" || got.Since > fleet.now-minSilence {
		t.Fatalf("reported %+v at %v", got, fleet.now)
	}
}

// TestReportedSilence verifies that a silence reported by another pool counts as several timeouts, so that a single
// unanswered attempt ejects the endpoint. Without a report it takes more attempts.
func TestReportedSilence(t *testing.T) {
	unreported := newSilencedFleet(t)
	_, without := unreported.stepUntilEjected(t, 1)
	reported := newSilencedFleet(t)
	for range 20 { // no requests here for a while before the report
		reported.step(0)
	}
	reported.step(0, HealthReport{"b0", Unresponsive, reported.now})
	_, with := reported.stepUntilEjected(t, 1)
	if with > minSilence+100*ms || with >= without {
		t.Errorf("ejected after %v with a report, %v without", with, without)
	}
}

// TestLaterResponseOutweighsReportedSilence verifies that a response after the reported silence takes precedence over
// the report.
func TestLaterResponseOutweighsReportedSilence(t *testing.T) {
	fleet := newSilencedFleet(t)
	fleet.silent = ""
	since := fleet.now
	for range 50 {
		fleet.step(1)
	}
	fleet.step(0, HealthReport{"b0", Unresponsive, since})
	if ep := fleet.balancer.endpoints.byName["b0"]; ep.outlier.timeouts > 0 || ep.outlier.ejected {
		t.Errorf("the reported silence counts in spite of a later response: %+v", ep)
	}
}

// TestReportedBrokenConnections verifies that an endpoint whose connections another pool reports as broken is ejected
// at the first broken connection here instead of the third.
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
						t.Errorf("reported %+v, want broken connections of b0", f)
					}
					return n
				}
			}
		}
		return n
	}
	if alone, reported := breaks(false), breaks(true); alone != maxConnectionFailures || reported != 1 {
		t.Errorf("ejected after %d broken connections without a report, and after %d with one", alone, reported)
	}
}

// TestReportedWarmUp verifies that an endpoint that another pool has reinstated begins slow start here too, unless it
// has responded here all along.
func TestReportedWarmUp(t *testing.T) {
	const reinstatedAt = 20 * time.Second
	for _, c := range []struct {
		name       string
		hasTraffic bool
		warmsUp    bool
	}{
		{"idle", false, true},
		{"responding", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
			for now := 10 * ms; c.hasTraffic && now < reinstatedAt; now += 100 * ms {
				for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(now), 0, 2)})) {
					b.Step(now+ms, []Event{succeeded(dispatch, 0, ms)})
				}
			}
			b.Step(reinstatedAt, []Event{
				HealthReport{"b0", WarmingUp, reinstatedAt - ms},
				HealthReport{"other", WarmingUp, reinstatedAt},
			})
			ep := b.endpoints.byName["b0"]
			if ep.slowStart.active != c.warmsUp || c.warmsUp && ep.slowStart.since != reinstatedAt-ms {
				t.Errorf("unexpected slow start state %+v", ep.slowStart)
			}
		})
	}
}

// TestReportedWarmUpProbesEjectedEndpoint verifies that an ejected endpoint that another pool has reinstated is probed
// at once, and that its reinstatement is reported.
func TestReportedWarmUpProbesEjectedEndpoint(t *testing.T) {
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
	fleet := &endpointFleet{balancer: b, silent: "b0"}
	fleet.stepUntilEjected(t, 3)
	now := fleet.now
	if !b.endpoints.byName["b0"].outlier.ejected {
		t.Fatal("not ejected")
	}
	if len(actionsOf[HealthCheck](b.Step(now+20*ms, []Event{TimerFired{tickCookie}}))) > 0 {
		t.Fatal("probed before the report")
	}
	actions := b.Step(now+40*ms, []Event{HealthReport{"b0", WarmingUp, now}, TimerFired{tickCookie}})
	if len(actionsOf[HealthCheck](actions)) != 1 {
		t.Error("not probed at once")
	}
	actions = b.Step(now+5*time.Second, []Event{HealthCheckResult{"b0", OK}})
	if reports := actionsOf[HealthReport](actions); len(reports) != 1 || reports[0].Health != WarmingUp {
		t.Errorf("a reinstated endpoint is not reported as warming up: %v", actions)
	}
}

// TestProbeRequestStartsSlowStart verifies that an endpoint that answers a probe request after a long silence begins
// slow start, as after a health check, because it may have been restarted. One that answers soon after its ejection, or
// answers an attempt from before it, was not restarted.
func TestProbeRequestStartsSlowStart(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration
		before  bool
		warms   bool
	}{
		{"a probe request after a long silence", restartSilence + time.Second, false, true},
		{"a probe request soon after the ejection", restartSilence - time.Second, false, false},
		{"a late answer to an attempt from before", restartSilence + time.Second, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := singleGatewaySettings()
			settings.AllowHealthChecks = false
			b := newTestBalancer(t, settings, testEndpoints(1)...)
			now := time.Second
			dispatch := singleDispatch(t, b.Step(now, []Event{testRequest(1, 0, 2)}))
			if !c.before {
				b.Step(now, []Event{succeeded(dispatch, 0, ms)})
			}
			ep := b.endpoints.byName["b0"]
			b.eject(ep)
			now += c.silence
			if !c.before {
				dispatch = singleDispatch(t, b.Step(now, []Event{testRequest(2, 0, 2)}))
			}
			reports := actionsOf[HealthReport](b.Step(now+5*ms, []Event{succeeded(dispatch, 0, 5*ms)}))
			reported := len(reports) == 1 && reports[0].Health == WarmingUp
			if ep.outlier.ejected || ep.slowStart.active != c.warms || reported != c.warms {
				t.Errorf("ejected %v, warming up %v, reports %v", ep.outlier.ejected, ep.slowStart.active, reports)
			}
		})
	}
}

package balancer

import (
	"testing"
	"time"
)

// An endpoint that answers nothing is ejected and then gets only probe requests.
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
		t.Errorf("ejected: %v; %d attempts after that, want the probe requests only", isEjected, attemptsAfterEjection)
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
		result := resultOf(dispatches[0], status, 10*ms)
		result.RequestClosed = status == OK
		b.Step(now+10*ms, []Event{result})
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

// newSilencedFleet returns a fleet whose endpoints all answered for a while, and of which b0 is silent from now on.
func newSilencedFleet(t *testing.T) *endpointFleet {
	t.Helper()
	fleet := &endpointFleet{balancer: newTestBalancer(t, singleGatewaySettings(), testEndpoints(3)...)}
	for range 200 {
		fleet.step(1)
	}
	fleet.silent = "b0"
	return fleet
}

// The ejection of a silent endpoint is reported with the time of its last response.
func TestEjectionIsReported(t *testing.T) {
	fleet := newSilencedFleet(t)
	got, _ := fleet.stepUntilEjected(t, 3)
	if got.Health != Unresponsive || got.Endpoint != "b0" || got.Since > fleet.now-minSilence {
		t.Fatalf("%+v at %v", got, fleet.now)
	}
}

// Another pool's report of silence counts as timeouts: one attempt without an answer then ejects the endpoint, where
// it takes more otherwise.
func TestReportedSilence(t *testing.T) {
	unreported := newSilencedFleet(t)
	_, without := unreported.stepUntilEjected(t, 1)
	reported := newSilencedFleet(t)
	for range 20 { // no request here since before the report
		reported.step(0)
	}
	reported.step(0, HealthReport{"b0", Unresponsive, reported.now})
	_, with := reported.stepUntilEjected(t, 1)
	if with > minSilence+100*ms || with >= without {
		t.Errorf("ejected after %v with a report, %v without", with, without)
	}
}

// A response since a report of silence outweighs it.
func TestLaterResponseOutweighsReportedSilence(t *testing.T) {
	fleet := newSilencedFleet(t)
	fleet.silent = ""
	since := fleet.now
	for range 50 {
		fleet.step(1)
	}
	fleet.step(0, HealthReport{"b0", Unresponsive, since})
	if ep := fleet.balancer.endpoints.byName["b0"]; ep.outlier.timeouts > 0 || ep.outlier.ejected {
		t.Errorf("%+v", ep)
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

// An endpoint that another pool has reinstated warms up here too. One that has responded here all along does not.
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
				t.Errorf("slow start %+v", ep.slowStart)
			}
		})
	}
}

// An ejected endpoint that another pool has reinstated is probed at once, and its reinstatement is reported.
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

// An endpoint that answers a probe request after a long silence may have been restarted: it warms up, as after a health
// check. One that answers soon, or answers an attempt from before its ejection, was not restarted.
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
			told := len(reports) == 1 && reports[0].Health == WarmingUp
			if ep.outlier.ejected || ep.slowStart.active != c.warms || told != c.warms {
				t.Errorf("ejected %v, warming up %v, reports %v", ep.outlier.ejected, ep.slowStart.active, reports)
			}
		})
	}
}

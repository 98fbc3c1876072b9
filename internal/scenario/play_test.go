package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// slowdownScript is the script that most tests start from.
const slowdownScript = "../../scenarios/all-slow-one-silent.toml"

func loadScript(t *testing.T) *Script {
	t.Helper()
	script, err := Load(slowdownScript)
	if err != nil {
		t.Fatal(err)
	}
	return script
}

func mustRun(t *testing.T, script *Script) *Report {
	t.Helper()
	report, err := Run(script)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestSameSeedSameRun verifies that two runs of a script with the same seed are identical and keep all rules, and that
// another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	first := mustRun(t, loadScript(t))
	second := mustRun(t, loadScript(t))
	t.Logf("service %.4f, totals %+v, %d events, %d calls in %v\n%s", first.Service, first.Totals, first.Events,
		first.CounterCalls, first.Elapsed, strings.Join(first.Trace, "\n"))
	for _, violation := range first.Violations {
		t.Error(violation)
	}
	if first.Digest != second.Digest || first.Events != second.Events || first.Service != second.Service {
		t.Errorf("two runs of one script differ: %s %d %v and %s %d %v", first.Digest, first.Events, first.Service,
			second.Digest, second.Events, second.Service)
	}
	otherSeed := loadScript(t)
	otherSeed.Seed++
	if other := mustRun(t, otherSeed); other.Service == first.Service || other.Events == first.Events {
		t.Error("another seed gives the same run")
	}
	if first.Totals.Requests < 5000 || first.Service < 0.5 || first.Service > 0.999 {
		t.Errorf("service %.3f of %d requests", first.Service, first.Totals.Requests)
	}
}

// TestKilledGatewaysLoseWhatTheyHold verifies that the requests which a gateway holds when it is killed are counted as
// lost, and no others.
func TestKilledGatewaysLoseWhatTheyHold(t *testing.T) {
	t.Parallel()
	script := loadScript(t)
	for i := range 3 { // several kills, as the number of requests held at one instant is random
		script.Events = append(script.Events[:i], Event{
			Name:     fmt.Sprint("x", i),
			Kind:     KillGateways,
			At:       time.Duration(10+7*i) * time.Second,
			Duration: 3 * time.Second,
			Count:    1,
		})
	}
	report := mustRun(t, script)
	if report.Totals.Lost < 2 || report.Totals.Lost > 60 || len(report.Violations) > 0 {
		t.Errorf("%d lost, %v", report.Totals.Lost, report.Violations)
	}
}

// withExtraEndpoint returns the script with an additional endpoint in its own group, and with other events.
func withExtraEndpoint(t *testing.T, events ...Event) *Script {
	t.Helper()
	script := loadScript(t)
	added := script.Endpoints[0]
	added.Group = "more"
	added.Count = 1
	script.Endpoints = append(script.Endpoints, added)
	script.Events = events
	return script
}

// redirectEveryFourth sends every fourth attempt to one endpoint. Sending it all attempts would fill its queue, and it
// would reject them.
func redirectEveryFourth(endpointName string) func(balancer.Action) []balancer.Action {
	dispatched := 0
	return func(action balancer.Action) []balancer.Action {
		dispatch, isDispatch := action.(balancer.Dispatch)
		if !isDispatch {
			return []balancer.Action{action}
		}
		dispatched++
		if dispatched%4 == 0 {
			dispatch.Endpoint = endpointName
		}
		return []balancer.Action{dispatch}
	}
}

// dropRejections makes a gateway give no answer instead of a rejection.
func dropRejections(action balancer.Action) []balancer.Action {
	if _, isReject := action.(balancer.Reject); isReject {
		return nil
	}
	return []balancer.Action{action}
}

// answerLate makes a gateway wait for attempts past the client's deadline.
func answerLate(action balancer.Action) []balancer.Action {
	switch action := action.(type) {
	case balancer.Dispatch:
		action.Timeout += 10 * time.Second
		return []balancer.Action{action}
	case balancer.CancelAttempt, balancer.Reject, balancer.Fail:
		return nil
	}
	return []balancer.Action{action}
}

// dispatchTwice makes a gateway dispatch each attempt twice.
func dispatchTwice(action balancer.Action) []balancer.Action {
	if _, isDispatch := action.(balancer.Dispatch); isDispatch {
		return []balancer.Action{action, action}
	}
	return []balancer.Action{action}
}

// brokenGateways returns scripts whose gateways each violate one rule. The keys are text of the expected violations.
func brokenGateways(t *testing.T) map[string]*Script {
	t.Helper()
	unanswered := loadScript(t)
	unanswered.intercept = dropRejections
	late := withExtraEndpoint(t, Event{
		Name:     "x",
		Kind:     PauseEndpoints,
		At:       10 * time.Second,
		Duration: 6 * time.Second,
	})
	late.intercept = answerLate
	twice := loadScript(t)
	twice.Endpoints[0].DedupWindows[1] = 1
	twice.intercept = dispatchTwice
	drained := withExtraEndpoint(t, Event{
		Name:  "x",
		Kind:  DrainEndpoints,
		At:    10 * time.Second,
		Group: "more",
	})
	drained.intercept = redirectEveryFourth("more-0")
	overloaded := withExtraEndpoint(t, Event{
		Name:     "x",
		Kind:     CrashEndpoints,
		At:       10 * time.Second,
		Duration: time.Second,
		Group:    "more",
	})
	overloaded.intercept = redirectEveryFourth("more-0")
	ceiling := loadScript(t)
	ceiling.changeSettings = func(settings *balancer.Settings) { // each gateway uses the whole ceiling by itself
		settings.Gateways = 1
		settings.Index = 0
	}
	ceiling.Accounts[1].Spread = 0
	return map[string]*Script{
		"no request lost":            unanswered,
		"no request lost:":           late,
		"no effect twice":            twice,
		"drains are kept":            drained,
		"no cold server pushed over": overloaded,
		"ceilings are kept":          ceiling,
	}
}

// TestFindsBrokenRules verifies that each gateway fault of brokenGateways is found by the check of its rule, and by no
// other check.
func TestFindsBrokenRules(t *testing.T) {
	t.Parallel()
	for rule, script := range brokenGateways(t) {
		report := mustRun(t, script)
		if len(report.Violations) == 0 {
			t.Errorf("no violation of %q was found", rule)
		}
		for _, violation := range report.Violations {
			if !strings.Contains(violation, rule) {
				t.Errorf("want violations of %q only: %s", rule, violation)
				break
			}
		}
	}
	// A client that retries with the same key after the dedup window causes a duplicate effect: see
	// docs/design/rehearsal.md.
	sameKey := loadScript(t)
	sameKey.RetryWithSameKey = true
	report := mustRun(t, sameKey)
	if len(report.Violations) == 0 || !strings.Contains(report.Violations[0], "no effect twice") {
		t.Errorf("%v", report.Violations)
	}
}

package scenario

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/simulator"
)

// The rules that each run checks, as reports name them.
const (
	ruleNoRequestLost  = "no request lost"
	ruleOneFinalAnswer = "one final answer"
	ruleNoEffectTwice  = "no effect twice"
	ruleDrainsKept     = "drains are kept"
	ruleCeilingsKept   = "ceilings are kept"
	ruleNoOverload     = "no cold server pushed over"
)

const (
	// maxViolations is how many violations a report has at most.
	maxViolations = 20
	// ceilingSlack is the part of its burst by which a ceiling may be exceeded.
	ceilingSlack = 0.1
)

// drainGrace is how long a gateway may go on sending to an endpoint after it was notified that it is draining.
const drainGrace = 250 * time.Millisecond

// violation adds a broken rule to the report, up to a number of them.
func (r *run) violation(rule, format string, args ...any) {
	if len(r.report.Violations) < maxViolations {
		line := r.timestamp() + rule + ": " + fmt.Sprintf(format, args...)
		r.report.Violations = append(r.report.Violations, line)
	}
}

// checkAnswered checks that a try was answered by its deadline, unless its gateway has died.
func (r *run) checkAnswered(request *clientRequest, sent *simulator.Request) {
	if !r.openRequests[request] || request.latest != sent || request.answers > 0 {
		return
	}
	gateway := r.world.Gateways[sent.Gateway]
	if gateway.IsAlive && sent.Incarnation == gateway.Incarnation() {
		r.violation(ruleNoRequestLost, "%s of %s has no answer from front door %d, asked at %.3f", request.name,
			r.script.Classes[request.class].Name, sent.Gateway, (sent.At - simulator.Start).Seconds())
	}
	r.endRequest(request, Tally{Lost: 1})
}

// ceilingMeter is the token bucket of an account's ceiling, as endpoints see it.
type ceilingMeter struct {
	isKnown bool
	// level is below 0 once the ceiling is exceeded.
	level     float64
	updatedAt time.Duration
	// lowest is the lowest level that was reported.
	lowest float64
}

// checkCeiling counts the first attempt of a request, or its admission, against its account's ceiling.
func (r *run) checkCeiling(sent *simulator.Request) {
	request := sent.Owner.(*clientRequest)
	plan := &r.script.Plans[request.account.group.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	meter := &request.account.ceiling
	now := r.world.Now
	if !meter.isKnown {
		meter.isKnown = true
		meter.level = plan.CeilingBurst
		meter.updatedAt = now
	}
	refilled := meter.level + plan.CeilingRate*(now-meter.updatedAt).Seconds()
	meter.level = min(plan.CeilingBurst, refilled) - sent.Units
	meter.updatedAt = now
	slack := max(sent.Units, ceilingSlack*plan.CeilingBurst)
	if meter.level < -slack && meter.level < meter.lowest {
		r.violation(ruleCeilingsKept, "%s is %.1f under its store with %s at front door %d; the slack is %.1f",
			request.account.name, -meter.level, request.name, sent.Gateway, slack)
		meter.lowest = meter.level
	}
}

// checkAttempt checks that an attempt is not dispatched after the answer or to an endpoint that is draining.
func (r *run) checkAttempt(sent *simulator.Request, endpointName string) {
	request := sent.Owner.(*clientRequest)
	if request.latest == sent && request.answers > 0 {
		r.violation(ruleOneFinalAnswer, "%s goes out to %s after its answer", request.name, endpointName)
	}
	i := slices.IndexFunc(r.endpoints, func(e *endpoint) bool { return e.Name == endpointName })
	knownAt := r.endpoints[i].drainKnownAt[sent.Gateway]
	if knownAt > 0 && r.world.Now > knownAt+drainGrace {
		r.violation(ruleDrainsKept, "%s goes to %s %v after front door %d was told that it drains",
			request.name, endpointName, r.world.Now-knownAt, sent.Gateway)
	}
}

// checkEndpoints checks what the endpoints have counted in the whole run.
func (r *run) checkEndpoints() {
	for _, checked := range r.endpoints {
		if checked.Stats.Overloaded {
			r.violation(ruleNoOverload, "%s fell over", checked.Name)
		}
		if checked.Stats.DuplicateEffects > 0 {
			r.violation(ruleNoEffectTwice, "%s did %d effects twice", checked.Name, checked.Stats.DuplicateEffects)
		}
	}
}

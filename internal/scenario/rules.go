package scenario

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/simulator"
)

// The rules that every run is checked against. Reports contain these names.
const (
	ruleNoRequestLost  = "no request lost"
	ruleOneFinalAnswer = "one final answer"
	ruleNoEffectTwice  = "no effect twice"
	ruleDrainsKept     = "drains are kept"
	ruleCeilingsKept   = "ceilings are kept"
	ruleNoOverload     = "no cold server pushed over"
)

const (
	// maxViolations is the maximum number of violations in a report.
	maxViolations = 20
	// ceilingSlack is the fraction of its burst by which a ceiling may be exceeded.
	ceilingSlack = 0.1
)

// drainGrace is how long a gateway may keep dispatching to an endpoint after it was notified of the drain.
const drainGrace = 250 * time.Millisecond

// violation adds a rule violation to the report, up to maxViolations.
func (r *run) violation(rule, format string, args ...any) {
	if len(r.report.Violations) < maxViolations {
		line := r.timestamp() + rule + ": " + fmt.Sprintf(format, args...)
		r.report.Violations = append(r.report.Violations, line)
	}
}

// checkAnswered checks that a try was answered by its deadline, unless its gateway was killed meanwhile.
func (r *run) checkAnswered(request *clientRequest, sent *simulator.Request) {
	if !r.openRequests[request] || request.latest != sent || request.answers > 0 {
		return
	}
	gateway := r.world.Gateways[sent.Gateway]
	if gateway.IsAlive && sent.Incarnation == gateway.Incarnation() {
		r.violation(ruleNoRequestLost, "%s of class %s got no answer from gateway %d, sent at %.3f", request.name,
			r.script.Classes[request.class].Name, sent.Gateway, (sent.At - simulator.Start).Seconds())
	}
	r.endRequest(request, Tally{Lost: 1})
}

// ceilingMeter is the token bucket of an account's ceiling, charged with what is actually forwarded.
type ceilingMeter struct {
	isKnown bool
	// level is negative if the ceiling is exceeded.
	level     float64
	updatedAt time.Duration
	// lowest is the lowest level reported as a violation.
	lowest float64
}

// checkCeiling charges the first attempt of a request, or its admission, to its account's ceiling.
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
		r.violation(ruleCeilingsKept, "%s exceeds its ceiling by %.1f with %s at gateway %d; the slack is %.1f",
			request.account.name, -meter.level, request.name, sent.Gateway, slack)
		meter.lowest = meter.level
	}
}

// checkAttempt checks that an attempt is not dispatched after the final answer or to a draining endpoint.
func (r *run) checkAttempt(sent *simulator.Request, endpointName string) {
	request := sent.Owner.(*clientRequest)
	if request.latest == sent && request.answers > 0 {
		r.violation(ruleOneFinalAnswer, "%s is dispatched to %s after its final answer", request.name, endpointName)
	}
	i := slices.IndexFunc(r.endpoints, func(e *endpoint) bool { return e.Name == endpointName })
	knownAt := r.endpoints[i].drainKnownAt[sent.Gateway]
	if knownAt > 0 && r.world.Now > knownAt+drainGrace {
		r.violation(ruleDrainsKept, "%s is dispatched to %s %v after gateway %d was notified of its drain",
			request.name, endpointName, r.world.Now-knownAt, sent.Gateway)
	}
}

// checkEndpoints checks the statistics of the endpoints at the end of the run.
func (r *run) checkEndpoints() {
	for _, checked := range r.endpoints {
		if checked.Stats.Overloaded {
			r.violation(ruleNoOverload, "%s crashed from overload", checked.Name)
		}
		if checked.Stats.DuplicateEffects > 0 {
			r.violation(ruleNoEffectTwice, "%s did %d duplicate effects", checked.Name, checked.Stats.DuplicateEffects)
		}
	}
}

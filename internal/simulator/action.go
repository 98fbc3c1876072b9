package simulator

import (
	"time"

	"gapgap/internal/balancer"
)

// healthCheckLatency is the latency of a health check that is answered or fails to connect.
const healthCheckLatency = time.Millisecond

// execute carries out an action of the decision module. Actions that the simulation does not model are ignored.
func (g *Gateway) execute(action balancer.Action) {
	switch action := action.(type) {
	case balancer.Dispatch:
		g.dispatch(action)
	case balancer.CancelAttempt:
		g.cancelAttempt(action)
	case balancer.Admit:
		g.admit(action)
	case balancer.Reject:
		g.reject(action)
	case balancer.Fail:
		g.finish(action.ID, g.requests[action.ID], Failed)
	case balancer.HealthCheck:
		g.checkHealth(action)
	case balancer.CounterAdd:
		g.callCounter(action)
	case balancer.SetTimer:
		g.setTimer(action)
	}
}

// admit completes an admitted request with its final answer.
func (g *Gateway) admit(action balancer.Admit) {
	request := g.requests[action.ID]
	if g.Sent != nil {
		g.Sent(request)
	}
	g.finish(action.ID, request, Served)
}

// reject completes a rejected request with its final answer.
func (g *Gateway) reject(action balancer.Reject) {
	request := g.requests[action.ID]
	if request != nil {
		request.RetryAfter = action.RetryAfter
	}
	g.finish(action.ID, request, Rejected)
}

// checkHealth probes an endpoint. Fixed-latency endpoints are always healthy.
func (g *Gateway) checkHealth(action balancer.HealthCheck) {
	status := balancer.OK
	latency := healthCheckLatency
	if endpoint := g.world.Endpoints[action.Endpoint]; endpoint != nil {
		status, latency = endpoint.checkHealth()
	}
	g.world.After(latency, g.ifSameIncarnation(func() {
		g.handle(balancer.HealthCheckResult{Endpoint: action.Endpoint, Status: status})
	}))
}

// callCounter calls the counter. Results that arrive after the gateway was killed are dropped.
func (g *Gateway) callCounter(action balancer.CounterAdd) {
	incarnation := g.incarnation
	g.world.Counter.call(action, g.settings.CounterTimeout, func(result balancer.Event) {
		if g.incarnation == incarnation {
			g.handle(result)
		}
	})
}

// setTimer schedules a timer. The action gives its time on the gateway's clock, which ClockSkew offsets.
func (g *Gateway) setTimer(action balancer.SetTimer) {
	g.world.At(action.At-g.ClockSkew, g.ifSameIncarnation(func() {
		g.handle(balancer.TimerFired{Cookie: action.Cookie})
	}))
}

// finish completes a request with its final answer, and forgets it if none of its attempts is in flight. A nil request
// is ignored.
func (g *Gateway) finish(id uint64, request *Request, outcome Outcome) {
	g.answer(request, outcome)
	g.forgetIfComplete(id, request)
}

// answer reports the final answer of a request, at most once. A nil request is ignored.
func (g *Gateway) answer(request *Request, outcome Outcome) {
	if request == nil || request.answered {
		return
	}
	request.answered = true
	if g.Done != nil {
		g.Done(request, outcome)
	}
}

// forgetIfComplete forgets a request that is answered and has no attempt in flight. A nil request is ignored.
func (g *Gateway) forgetIfComplete(id uint64, request *Request) {
	if request != nil && request.answered && len(request.inFlight) == 0 {
		delete(g.requests, id)
	}
}

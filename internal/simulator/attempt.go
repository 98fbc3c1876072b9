package simulator

import (
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/priorityqueue"
)

// networkLatency is the one-way latency between a gateway and an endpoint.
const networkLatency = 500 * time.Microsecond

// dispatch sends an attempt to its endpoint. If the request has already finished, the attempt is not sent.
func (g *Gateway) dispatch(action balancer.Dispatch) {
	request := g.requests[action.ID]
	if request == nil {
		g.handle(balancer.AttemptResult{
			ID:            action.ID,
			Endpoint:      action.Endpoint,
			Status:        balancer.NotSent,
			RequestClosed: true,
		})
		return
	}
	number := request.attempts
	request.attempts++
	delay := time.Duration(0)
	if g.WriteDelay != nil {
		delay = g.WriteDelay()
	}
	g.write(action.ID, request, number, delay)
	endpoint := g.world.Endpoints[action.Endpoint]
	if endpoint == nil {
		g.dispatchWithFixedLatency(action, request, number, delay)
		return
	}
	if g.Attempted != nil {
		g.Attempted(request, endpoint.Name)
	}
	newAttempt(g, action, request, number, endpoint).start(delay)
}

// write writes an attempt after a delay, unless it has ended by then.
func (g *Gateway) write(id uint64, request *Request, number int, delay time.Duration) {
	if delay <= 0 {
		g.recordWrite(request)
		return
	}
	g.handle(balancer.WriteDelayed{ID: id, Attempt: number})
	g.world.After(delay, g.ifSameIncarnation(func() {
		if _, isOpen := request.inFlight[number]; isOpen {
			g.recordWrite(request)
			g.handle(balancer.Written{ID: id, Attempt: number})
		}
	}))
}

// recordWrite reports the first written attempt of a request.
func (g *Gateway) recordWrite(request *Request) {
	if !request.isSent && g.Sent != nil {
		g.Sent(request)
	}
	request.isSent = true
}

// dispatchWithFixedLatency simulates an attempt at a [FixedLatencyEndpoint] that is written after a delay.
func (g *Gateway) dispatchWithFixedLatency(
	action balancer.Dispatch, request *Request, number int, delay time.Duration,
) {
	result := balancer.AttemptResult{
		ID:            action.ID,
		Attempt:       number,
		Endpoint:      action.Endpoint,
		Status:        balancer.OK,
		Latency:       g.world.fixedLatency(action.Endpoint),
		RequestClosed: true,
	}
	if result.Latency > action.Timeout-delay {
		result.Status = balancer.Timeout
		result.Latency = action.Timeout
		result.RequestClosed = false
	}
	if result.Status == balancer.OK {
		result.Latency += delay
	}
	end := g.world.schedule(g.world.Now+result.Latency, g.ifSameIncarnation(func() {
		g.endAttempt(request, result)
	}))
	request.inFlight[number] = inFlightAttempt{end: end}
}

// endAttempt passes the result of an attempt to the decision module. OK is also the request's final answer.
func (g *Gateway) endAttempt(request *Request, result balancer.AttemptResult) {
	delete(request.inFlight, result.Attempt)
	if result.Status == balancer.OK {
		g.answer(request, Served)
	}
	g.handle(result)
	g.forgetIfComplete(result.ID, request)
}

// cancelAttempt cancels an attempt. It does nothing if the attempt is not in flight.
func (g *Gateway) cancelAttempt(action balancer.CancelAttempt) {
	request := g.requests[action.ID]
	if request == nil {
		return
	}
	inFlight := request.inFlight[action.Attempt]
	if !inFlight.end.In() {
		return
	}
	g.world.queue.Remove(inFlight.end)
	delete(request.inFlight, action.Attempt)
	if inFlight.abandon != nil {
		inFlight.abandon()
	}
	g.handle(balancer.AttemptResult{
		ID:            action.ID,
		Attempt:       action.Attempt,
		Status:        balancer.Cancelled,
		RequestClosed: request.answered,
	})
	g.forgetIfComplete(action.ID, request)
}

// attempt is one attempt of a request at an [Endpoint].
type attempt struct {
	gateway  *Gateway
	request  *Request
	id       uint64
	number   int
	endpoint *Endpoint
	job      *Job
	sentAt   time.Duration
	timeout  time.Duration
	// timeoutEvent ends the attempt as balancer.Timeout.
	timeoutEvent *priorityqueue.Item[event]
	// hasArrived reports whether the endpoint has received the job.
	hasArrived bool
	hasEnded   bool
}

// newAttempt returns an attempt that is not sent yet. Each attempt of a request has its own job ID, so that its work is
// drawn separately.
func newAttempt(
	g *Gateway, action balancer.Dispatch, request *Request, number int, endpoint *Endpoint,
) *attempt {
	jobID := request.Name
	if number > 0 {
		jobID += "/" + strconv.Itoa(number)
	}
	return &attempt{
		gateway:  g,
		request:  request,
		id:       action.ID,
		number:   number,
		endpoint: endpoint,
		job: &Job{
			Class: request.Class,
			Key:   request.Key,
			ID:    jobID,
		},
		sentAt:  g.world.Now,
		timeout: action.Timeout,
	}
}

// start sends the attempt, which is written after a delay, and schedules its timeout.
func (a *attempt) start(delay time.Duration) {
	g := a.gateway
	a.timeoutEvent = g.world.schedule(a.sentAt+a.timeout, g.ifSameIncarnation(func() {
		a.endpoint.Cancel(a.job)
		a.end(balancer.Timeout)
	}))
	a.request.inFlight[a.number] = inFlightAttempt{
		end:     a.timeoutEvent,
		abandon: a.abandon,
	}
	g.world.After(delay+networkLatency, g.ifSameIncarnation(a.arrive))
}

// abandon ends the attempt without a result, and cancels its job.
func (a *attempt) abandon() {
	a.hasEnded = true
	if a.hasArrived {
		a.endpoint.Cancel(a.job)
	}
}

// arrive delivers the job to the endpoint. The reply is dropped if the gateway has been killed by then.
func (a *attempt) arrive() {
	if a.hasEnded {
		return
	}
	a.hasArrived = true
	wasDown := a.endpoint.IsDown()
	incarnation := a.gateway.incarnation
	a.endpoint.Receive(a.job, func(reply Reply) {
		if a.gateway.incarnation != incarnation {
			return
		}
		a.gateway.world.After(networkLatency, a.gateway.ifSameIncarnation(func() {
			a.gateway.world.queue.Remove(a.timeoutEvent)
			a.end(reply.status(wasDown))
		}))
	})
}

// end passes the result to the gateway, unless the attempt has already ended.
func (a *attempt) end(status balancer.Status) {
	if a.hasEnded {
		return
	}
	a.hasEnded = true
	a.gateway.endAttempt(a.request, balancer.AttemptResult{
		ID:            a.id,
		Attempt:       a.number,
		Endpoint:      a.endpoint.Name,
		Status:        status,
		Latency:       a.gateway.world.Now - a.sentAt,
		RequestClosed: status == balancer.OK || a.request.answered,
	})
}

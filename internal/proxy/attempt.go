package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/trace"
	"gapgap/internal/upstream"
)

// attempt is one attempt of a request. It implements upstream.Owner.
type attempt struct {
	upstream.Attempt
	proxy   *Proxy
	request *Request
	// number counts the request's attempts from 0.
	number int
	// responseStarted says that a long value came, or a part of it.
	responseStarted bool
	// sent says that the attempt was given to Upstream.
	sent bool
}

// StartLongValue implements upstream.Owner. From here on the request has no deadline and no further attempt.
func (a *attempt) StartLongValue(size int) upstream.Sink {
	streamer, ok := a.request.Client.(Streamer)
	if !ok || a.request.ended {
		return nil
	}
	a.request.deadlineTimer.Stop()
	a.responseStarted = true
	a.proxy.Enqueue(balancer.FirstByte{ID: a.request.id, Attempt: a.number})
	return streamer.Stream(size)
}

// Command implements upstream.Owner. It returns nil if the client has gone.
func (a *attempt) Command(wait time.Duration) []byte {
	if a.proxy.endIfClientGone(a.request, a.SentAt) {
		return nil
	}
	return a.request.Client.Forward(wait)
}

// HandleResult implements upstream.Owner. A value ends the request, and the attempt's result says so. Once a response has
// started nothing but its end may be answered.
func (a *attempt) HandleResult(result upstream.Result) {
	switch {
	case result.Status == balancer.OK:
		a.proxy.answer(a.request, Answer{Outcome: Served, Value: result.Value})
	case a.responseStarted:
		a.proxy.answer(a.request, Answer{Outcome: Failed})
	}
	a.request.pendingAttempts--
	if a.sent && mayHaveRun(result.Status) {
		a.request.reservation.mayHaveRun = true
	}
	if a.proxy.Trace.On() {
		a.proxy.Trace.Line("attempt", "id=%d no=%d class=%d to=%s status=%d took=%.1f",
			a.request.id, a.number, a.request.Class, a.Endpoint, result.Status, trace.MS(a.proxy.Now()-a.SentAt))
	}
	a.proxy.Enqueue(balancer.AttemptResult{
		ID:            a.request.id,
		Attempt:       a.number,
		Endpoint:      a.Endpoint,
		Status:        result.Status,
		Latency:       a.Latency(a.proxy.Now()),
		RequestClosed: a.request.ended,
		QuotaUsed:     result.QuotaUsed,
	})
	a.proxy.forgetIfDone(a.request)
}

// mayHaveRun tells whether an attempt that was sent and ended so may have had its effect.
func mayHaveRun(status balancer.Status) bool {
	switch status {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		return false
	}
	return true
}

// dispatch starts an attempt, or ends it at once as not sent: where the request is over or its client gone, its time is
// up, or another attempt is out and hedging is not allowed.
func (p *Proxy) dispatch(request *Request, action balancer.Dispatch) {
	now := p.Now()
	a := &attempt{proxy: p, request: request, number: len(request.attempts)}
	a.Attempt = upstream.Attempt{
		Endpoint: action.Endpoint,
		SentAt:   now,
		Deadline: request.deadline,
		WriteBy:  action.WriteBy,
		Owner:    a,
	}
	if action.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+action.Timeout)
	}
	request.attempts = append(request.attempts, a)
	request.pendingAttempts++
	settings := p.Rules().Settings
	if request.ended || a.Deadline <= now || p.endIfClientGone(request, request.At) ||
		request.pendingAttempts > 1 && !settings.AllowHedging {
		a.End(balancer.NotSent)
		return
	}
	needsKey := p.KeyReserver != nil && settings.Classes[request.Class].KeyReserved
	if needsKey && request.reservation.state != reservationGranted {
		p.reserveKey(a)
		return
	}
	p.send(a)
}

// send gives an attempt to Upstream.
func (p *Proxy) send(a *attempt) {
	a.sent = true
	p.upstream.Send(&a.Attempt)
}

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
	// number is the index of the attempt within its request, from 0.
	number int
	// streaming reports that a long value is being passed on.
	streaming bool
	// sent reports that the attempt was passed to Upstream.
	sent bool
	// writeDelayed reports that the Balancer knows that the command was not written when it was dispatched.
	writeDelayed bool
}

// StartLongValue implements upstream.Owner. From here on the request has no deadline and gets no further attempts.
func (a *attempt) StartLongValue(size int) upstream.Sink {
	streamer, ok := a.request.Client.(Streamer)
	if !ok || a.request.ended || a.request.streaming {
		return nil
	}
	a.request.deadlineTimer.Stop()
	a.streaming = true
	a.request.streaming = true
	a.proxy.transfers.Add(1)
	for _, other := range a.request.attempts { // their answers could only cut off this one
		if other != a {
			a.proxy.upstream.Cancel(&other.Attempt)
		}
	}
	a.proxy.Enqueue(balancer.FirstByte{ID: a.request.id, Attempt: a.number})
	return streamer.Stream(size)
}

// DelayWrite implements upstream.Owner. The limits on what reaches endpoints are charged when the command is written.
func (a *attempt) DelayWrite() {
	if a.writeDelayed {
		return
	}
	a.writeDelayed = true
	a.proxy.Enqueue(balancer.WriteDelayed{ID: a.request.id, Attempt: a.number})
}

// CompleteWrite implements upstream.Owner.
func (a *attempt) CompleteWrite() {
	if !a.writeDelayed {
		return
	}
	a.proxy.Trace.Line("written", "id=%d no=%d to=%s lag=%.1f",
		a.request.id, a.number, a.Endpoint, trace.MS(a.proxy.Now()-a.SentAt))
	a.proxy.Enqueue(balancer.Written{ID: a.request.id, Attempt: a.number})
}

// BeginAnswer implements upstream.Owner. From here on only the deadline of the client ends the attempt.
func (a *attempt) BeginAnswer() {
	a.proxy.Enqueue(balancer.ResponseBegun{ID: a.request.id, Attempt: a.number})
}

// CompleteValue implements upstream.Owner. The client gets its whole answer, so the rest of the endpoint's answer must
// not hold up the answers behind it.
func (a *attempt) CompleteValue(value []byte) {
	if value != nil {
		a.proxy.Enqueue(balancer.FirstByte{ID: a.request.id, Attempt: a.number})
	}
	a.proxy.answer(a.request, Answer{Outcome: Served, Value: value})
}

// Command implements upstream.Owner. It returns nil if the client has disconnected.
func (a *attempt) Command(wait time.Duration) []byte {
	if a.proxy.endIfClientGone(a.request, a.SentAt) {
		return nil
	}
	return a.request.Client.Forward(wait)
}

// HandleResult implements upstream.Owner. A value completes the request, and the AttemptResult event reports that. Once
// a response has started, the only other possible answer is its failure.
func (a *attempt) HandleResult(result upstream.Result) {
	switch {
	case result.Status == balancer.OK:
		a.proxy.answer(a.request, Answer{Outcome: Served, Value: result.Value})
	case a.streaming:
		a.proxy.answer(a.request, Answer{Outcome: Failed})
	}
	if result.Status == balancer.NotSent || result.Status == balancer.ConnectFailed {
		a.DelayWrite() // for good
	}
	a.request.pendingAttempts--
	if a.sent && mayHaveRun(result.Status) {
		a.request.mayHaveRun = true
	}
	if a.proxy.Trace.Enabled() {
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

// mayHaveRun reports whether an attempt that was sent and ended with this status may have had an effect.
func mayHaveRun(status balancer.Status) bool {
	switch status {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		return false
	}
	return true
}

// dispatch starts an attempt. It ends the attempt at once as not sent if the request has ended or its value is on its
// way, its client has disconnected, its time is up, or another attempt is in flight and hedging is not allowed.
func (p *Proxy) dispatch(request *Request, action balancer.Dispatch) {
	now := p.Now()
	a := &attempt{proxy: p, request: request, number: len(request.attempts)}
	a.Attempt = upstream.Attempt{
		Endpoint: action.Endpoint,
		SentAt:   now,
		Deadline: request.deadline,
		WriteBy:  action.WriteBy,
		Owner:    a,

		AnswerDeadline: request.deadline,
	}
	if action.Timeout > 0 {
		a.Deadline = min(a.Deadline, now+action.Timeout)
	}
	request.attempts = append(request.attempts, a)
	request.pendingAttempts++
	settings := p.Rules().Settings
	if request.ended || request.streaming || a.Deadline <= now || p.endIfClientGone(request, request.At) ||
		request.pendingAttempts > 1 && !settings.AllowHedging {
		a.End(balancer.NotSent)
		return
	}
	needsKey := p.KeyReserver != nil && settings.Classes[request.Class].KeyReserved
	if needsKey && request.reservation.state != reservationGranted {
		a.DelayWrite()
		p.reserveKey(a)
		return
	}
	p.send(a)
}

// send passes an attempt to Upstream.
func (p *Proxy) send(a *attempt) {
	a.sent = true
	if request := a.request; request.unrepeatable {
		p.SentIDs.add(request.idHash, request.deadline+sentIDRetention, p.Coarse())
	}
	p.upstream.Send(&a.Attempt)
}

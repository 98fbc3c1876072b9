package proxy

import "time"

// Timing of a shutdown.
const (
	// AcceptAfterTerm is how long new connections are still accepted after the termination signal.
	AcceptAfterTerm = 500 * time.Millisecond
	// AnswerMargin is added to the longest client timeout to let the last answers be delivered.
	AnswerMargin = 100 * time.Millisecond
)

// DrainStatus tells what is left of the connections of a frontend that is to end. Of several frontends the greatest
// status applies.
type DrainStatus int

const (
	// Drained means that no connection is left.
	Drained DrainStatus = iota
	// AwaitingAnswers means that connections are left on which nothing moves. They are bounded by the timeouts of their
	// requests.
	AwaitingAnswers
	// Transferring means that bytes are on their way on a connection: a command that has begun, or an answer. Such a
	// transfer is bounded by the time between two pieces and has no deadline.
	Transferring
)

// Shutdown decides when a process that is to end has done what it owes to its clients:
//
//  1. New connections and requests are accepted for AcceptAfterTerm.
//  2. Listeners and idle connections are closed. The process ends once no connection is left.
//  3. After the longest client timeout and AnswerMargin every request has had its answer, so the process also ends if
//     connections are left on which nothing moves. Only a transfer is waited for: it ends by itself, as it is closed
//     when it makes no progress.
type Shutdown struct {
	closeListenersAt time.Duration
	giveUpAt         time.Duration
}

// NewShutdown begins a shutdown. Times are on the clock of the event loops.
func NewShutdown(now, longestTimeout time.Duration) *Shutdown {
	closeListenersAt := now + AcceptAfterTerm
	return &Shutdown{closeListenersAt: closeListenersAt, giveUpAt: closeListenersAt + longestTimeout + AnswerMargin}
}

// Advance drains the frontends, unless connections are still accepted, and reports whether the process may end. It is
// called repeatedly. handedOver reports that another process accepts the connections.
func (s *Shutdown) Advance(now time.Duration, handedOver bool, frontends []Frontend) (complete bool) {
	if now < s.closeListenersAt && !handedOver {
		return false
	}
	status := drain(frontends)
	return status == Drained || now >= s.giveUpAt && status != Transferring
}

// drain closes all listeners and idle connections and reports what is left.
func drain(frontends []Frontend) DrainStatus {
	status := Drained
	for _, f := range frontends {
		f.CloseListeners()
	}
	for _, f := range frontends {
		status = max(status, f.Drain())
	}
	return status
}

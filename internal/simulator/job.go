package simulator

import (
	"time"

	"gapgap/internal/balancer"
)

// Reply is what an [Endpoint] answers to a job.
type Reply int

// The replies of an endpoint.
const (
	// ReplyOK is an answer whose effect, if any, was done.
	ReplyOK Reply = iota
	// ReplyRepeated is an answer to a repeat whose effect was dropped.
	ReplyRepeated
	// ReplyRejected means that the endpoint had no place for the job, which had no effect.
	ReplyRejected
	// ReplyBroken means that the connection broke, as no process runs or it crashed.
	ReplyBroken
)

// status returns what a gateway sees of a reply. wasDown says that no process ran when the job arrived.
func (r Reply) status(wasDown bool) balancer.Status {
	switch {
	case r == ReplyRejected:
		return balancer.Rejected
	case r == ReplyBroken && wasDown:
		return balancer.ConnectFailed
	case r == ReplyBroken:
		return balancer.Reset
	}
	return balancer.OK
}

// Job is one request at an [Endpoint].
type Job struct {
	// Class is an index into the endpoint's configuration.
	Class int
	// Key is the idempotency key; empty: there is none.
	Key string
	// ID identifies the job: its work is drawn by it.
	ID string

	arrivedAt time.Duration
	startedAt time.Duration
	// remaining is the work that is left, in seconds of one core.
	remaining float64
	answer    func(Reply)
	inService bool
	hasEnded  bool
}

// QueueTime is how long the job waited until its service began.
func (j *Job) QueueTime() time.Duration { return j.startedAt - j.arrivedAt }

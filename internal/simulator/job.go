package simulator

import (
	"time"

	"gapgap/internal/balancer"
)

// Reply is the reply of an [Endpoint] to a job.
type Reply int

// The replies of an endpoint.
const (
	// ReplyOK means that the job was completed and its effect, if any, was done.
	ReplyOK Reply = iota
	// ReplyRepeated means that the job was completed as a repeat of a key, and its effect was dropped.
	ReplyRepeated
	// ReplyRejected means that the endpoint was full; the job had no effect.
	ReplyRejected
	// ReplyBroken means that the connection broke because the process was down or crashed.
	ReplyBroken
)

// status returns the status with which a gateway sees the reply. wasDown reports whether the process was down when the
// job arrived.
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
	// Class is the index of the class in the endpoint's configuration.
	Class int
	// Key is the idempotency key, or empty.
	Key string
	// ID identifies the job. Its service time is drawn from the ID.
	ID string

	arrivedAt time.Duration
	startedAt time.Duration
	// remaining is the work left, in core-seconds.
	remaining float64
	answer    func(Reply)
	inService bool
	hasEnded  bool
}

// QueueTime returns how long the job waited before its service began.
func (j *Job) QueueTime() time.Duration { return j.startedAt - j.arrivedAt }

package idempotency

import (
	"errors"
	"slices"
	"time"
)

// Limits of a coordinator.
const (
	// MaxReservations limits the reservations of a coordinator, those being released among them.
	MaxReservations = 16384
	// maxReleases limits the reservations being released, so that releases leave capacity for new reservations.
	maxReleases = MaxReservations / 2
	maxVoters   = 8
)

// Retries of requests to voters that have not answered.
const (
	firstRetryDelay = 40 * time.Millisecond
	// maxRetryDelay bounds the delay, which doubles with each retry.
	maxRetryDelay = 500 * time.Millisecond
	// releaseRetryWindow is how long a release is retried. A voter that misses it retains the key.
	releaseRetryWindow = 5 * time.Second
)

// ErrTooManyReservations reports that a coordinator has MaxReservations already.
var ErrTooManyReservations = errors.New("too many reservations in flight")

// Outcome is the result of a reservation.
type Outcome int

// Outcomes.
const (
	// Reserved means that a majority granted the key: the request may go out.
	Reserved Outcome = iota
	// HeldByOther means that another request with the key may have run.
	HeldByOther
	// NoCapacity means that the voters retain as many keys as they may.
	NoCapacity
)

// String returns the outcome in words.
func (o Outcome) String() string { return [...]string{"reserved", "held by other", "no capacity"}[o] }

// Result reports a decided reservation.
type Result struct {
	Sequence uint64
	Outcome  Outcome
}

// phase is the state of a reservation.
type phase uint8

const (
	// phaseVoting waits for a majority of votes.
	phaseVoting phase = iota
	// phaseReserved holds the key until its request is finished.
	phaseReserved
	// phaseReleasing waits until all voters have confirmed the release.
	phaseReleasing
)

// reservation is one request's reservation of a key.
type reservation struct {
	key   Key
	phase phase
	// votes has the last vote of each voter in the current phase, in the order of Coordinator.voters.
	votes [maxVoters]Vote
	// releaseUntil is when the release is given up.
	releaseUntil time.Duration
	nextRetryAt  time.Duration
	retryDelay   time.Duration
}

// outcome counts the votes. It is decided as soon as missing votes can't change it.
func (r *reservation) outcome(voters int) (outcome Outcome, decided bool) {
	granted, held, full := 0, 0, 0
	for _, vote := range r.votes[:voters] {
		switch vote {
		case VoteGranted:
			granted++
		case VoteHeld:
			held++
		case VoteFull:
			full++
		}
	}
	majority := voters/2 + 1
	switch {
	case granted >= majority:
		return Reserved, true
	case voters-held-full >= majority:
		return 0, false
	case held > 0:
		return HeldByOther, true
	}
	return NoCapacity, true
}

// needsVote tells whether a voter's answer in the current phase is missing. A denial is asked for again, as the key may
// have been released since.
func (r *reservation) needsVote(index int) bool {
	if r.phase == phaseReleasing {
		return r.votes[index] != VoteReleased
	}
	return r.votes[index] != VoteGranted
}

// Coordinator reserves keys for the requests of one gateway.
type Coordinator struct {
	process      uint64
	voters       []int
	lastSequence uint64
	reservations map[uint64]*reservation
	// releaseCount is how many of the reservations are being released.
	releaseCount int
}

// NewCoordinator returns the coordinator of a process, which is identified by a random number. The voters are indices
// among the gateways.
func NewCoordinator(process uint64, voters []int) *Coordinator {
	return &Coordinator{process: process, voters: voters, reservations: map[uint64]*reservation{}}
}

// Process returns the process's number.
func (c *Coordinator) Process() uint64 { return c.process }

// InFlight returns how many reservations are undecided or held, and how many are being released.
func (c *Coordinator) InFlight() (reservations, releases int) {
	return len(c.reservations) - c.releaseCount, c.releaseCount
}

// Reserve begins the reservation of a key and returns its sequence number. Tick returns its requests. The only error is
// ErrTooManyReservations.
func (c *Coordinator) Reserve(now time.Duration, key Key) (sequence uint64, err error) {
	if len(c.reservations) >= MaxReservations {
		return 0, ErrTooManyReservations
	}
	c.lastSequence++
	c.reservations[c.lastSequence] = &reservation{key: key, nextRetryAt: now, retryDelay: firstRetryDelay}
	return c.lastSequence, nil
}

// HandleResponse takes a voter's response. It returns a result once for each reservation, when that is decided. A
// reservation that was not granted is released.
func (c *Coordinator) HandleResponse(now time.Duration, voter int, response Response) (result Result, decided bool) {
	r := c.reservations[response.Sequence]
	index := slices.Index(c.voters, voter)
	if r == nil || index < 0 {
		return Result{}, false
	}
	if r.phase == phaseReleasing && response.Vote == VoteReleased {
		r.votes[index] = VoteReleased
		c.removeIfReleased(now, response.Sequence, r)
	}
	if r.phase != phaseVoting || response.Vote == VoteReleased || r.votes[index] == VoteGranted {
		return Result{}, false
	}
	r.votes[index] = response.Vote
	outcome, decided := r.outcome(len(c.voters))
	if !decided {
		return Result{}, false
	}
	if outcome == Reserved {
		r.phase = phaseReserved
	} else {
		c.startRelease(now, response.Sequence, r)
	}
	return Result{Sequence: response.Sequence, Outcome: outcome}, true
}

// Finish ends a reservation, decided or not. The key is released, unless an attempt of the request may have run: then
// the voters retain it.
func (c *Coordinator) Finish(now time.Duration, sequence uint64, mayHaveRun bool) {
	r := c.reservations[sequence]
	switch {
	case r == nil || r.phase == phaseReleasing:
	case mayHaveRun:
		delete(c.reservations, sequence)
	default:
		c.startRelease(now, sequence, r)
	}
}

// startRelease begins to release a reservation. With too many releases in flight it drops the reservation instead, and
// the voters retain the key.
func (c *Coordinator) startRelease(now time.Duration, sequence uint64, r *reservation) {
	if c.releaseCount >= maxReleases {
		delete(c.reservations, sequence)
		return
	}
	c.releaseCount++
	r.phase = phaseReleasing
	r.votes = [maxVoters]Vote{}
	r.releaseUntil = now + releaseRetryWindow
	r.nextRetryAt = now
	r.retryDelay = firstRetryDelay
}

// removeIfReleased removes a reservation that all voters have released, or whose release has taken too long.
func (c *Coordinator) removeIfReleased(now time.Duration, sequence uint64, r *reservation) {
	isConfirmed := !slices.ContainsFunc(r.votes[:len(c.voters)], func(vote Vote) bool { return vote != VoteReleased })
	if !isConfirmed && now < r.releaseUntil {
		return
	}
	delete(c.reservations, sequence)
	c.releaseCount--
}

// Tick returns the requests that are due, first ones and retries.
func (c *Coordinator) Tick(now time.Duration) (requests []OutgoingRequest) {
	for sequence, r := range c.reservations {
		if now < r.nextRetryAt || r.phase == phaseReserved {
			continue
		}
		if r.phase == phaseReleasing && now >= r.releaseUntil {
			c.removeIfReleased(now, sequence, r)
			continue
		}
		request := Request{Key: r.key, Sequence: sequence, Release: r.phase == phaseReleasing}
		for index, voter := range c.voters {
			if r.needsVote(index) {
				requests = append(requests, OutgoingRequest{Voter: voter, Request: request})
			}
		}
		r.nextRetryAt = now + r.retryDelay
		r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	}
	return requests
}

// NextRetry returns when Tick has requests at the earliest. It is false if nothing waits for a voter.
func (c *Coordinator) NextRetry() (at time.Duration, ok bool) {
	for _, r := range c.reservations {
		if r.phase == phaseReserved {
			continue
		}
		if !ok || r.nextRetryAt < at {
			at, ok = r.nextRetryAt, true
		}
	}
	return at, ok
}

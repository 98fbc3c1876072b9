package idempotency

import (
	"errors"
	"slices"
	"time"
)

// Limits of a coordinator.
const (
	// MaxReservations is the maximum number of reservations of a coordinator, including those being released.
	MaxReservations = 16384
	// maxReleases is the maximum number of reservations being released. It leaves capacity for new reservations.
	maxReleases = MaxReservations / 2
	// maxVoters is the maximum number of voters.
	maxVoters = 8
)

// Timing of retries to voters that have not answered.
const (
	// firstRetryDelay is the delay before the first retry.
	firstRetryDelay = 40 * time.Millisecond
	// maxRetryDelay limits the delay, which doubles with each retry.
	maxRetryDelay = 500 * time.Millisecond
	// releaseRetryWindow is how long a release is retried. A voter that does not receive it keeps the key reserved
	// until its retention ends.
	releaseRetryWindow = 5 * time.Second
)

// ErrTooManyReservations reports that a coordinator already has MaxReservations reservations.
var ErrTooManyReservations = errors.New("too many reservations in flight")

// Outcome is the result of a reservation.
type Outcome int

// Outcomes of a reservation.
const (
	// Reserved means that a majority of voters granted the key, so the request may be dispatched.
	Reserved Outcome = iota
	// HeldByOther means that another request with the same key holds the key or may have run.
	HeldByOther
	// NoCapacity means that too many voters have reached their limit of retained keys, or that the coordinator has
	// reached its limit of reservations.
	NoCapacity
)

// String returns the name of the outcome.
func (o Outcome) String() string { return [...]string{"reserved", "held by other", "no capacity"}[o] }

// Result is the outcome of a decided reservation.
type Result struct {
	// Sequence is the number that Reserve returned.
	Sequence uint64
	Outcome  Outcome
}

// phase is the state of a reservation.
type phase uint8

const (
	// phaseVoting means that the votes do not decide the outcome yet.
	phaseVoting phase = iota
	// phaseReserved means that the key is reserved until Finish is called.
	phaseReserved
	// phaseReleasing means that not all voters have confirmed the release yet.
	phaseReleasing
)

// reservation is the reservation of a key for one request.
type reservation struct {
	key   Key
	phase phase
	// votes holds the last vote of each voter in the current phase, in the order of Coordinator.voters.
	votes [maxVoters]Vote
	// releaseUntil is when the release is no longer retried.
	releaseUntil time.Duration
	// nextRetryAt is when requests are sent next; retryDelay is the delay until the retry after that.
	nextRetryAt time.Duration
	retryDelay  time.Duration
}

// outcome returns the outcome of the votes. It is decided as soon as the missing votes can't change it.
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

// needsVote reports whether a request has to be sent to a voter in the current phase. Voters that denied the key are
// asked again, as the key may have been released since.
func (r *reservation) needsVote(index int) bool {
	if r.phase == phaseReleasing {
		return r.votes[index] != VoteReleased
	}
	return r.votes[index] != VoteGranted
}

// Coordinator reserves keys for the requests of one gateway by asking the voters.
type Coordinator struct {
	// process is the random number that identifies this process.
	process uint64
	// voters are the indices of the voters among the gateways.
	voters       []int
	lastSequence uint64
	// reservations holds the reservations by sequence number.
	reservations map[uint64]*reservation
	// releaseCount is the number of reservations in phaseReleasing.
	releaseCount int
}

// NewCoordinator returns the coordinator of a process. process is a random number that identifies it; voters are the
// indices of the voters among the gateways.
func NewCoordinator(process uint64, voters []int) *Coordinator {
	return &Coordinator{process: process, voters: voters, reservations: map[uint64]*reservation{}}
}

// Process returns the random number that identifies the process.
func (c *Coordinator) Process() uint64 { return c.process }

// InFlight returns how many reservations are undecided or reserved, and how many are being released.
func (c *Coordinator) InFlight() (reservations, releases int) {
	return len(c.reservations) - c.releaseCount, c.releaseCount
}

// Reserve starts the reservation of a key and returns its sequence number. The requests to the voters are returned by
// Tick. The only error is ErrTooManyReservations.
func (c *Coordinator) Reserve(now time.Duration, key Key) (sequence uint64, err error) {
	if len(c.reservations) >= MaxReservations {
		return 0, ErrTooManyReservations
	}
	c.lastSequence++
	c.reservations[c.lastSequence] = &reservation{key: key, nextRetryAt: now, retryDelay: firstRetryDelay}
	return c.lastSequence, nil
}

// HandleResponse processes the response of a voter. It returns the result of a reservation once, when the outcome is
// decided. If the key was not reserved, votes that granted it are released.
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

// Finish ends a reservation, whether it is decided or not. It releases the key unless an attempt of the request may
// have run. In that case the voters keep the key reserved until its retention ends.
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

// startRelease starts the release of a reservation. If too many releases are in flight, it removes the reservation
// without a release, and the voters keep the key reserved until its retention ends.
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

// removeIfReleased removes a reservation if all voters have confirmed its release or the release has timed out.
func (c *Coordinator) removeIfReleased(now time.Duration, sequence uint64, r *reservation) {
	isConfirmed := !slices.ContainsFunc(r.votes[:len(c.voters)], func(vote Vote) bool { return vote != VoteReleased })
	if !isConfirmed && now < r.releaseUntil {
		return
	}
	delete(c.reservations, sequence)
	c.releaseCount--
}

// Tick returns the requests to voters that are due, including retries.
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

// NextRetry returns the earliest time at which Tick has requests. ok is false if no reservation waits for votes.
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

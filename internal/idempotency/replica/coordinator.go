package replica

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gapgap/internal/idempotency"
)

const (
	// maxQueuedCommands is the maximum number of queued calls of Reserve and Finish.
	maxQueuedCommands = 4096
	// pendingTimeout is how long a reservation may wait for its outcome before the gateway considers the quorum lost.
	pendingTimeout = 300 * time.Millisecond
	// pingInterval is how often voters are pinged while too few of them answer.
	pingInterval = 250 * time.Millisecond
	// answerLifetime is how long a voter counts as answering after its last message.
	answerLifetime = 600 * time.Millisecond
	// idleSleep is how long the loop sleeps when nothing is due.
	idleSleep = time.Hour
	// minSleep is the minimum time for which the loop sleeps.
	minSleep = time.Millisecond
)

// commandKind is the type of a command.
type commandKind int

const (
	commandReserve commandKind = iota
	commandFinish
)

// command is a queued call for the coordinator's goroutine.
type command struct {
	kind commandKind
	// id is the reservation's ID, which Reserve has returned.
	id uint64
	// key and done are set for commandReserve.
	key  idempotency.Key
	done func(idempotency.Outcome)
	// mayHaveRun is set for commandFinish.
	mayHaveRun bool
}

// pendingReservation is an undecided reservation.
type pendingReservation struct {
	// since is when the reservation started.
	since time.Duration
	// done is called with the outcome.
	done func(idempotency.Outcome)
}

// coordinatorLoop runs the coordinator of the gateway.
type coordinatorLoop struct {
	replica  *Replica
	inbox    chan receivedMessage
	commands chan command
	// lastID is the last assigned reservation ID.
	lastID atomic.Uint64
	// lacksQuorum is set while too few voters answer. Reservations are then rejected, as they could not be decided.
	lacksQuorum atomic.Bool

	// The following fields are accessed only by the goroutine of run.

	coordinator *idempotency.Coordinator
	// sequences maps the IDs of reservations to the coordinator's sequence numbers.
	sequences map[uint64]uint64
	// pending holds the undecided reservations by sequence number.
	pending map[uint64]pendingReservation
	// answeredAt is when the last message of each voter was received.
	answeredAt map[int]time.Duration
	// pingedAt is when the voters were last pinged, or zero if they never were.
	pingedAt time.Duration
}

func newCoordinatorLoop(r *Replica) *coordinatorLoop {
	l := &coordinatorLoop{
		replica:     r,
		inbox:       make(chan receivedMessage, maxQueuedMessages),
		commands:    make(chan command, maxQueuedCommands),
		coordinator: idempotency.NewCoordinator(r.process, r.config.Voters),
		sequences:   map[uint64]uint64{},
		pending:     map[uint64]pendingReservation{},
		answeredAt:  map[int]time.Duration{},
	}
	l.lacksQuorum.Store(true)
	return l
}

// reserve queues a reservation and returns its ID, or zero if the queue is full. It is safe for concurrent use.
func (l *coordinatorLoop) reserve(key idempotency.Key, done func(idempotency.Outcome)) uint64 {
	id := l.lastID.Add(1)
	select {
	case l.commands <- command{kind: commandReserve, id: id, key: key, done: done}:
		return id
	default:
		return 0
	}
}

// run handles commands, messages and timers until ctx is done.
func (l *coordinatorLoop) run(ctx context.Context) {
	timer := time.NewTimer(0) // fires at once, so that the voters are pinged first
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.commands:
			handleQueued(first, l.commands, l.handleCommand)
		case first := <-l.inbox:
			handleQueued(first, l.inbox, l.handleMessage)
		case <-timer.C:
		}
		l.sendRequests()
		timer.Reset(l.sleepDuration(l.updateQuorum()))
	}
}

// sleepDuration returns how long the loop may sleep until the next retry, at most longest.
func (l *coordinatorLoop) sleepDuration(longest time.Duration) time.Duration {
	at, ok := l.coordinator.NextRetry()
	if !ok {
		return longest
	}
	return min(longest, max(minSleep, at-l.now()))
}

func (l *coordinatorLoop) now() time.Duration { return l.replica.config.Now() }

// updateQuorum determines whether enough voters answer, and pings the voters if not. It returns the time after which it
// must be called again at the latest.
func (l *coordinatorLoop) updateQuorum() time.Duration {
	now := l.now()
	if !l.lacksQuorum.Load() {
		if !l.hasOverduePending(now) {
			return l.untilOverdue()
		}
		l.lacksQuorum.Store(true)
		l.replica.config.Log.Warn("too few voters answer for keys: changes are refused", "pending", len(l.pending))
	}
	voters := l.replica.config.Voters
	answering := l.countAnswering(now)
	if answering >= len(voters)/2+1 {
		l.lacksQuorum.Store(false)
		l.replica.config.Log.Info("enough voters answer for keys", "voters", len(voters), "answering", answering)
		return idleSleep
	}
	if l.pingedAt == 0 || now-l.pingedAt >= pingInterval {
		l.pingedAt = now
		for _, voter := range voters {
			l.replica.send(outgoingMessage{voter, &message{Ping: true}})
		}
	}
	return pingInterval
}

// hasOverduePending reports whether a reservation has been undecided for pendingTimeout.
func (l *coordinatorLoop) hasOverduePending(now time.Duration) bool {
	for _, pending := range l.pending {
		if now-pending.since >= pendingTimeout {
			return true
		}
	}
	return false
}

// untilOverdue returns the time after which hasOverduePending must be checked again.
func (l *coordinatorLoop) untilOverdue() time.Duration {
	if len(l.pending) > 0 {
		return pendingTimeout
	}
	return idleSleep
}

// countAnswering returns the number of voters that have answered within answerLifetime.
func (l *coordinatorLoop) countAnswering(now time.Duration) (answering int) {
	for _, at := range l.answeredAt {
		if now-at < answerLifetime {
			answering++
		}
	}
	return answering
}

// handleCommand starts or finishes a reservation.
func (l *coordinatorLoop) handleCommand(c command) {
	switch c.kind {
	case commandReserve:
		l.beginReservation(c)
	case commandFinish:
		l.finishReservation(c)
	}
}

func (l *coordinatorLoop) beginReservation(c command) {
	now := l.now()
	sequence, err := l.coordinator.Reserve(now, c.key)
	if err != nil {
		l.replica.Stats.NoCapacity.Add(1)
		c.done(idempotency.NoCapacity)
		return
	}
	l.sequences[c.id] = sequence
	l.pending[sequence] = pendingReservation{since: now, done: c.done}
}

func (l *coordinatorLoop) finishReservation(c command) {
	sequence, ok := l.sequences[c.id]
	if !ok {
		return
	}
	l.coordinator.Finish(l.now(), sequence, c.mayHaveRun)
	delete(l.pending, sequence)
	delete(l.sequences, c.id)
}

// handleMessage processes a message of a voter. Messages of gateways that are not voters are ignored, as they must not
// count towards the quorum.
func (l *coordinatorLoop) handleMessage(received receivedMessage) {
	if !slices.Contains(l.replica.config.Voters, received.from) {
		return
	}
	l.answeredAt[received.from] = l.now()
	for _, response := range received.message.Responses {
		result, decided := l.coordinator.HandleResponse(l.now(), received.from, response)
		if !decided {
			continue
		}
		l.countOutcome(result.Outcome)
		if pending, ok := l.pending[result.Sequence]; ok {
			delete(l.pending, result.Sequence)
			pending.done(result.Outcome)
		}
	}
}

func (l *coordinatorLoop) countOutcome(outcome idempotency.Outcome) {
	stats := &l.replica.Stats
	switch outcome {
	case idempotency.Reserved:
		stats.Granted.Add(1)
	case idempotency.HeldByOther:
		stats.HeldByOther.Add(1)
	default:
		stats.NoCapacity.Add(1)
	}
}

// sendRequests sends the requests that are due, with up to maxEntriesPerMessage of them in a message.
func (l *coordinatorLoop) sendRequests() {
	byVoter := map[int][]idempotency.Request{}
	for _, out := range l.coordinator.Tick(l.now()) {
		byVoter[out.Voter] = append(byVoter[out.Voter], out.Request)
	}
	for voter, requests := range byVoter {
		for chunk := range slices.Chunk(requests, maxEntriesPerMessage) {
			l.replica.send(outgoingMessage{voter, &message{Requests: chunk}})
		}
	}
}

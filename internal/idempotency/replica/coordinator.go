package replica

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gapgap/internal/idempotency"
)

const (
	// maxQueuedCommands limits the calls of Reserve and Finish that wait.
	maxQueuedCommands = 4096
	// pendingTimeout is how long a reservation waits for its outcome before the voters count as unreachable.
	pendingTimeout = 300 * time.Millisecond
	// pingInterval is how often voters are asked whether they vote, while too few answer.
	pingInterval = 250 * time.Millisecond
	// answerLifetime is how long a voter's last answer shows that it votes.
	answerLifetime = 600 * time.Millisecond
	// idleSleep is how long the loop sleeps when nothing is due.
	idleSleep = time.Hour
	// minSleep is how long it sleeps at least.
	minSleep = time.Millisecond
)

// commandKind tells what a command does.
type commandKind int

const (
	commandReserve commandKind = iota
	commandFinish
)

// command is a call that waits for the coordinator's goroutine.
type command struct {
	kind commandKind
	id   uint64
	// key and done are of commandReserve.
	key  idempotency.Key
	done func(idempotency.Outcome)
	// mayHaveRun is of commandFinish.
	mayHaveRun bool
}

// pendingReservation is a reservation without an outcome.
type pendingReservation struct {
	since time.Duration
	done  func(idempotency.Outcome)
}

// coordinatorLoop drives the gateway's coordinator.
type coordinatorLoop struct {
	replica  *Replica
	inbox    chan receivedMessage
	commands chan command
	// lastID is the last ID of a reservation that Reserve returned.
	lastID atomic.Uint64
	// lacksQuorum is set while too few voters answer. Reservations would wait in vain.
	lacksQuorum atomic.Bool

	// The fields below belong to the goroutine of run.

	coordinator *idempotency.Coordinator
	// sequences has the coordinator's number of each reservation, by the ID that its caller knows.
	sequences map[uint64]uint64
	// pending are the reservations without an outcome, by the coordinator's number.
	pending map[uint64]pendingReservation
	// answeredAt is when each voter was last heard of.
	answeredAt map[int]time.Duration
	// pingedAt is when voters were last pinged; zero: never.
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

// reserve queues a reservation and returns its ID; zero if the queue is full. Any goroutine may call it.
func (l *coordinatorLoop) reserve(key idempotency.Key, done func(idempotency.Outcome)) uint64 {
	id := l.lastID.Add(1)
	select {
	case l.commands <- command{kind: commandReserve, id: id, key: key, done: done}:
		return id
	default:
		return 0
	}
}

// run handles commands, messages and timers until the context is done.
func (l *coordinatorLoop) run(ctx context.Context) {
	timer := time.NewTimer(0) // first of all voters are pinged
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

// sleepDuration returns how long the loop may sleep, at most the given time.
func (l *coordinatorLoop) sleepDuration(longest time.Duration) time.Duration {
	at, ok := l.coordinator.NextRetry()
	if !ok {
		return longest
	}
	return min(longest, max(minSleep, at-l.now()))
}

func (l *coordinatorLoop) now() time.Duration { return l.replica.config.Now() }

// updateQuorum decides whether enough voters answer, and returns after what time it has to be called again at the
// latest.
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

// hasOverduePending tells whether a reservation has waited for too long.
func (l *coordinatorLoop) hasOverduePending(now time.Duration) bool {
	for _, pending := range l.pending {
		if now-pending.since >= pendingTimeout {
			return true
		}
	}
	return false
}

// untilOverdue returns after what time a reservation may have become overdue.
func (l *coordinatorLoop) untilOverdue() time.Duration {
	if len(l.pending) > 0 {
		return pendingTimeout
	}
	return idleSleep
}

// countAnswering returns how many voters have answered lately.
func (l *coordinatorLoop) countAnswering(now time.Duration) (answering int) {
	for _, at := range l.answeredAt {
		if now-at < answerLifetime {
			answering++
		}
	}
	return answering
}

// handleCommand begins or ends a reservation.
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

// handleMessage takes a voter's responses. Those of gateways without a vote are ignored.
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

// sendRequests sends the requests that are due, as many in a message as fit.
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

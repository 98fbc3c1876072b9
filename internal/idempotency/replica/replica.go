package replica

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/idempotency"
	"gapgap/internal/vfs"
)

const (
	// maxQueuedMessages limits the messages that wait for a goroutine. More are dropped, and sent again by a retry.
	maxQueuedMessages = 4096
	// maxBatch limits the queued messages that a goroutine takes at once.
	maxBatch = 512
)

// Config configures a replica.
type Config struct {
	// Index is this gateway's index among Gateways.
	Index    int
	Gateways int
	// Voters are the indices of the gateways with a voter.
	Voters []int
	FS     vfs.FS
	// Dir is the gateway's state directory. The voter's log has a directory of its own in it.
	Dir string
	// Incarnation is that with which this process started.
	Incarnation uint32
	// Retention is how long voters retain a key at least.
	Retention time.Duration
	// MaxKeys limits the keys that the voter retains.
	MaxKeys int
	// Now reads a clock that runs on while the process is stopped.
	Now func() time.Duration
	Log *slog.Logger
	// Send sends a datagram to another gateway. It returns at once, and the datagram may be lost.
	Send func(to int, datagram []byte)
}

// isVoter tells whether this gateway has a voter.
func (c *Config) isVoter() bool { return slices.Contains(c.Voters, c.Index) }

// Replica is a gateway's part in the reservation of keys. Any goroutine may call its methods.
type Replica struct {
	Stats       Stats
	config      Config
	process     uint64
	coordinator *coordinatorLoop
	// voter is nil where the gateway has none.
	voter *voterLoop

	ctx       context.Context
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup
}

// New opens the voter's log, if the gateway has a voter. Its errors say in one line what is wrong, and may wrap those
// of package wal and [idempotency.ErrInvalidConfig].
func New(config Config) (*Replica, error) {
	r := &Replica{config: config, process: randomID()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.coordinator = newCoordinatorLoop(r)
	if config.isVoter() {
		voter, err := openVoter(r)
		if err != nil {
			r.cancel()
			return nil, err
		}
		r.voter = voter
	}
	return r, nil
}

// Start starts the replica's goroutines.
func (r *Replica) Start() {
	r.waitGroup.Go(func() { r.coordinator.run(r.ctx) })
	if r.voter != nil {
		r.waitGroup.Go(func() { r.voter.run(r.ctx) })
	}
}

// Close ends the replica. Undecided reservations are not called back.
func (r *Replica) Close() {
	r.cancel()
	r.waitGroup.Wait()
	if r.voter != nil {
		_ = r.voter.log.Close() // what was synced is stored, all else was never answered
	}
}

// HasQuorum tells whether enough voters answer.
func (r *Replica) HasQuorum() bool { return !r.coordinator.lacksQuorum.Load() }

// DiskSummary tells operators what the voter's disk had. It is empty where the gateway has no voter.
func (r *Replica) DiskSummary() string {
	if r.voter == nil {
		return ""
	}
	return r.voter.diskSummary
}

// View returns the state of the gateway's voter.
func (r *Replica) View() View {
	if r.voter == nil {
		return View{}
	}
	return *r.voter.view.Load()
}

// Reserve reserves a key. Another goroutine calls done once with the outcome, unless Finish comes first. It returns an
// ID for Finish; zero if too few voters answer or too many calls are queued, and then done is not called.
func (r *Replica) Reserve(key idempotency.Key, done func(idempotency.Outcome)) (id uint64) {
	if !r.HasQuorum() {
		r.Stats.NoQuorum.Add(1)
		return 0
	}
	return r.coordinator.reserve(key, done)
}

// Finish ends a reservation, decided or not. mayHaveRun tells whether an attempt of its request may have run: then the
// key stays reserved.
func (r *Replica) Finish(id uint64, mayHaveRun bool) {
	select {
	case r.coordinator.commands <- command{kind: commandFinish, id: id, mayHaveRun: mayHaveRun}:
	case <-r.ctx.Done():
	}
}

// HandleMessage takes a datagram of another gateway. It returns at once.
func (r *Replica) HandleMessage(from int, datagram []byte) {
	m := &message{}
	if messageDecoder.Unmarshal(datagram, m) != nil || from < 0 || from >= r.config.Gateways {
		r.Stats.DroppedMessages.Add(1)
		return
	}
	received := receivedMessage{from: from, message: m}
	if m.isForCoordinator(r.process) {
		r.enqueue(r.coordinator.inbox, received)
	}
	if r.voter != nil && m.isForVoter() {
		r.enqueue(r.voter.inbox, received)
	}
}

// enqueue queues a message, or drops it if the queue is full.
func (r *Replica) enqueue(inbox chan<- receivedMessage, received receivedMessage) {
	select {
	case inbox <- received:
	default:
		r.Stats.DroppedMessages.Add(1)
	}
}

// send sends a message to a gateway, which may be this one.
func (r *Replica) send(out outgoingMessage) {
	out.message.Process = r.process
	datagram, err := cbor.Marshal(out.message)
	switch {
	case err != nil:
		r.config.Log.Error("message on idempotency keys could not be encoded", "error", err)
	case out.to == r.config.Index:
		r.HandleMessage(out.to, datagram)
	default:
		r.config.Send(out.to, datagram)
	}
}

// handleQueued passes the first element, and those that are queued behind it up to maxBatch, to a function.
func handleQueued[T any](first T, queue <-chan T, handle func(T)) {
	handle(first)
	for range min(len(queue), maxBatch) {
		handle(<-queue)
	}
}

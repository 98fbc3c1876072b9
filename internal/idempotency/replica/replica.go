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
	// maxQueuedMessages is the maximum number of messages queued for a goroutine. Further messages are dropped; the
	// senders retry them.
	maxQueuedMessages = 4096
	// maxBatch is the maximum number of queued elements that a goroutine handles in addition to the first one before it
	// sends messages.
	maxBatch = 512
)

// Config configures a replica.
type Config struct {
	// Index is the index of this gateway.
	Index int
	// Gateways is the number of gateways.
	Gateways int
	// Voters are the indices of the gateways that are voters.
	Voters []int
	FS     vfs.FS
	// Dir is the state directory of the gateway. The voter's log is in a subdirectory of it.
	Dir string
	// Incarnation is the incarnation with which this process started.
	Incarnation uint32
	// Retention is the minimum time for which voters retain a key.
	Retention time.Duration
	// MaxKeys is the maximum number of keys that the voter retains.
	MaxKeys int
	// Now reads a clock that keeps running while the process is stopped.
	Now func() time.Duration
	Log *slog.Logger
	// Send sends a datagram to another gateway. It must not block. The datagram may be lost.
	Send func(to int, datagram []byte)
}

// isVoter reports whether this gateway is a voter.
func (c *Config) isVoter() bool { return slices.Contains(c.Voters, c.Index) }

// Replica runs the coordinator of a gateway and its voter, if it has one. Its methods are safe for concurrent use.
type Replica struct {
	Stats       Stats
	config      Config
	process     uint64
	coordinator *coordinatorLoop
	// voter is nil if the gateway is not a voter.
	voter *voterLoop

	ctx       context.Context
	cancel    context.CancelFunc
	waitGroup sync.WaitGroup
}

// New returns a replica and opens the voter's log if the gateway is a voter. Its errors describe the problem in one
// line, and may wrap [idempotency.ErrInvalidConfig] and the errors of package wal.
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

// Close stops the replica and waits for its goroutines. The callbacks of undecided reservations are not called.
func (r *Replica) Close() {
	r.cancel()
	r.waitGroup.Wait()
	if r.voter != nil {
		_ = r.voter.log.Close() // votes that were not synced were never sent
	}
}

// HasQuorum reports whether enough voters answer.
func (r *Replica) HasQuorum() bool { return !r.coordinator.lacksQuorum.Load() }

// DiskSummary describes to operators what the voter read from its disk. It is empty if the gateway is not a voter.
func (r *Replica) DiskSummary() string {
	if r.voter == nil {
		return ""
	}
	return r.voter.diskSummary
}

// View returns the state of the gateway's voter, or a zero View if the gateway is not a voter.
func (r *Replica) View() View {
	if r.voter == nil {
		return View{}
	}
	return *r.voter.view.Load()
}

// Reserve reserves a key and returns an ID for Finish. Another goroutine calls done once with the outcome, unless
// Finish is handled first. If too few voters answer or too many calls are queued, the ID is zero and done is not
// called.
func (r *Replica) Reserve(key idempotency.Key, done func(idempotency.Outcome)) (id uint64) {
	if !r.HasQuorum() {
		r.Stats.NoQuorum.Add(1)
		return 0
	}
	return r.coordinator.reserve(key, done)
}

// Finish ends a reservation, whether it is decided or not. mayHaveRun tells whether an attempt of its request may have
// run; if so, the key stays reserved for the retention period. Finish blocks while too many calls are queued.
func (r *Replica) Finish(id uint64, mayHaveRun bool) {
	select {
	case r.coordinator.commands <- command{kind: commandFinish, id: id, mayHaveRun: mayHaveRun}:
	case <-r.ctx.Done():
	}
}

// HandleMessage queues a datagram of another gateway for processing. It does not block.
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

// enqueue queues a message or, if the queue is full, drops it.
func (r *Replica) enqueue(inbox chan<- receivedMessage, received receivedMessage) {
	select {
	case inbox <- received:
	default:
		r.Stats.DroppedMessages.Add(1)
	}
}

// send sends a message to a gateway. A message to this gateway is queued directly.
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

// handleQueued passes an element that was received from a queue, and up to maxBatch elements that are still queued, to
// the function handle.
func handleQueued[T any](first T, queue <-chan T, handle func(T)) {
	handle(first)
	for range min(len(queue), maxBatch) {
		handle(<-queue)
	}
}

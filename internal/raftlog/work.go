package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// maxReadyRounds limits the iterations of one ProcessReady call.
	maxReadyRounds = 1000
	// maxQueuedMessages limits the messages that wait for a write. Beyond it, messages from other voters are dropped.
	maxQueuedMessages = 1024
)

// termVote is a term and the raft ID of the voter that this one voted for in that term.
type termVote struct{ term, vote uint64 }

// writeQueue holds what waits to be stored. Raft continues meanwhile: messages that must not be sent or applied before
// something is stored wait in the queue, and then in the batch of the write.
type writeQueue struct {
	dirty     bool // the disk's content has changed since the last write was started
	isWriting bool
	startedAt int // tick at which the last write was started
	// queued has raft's append messages, and the messages to send or apply after them, in order.
	queued        []raftpb.Message
	queuedApplies int      // apply messages in queued or in the batch of the write
	latest        termVote // as of the last append
	stored        termVote // as of the last append that was stored
}

// isFull reports whether messages from other voters are to be dropped.
func (q *writeQueue) isFull() bool { return len(q.queued) >= maxQueuedMessages }

// ProcessReady stores, sends and applies what raft has ready. Callers must call it after each of the other methods. It
// returns the error that stopped this voter, if any.
func (l *Log) ProcessReady() error {
	defer l.recoverRaftPanic()
	for range maxReadyRounds {
		if !l.HasStarted() {
			return l.failure
		}
		if !l.node.HasReady() {
			if !l.startWrite() {
				return l.failure
			}
			continue
		}
		if err := l.handleReady(l.node.Ready()); err != nil {
			return l.fail(err)
		}
	}
	return l.failure
}

// handleReady handles what raft wants to be stored, sent and applied.
func (l *Log) handleReady(ready raft.Ready) error {
	if hardState := ready.HardState; !raft.IsEmptyHardState(hardState) {
		l.writes.latest = termVote{hardState.Term, hardState.Vote}
	}
	for _, m := range ready.Messages {
		var err error
		switch m.To {
		case raft.LocalAppendThread:
			err = l.handleAppend(m)
		case raft.LocalApplyThread:
			err = l.handleApply(m)
		default:
			l.handleSend(m)
		}
		if err != nil {
			return err
		}
	}
	l.reads = append(l.reads, ready.ReadStates...)
	l.finishReads()
	return nil
}

// handleAppend records what is to be stored in the disk's content, and queues the message until that is written.
func (l *Log) handleAppend(m raftpb.Message) error {
	hardState := hardStateOf(m)
	if !raft.IsEmptyHardState(hardState) || len(m.Entries) > 0 || m.Snapshot != nil {
		if err := l.cfg.Disk.record(hardState, m.Entries, m.Snapshot); err != nil {
			return err
		}
		l.writes.dirty = true
	}
	if m.Snapshot != nil {
		l.incomingSnapshot = m.Snapshot.Metadata.Index
	}
	l.learnDiskNumbers(m.Entries)
	l.writes.queued = append(l.writes.queued, m)
	return nil
}

// handleApply applies committed entries. A change of the voters is applied only once its commit is stored: a voter that
// lost the commit in a restart would drop all messages of the new disk. Later entries wait as well.
func (l *Log) handleApply(m raftpb.Message) error {
	if l.writes.queuedApplies > 0 || slices.ContainsFunc(m.Entries, isConfChange) {
		l.writes.queued = append(l.writes.queued, m)
		l.writes.queuedApplies++
		return nil
	}
	return l.apply(m)
}

func isConfChange(e raftpb.Entry) bool { return e.Type == raftpb.EntryConfChange }

// handleSend sends a message once this voter's term and vote are stored. Raft lets a candidate request votes, and even
// become leader, before its own vote is stored; if it restarts then, it could become leader twice in the same term.
func (l *Log) handleSend(m raftpb.Message) {
	switch {
	case l.writes.latest == l.writes.stored:
		l.send(m)
	case !l.writes.isFull(): // otherwise the message is dropped
		l.writes.queued = append(l.writes.queued, m)
	}
}

// learnDiskNumbers records the numbers of new disks from received entries, committed or not. A new disk sends nothing
// before its entry is committed, and if the leader is gone, it may be the only one to tell this voter of the commit.
func (l *Log) learnDiskNumbers(entries []raftpb.Entry) {
	for _, e := range entries {
		var c raftpb.ConfChange
		if !isConfChange(e) || c.Unmarshal(e.Data) != nil || c.Type != raftpb.ConfChangeAddNode {
			continue
		}
		number, ok := diskNumberOf(&c)
		if voter := voterOf(c.NodeID); ok && voter != l.cfg.Voter {
			l.setDiskNumber(voter, number)
		}
	}
}

// setDiskNumber records which disk of a voter belongs to the log.
func (l *Log) setDiskNumber(voter int, number uint64) {
	l.cfg.Disk.content.Disks[voter] = number
	l.writes.dirty = true
}

func hardStateOf(m raftpb.Message) raftpb.HardState {
	return raftpb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
}

// startWrite starts to write what has changed, unless a write is in progress. It returns true if the write is already
// complete, so that raft may have more work.
func (l *Log) startWrite() bool {
	q := &l.writes
	if q.isWriting || !q.dirty && len(q.queued) == 0 {
		return false
	}
	batch := q.queued
	q.queued = nil
	if !q.dirty {
		l.finishWrite(batch, nil)
		return true
	}
	b, err := l.cfg.Disk.encode()
	if err != nil {
		_ = l.fail(err) // ProcessReady returns it
		return false
	}
	q.dirty, q.isWriting, q.startedAt = false, true, l.ticks
	write := func() error { return l.cfg.Disk.writeEncoded(b) }
	done := func(err error) {
		l.writes.isWriting = false
		l.finishWrite(batch, err)
	}
	if l.cfg.WriteAsync == nil {
		done(write())
		return true
	}
	l.cfg.WriteAsync(write, done)
	return false
}

// finishWrite handles the messages that waited for a write, unless the write failed.
func (l *Log) finishWrite(batch []raftpb.Message, err error) {
	defer l.recoverRaftPanic()
	for _, m := range batch {
		if err != nil || l.failure != nil {
			break
		}
		switch m.To {
		case raft.LocalApplyThread:
			l.writes.queuedApplies--
			err = l.apply(m)
		case raft.LocalAppendThread:
			err = l.finishAppend(m)
		default:
			l.send(m)
		}
	}
	if err != nil {
		_ = l.fail(err) // ProcessReady returns it
	}
}

// finishAppend updates raft's storage after an append is on the disk, and sends raft's responses to it.
func (l *Log) finishAppend(m raftpb.Message) error {
	if m.Snapshot != nil {
		if err := l.restore(m.Snapshot); err != nil {
			return err
		}
	}
	if hardState := hardStateOf(m); !raft.IsEmptyHardState(hardState) {
		if err := l.storage.SetHardState(hardState); err != nil {
			return err
		}
		l.writes.stored = termVote{hardState.Term, hardState.Vote}
	}
	if err := l.storage.Append(m.Entries); err != nil {
		return err
	}
	l.respond(m.Responses)
	return nil
}

// respond delivers raft's responses to a finished append or apply, to this voter's raft node and to other voters.
func (l *Log) respond(responses []raftpb.Message) {
	for _, m := range responses {
		if m.To == raftID(l.cfg.Voter) {
			_ = l.node.Step(m) // raft accepts all of its own responses
		} else {
			l.send(m)
		}
	}
}

// apply applies committed entries.
func (l *Log) apply(m raftpb.Message) error {
	for _, e := range m.Entries {
		l.applied = e.Index
		switch e.Type {
		case raftpb.EntryNormal:
			l.cfg.Apply(e.Index, e.Data)
		case raftpb.EntryConfChange:
			if err := l.applyConfChange(e.Data); err != nil {
				return err
			}
		}
	}
	l.respond(m.Responses)
	l.finishReads()
	if l.applied-l.snapshotIndex >= snapshotThreshold && l.applied >= l.incomingSnapshot {
		return l.compact(l.applied)
	}
	return nil
}

// finishReads reports the confirmed reads whose index is applied.
func (l *Log) finishReads() {
	var finished []raft.ReadState
	l.reads = slices.DeleteFunc(l.reads, func(r raft.ReadState) bool {
		if r.Index > l.applied {
			return false
		}
		finished = append(finished, r)
		return true
	})
	for _, r := range finished {
		l.cfg.ReadConfirmed(binary.BigEndian.Uint64(r.RequestCtx))
	}
}

// compact creates a snapshot at an index and drops the entries before it, except the last retainedEntries.
func (l *Log) compact(index uint64) error {
	_, state, err := l.cfg.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := l.storage.CreateSnapshot(index, &l.confState, l.encodeSnapshot(state))
	if err != nil {
		return err
	}
	lastDropped := index - min(index, retainedEntries)
	if err := l.cfg.Disk.compact(snapshot, lastDropped); err != nil {
		return err
	}
	l.writes.dirty = true
	l.snapshotIndex = index
	if err := l.storage.Compact(lastDropped); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// raftPanic is the value that raftLogger panics with when raft finds an impossible state, such as a disk that has lost
// what it had stored.
type raftPanic string

// recoverRaftPanic, when deferred, stops this voter after a raftPanic; the gateway keeps running. Any other panic
// continues.
func (l *Log) recoverRaftPanic() {
	switch p := recover().(type) {
	case nil:
	case raftPanic:
		_ = l.fail(fmt.Errorf("%w: it does not agree with the other voters': %s", ErrDamaged, string(p)))
	default:
		panic(p)
	}
}

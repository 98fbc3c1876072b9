// Package raftlog is a log that a few voters agree on, by the raft of etcd (go.etcd.io/raft/v3), kept in a file. What voters tell each
// other is handed in and out as bytes, and the time by ticks; the file is all that it does of input and output. A [Log] belongs to one
// goroutine, and need not wait for its disk (Config.Write): until a write is done, raft goes on with all that does not hang on it.
//
// A fleet's log begins once, when all its voters are there with empty disks. A voter whose disk is empty later may have voted before it
// was lost, so it takes no part until it is replaced ([Log.Replace]): the others leave the lost disk out and then take in the new one, by its
// number, and it begins in their term with its vote there spent.
package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// Ticks and bounds.
const (
	electionTicks        = 12
	heartbeatTicks       = 2
	bootstrapTicks       = 5   // between two questions to other voters whether they have begun
	reachableTicks       = 40  // as long a voter counts as there after its last word on its log
	snapshotTimeoutTicks = 20  // after which a snapshot that was sent counts as arrived, or is sent again
	slowWriteTicks       = 3   // a leader whose disk takes longer for one write gives the lead away ...
	transferPauseTicks   = 200 // ... once in so long
	keptEntries          = 100 // before the last snapshot, for voters that are a little behind
	maxEntries           = 500 // since the last snapshot
	maxEntryBytes        = 64 << 10
	maxWorkRounds        = 1000 // rounds of work at once
	maxWaiting           = 1024 // things that wait for a write; as many on, what other voters say is passed over
)

// Kinds of messages, their first byte.
const (
	kindRaft      = 'S' // with the numbers of the disks that it is from and to: words of, or to, a disk that was replaced are passed over
	kindBootstrap = 'B'
	kindTail      = 'T' // of a voter that hears no leader: that it has its log, and how long it is
)

// Config is one voter.
type Config struct {
	Voter  int
	Voters []int // ranks, this one among them
	Disk   *Disk
	Logger *slog.Logger

	Send          func(to int, b []byte)
	Apply         func(index uint64, entry []byte)
	ReadConfirmed func(token uint64)
	Snapshot      func() (index uint64, state []byte, err error) // of all that was applied
	Restore       func(index uint64, state []byte) error
	// WriteAsync has write run, by whatever goroutine, and then done called with its error by the one that owns the Log, and Work after it. There is
	// one at a time. nil: all is written at once, and Work takes as long as the disk does.
	WriteAsync func(write func() error, done func(error))
}

// Log is a voter's part in it.
type Log struct {
	cfg             Config
	node            *raft.RawNode // nil: the log has not begun here
	storage         *raft.MemoryStorage
	confState       raftpb.ConfState
	fresh           map[int]uint64 // voters that were heard of with an empty disk, and its number
	freshAt         map[int]int    // ... and at which tick last
	tails           map[int]tail   // voters that hear no leader, with their logs
	replacements    map[int]uint64 // voters that are being replaced, and the number of the disk that comes
	ticks           int
	isLost          bool
	failure         error
	snapshotsSentAt map[uint64]int // voters that were sent a snapshot, and when
	snapshotIndex   uint64         // index of the last snapshot kept
	applied         uint64
	reads           []raft.ReadState // confirmed, and waiting until all before them is applied

	// What goes to the disk. Raft goes on meanwhile: what must not be said before it is kept waits in after, then in the write's batch.
	dirty            bool             // there is something that no write has yet
	writing          bool             // one is under way, since a tick
	since            int              //
	after            []raftpb.Message // raft's appends, and what is to be applied after them, in their order
	held             int              // of those, to be applied
	newest           term             // term and vote as of the last append, and as kept: what is said of a term waits until that is kept
	kept             term
	incomingSnapshot uint64 // index of the last snapshot that came from another voter
	transferredAt    int    // tick at which this voter last gave the lead away
}

// term is a term of the log and whom this voter has voted for in it.
type term struct{ n, vote uint64 }

// New is a voter that has just started. What its disk has was checked by [OpenDisk].
func New(cfg Config) (*Log, error) {
	l := &Log{cfg: cfg, fresh: map[int]uint64{}, freshAt: map[int]int{}, tails: map[int]tail{}, replacements: map[int]uint64{}, snapshotsSentAt: map[uint64]int{}}
	for _, v := range cfg.Voters {
		l.confState.Voters = append(l.confState.Voters, raftID(v))
	}
	if cfg.Disk.hasLog() {
		return l, l.start()
	}
	return l, l.bootstrapIfComplete()
}

func raftID(rank int) uint64 { return uint64(rank) + 1 }

// start begins from what the disk has.
func (l *Log) start() (err error) {
	if l.storage, err = l.cfg.Disk.load(); err != nil {
		return err
	}
	snap, err := l.storage.Snapshot()
	if err != nil {
		return err
	}
	hard, _, err := l.storage.InitialState()
	if err != nil {
		return err
	}
	l.newest = term{hard.Term, hard.Vote}
	l.kept = l.newest
	l.snapshotIndex, l.applied, l.confState = snap.Metadata.Index, snap.Metadata.Index, snap.Metadata.ConfState
	if len(snap.Data) > 0 {
		_, state, err := decodeSnapshot(snap.Data) // the disk's own numbers are as new, or newer
		if err == nil {
			err = l.cfg.Restore(snap.Metadata.Index, state)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", l.cfg.Disk.path, err)
		}
	}
	l.node, err = raft.NewRawNode(&raft.Config{ID: raftID(l.cfg.Voter), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: l.storage,
		Applied: snap.Metadata.Index, AsyncStorageWrites: true, MaxSizePerMsg: 8 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		Logger: &logger{l.cfg.Logger}})
	return err
}

// bootstrapIfComplete begins the log once all voters were heard of with empty disks.
func (l *Log) bootstrapIfComplete() error {
	for _, v := range l.cfg.Voters {
		if v != l.cfg.Voter && l.fresh[v] == 0 {
			return nil
		}
	}
	return l.bootstrap(l.fresh, 0)
}

// bootstrap begins with some disks; in a term of others' in which this disk has no vote, if one is given.
func (l *Log) bootstrap(disks map[int]uint64, term uint64) error {
	if l.node != nil || l.failure != nil {
		return nil
	}
	disks = maps.Clone(disks)
	disks[l.cfg.Voter] = l.cfg.Disk.content.Number
	clear(l.fresh) // from here on: disks that ask to take part
	if err := l.cfg.Disk.bootstrap(disks, l.confState, term, raftID(l.cfg.Voter)); err != nil {
		return l.fail(err)
	}
	l.cfg.Logger.Info("the voters of the policy have begun", "voters", len(l.cfg.Voters))
	return l.start()
}

// fail ends this voter's part: what it can't keep it must not say.
func (l *Log) fail(err error) error {
	if l.failure == nil {
		l.failure = err
		l.cfg.Logger.Error("this voter takes no part any more: its log could not be kept", "error", err)
	}
	return err
}

// Leading implements policy.Log.
func (l *Log) Leading() (term uint64, leads bool) {
	if l.node == nil || l.failure != nil {
		return 0, false
	}
	s := l.node.BasicStatus()
	return s.Term, s.RaftState == raft.StateLeader
}

// Propose implements policy.Log. Where this voter does not lead, the entry goes to the one that does.
func (l *Log) Propose(b []byte) {
	defer l.guard()
	if l.node != nil && l.failure == nil && len(b) <= maxEntryBytes {
		l.node.Propose(b)
	}
}

// ConfirmRead implements policy.Log.
func (l *Log) ConfirmRead(token uint64) {
	defer l.guard()
	if l.node != nil && l.failure == nil {
		l.node.ReadIndex(binary.BigEndian.AppendUint64(nil, token))
	}
}

// HasStarted says whether this voter takes part.
func (l *Log) HasStarted() bool { return l.node != nil && l.failure == nil }

// Tick is the time that goes by.
func (l *Log) Tick() {
	defer l.guard()
	l.ticks++
	if l.failure != nil {
		return
	}
	if l.node == nil {
		if l.ticks%bootstrapTicks == 1 {
			for _, v := range l.cfg.Voters {
				if v != l.cfg.Voter {
					l.sendBootstrap(v)
				}
			}
		}
		return
	}
	for id, at := range l.snapshotsSentAt {
		if l.ticks-at >= snapshotTimeoutTicks {
			delete(l.snapshotsSentAt, id)
			l.node.ReportSnapshot(id, raft.SnapshotFinish) // if it has not come, the voter's next answer says so
		}
	}
	l.node.Tick()
	l.transferIfSlow()
	if l.ticks%bootstrapTicks == 1 && l.node.BasicStatus().Lead == raft.None {
		l.sendTail()
	}
}

// transferIfSlow has another voter lead where this one's disk is slow: what is decided is applied, and so read, only once the leader itself has kept it.
func (l *Log) transferIfSlow() {
	if _, leads := l.Leading(); !leads || !l.writing || l.ticks-l.since <= slowWriteTicks || l.transferredAt > 0 && l.ticks-l.transferredAt < transferPauseTicks {
		return
	}
	self, to, match := raftID(l.cfg.Voter), uint64(0), uint64(0)
	l.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != self && pr.RecentActive && pr.Match > match {
			to, match = id, pr.Match
		}
	})
	if to != 0 {
		l.transferredAt = l.ticks
		l.cfg.Logger.Warn("this voter's disk is slow: another one is to lead", "voter", to-1)
		l.node.TransferLeader(to)
	}
}

// sendBootstrap says whether this voter has begun, with which disks, and which is its own.
func (l *Log) sendBootstrap(to int) {
	b := []byte{kindBootstrap}
	b = binary.AppendUvarint(b, l.cfg.Disk.content.Number)
	disks := l.cfg.Disk.content.Disks
	b = binary.AppendUvarint(b, uint64(len(disks)))
	for _, v := range l.cfg.Voters {
		if n, ok := disks[v]; ok {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(v)), n)
		}
	}
	if l.node != nil {
		b = binary.AppendUvarint(b, l.node.BasicStatus().Term)
	}
	l.cfg.Send(to, b)
}

var ErrMalformed = errors.New("no message of a voter")

// receiveBootstrap takes what tellBegin says.
func (l *Log) receiveBootstrap(from int, b []byte) error {
	next := func() (x uint64) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	number, count := next(), next()
	if number == 0 || count > uint64(len(l.cfg.Voters)) {
		return ErrMalformed
	}
	disks := map[int]uint64{}
	for range count {
		v, n := next(), next()
		disks[int(v)] = n
	}
	term := next()
	switch {
	case l.node != nil || l.failure != nil:
		if count == 0 { // it asks
			if l.cfg.Disk.content.Disks[from] != number { // else it is one that the log began with, and has not heard so yet
				l.fresh[from], l.freshAt[from] = number, l.ticks
			}
			l.sendBootstrap(from)
		} else if n, ok := disks[l.cfg.Voter]; l.node != nil && !l.isLost && term > l.node.BasicStatus().Term && (!ok || n != l.cfg.Disk.content.Number) {
			l.isLost = true
			l.cfg.Logger.Error("the voters go on without this one, whose log is of before: it takes no part until it has an empty disk and is replaced", "voter", l.cfg.Voter)
		}
	case count == 0:
		l.fresh[from], l.freshAt[from] = number, l.ticks
		l.sendBootstrap(from)
		return l.bootstrapIfComplete()
	case disks[l.cfg.Voter] == l.cfg.Disk.content.Number:
		return l.bootstrap(disks, term)
	case !l.isLost:
		l.isLost = true
		l.cfg.Logger.Error("this voter's log is lost, and the other voters have one: it takes no part in deciding on policy", "voter", l.cfg.Voter)
	}
	return nil
}

// Step takes what another voter says. An error says what is wrong with it; then nothing has changed.
func (l *Log) Step(from int, b []byte) error {
	defer l.guard()
	if len(b) == 0 || !slices.Contains(l.cfg.Voters, from) || from == l.cfg.Voter {
		return ErrMalformed
	}
	if b[0] == kindBootstrap {
		return l.receiveBootstrap(from, b[1:])
	}
	if b[0] == kindTail {
		return l.receiveTail(from, b[1:])
	}
	if b[0] != kindRaft || l.node == nil || l.failure != nil || len(l.after) >= maxWaiting {
		return nil
	}
	own, n := binary.Uvarint(b[1:])
	if n <= 0 {
		return ErrMalformed
	}
	to, k := binary.Uvarint(b[1+n:])
	if k <= 0 {
		return ErrMalformed
	}
	if is := &l.cfg.Disk.content; to != is.Number || own != is.Disks[from] {
		return nil
	}
	var m raftpb.Message
	if err := m.Unmarshal(b[1+n+k:]); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.From != raftID(from) || m.To != raftID(l.cfg.Voter) || raft.IsLocalMsg(m.Type) {
		return ErrMalformed
	}
	if err := l.node.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return err
	}
	return nil
}

// Work keeps, sends and applies what has come about. It is called after each of the others.
func (l *Log) Work() error {
	defer l.guard()
	for range maxWorkRounds {
		if l.node == nil || l.failure != nil {
			return l.failure
		}
		if !l.node.HasReady() {
			if !l.startWrite() {
				return l.failure
			}
			continue
		}
		rd := l.node.Ready()
		if h := rd.HardState; !raft.IsEmptyHardState(h) {
			l.newest = term{h.Term, h.Vote}
		}
		for _, m := range rd.Messages {
			switch m.To {
			case raft.LocalAppendThread:
				if !raft.IsEmptyHardState(hardStateOf(m)) || len(m.Entries) > 0 || m.Snapshot != nil {
					if err := l.cfg.Disk.record(hardStateOf(m), m.Entries, m.Snapshot); err != nil {
						return l.fail(err)
					}
					l.dirty = true
				}
				if m.Snapshot != nil {
					l.incomingSnapshot = m.Snapshot.Metadata.Index
				}
				l.learnDiskNumbers(m.Entries)
				l.after = append(l.after, m)
			case raft.LocalApplyThread:
				// A change of the voters is applied when it is kept that it was agreed on: a voter that has forgotten it would pass over all
				// words of the new disk.
				if l.held > 0 || slices.ContainsFunc(m.Entries, func(e raftpb.Entry) bool { return e.Type == raftpb.EntryConfChange }) {
					l.after = append(l.after, m)
					l.held++
				} else if err := l.apply(m); err != nil {
					return l.fail(err)
				}
			default:
				// Raft lets a candidate ask, and lead by the others' votes, before its own vote is kept. One that is started anew then may lead
				// in the same term twice.
				switch {
				case l.newest == l.kept:
					l.send(m)
				case len(l.after) < maxWaiting: // else it is lost
					l.after = append(l.after, m)
				}
			}
		}
		l.reads = append(l.reads, rd.ReadStates...)
		l.readApplied()
	}
	return l.failure
}

// learnDiskNumbers takes the numbers of new disks from entries as they come, agreed on or not: a new disk says nothing before its entry was agreed on, and it may be
// the one that has to tell this voter so, where the leader has gone.
func (l *Log) learnDiskNumbers(entries []raftpb.Entry) {
	for _, e := range entries {
		var c raftpb.ConfChange
		if e.Type == raftpb.EntryConfChange && c.Unmarshal(e.Data) == nil && c.Type == raftpb.ConfChangeAddNode && len(c.Context) == 8 && c.NodeID > 0 {
			if rank := int(c.NodeID) - 1; rank != l.cfg.Voter {
				l.cfg.Disk.content.Disks[rank], l.dirty = binary.BigEndian.Uint64(c.Context), true
			}
		}
	}
}

func hardStateOf(m raftpb.Message) raftpb.HardState {
	return raftpb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
}

// startWrite has what is new written, if nothing is being written. It returns whether raft has heard of something by that already.
func (l *Log) startWrite() bool {
	if l.writing || !l.dirty && len(l.after) == 0 {
		return false
	}
	batch := l.after
	l.after = nil
	if !l.dirty {
		l.finishWrite(batch, nil)
		return true
	}
	b, err := l.cfg.Disk.encode()
	if err != nil {
		l.fail(err)
		return false
	}
	l.dirty, l.writing, l.since = false, true, l.ticks
	write, done := func() error { return l.cfg.Disk.writeEncoded(b) }, func(err error) {
		l.writing = false
		l.finishWrite(batch, err)
	}
	if l.cfg.WriteAsync == nil {
		done(write())
		return true
	}
	l.cfg.WriteAsync(write, done)
	return false
}

// finishWrite does what had to wait for a write.
func (l *Log) finishWrite(batch []raftpb.Message, err error) {
	defer l.guard()
	for _, m := range batch {
		if err != nil || l.failure != nil {
			break
		}
		switch m.To {
		case raft.LocalApplyThread:
			l.held--
			err = l.apply(m)
			continue
		case raft.LocalAppendThread:
		default:
			l.send(m)
			continue
		}
		if m.Snapshot != nil {
			if err = l.storage.ApplySnapshot(*m.Snapshot); err != nil {
				break
			}
			index := m.Snapshot.Metadata.Index
			l.snapshotIndex, l.applied, l.confState = index, index, m.Snapshot.Metadata.ConfState
			if err = l.restore(index, m.Snapshot.Data); err != nil {
				break
			}
		}
		if h := hardStateOf(m); !raft.IsEmptyHardState(h) {
			l.storage.SetHardState(h)
			l.kept = term{h.Term, h.Vote}
		}
		if err = l.storage.Append(m.Entries); err == nil {
			l.respond(m.Responses)
		}
	}
	if err != nil {
		l.fail(err)
	}
}

// restore takes the state of a snapshot that came, and the numbers of disks of which the entries before it told.
func (l *Log) restore(index uint64, data []byte) error {
	disks, state, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	for v, n := range disks {
		if v != l.cfg.Voter && l.cfg.Disk.content.Disks[v] != n {
			l.cfg.Disk.content.Disks[v], l.dirty = n, true
		}
	}
	return l.cfg.Restore(index, state)
}

// snapshotWithDisks begins a snapshot that has the numbers of the voters' disks before the state; those of earlier programs have the state alone. No state
// begins so.
const snapshotWithDisks = 0xff

// encodeSnapshot puts the numbers before a state.
func (l *Log) encodeSnapshot(state []byte) []byte {
	disks := l.cfg.Disk.content.Disks
	b := binary.AppendUvarint([]byte{snapshotWithDisks}, uint64(len(disks)))
	for _, v := range slices.Sorted(maps.Keys(disks)) {
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(v)), disks[v])
	}
	return append(b, state...)
}

func decodeSnapshot(b []byte) (disks map[int]uint64, state []byte, err error) {
	if len(b) == 0 || b[0] != snapshotWithDisks {
		return nil, b, nil
	}
	b = b[1:]
	next := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			err = fmt.Errorf("a snapshot's numbers of disks: %w", ErrMalformed)
			b = nil
			return 0
		}
		b = b[n:]
		return v
	}
	disks = map[int]uint64{}
	for range min(next(), 64) {
		v := next()
		disks[int(v)] = next()
	}
	return disks, b, err
}

// respond hands out what raft says once a thing is done, to itself and to others.
func (l *Log) respond(all []raftpb.Message) {
	for _, r := range all {
		if r.To == raftID(l.cfg.Voter) {
			l.node.Step(r) // raft's own word: it refuses none
		} else {
			l.send(r)
		}
	}
}

func (l *Log) send(m raftpb.Message) {
	if m.Type == raftpb.MsgSnap {
		l.snapshotsSentAt[m.To] = l.ticks
	}
	if b, err := m.Marshal(); err == nil {
		is := &l.cfg.Disk.content
		head := binary.AppendUvarint(binary.AppendUvarint([]byte{kindRaft}, is.Number), is.Disks[int(m.To)-1])
		l.cfg.Send(int(m.To)-1, append(head, b...))
	}
}

// apply takes entries that were agreed on.
func (l *Log) apply(m raftpb.Message) error {
	for _, e := range m.Entries {
		switch l.applied = e.Index; e.Type {
		case raftpb.EntryNormal:
			l.cfg.Apply(e.Index, e.Data)
		case raftpb.EntryConfChange:
			if err := l.applyConfChange(e.Data); err != nil {
				return err
			}
		}
	}
	l.respond(m.Responses)
	l.readApplied()
	if last := l.applied; last-l.snapshotIndex >= maxEntries && last >= l.incomingSnapshot {
		return l.compact(last)
	}
	return nil
}

// readApplied tells of the reads that all is applied for.
func (l *Log) readApplied() {
	var now []raft.ReadState
	l.reads = slices.DeleteFunc(l.reads, func(r raft.ReadState) bool {
		if r.Index > l.applied {
			return false
		}
		now = append(now, r)
		return true
	})
	for _, r := range now {
		l.cfg.ReadConfirmed(binary.BigEndian.Uint64(r.RequestCtx))
	}
}

// ReplaceVoter has a voter whose disk was lost take part again with its new, empty one. It returns why that can't be, or not yet; empty: it does.
// It is for the voter that leads, to be called again until it returns nothing.
func (l *Log) ReplaceVoter(rank int) string {
	number := l.fresh[rank]
	_, leads := l.Leading()
	switch {
	case !leads:
		return "this voter does not lead"
	case !slices.Contains(l.cfg.Voters, rank):
		return fmt.Sprintf("door %d does not vote", rank)
	case number == 0:
		return fmt.Sprintf("door %d was not heard of with an empty disk", rank)
	case l.cfg.Disk.content.Disks[rank] == number:
		return ""
	}
	l.replacements[rank] = number
	l.proposeReplacement(rank)
	return fmt.Sprintf("door %d is being replaced", rank)
}

// proposeReplacement proposes the next step of a replacement.
func (l *Log) proposeReplacement(rank int) {
	c := raftpb.ConfChange{Type: raftpb.ConfChangeAddNode, NodeID: raftID(rank), Context: binary.BigEndian.AppendUint64(nil, l.replacements[rank])}
	if slices.Contains(l.confState.Voters, raftID(rank)) {
		c.Type = raftpb.ConfChangeRemoveNode
	}
	l.node.ProposeConfChange(c) // if it is lost, or another one is under way, the next call brings it again
}

// applyConfChange takes a change of the voters that was agreed on.
func (l *Log) applyConfChange(b []byte) error {
	var c raftpb.ConfChange
	if err := c.Unmarshal(b); err != nil {
		return err
	}
	if len(c.Context) != 8 || c.NodeID == 0 {
		l.confState = *l.node.ApplyConfChange(raftpb.ConfChange{}) // a proposal that raft has made void
		return nil
	}
	l.confState = *l.node.ApplyConfChange(c)
	rank, number := int(c.NodeID)-1, binary.BigEndian.Uint64(c.Context)
	if c.Type == raftpb.ConfChangeRemoveNode {
		if _, leads := l.Leading(); leads && l.replacements[rank] == number {
			l.proposeReplacement(rank)
		}
		return nil
	}
	delete(l.replacements, rank)
	l.cfg.Logger.Info("a voter of the policy was replaced", "voter", rank)
	l.cfg.Disk.content.Disks[rank], l.dirty = number, true
	if snap, err := l.storage.Snapshot(); err != nil || !slices.Contains(snap.Metadata.ConfState.Voters, c.NodeID) {
		return errors.Join(err, l.compact(l.applied)) // a snapshot of a log that did not have it would be passed over by it
	}
	return nil
}

// compact puts a snapshot in the place of the log's beginning.
func (l *Log) compact(index uint64) error {
	_, state, err := l.cfg.Snapshot()
	if err != nil {
		return err
	}
	snap, err := l.storage.CreateSnapshot(index, &l.confState, l.encodeSnapshot(state))
	if err != nil {
		return err
	}
	first := index - min(index, keptEntries)
	if err := l.cfg.Disk.compact(snap, first); err != nil {
		return err
	}
	l.dirty = true
	l.snapshotIndex = index
	if err := l.storage.Compact(first); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// logger has raft's own lines at the level of debugging, but for errors.
type logger struct{ l *slog.Logger }

func (g *logger) Debug(v ...any)              {}
func (g *logger) Debugf(string, ...any)       {}
func (g *logger) Info(v ...any)               {}
func (g *logger) Infof(string, ...any)        {}
func (g *logger) Warning(v ...any)            { g.l.Debug(fmt.Sprint(v...)) }
func (g *logger) Warningf(f string, v ...any) { g.l.Debug(fmt.Sprintf(f, v...)) }
func (g *logger) Error(v ...any)              { g.l.Error(fmt.Sprint(v...)) }
func (g *logger) Errorf(f string, v ...any)   { g.l.Error(fmt.Sprintf(f, v...)) }
func (g *logger) Fatal(v ...any)              { panic(contradiction(fmt.Sprint(v...))) }
func (g *logger) Fatalf(f string, v ...any)   { panic(contradiction(fmt.Sprintf(f, v...))) }
func (g *logger) Panic(v ...any)              { panic(contradiction(fmt.Sprint(v...))) }
func (g *logger) Panicf(f string, v ...any)   { panic(contradiction(fmt.Sprintf(f, v...))) }

// contradiction is what raft panics with here: what it was told can't be, as of a disk that has lost what it said it had kept.
type contradiction string

// guard ends this voter's part where raft has panicked; the door serves on. Any other panic goes on.
func (l *Log) guard() {
	switch p := recover().(type) {
	case nil:
	case contradiction:
		l.fail(fmt.Errorf("%w: it does not agree with the other voters': %s", ErrDamaged, string(p)))
	default:
		panic(p)
	}
}

package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// Raft's settings, in ticks and bytes.
const (
	electionTicks       = 12
	heartbeatTicks      = 2
	maxMessageBytes     = 8 << 10 // of entries in one message
	maxInflightMessages = 64
	maxUncommittedBytes = 1 << 20
	maxEntryBytes       = 64 << 10
)

const (
	// snapshotTimeoutTicks is how long after it was sent a snapshot counts as received. If it was lost, raft sends it
	// again.
	snapshotTimeoutTicks = 20
	// slowWriteTicks is how long a leader's write may take before the leader transfers its leadership.
	slowWriteTicks = 3
	// transferPauseTicks is the minimum time between two leadership transfers by the same voter.
	transferPauseTicks = 200
)

// Config configures a voter.
type Config struct {
	// Voter is the index of this voter.
	Voter int
	// Voters are the indices of all voters.
	Voters []int
	// Disk is this voter's storage.
	Disk *Disk
	// Logger receives messages for operators.
	Logger *slog.Logger
	// Send sends a message to a voter. The message may be lost.
	Send func(to int, message []byte)
	// Apply applies a committed entry to the state.
	Apply func(index uint64, entry []byte)
	// ReadConfirmed is called for a token of Log.ConfirmRead once the read is confirmed and all entries that were
	// committed before it are applied.
	ReadConfirmed func(token uint64)
	// Snapshot returns the encoded state after all applied entries, and the index of the last of them.
	Snapshot func() (index uint64, state []byte, err error)
	// Restore replaces the state with one that Snapshot returned.
	Restore func(index uint64, state []byte) error
	// WriteAsync runs write on any goroutine. Afterwards it must run done with the error of write, followed by
	// Log.ProcessReady, on the goroutine that owns the Log. At most one write runs at a time. If WriteAsync is nil,
	// Log.ProcessReady writes synchronously.
	WriteAsync func(write func() error, done func(error))
}

// Log is one voter's instance of the replicated log.
type Log struct {
	cfg        Config
	node       *raft.RawNode // nil until the log is bootstrapped on this voter
	storage    *raft.MemoryStorage
	ticks      int
	failure    error // why this voter has stopped; nil: it has not
	isExcluded bool  // the other voters continue without this voter's disk

	confState        raftpb.ConfState
	applied          uint64 // index
	snapshotIndex    uint64 // of the latest snapshot in storage
	incomingSnapshot uint64 // index of the latest snapshot from another voter
	reads            []raft.ReadState
	writes           writeQueue

	emptyDisks      map[int]emptyDisk // by voter
	tails           map[int]logTail   // of voters without a leader
	replacements    map[int]uint64    // numbers of new disks, by voter
	snapshotsSentAt map[uint64]int    // tick, by raft id
	transferredAt   int               // tick; 0: never
}

// New starts a voter from a disk that [OpenDisk] returned.
func New(cfg Config) (*Log, error) {
	l := &Log{
		cfg:             cfg,
		emptyDisks:      map[int]emptyDisk{},
		tails:           map[int]logTail{},
		replacements:    map[int]uint64{},
		snapshotsSentAt: map[uint64]int{},
	}
	for _, voter := range cfg.Voters {
		l.confState.Voters = append(l.confState.Voters, raftID(voter))
	}
	if cfg.Disk.isBootstrapped() {
		return l, l.start()
	}
	return l, l.bootstrapIfComplete()
}

// raftID returns the raft ID of a voter. Raft reserves the ID 0.
func raftID(voter int) uint64 { return uint64(voter) + 1 }

// voterOf returns the voter with a raft ID.
func voterOf(id uint64) int { return int(id) - 1 }

// start starts raft from the disk's content.
func (l *Log) start() (err error) {
	if l.storage, err = l.cfg.Disk.load(); err != nil {
		return err
	}
	snapshot, err := l.storage.Snapshot()
	if err != nil {
		return err
	}
	hardState, _, err := l.storage.InitialState()
	if err != nil {
		return err
	}
	l.writes.latest = termVote{hardState.Term, hardState.Vote}
	l.writes.stored = l.writes.latest
	index := snapshot.Metadata.Index
	l.snapshotIndex, l.applied, l.confState = index, index, snapshot.Metadata.ConfState
	if len(snapshot.Data) > 0 {
		_, state, err := decodeSnapshot(snapshot.Data) // the disk numbers in the file are at least as recent
		if err == nil {
			err = l.cfg.Restore(index, state)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", l.cfg.Disk.path, err)
		}
	}
	l.node, err = raft.NewRawNode(&raft.Config{
		ID:                        raftID(l.cfg.Voter),
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   l.storage,
		Applied:                   index,
		AsyncStorageWrites:        true,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    &raftLogger{l.cfg.Logger},
	})
	return err
}

// fail stops this voter: it must not acknowledge what it can't store.
func (l *Log) fail(err error) error {
	if l.failure == nil {
		l.failure = err
		l.cfg.Logger.Error("this voter takes no part any more: its log could not be kept", "error", err)
	}
	return err
}

// HasStarted reports whether this voter participates in the log.
func (l *Log) HasStarted() bool { return l.node != nil && l.failure == nil }

// Leading returns the current term and whether this voter is the leader.
func (l *Log) Leading() (term uint64, leads bool) {
	if !l.HasStarted() {
		return 0, false
	}
	status := l.node.BasicStatus()
	return status.Term, status.RaftState == raft.StateLeader
}

// Propose proposes an entry. A voter that is not the leader forwards it to the leader. The proposal may be lost, and an
// entry of more than maxEntryBytes always is.
func (l *Log) Propose(entry []byte) {
	defer l.recoverRaftPanic()
	if l.HasStarted() && len(entry) <= maxEntryBytes {
		_ = l.node.Propose(entry) // a dropped proposal is not distinguished from a lost one
	}
}

// ConfirmRead asks a majority to confirm that this voter is the leader. Config.ReadConfirmed is called once they have.
// The request may be lost.
func (l *Log) ConfirmRead(token uint64) {
	defer l.recoverRaftPanic()
	if l.HasStarted() {
		l.node.ReadIndex(binary.BigEndian.AppendUint64(nil, token))
	}
}

// Tick advances the clock by one tick.
func (l *Log) Tick() {
	defer l.recoverRaftPanic()
	l.ticks++
	isBootstrapTick := l.ticks%bootstrapTicks == 1
	switch {
	case l.failure != nil:
	case l.node == nil:
		if isBootstrapTick {
			l.sendBootstrapToAll()
		}
	default:
		l.finishSnapshots()
		l.node.Tick()
		l.transferIfSlow()
		if isBootstrapTick && l.node.BasicStatus().Lead == raft.None {
			l.sendTail()
		}
	}
}

// finishSnapshots reports snapshots to raft as received snapshotTimeoutTicks after they were sent. If one was lost, the
// receiver's next reply shows that.
func (l *Log) finishSnapshots() {
	for id, sentAt := range l.snapshotsSentAt {
		if l.ticks-sentAt >= snapshotTimeoutTicks {
			delete(l.snapshotsSentAt, id)
			l.node.ReportSnapshot(id, raft.SnapshotFinish)
		}
	}
}

// transferIfSlow transfers the leadership to another voter if this voter is the leader and its disk is slow: committed
// entries are applied and read only once the leader itself has stored them.
func (l *Log) transferIfSlow() {
	_, leads := l.Leading()
	isSlow := l.writes.isWriting && l.ticks-l.writes.startedAt > slowWriteTicks
	transferredRecently := l.transferredAt > 0 && l.ticks-l.transferredAt < transferPauseTicks
	if !leads || !isSlow || transferredRecently {
		return
	}
	self, successor, match := raftID(l.cfg.Voter), raft.None, uint64(0)
	l.node.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if id != self && progress.RecentActive && progress.Match > match {
			successor, match = id, progress.Match
		}
	})
	if successor == raft.None {
		return
	}
	l.transferredAt = l.ticks
	l.cfg.Logger.Warn("this voter's disk is slow: another one is to lead", "voter", voterOf(successor))
	l.node.TransferLeader(successor)
}

// Step handles a message from another voter. A message that is malformed or that raft rejects has no effect, and Step
// returns an error. It also returns an error if the bootstrap that a message completes can't be stored.
func (l *Log) Step(from int, message []byte) error {
	defer l.recoverRaftPanic()
	if len(message) == 0 || !slices.Contains(l.cfg.Voters, from) || from == l.cfg.Voter {
		return ErrMalformed
	}
	kind, body := message[0], message[1:]
	switch kind {
	case kindBootstrap:
		return l.receiveBootstrap(from, body)
	case kindTail:
		return l.receiveTail(from, body)
	case kindRaft:
		return l.receiveRaft(from, body)
	}
	return nil
}

// receiveRaft handles a raft message. Messages from or to a replaced disk are ignored.
func (l *Log) receiveRaft(from int, body []byte) error {
	if !l.HasStarted() || l.writes.isFull() {
		return nil
	}
	envelope, err := decodeRaftEnvelope(body)
	if err != nil {
		return err
	}
	own := &l.cfg.Disk.content
	if envelope.toDisk != own.Number || envelope.fromDisk != own.Disks[from] {
		return nil
	}
	var m raftpb.Message
	if err := m.Unmarshal(envelope.message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if m.From != raftID(from) || m.To != raftID(l.cfg.Voter) || raft.IsLocalMsg(m.Type) {
		return ErrMalformed
	}
	err = l.node.Step(m)
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}

// send sends a raft message to another voter.
func (l *Log) send(m raftpb.Message) {
	if m.Type == raftpb.MsgSnap {
		l.snapshotsSentAt[m.To] = l.ticks
	}
	b, err := m.Marshal()
	if err != nil {
		return
	}
	to := voterOf(m.To)
	own := &l.cfg.Disk.content
	l.cfg.Send(to, raftEnvelope{fromDisk: own.Number, toDisk: own.Disks[to], message: b}.encode())
}

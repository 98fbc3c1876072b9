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
	// snapshotTimeoutTicks is when a snapshot that was sent counts as arrived; if it was lost, it is sent again.
	snapshotTimeoutTicks = 20
	// slowWriteTicks is how long a leader's write may take before another voter is to lead.
	slowWriteTicks = 3
	// transferPauseTicks is the pause between two transfers of the leadership by one voter.
	transferPauseTicks = 200
)

// Config is one voter.
type Config struct {
	// Voter is the index of this voter.
	Voter int
	// Voters are the indices of all voters.
	Voters []int
	// Disk is this voter's storage.
	Disk *Disk
	// Logger gets what operators need to know.
	Logger *slog.Logger
	// Send sends a message to a voter. It may be lost.
	Send func(to int, message []byte)
	// Apply takes a committed entry.
	Apply func(index uint64, entry []byte)
	// ReadConfirmed follows a ConfirmRead once the read is confirmed and all that was committed before is applied.
	ReadConfirmed func(token uint64)
	// Snapshot returns the state that all applied entries amount to.
	Snapshot func() (index uint64, state []byte, err error)
	// Restore replaces the state by one that Snapshot has returned.
	Restore func(index uint64, state []byte) error
	// WriteAsync runs write on some goroutine, and then done with its error and Work on the one that owns the Log. One
	// write is under way at a time. Nil: writes are done at once, and Work takes as long as the disk does.
	WriteAsync func(write func() error, done func(error))
}

// Log is one voter's part in the replicated log.
type Log struct {
	cfg        Config
	node       *raft.RawNode // nil: the log is not bootstrapped here
	storage    *raft.MemoryStorage
	ticks      int
	failure    error // why this voter takes no part any more; nil: it does
	isExcluded bool  // the others go on without this voter's disk

	confState        raftpb.ConfState
	applied          uint64 // index
	snapshotIndex    uint64 // of the last snapshot that is stored
	incomingSnapshot uint64 // index of the last snapshot that came from another voter
	reads            []raft.ReadState
	writes           writeQueue

	emptyDisks      map[int]emptyDisk // by voter
	tails           map[int]logTail   // of voters that know no leader
	replacements    map[int]uint64    // numbers of new disks, by voter
	snapshotsSentAt map[uint64]int    // tick, by raft id
	transferredAt   int               // tick; 0: never
}

// New returns a voter that has just started, from a disk that [OpenDisk] has checked.
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

// raftID is the id of a voter in raft, where 0 stands for none.
func raftID(voter int) uint64 { return uint64(voter) + 1 }

// voterOf is the voter with an id in raft.
func voterOf(id uint64) int { return int(id) - 1 }

// start starts raft with what the disk has.
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
		_, state, err := decodeSnapshot(snapshot.Data) // the disk's own numbers are as new, or newer
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

// fail ends this voter's part: what it can't store it must not promise.
func (l *Log) fail(err error) error {
	if l.failure == nil {
		l.failure = err
		l.cfg.Logger.Error("this voter takes no part any more: its log could not be kept", "error", err)
	}
	return err
}

// HasStarted returns whether this voter takes part.
func (l *Log) HasStarted() bool { return l.node != nil && l.failure == nil }

// Leading returns whether this voter leads, and the term.
func (l *Log) Leading() (term uint64, leads bool) {
	if !l.HasStarted() {
		return 0, false
	}
	status := l.node.BasicStatus()
	return status.Term, status.RaftState == raft.StateLeader
}

// Propose proposes an entry. Where this voter does not lead, the entry goes to the one that does. It may be lost, and
// one of more than maxEntryBytes always is.
func (l *Log) Propose(entry []byte) {
	defer l.recoverRaftPanic()
	if l.HasStarted() && len(entry) <= maxEntryBytes {
		_ = l.node.Propose(entry) // a dropped proposal is lost like any other
	}
}

// ConfirmRead has a majority confirm that this voter leads; Config.ReadConfirmed follows. It may be lost.
func (l *Log) ConfirmRead(token uint64) {
	defer l.recoverRaftPanic()
	if l.HasStarted() {
		l.node.ReadIndex(binary.BigEndian.AppendUint64(nil, token))
	}
}

// Tick advances the time by one tick.
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

// finishSnapshots counts snapshots that were sent a while ago as arrived. The receiver's next reply says if one was
// not.
func (l *Log) finishSnapshots() {
	for id, sentAt := range l.snapshotsSentAt {
		if l.ticks-sentAt >= snapshotTimeoutTicks {
			delete(l.snapshotsSentAt, id)
			l.node.ReportSnapshot(id, raft.SnapshotFinish)
		}
	}
}

// transferIfSlow makes another voter the leader where this one leads and its disk is slow: what is committed is applied
// and read only once the leader itself has stored it.
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

// Step takes a message from another voter. Its error says what is wrong with the message; then nothing has changed.
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

// receiveRaft takes one of raft's own messages. One from or to a disk that was replaced has no effect.
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

// send sends one of raft's messages to another voter.
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

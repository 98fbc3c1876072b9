package raftlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// reachableTicks is how long after its last message a voter counts as present.
const reachableTicks = 40

// Errors of [Log.Recover]. ErrNotLost and ErrLongerLog are wrapped in a [*VoterError].
var (
	ErrNoLog       = errors.New("this voter has no log to recover from")
	ErrHasLeader   = errors.New("the voters have a leader: nothing is lost")
	ErrWriting     = errors.New("this voter's disk is being written: try again")
	ErrHasMajority = errors.New("a majority of the voters is present: nothing is lost")
	ErrNotLost     = errors.New("is there with its log: it is not lost")
	ErrLongerLog   = errors.New("has a longer log: recover there")
)

// MajorityPossibleError is returned by [Log.Recover] if unreachable voters could still complete a majority.
type MajorityPossibleError struct {
	// Unreachable are the indices of these voters.
	Unreachable []int
}

func (e *MajorityPossibleError) Error() string {
	names := make([]string, 0, len(e.Unreachable))
	for _, voter := range e.Unreachable {
		names = append(names, fmt.Sprint("door ", voter))
	}
	return fmt.Sprintf("a majority may still come: %v not heard of; name those whose disks are lost for good", names)
}

// logTail describes the last entry of a voter's log.
type logTail struct {
	disk        uint64 // number of the voter's disk
	term, index uint64 // of the last entry
	receivedAt  int    // tick
}

func (t logTail) isLongerThan(other logTail) bool {
	return cmp.Or(cmp.Compare(t.term, other.term), cmp.Compare(t.index, other.index)) > 0
}

// ownTail returns the tail of this voter's log.
func (l *Log) ownTail() (t logTail, err error) {
	if t.index, err = l.storage.LastIndex(); err != nil {
		return logTail{}, err
	}
	t.disk = l.cfg.Disk.content.Number
	t.term, err = l.storage.Term(t.index)
	return t, err
}

// sendTail tells the other voters that this one is present, and where its log ends.
func (l *Log) sendTail() {
	tail, err := l.ownTail()
	if err != nil {
		return
	}
	for _, voter := range l.cfg.Voters {
		if voter == l.cfg.Voter {
			continue
		}
		m := tailMessage{
			disk:         tail.disk,
			term:         tail.term,
			index:        tail.index,
			receiverDisk: l.cfg.Disk.content.Disks[voter],
		}
		l.cfg.Send(voter, m.encode())
	}
}

// receiveTail handles a message of sendTail. A sender whose disk is not the one recorded in this log is not a voter,
// unless it knows this voter's disk and has a longer log: then this voter has not yet learned that the sender's disk
// was replaced. The voters that could tell it may be down, and the sender's vote may be needed, so its new disk is
// accepted. A replaced disk can't pass this check: its log is never longer than one that contains the entry that
// replaced it.
func (l *Log) receiveTail(from int, body []byte) error {
	m, err := decodeTail(body)
	if err != nil {
		return err
	}
	if !l.HasStarted() {
		return nil
	}
	tail := logTail{disk: m.disk, term: m.term, index: m.index, receivedAt: l.ticks}
	content := &l.cfg.Disk.content
	own, err := l.ownTail()
	if err == nil && content.Disks[from] != tail.disk && m.receiverDisk == content.Number && tail.isLongerThan(own) {
		l.setDiskNumber(from, tail.disk)
	}
	if content.Disks[from] == tail.disk {
		l.tails[from] = tail
	} else {
		l.sendBootstrap(from) // the sender has missed a recovery
	}
	return nil
}

// Recover makes this voter continue alone after a majority of the voters' disks is permanently lost. It treats all
// entries of this voter's log as committed and appends one more entry. Entries that only the lost voters had are gone.
// lost lists voters whose disks an operator knows to be lost; voters that have reported empty disks need not be listed.
// When Recover returns nil, the new log is stored, and the other voters may be replaced.
func (l *Log) Recover(lost []int, entry []byte) error {
	if err := l.canRecover(); err != nil {
		return err
	}
	own, err := l.ownTail()
	if err != nil {
		return err
	}
	if err := l.checkMajorityLost(own, lost); err != nil {
		return err
	}
	if err := l.restartAsSoleVoter(own, entry); err != nil {
		return l.fail(err)
	}
	l.cfg.Logger.Warn("recovered without a majority of the voters' disks: this voter continues alone with its log",
		"voter", l.cfg.Voter, "lost", lost)
	return nil
}

// canRecover returns an error if this voter can't recover, regardless of the state of the other voters.
func (l *Log) canRecover() error {
	switch {
	case !l.HasStarted():
		return ErrNoLog
	case l.node.BasicStatus().Lead != raft.None:
		return ErrHasLeader
	case l.writes.isWriting || l.writes.dirty || len(l.writes.queued) > 0:
		return ErrWriting
	}
	return nil
}

// checkMajorityLost returns an error if a majority of the disks is not known to be lost, or if another voter should
// recover instead.
func (l *Log) checkMajorityLost(own logTail, lost []int) error {
	lostVoters, presentVoters := 0, 0
	var unreachable []int
	for _, voter := range l.cfg.Voters {
		tail, hasLog := l.tails[voter]
		hasLog = hasLog && l.ticks-tail.receivedAt <= reachableTicks
		switch {
		case voter == l.cfg.Voter:
			presentVoters++
		case hasLog && slices.Contains(lost, voter):
			return &VoterError{Voter: voter, Err: ErrNotLost}
		case hasLog && tail.isLongerThan(own):
			return &VoterError{Voter: voter, Err: ErrLongerLog}
		case hasLog:
			presentVoters++
		case l.hasEmptyDisk(voter), slices.Contains(lost, voter):
			lostVoters++
		default:
			unreachable = append(unreachable, voter)
		}
	}
	majority := len(l.cfg.Voters)/2 + 1
	switch {
	case len(l.cfg.Voters)-lostVoters < majority:
		return nil
	case presentVoters >= majority:
		return ErrHasMajority
	}
	return &MajorityPossibleError{Unreachable: unreachable}
}

// hasEmptyDisk reports whether a voter has recently reported an empty disk that does not belong to this log.
func (l *Log) hasEmptyDisk(voter int) bool {
	empty, ok := l.emptyDisks[voter]
	return ok && empty.number != l.cfg.Disk.content.Disks[voter] && l.ticks-empty.receivedAt <= reachableTicks
}

// restartAsSoleVoter replaces the log, in a single write, with one that has this voter as its only voter.
func (l *Log) restartAsSoleVoter(own logTail, entry []byte) error {
	if err := l.applyUncommitted(own.index); err != nil {
		return err
	}
	index := own.index + 1
	l.cfg.Apply(index, entry)
	_, state, err := l.cfg.Snapshot()
	if err != nil {
		return err
	}
	hardState, _, err := l.storage.InitialState()
	if err != nil {
		return err
	}
	self := raftID(l.cfg.Voter)
	term := max(hardState.Term, l.node.BasicStatus().Term) + 1
	content := &l.cfg.Disk.content
	content.Number = randomDiskNumber()
	content.Disks = map[int]uint64{l.cfg.Voter: content.Number}
	content.First, content.Entries = 0, nil
	snapshot := raftpb.Snapshot{
		Data: l.encodeSnapshot(state),
		Metadata: raftpb.SnapshotMetadata{
			ConfState: raftpb.ConfState{Voters: []uint64{self}},
			Index:     index,
			Term:      term,
		},
	}
	hardState = raftpb.HardState{Term: term, Vote: self, Commit: index}
	if err := l.cfg.Disk.record(hardState, nil, &snapshot); err != nil {
		return err
	}
	if err := l.cfg.Disk.write(); err != nil {
		return err
	}
	l.reads, l.writes.queuedApplies, l.incomingSnapshot = nil, 0, 0
	clear(l.replacements)
	clear(l.snapshotsSentAt)
	clear(l.tails)
	return l.start()
}

// applyUncommitted applies the stored entries up to and including last, whether or not they are committed.
func (l *Log) applyUncommitted(last uint64) error {
	if last <= l.applied {
		return nil
	}
	const noLimit = 1 << 62 // bytes
	entries, err := l.storage.Entries(l.applied+1, last+1, noLimit)
	if err != nil {
		return err
	}
	for _, e := range entries {
		l.applied = e.Index
		if e.Type == raftpb.EntryNormal {
			l.cfg.Apply(e.Index, e.Data)
		}
	}
	return nil
}

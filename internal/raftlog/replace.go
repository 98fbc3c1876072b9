package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Errors of [Log.ReplaceVoter].
var (
	// ErrNotLeading is returned if this voter is not the leader. The caller has to ask the leader.
	ErrNotLeading = errors.New("this voter does not lead")
	// ErrNotVoter, in a [*VoterError], is returned for a gateway that is not a voter.
	ErrNotVoter = errors.New("does not vote")
	// ErrNoEmptyDisk, in a [*VoterError], is returned for a voter that has not reported an empty disk.
	ErrNoEmptyDisk = errors.New("was not heard of with an empty disk")
	// ErrReplacing, in a [*VoterError], is returned while the replacement is in progress.
	ErrReplacing = errors.New("is being replaced")
)

// VoterError is an error about one voter.
type VoterError struct {
	// Voter is the voter's index.
	Voter int
	// Err is the underlying error.
	Err error
}

func (e *VoterError) Error() string { return fmt.Sprintf("door %d %v", e.Voter, e.Err) }

// Unwrap returns Err.
func (e *VoterError) Unwrap() error { return e.Err }

// ReplaceVoter readmits a voter whose disk was lost, with its new, empty disk. The caller repeats the call on the
// leader until it returns nil.
func (l *Log) ReplaceVoter(voter int) error {
	empty, hasEmptyDisk := l.emptyDisks[voter]
	_, leads := l.Leading()
	switch {
	case !leads:
		return ErrNotLeading
	case !slices.Contains(l.cfg.Voters, voter):
		return &VoterError{Voter: voter, Err: ErrNotVoter}
	case !hasEmptyDisk:
		return &VoterError{Voter: voter, Err: ErrNoEmptyDisk}
	case l.cfg.Disk.content.Disks[voter] == empty.number:
		return nil
	}
	l.replacements[voter] = empty.number
	l.proposeReplacement(voter)
	return &VoterError{Voter: voter, Err: ErrReplacing}
}

// proposeReplacement proposes the next step of a replacement: to remove the voter, then to add it with its new disk. If
// the proposal is lost or another membership change is in progress, the next call of ReplaceVoter proposes it again.
func (l *Log) proposeReplacement(voter int) {
	change := raftpb.ConfChange{
		Type:    raftpb.ConfChangeAddNode,
		NodeID:  raftID(voter),
		Context: binary.BigEndian.AppendUint64(nil, l.replacements[voter]),
	}
	if slices.Contains(l.confState.Voters, raftID(voter)) {
		change.Type = raftpb.ConfChangeRemoveNode
	}
	_ = l.node.ProposeConfChange(change)
}

// diskNumberOf returns the number of the new disk in a change of the voters. A change that raft has turned into a no-op
// has none.
func diskNumberOf(c *raftpb.ConfChange) (number uint64, ok bool) {
	if len(c.Context) != 8 || c.NodeID == 0 {
		return 0, false
	}
	return binary.BigEndian.Uint64(c.Context), true
}

// applyConfChange applies a committed change of the voters.
func (l *Log) applyConfChange(data []byte) error {
	var change raftpb.ConfChange
	if err := change.Unmarshal(data); err != nil {
		return err
	}
	number, ok := diskNumberOf(&change)
	if !ok {
		l.confState = *l.node.ApplyConfChange(raftpb.ConfChange{})
		return nil
	}
	l.confState = *l.node.ApplyConfChange(change)
	voter := voterOf(change.NodeID)
	if change.Type == raftpb.ConfChangeRemoveNode {
		if _, leads := l.Leading(); leads && l.replacements[voter] == number {
			l.proposeReplacement(voter)
		}
		return nil
	}
	delete(l.replacements, voter)
	l.cfg.Logger.Info("policy voter replaced", "voter", voter)
	l.setDiskNumber(voter, number)
	// The new voter would drop a snapshot whose configuration does not include it.
	snapshot, err := l.storage.Snapshot()
	if err != nil || !slices.Contains(snapshot.Metadata.ConfState.Voters, change.NodeID) {
		return errors.Join(err, l.compact(l.applied))
	}
	return nil
}

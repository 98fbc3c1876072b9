package policyreplica

import (
	"gapgap/internal/policy"
	"gapgap/internal/raftlog"
)

// voterLog gives the node access to the replicated log. Until the log is opened, it reports that this voter is not the
// leader.
type voterLog struct {
	replica *Replica
}

var _ policy.Log = voterLog{}

// Leading implements [policy.Log].
func (v voterLog) Leading() (term uint64, leads bool) {
	if v.replica.raftLog == nil {
		return 0, false
	}
	return v.replica.raftLog.Leading()
}

// Propose implements [policy.Log].
func (v voterLog) Propose(entry []byte) { v.replica.raftLog.Propose(entry) }

// ConfirmRead implements [policy.Log].
func (v voterLog) ConfirmRead(token uint64) { v.replica.raftLog.ConfirmRead(token) }

// ReplaceVoter implements [policy.Log].
func (v voterLog) ReplaceVoter(gateway int) error { return v.replica.raftLog.ReplaceVoter(gateway) }

// openLog opens the replicated log of a voter. The node must already exist.
func (r *Replica) openLog(disk *raftlog.Disk) (err error) {
	r.raftLog, err = raftlog.New(raftlog.Config{
		Voter:  r.config.Index,
		Voters: r.voters,
		Disk:   disk,
		Logger: r.config.Log,
		Send: func(to int, encoded []byte) {
			r.send(to, &message{Raft: encoded})
		},
		Apply: r.node.Apply,
		ReadConfirmed: func(token uint64) {
			r.sendAll(r.node.ReadConfirmed(r.config.Now(), token))
		},
		Snapshot:   r.node.Snapshot,
		Restore:    r.node.Restore,
		WriteAsync: r.writeLog,
	})
	return err
}

// writeLog runs a write of the log on another goroutine, and then done on the replica's goroutine.
func (r *Replica) writeLog(write func() error, done func(error)) {
	r.waitGroup.Go(func() {
		err := write()
		select {
		case r.completedWrites <- func() { done(err) }:
		case <-r.done:
		}
	})
}

// isLeader reports whether this gateway's voter is the leader.
func (r *Replica) isLeader() bool {
	if r.raftLog == nil {
		return false
	}
	_, leads := r.raftLog.Leading()
	return leads
}

package raftlog

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// tail is how long the log of a voter is that hears no leader.
type tail struct {
	number, term, index uint64
	at                  int // the tick at which it was heard
}

func (t tail) longer(o tail) bool {
	return cmp.Or(cmp.Compare(t.term, o.term), cmp.Compare(t.index, o.index)) > 0
}

// tail is this voter's.
func (l *Log) tail() (t tail, err error) {
	if t.index, err = l.storage.LastIndex(); err != nil {
		return tail{}, err
	}
	t.number = l.cfg.Disk.content.Number
	t.term, err = l.storage.Term(t.index)
	return t, err
}

// sendTail tells the other voters that this one is there with its log.
func (l *Log) sendTail() {
	t, err := l.tail()
	if err != nil {
		return
	}
	for _, v := range l.cfg.Voters {
		if v == l.cfg.Voter {
			continue
		}
		b := []byte{kindTail}
		for _, x := range []uint64{t.number, t.term, t.index, l.cfg.Disk.content.Disks[v]} { // the last one is the other's, as known here
			b = binary.AppendUvarint(b, x)
		}
		l.cfg.Send(v, b)
	}
}

// receiveTail takes what tellTail says. One of another log than this one is no voter of this one's. One that knows this voter and has a longer log is,
// though this voter may not have heard yet that its disk was replaced: who could tell so may be gone, and its vote be wanted. A disk that was replaced has
// no longer log than any that has the entry by which it was.
func (l *Log) receiveTail(from int, b []byte) error {
	var v [4]uint64
	for i := range v {
		n := 0
		if v[i], n = binary.Uvarint(b); n <= 0 {
			return ErrMalformed
		}
		b = b[n:]
	}
	if l.node == nil || l.failure != nil {
		return nil
	}
	t, is := tail{v[0], v[1], v[2], l.ticks}, &l.cfg.Disk.content
	if own, err := l.tail(); err == nil && is.Disks[from] != t.number && v[3] == is.Number && t.longer(own) {
		is.Disks[from], l.dirty = t.number, true
	}
	if is.Disks[from] == t.number {
		l.tails[from] = t
	} else {
		l.sendBootstrap(from) // it is one of before a recovery
	}
	return nil
}

// Recover has this voter go on alone where a majority of the voters' disks is lost for good: with all that its own log has, as if it had been
// agreed on, and an entry behind it. What only the lost ones knew is gone. lost are voters whose disks an operator knows to be gone, beside those that
// are heard of with empty ones. It returns why that may not be; empty: it is done and on the disk, and the others may be replaced.
func (l *Log) Recover(lost []int, entry []byte) string {
	if l.node == nil || l.failure != nil {
		return "this voter has no log to recover from"
	}
	if l.node.BasicStatus().Lead != raft.None {
		return "the voters have a leader: nothing is lost"
	}
	if l.writing || l.dirty || len(l.after) > 0 {
		return "this voter's disk is being written: try again"
	}
	own, err := l.tail()
	if err != nil {
		return err.Error()
	}
	gone, there := 0, 0
	var unheard []string
	for _, v := range l.cfg.Voters {
		t, hasLog := l.tails[v]
		hasLog = hasLog && l.ticks-t.at <= reachableTicks
		number, empty := l.fresh[v]
		empty = empty && number != l.cfg.Disk.content.Disks[v] && l.ticks-l.freshAt[v] <= reachableTicks
		switch {
		case v == l.cfg.Voter:
			there++
		case hasLog && slices.Contains(lost, v):
			return fmt.Sprintf("door %d is there with its log: it is not lost", v)
		case hasLog && t.longer(own):
			return fmt.Sprintf("door %d has a longer log: recover there", v)
		case hasLog:
			there++
		case empty, slices.Contains(lost, v):
			gone++
		default:
			unheard = append(unheard, fmt.Sprint("door ", v))
		}
	}
	n := len(l.cfg.Voters)
	if most := n/2 + 1; n-gone >= most {
		if there >= most {
			return "a majority of the voters is there: nothing is lost"
		}
		return fmt.Sprintf("a majority may still come: %v not heard of; name those whose disks are lost for good", unheard)
	}
	if err := l.goOnAlone(own, entry); err != nil {
		l.fail(err)
		return err.Error()
	}
	l.cfg.Logger.Warn("a majority of the voters' disks was given up: this voter goes on alone with what its log has", "voter", l.cfg.Voter, "lost", lost)
	return ""
}

// goOnAlone makes of the log one of which this is the only voter, in one write.
func (l *Log) goOnAlone(own tail, entry []byte) error {
	if own.index > l.applied {
		all, err := l.storage.Entries(l.applied+1, own.index+1, 1<<62)
		if err != nil {
			return err
		}
		for _, e := range all {
			if l.applied = e.Index; e.Type == raftpb.EntryNormal {
				l.cfg.Apply(e.Index, e.Data)
			}
		}
	}
	index := own.index + 1
	l.cfg.Apply(index, entry)
	_, state, err := l.cfg.Snapshot()
	if err != nil {
		return err
	}
	hard, _, err := l.storage.InitialState()
	if err != nil {
		return err
	}
	self := raftID(l.cfg.Voter)
	hard = raftpb.HardState{Term: max(hard.Term, l.node.BasicStatus().Term) + 1, Vote: self, Commit: index}
	snap := raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{ConfState: raftpb.ConfState{Voters: []uint64{self}}, Index: index, Term: hard.Term}}
	var b [8]byte
	rand.Read(b[:])
	d := l.cfg.Disk
	d.content.Number = binary.BigEndian.Uint64(b[:])>>1 | 1
	d.content.Disks = map[int]uint64{l.cfg.Voter: d.content.Number}
	d.content.First, d.content.Entries, snap.Data = 0, nil, l.encodeSnapshot(state)
	if err := d.record(hard, nil, &snap); err != nil {
		return err
	}
	if err := d.write(); err != nil {
		return err
	}
	l.reads, l.held, l.incomingSnapshot = nil, 0, 0
	clear(l.replacements)
	clear(l.snapshotsSentAt)
	clear(l.tails)
	return l.start()
}

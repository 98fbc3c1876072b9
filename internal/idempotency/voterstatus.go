package idempotency

import (
	"maps"
	"slices"
)

// StatusFor returns the status to send to the given voter.
func (v *Voter) StatusFor(voter int) VoterStatus {
	status := VoterStatus{
		Process:        v.config.Process,
		Incarnation:    v.config.Incarnation,
		Disk:           v.disk.id,
		Joined:         v.disk.joined,
		InitialDisks:   v.disk.initialDisks,
		RecordsAtStart: v.disk.recordsAtStart,
		RecordsSynced:  v.disk.recordsSynced,
	}
	if peer, ok := v.peers[voter]; ok {
		status.ObservedProcess = peer.ID
		status.ObservedIsNewest = true
	}
	return status
}

// HandleStatus processes the status of another voter and returns the status to answer with. The caller sends the answer
// only after the returned records are synced.
func (v *Voter) HandleStatus(from int, status VoterStatus) (records []Record, answer VoterStatus) {
	if from == v.config.Index || !slices.Contains(v.config.Voters, from) || status.Process == 0 {
		return nil, v.StatusFor(from)
	}
	isNewest, records := v.observePeer(from, status)
	if status.ObservedProcess == v.config.Process {
		v.observeOwnProcess(from, status.ObservedIsNewest)
	}
	if !v.disk.joined {
		records = append(records, v.tryJoin(from, status)...)
	}
	answer = v.StatusFor(from)
	answer.ObservedProcess = status.Process
	answer.ObservedIsNewest = isNewest
	return v.countWritten(records), answer
}

// observePeer reports whether the peer's process is the latest known one. If so, it stores the status if the process is
// new or more of its records are synced, and returns the record to write.
func (v *Voter) observePeer(from int, status VoterStatus) (isNewest bool, records []Record) {
	peer, isKnown := v.peers[from]
	isSameDisk := isKnown && slices.Equal(peer.Disks, []uint64{status.Disk})
	// A later process must not have fewer records than its disk is known to have had, unless it has joined with another
	// disk. Otherwise its disk is an older copy.
	isSuccessor := status.Incarnation > peer.Incarnation &&
		(!isSameDisk && status.Joined || status.RecordsAtStart >= peer.RecordCount)
	isNewest = !isKnown || status.Process == peer.ID || isSuccessor
	hasNews := !isKnown || status.Process != peer.ID || status.RecordsSynced > peer.RecordCount
	if !isNewest || !hasNews {
		return isNewest, nil
	}
	peer = Record{
		Kind:        RecordPeer,
		Voter:       from,
		Incarnation: max(status.Incarnation, peer.Incarnation),
		ID:          status.Process,
		Disks:       []uint64{status.Disk},
		RecordCount: max(status.RecordsSynced, status.RecordsAtStart),
	}
	v.peers[from] = peer
	return isNewest, []Record{peer}
}

// observeOwnProcess processes a peer's view of whether this process is the latest of its gateway.
func (v *Voter) observeOwnProcess(from int, isNewest bool) {
	switch {
	case isNewest:
		v.confirmedBy[from] = true
	case !v.isDiskOutdated && !v.confirmedBy[from]:
		v.isDiskOutdated = v.disk.joined
	}
}

// tryJoin lets an empty disk take part in votes if the other voters started voting with this disk, or if the disks of
// all voters are empty.
func (v *Voter) tryJoin(from int, status VoterStatus) []Record {
	if status.Joined {
		delete(v.emptyPeerDisks, from)
		if !slices.Contains(status.InitialDisks, v.disk.id) {
			v.isDiskReplaced = true
			return nil
		}
		return []Record{v.disk.join(slices.Clone(status.InitialDisks))}
	}
	v.emptyPeerDisks[from] = status.Disk
	if len(v.emptyPeerDisks) < len(v.config.Voters)-1 || v.isDiskReplaced {
		return nil
	}
	initialDisks := slices.AppendSeq([]uint64{v.disk.id}, maps.Values(v.emptyPeerDisks))
	return []Record{v.disk.join(initialDisks)}
}

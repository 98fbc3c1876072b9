package raftlog

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	// snapshotWithDisks is the first byte of a snapshot that has the numbers of the voters' disks before the state.
	// Those of earlier versions have the state alone, which never starts with it.
	snapshotWithDisks = 0xff
	// maxSnapshotDisks bounds the numbers that are read.
	maxSnapshotDisks = 64
)

// encodeSnapshot puts the numbers of the voters' disks before a state.
func (l *Log) encodeSnapshot(state []byte) []byte {
	disks := l.cfg.Disk.content.Disks
	b := appendUvarints([]byte{snapshotWithDisks}, uint64(len(disks)))
	for _, voter := range slices.Sorted(maps.Keys(disks)) {
		b = appendUvarints(b, uint64(voter), disks[voter])
	}
	return append(b, state...)
}

// decodeSnapshot reads what encodeSnapshot writes. A snapshot of an earlier version has no disks.
func decodeSnapshot(b []byte) (disks map[int]uint64, state []byte, err error) {
	if len(b) == 0 || b[0] != snapshotWithDisks {
		return nil, b, nil
	}
	r := uvarintReader{rest: b[1:]}
	disks = map[int]uint64{}
	for range min(r.next(), maxSnapshotDisks) {
		voter := r.next()
		disks[int(voter)] = r.next()
	}
	if r.failed {
		return nil, nil, fmt.Errorf("a snapshot's numbers of disks: %w", ErrMalformed)
	}
	return disks, r.rest, nil
}

// restore takes a snapshot that came from another voter, with the numbers of disks that the entries before it told.
func (l *Log) restore(snapshot *raftpb.Snapshot) error {
	if err := l.storage.ApplySnapshot(*snapshot); err != nil {
		return err
	}
	index := snapshot.Metadata.Index
	l.snapshotIndex, l.applied, l.confState = index, index, snapshot.Metadata.ConfState
	disks, state, err := decodeSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	for voter, number := range disks {
		if voter != l.cfg.Voter && l.cfg.Disk.content.Disks[voter] != number {
			l.setDiskNumber(voter, number)
		}
	}
	return l.cfg.Restore(index, state)
}

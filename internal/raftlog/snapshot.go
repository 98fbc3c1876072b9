package raftlog

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	// snapshotWithDisks is the first byte of a snapshot in which the voters' disk numbers precede the state. Snapshots
	// of earlier program versions contain only the state, which never starts with this byte.
	snapshotWithDisks = 0xff
	// maxSnapshotDisks limits the disk numbers that are read from a snapshot.
	maxSnapshotDisks = 64
)

// encodeSnapshot prepends the voters' disk numbers to an encoded state.
func (l *Log) encodeSnapshot(state []byte) []byte {
	disks := l.cfg.Disk.content.Disks
	b := appendUvarints([]byte{snapshotWithDisks}, uint64(len(disks)))
	for _, voter := range slices.Sorted(maps.Keys(disks)) {
		b = appendUvarints(b, uint64(voter), disks[voter])
	}
	return append(b, state...)
}

// decodeSnapshot decodes what encodeSnapshot returns. disks is nil for a snapshot of an earlier program version.
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
		return nil, nil, fmt.Errorf("disk numbers of a snapshot: %w", ErrMalformed)
	}
	return disks, r.rest, nil
}

// restore applies a snapshot from another voter, including the disk numbers that the entries it replaces would have
// set.
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

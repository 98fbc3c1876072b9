package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"gapgap/internal/statefile"
	"gapgap/internal/vfs"
)

// Disk is a voter's log in one file, which is written whole or not at all, with a checksum: the log is short, as it is compacted each
// mostEntries, and grows by a few entries a change. (bbolt was used first: of a damaged page it panics on a goroutine of its own, which no caller
// can make a refusal of.)
type Disk struct {
	fs   vfs.FS
	path string
	form statefile.Form
	is   kept
}

// kept is what the file has. Raft's parts are as raft marshals them.
type kept struct {
	Number  uint64         `json:"number"`          // of this disk, by chance; not 0
	Disks   map[int]uint64 `json:"disks,omitempty"` // those with which the log began, by rank; empty: it has not begun
	Hard    []byte         `json:"hard,omitempty"`
	Snap    []byte         `json:"snapshot,omitempty"`
	First   uint64         `json:"first,omitempty"` // the index of the first entry
	Entries [][]byte       `json:"entries,omitempty"`
}

// mostDisk bounds the file: a snapshot, and mostEntries and keepEntries of mostEntry each would be more, but entries have some hundred bytes.
const mostDisk = 64 << 20

// ErrDamaged says that a voter's file can't be trusted. The voter must not take part by it.
var ErrDamaged = errors.New("the voter's log is damaged")

// OpenDisk opens the file in a directory, or makes it. Its errors say in one line what is wrong; then nothing has been changed.
func OpenDisk(fsys vfs.FS, dir string) (*Disk, error) {
	d := &Disk{fs: fsys, path: filepath.Join(dir, "policy.log"), form: statefile.Form{Kind: "gapgap policy log", Version: 1, Most: mostDisk}}
	switch err := d.form.LoadFrom(fsys, d.path, &d.is); {
	case errors.Is(err, fs.ErrNotExist):
		var b [8]byte
		rand.Read(b[:])
		d.is.Number = binary.BigEndian.Uint64(b[:])>>1 | 1
		return d, d.write()
	case errors.Is(err, statefile.ErrDamaged):
		return nil, fmt.Errorf("%s: %w: %w", d.path, ErrDamaged, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	if d.is.Number == 0 || len(d.is.Disks) > 0 && (len(d.is.Hard) == 0 || len(d.is.Snap) == 0) {
		return nil, fmt.Errorf("%s: %w: it has no beginning", d.path, ErrDamaged)
	}
	return d, nil
}

func (d *Disk) begun() bool { return len(d.is.Disks) > 0 }

// write keeps all; when it returns nil it outlives a power loss.
func (d *Disk) write() error {
	b, err := d.encode()
	if err != nil {
		return err
	}
	return d.put(b)
}

// encode makes of all that there is now what put writes.
func (d *Disk) encode() ([]byte, error) {
	b, err := d.form.Encode(d.is)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	return b, nil
}

// put writes what encode made; when it returns nil that outlives a power loss. Any goroutine may call it, one at a time.
func (d *Disk) put(b []byte) error {
	if err := vfs.ReplaceFile(d.fs, d.path, b); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// begin keeps with which disks the log begins, and its empty beginning, which all voters have alike.
func (d *Disk) begin(disks map[int]uint64, conf raftpb.ConfState, term, self uint64) error {
	snap := raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{ConfState: conf, Index: 1, Term: 1}}
	hard := raftpb.HardState{Term: 1, Commit: 1}
	if term > 1 { // a disk that was lost may have voted in it
		hard.Term, hard.Vote = term, self
	}
	s, err := snap.Marshal()
	if err != nil {
		return err
	}
	h, err := hard.Marshal()
	if err != nil {
		return err
	}
	d.is.Disks, d.is.Snap, d.is.Hard = disks, s, h
	return d.write()
}

// add takes what has to be on the disk before anything that hangs on it is said.
func (d *Disk) add(hard raftpb.HardState, entries []raftpb.Entry, snap *raftpb.Snapshot) error {
	if snap != nil {
		b, err := snap.Marshal()
		if err != nil {
			return err
		}
		d.is.Snap, d.is.First, d.is.Entries = b, 0, nil
	}
	if !raft.IsEmptyHardState(hard) {
		b, err := hard.Marshal()
		if err != nil {
			return err
		}
		d.is.Hard = b
	}
	for i := range entries {
		b, err := entries[i].Marshal()
		if err != nil {
			return err
		}
		index := entries[i].Index
		switch n := uint64(len(d.is.Entries)); {
		case n == 0:
			d.is.First = index
		case index < d.is.First || index > d.is.First+n:
			return fmt.Errorf("entry %d does not follow those from %d on, %d of them", index, d.is.First, n)
		default:
			d.is.Entries = d.is.Entries[:index-d.is.First] // what stood behind it was never agreed on
		}
		d.is.Entries = append(d.is.Entries, b)
	}
	return nil
}

// compact takes a snapshot, and the entries behind an index.
func (d *Disk) compact(snap raftpb.Snapshot, first uint64) error {
	b, err := snap.Marshal()
	if err != nil {
		return err
	}
	d.is.Snap = b
	if first >= d.is.First && len(d.is.Entries) > 0 {
		n := min(first+1-d.is.First, uint64(len(d.is.Entries)))
		d.is.First, d.is.Entries = first+1, append([][]byte(nil), d.is.Entries[n:]...)
	}
	return nil
}

// load reads all into the memory that raft reads from.
func (d *Disk) load() (*raft.MemoryStorage, error) {
	bad := func(err error) error { return fmt.Errorf("%s: %w: %w", d.path, ErrDamaged, err) }
	mem := raft.NewMemoryStorage()
	var snap raftpb.Snapshot
	var hard raftpb.HardState
	if err := errors.Join(snap.Unmarshal(d.is.Snap), hard.Unmarshal(d.is.Hard)); err != nil {
		return nil, bad(err)
	}
	if err := mem.ApplySnapshot(snap); err != nil {
		return nil, bad(err)
	}
	mem.SetHardState(hard)
	var entries []raftpb.Entry
	for i, b := range d.is.Entries {
		var e raftpb.Entry
		if err := e.Unmarshal(b); err != nil {
			return nil, bad(err)
		}
		if e.Index != d.is.First+uint64(i) {
			return nil, bad(fmt.Errorf("entry %d stands for %d", e.Index, d.is.First+uint64(i)))
		}
		if e.Index > snap.Metadata.Index {
			entries = append(entries, e)
		}
	}
	if len(entries) > 0 && entries[0].Index != snap.Metadata.Index+1 || hard.Commit > snap.Metadata.Index+uint64(len(entries)) {
		return nil, bad(errors.New("entries are missing"))
	}
	return mem, mem.Append(entries)
}

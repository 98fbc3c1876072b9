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
	files   vfs.FS
	path    string
	format  statefile.Form
	content diskContent
}

// diskContent is what the file has. Raft's parts are as raft marshals them.
type diskContent struct {
	Number    uint64         `json:"number"`          // of this disk, by chance; not 0
	Disks     map[int]uint64 `json:"disks,omitempty"` // those with which the log began, by rank; empty: it has not begun
	HardState []byte         `json:"hard,omitempty"`
	Snapshot  []byte         `json:"snapshot,omitempty"`
	First     uint64         `json:"first,omitempty"` // the index of the first entry
	Entries   [][]byte       `json:"entries,omitempty"`
}

// maxFileBytes bounds the file: a snapshot, and mostEntries and keepEntries of mostEntry each would be more, but entries have some hundred bytes.
const maxFileBytes = 64 << 20

// ErrDamaged says that a voter's file can't be trusted. The voter must not take part by it.
var ErrDamaged = errors.New("the voter's log is damaged")

// OpenDisk opens the file in a directory, or makes it. Its errors say in one line what is wrong; then nothing has been changed.
func OpenDisk(fsys vfs.FS, dir string) (*Disk, error) {
	d := &Disk{files: fsys, path: filepath.Join(dir, "policy.log"), format: statefile.Form{Kind: "gapgap policy log", Version: 1, Most: maxFileBytes}}
	switch err := d.format.LoadFrom(fsys, d.path, &d.content); {
	case errors.Is(err, fs.ErrNotExist):
		var b [8]byte
		rand.Read(b[:])
		d.content.Number = binary.BigEndian.Uint64(b[:])>>1 | 1
		return d, d.write()
	case errors.Is(err, statefile.ErrDamaged):
		return nil, fmt.Errorf("%s: %w: %w", d.path, ErrDamaged, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	if d.content.Number == 0 || len(d.content.Disks) > 0 && (len(d.content.HardState) == 0 || len(d.content.Snapshot) == 0) {
		return nil, fmt.Errorf("%s: %w: it has no beginning", d.path, ErrDamaged)
	}
	return d, nil
}

func (d *Disk) hasLog() bool { return len(d.content.Disks) > 0 }

// write keeps all; when it returns nil it outlives a power loss.
func (d *Disk) write() error {
	b, err := d.encode()
	if err != nil {
		return err
	}
	return d.writeEncoded(b)
}

// encode makes of all that there is now what put writes.
func (d *Disk) encode() ([]byte, error) {
	b, err := d.format.Encode(d.content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	return b, nil
}

// writeEncoded writes what encode made; when it returns nil that outlives a power loss. Any goroutine may call it, one at a time.
func (d *Disk) writeEncoded(b []byte) error {
	if err := vfs.ReplaceFile(d.files, d.path, b); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// bootstrap keeps with which disks the log begins, and its empty beginning, which all voters have alike.
func (d *Disk) bootstrap(disks map[int]uint64, conf raftpb.ConfState, term, self uint64) error {
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
	d.content.Disks, d.content.Snapshot, d.content.HardState = disks, s, h
	return d.write()
}

// record takes what has to be on the disk before anything that hangs on it is said.
func (d *Disk) record(hard raftpb.HardState, entries []raftpb.Entry, snap *raftpb.Snapshot) error {
	if snap != nil {
		b, err := snap.Marshal()
		if err != nil {
			return err
		}
		d.content.Snapshot, d.content.First, d.content.Entries = b, 0, nil
	}
	if !raft.IsEmptyHardState(hard) {
		b, err := hard.Marshal()
		if err != nil {
			return err
		}
		d.content.HardState = b
	}
	for i := range entries {
		b, err := entries[i].Marshal()
		if err != nil {
			return err
		}
		index := entries[i].Index
		switch n := uint64(len(d.content.Entries)); {
		case n == 0:
			d.content.First = index
		case index < d.content.First || index > d.content.First+n:
			return fmt.Errorf("entry %d does not follow those from %d on, %d of them", index, d.content.First, n)
		default:
			d.content.Entries = d.content.Entries[:index-d.content.First] // what stood behind it was never agreed on
		}
		d.content.Entries = append(d.content.Entries, b)
	}
	return nil
}

// compact takes a snapshot, and the entries behind an index.
func (d *Disk) compact(snap raftpb.Snapshot, first uint64) error {
	b, err := snap.Marshal()
	if err != nil {
		return err
	}
	d.content.Snapshot = b
	if first >= d.content.First && len(d.content.Entries) > 0 {
		n := min(first+1-d.content.First, uint64(len(d.content.Entries)))
		d.content.First, d.content.Entries = first+1, append([][]byte(nil), d.content.Entries[n:]...)
	}
	return nil
}

// load reads all into the memory that raft reads from.
func (d *Disk) load() (*raft.MemoryStorage, error) {
	bad := func(err error) error { return fmt.Errorf("%s: %w: %w", d.path, ErrDamaged, err) }
	mem := raft.NewMemoryStorage()
	var snap raftpb.Snapshot
	var hard raftpb.HardState
	if err := errors.Join(snap.Unmarshal(d.content.Snapshot), hard.Unmarshal(d.content.HardState)); err != nil {
		return nil, bad(err)
	}
	if err := mem.ApplySnapshot(snap); err != nil {
		return nil, bad(err)
	}
	mem.SetHardState(hard)
	var entries []raftpb.Entry
	for i, b := range d.content.Entries {
		var e raftpb.Entry
		if err := e.Unmarshal(b); err != nil {
			return nil, bad(err)
		}
		if e.Index != d.content.First+uint64(i) {
			return nil, bad(fmt.Errorf("entry %d stands for %d", e.Index, d.content.First+uint64(i)))
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

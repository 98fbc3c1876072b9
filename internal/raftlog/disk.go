package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"gapgap/internal/statefile"
	"gapgap/internal/vfs"
)

const (
	// snapshotThreshold is the number of entries applied since the last snapshot at which the next one is made.
	snapshotThreshold = 500
	// retainedEntries is the number of entries before a snapshot that are kept, so that voters that lag slightly catch
	// up without a snapshot.
	retainedEntries = 100
	// maxFileBytes limits the size of the file. Entries are a few hundred bytes each.
	maxFileBytes = 64 << 20
)

// fileName is the name of a voter's file in its directory.
const fileName = "policy.log"

// ErrDamaged is returned for a voter's file that can't be trusted. The voter must not participate with it.
var ErrDamaged = errors.New("the voter's log is damaged")

var (
	errIncomplete     = errors.New("its disk number, hard state or snapshot is missing")
	errEntriesMissing = errors.New("entries are missing")
)

// Disk is the storage of a voter: one file with a checksum, which each write replaces atomically. Compaction keeps the
// log short enough to be rewritten each time.
type Disk struct {
	files   vfs.FS
	path    string
	format  statefile.Format
	content diskContent
}

// diskContent is the content of the file. Raft's structures are stored in raft's own encoding.
type diskContent struct {
	// Number is random and distinguishes this disk from any other disk of the same voter. It is never 0.
	Number uint64 `json:"number"`
	// Disks maps each voter to the number of its disk. It is empty until the log is bootstrapped.
	Disks map[int]uint64 `json:"disks,omitempty"`
	// HardState is an encoded raftpb.HardState.
	HardState []byte `json:"hard,omitempty"`
	// Snapshot is an encoded raftpb.Snapshot.
	Snapshot []byte `json:"snapshot,omitempty"`
	// First is the index of the first element of Entries.
	First uint64 `json:"first,omitempty"`
	// Entries are encoded raftpb.Entry values with consecutive indices.
	Entries [][]byte `json:"entries,omitempty"`
}

// randomDiskNumber returns a nonzero number for a new disk.
func randomDiskNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// OpenDisk opens the file in a directory, or creates it. Error messages have a single line. An existing file is not
// modified.
func OpenDisk(files vfs.FS, dir string) (*Disk, error) {
	d := &Disk{
		files:  files,
		path:   filepath.Join(dir, fileName),
		format: statefile.Format{Kind: "gapgap policy log", Version: 1, MaxBytes: maxFileBytes},
	}
	err := d.format.LoadFrom(files, d.path, &d.content)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		d.content.Number = randomDiskNumber()
		return d, d.write()
	case errors.Is(err, statefile.ErrCorrupt):
		return nil, d.damagedError(err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	isComplete := len(d.content.HardState) > 0 && len(d.content.Snapshot) > 0
	if d.content.Number == 0 || d.isBootstrapped() && !isComplete {
		return nil, d.damagedError(errIncomplete)
	}
	return d, nil
}

func (d *Disk) damagedError(err error) error {
	return fmt.Errorf("%s: %w: %w", d.path, ErrDamaged, err)
}

// isBootstrapped reports whether the log is bootstrapped.
func (d *Disk) isBootstrapped() bool { return len(d.content.Disks) > 0 }

// write stores the content durably: once it returns nil, the content survives a power loss.
func (d *Disk) write() error {
	b, err := d.encode()
	if err != nil {
		return err
	}
	return d.writeEncoded(b)
}

// encode returns the content in the form that writeEncoded takes.
func (d *Disk) encode() ([]byte, error) {
	b, err := d.format.Encode(d.content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", d.path, err)
	}
	return b, nil
}

// writeEncoded durably stores what encode has returned. Any goroutine may call it, but calls must not overlap.
func (d *Disk) writeEncoded(b []byte) error {
	if err := vfs.ReplaceFile(d.files, d.path, b); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// bootstrap stores the disk numbers and an empty log, which is the same on all voters. With a term above 1, the stored
// hard state says that this voter voted for itself in that term: its lost disk may already have voted in it.
func (d *Disk) bootstrap(disks map[int]uint64, voters raftpb.ConfState, term, self uint64) error {
	snapshot := raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{ConfState: voters, Index: 1, Term: 1}}
	hardState := raftpb.HardState{Term: 1, Commit: 1}
	if term > 1 {
		hardState.Term, hardState.Vote = term, self
	}
	snapshotBytes, err := snapshot.Marshal()
	if err != nil {
		return err
	}
	hardStateBytes, err := hardState.Marshal()
	if err != nil {
		return err
	}
	d.content.Disks = disks
	d.content.Snapshot = snapshotBytes
	d.content.HardState = hardStateBytes
	return d.write()
}

// record updates the content with what raft wants to be stored, without writing it. A snapshot replaces all entries; an
// empty hard state leaves the recorded one as it is.
func (d *Disk) record(hardState raftpb.HardState, entries []raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if snapshot != nil {
		b, err := snapshot.Marshal()
		if err != nil {
			return err
		}
		d.content.Snapshot, d.content.First, d.content.Entries = b, 0, nil
	}
	if !raft.IsEmptyHardState(hardState) {
		b, err := hardState.Marshal()
		if err != nil {
			return err
		}
		d.content.HardState = b
	}
	for i := range entries {
		if err := d.recordEntry(&entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// recordEntry records an entry at its index and drops all later entries, which were never committed.
func (d *Disk) recordEntry(e *raftpb.Entry) error {
	b, err := e.Marshal()
	if err != nil {
		return err
	}
	content := &d.content
	count := uint64(len(content.Entries))
	switch {
	case count == 0:
		content.First = e.Index
	case e.Index < content.First || e.Index > content.First+count:
		return fmt.Errorf("entry %d does not extend a log from %d on with %d entries", e.Index, content.First, count)
	default:
		content.Entries = content.Entries[:e.Index-content.First]
	}
	content.Entries = append(content.Entries, b)
	return nil
}

// compact records a snapshot and drops the entries up to and including lastDropped.
func (d *Disk) compact(snapshot raftpb.Snapshot, lastDropped uint64) error {
	b, err := snapshot.Marshal()
	if err != nil {
		return err
	}
	content := &d.content
	content.Snapshot = b
	if lastDropped < content.First || len(content.Entries) == 0 {
		return nil
	}
	dropped := min(lastDropped+1-content.First, uint64(len(content.Entries)))
	content.First = lastDropped + 1
	content.Entries = slices.Clone(content.Entries[dropped:])
	return nil
}

// load returns the storage that raft reads from. Its errors wrap ErrDamaged.
func (d *Disk) load() (*raft.MemoryStorage, error) {
	var snapshot raftpb.Snapshot
	var hardState raftpb.HardState
	err := errors.Join(snapshot.Unmarshal(d.content.Snapshot), hardState.Unmarshal(d.content.HardState))
	if err != nil {
		return nil, d.damagedError(err)
	}
	storage := raft.NewMemoryStorage()
	if err := storage.ApplySnapshot(snapshot); err != nil {
		return nil, d.damagedError(err)
	}
	if err := storage.SetHardState(hardState); err != nil {
		return nil, d.damagedError(err)
	}
	index := snapshot.Metadata.Index
	entries, err := d.entriesAfter(index)
	if err != nil {
		return nil, d.damagedError(err)
	}
	hasGap := len(entries) > 0 && entries[0].Index != index+1
	if hasGap || hardState.Commit > index+uint64(len(entries)) {
		return nil, d.damagedError(errEntriesMissing)
	}
	return storage, storage.Append(entries)
}

// entriesAfter returns the stored entries whose index is greater than the given one.
func (d *Disk) entriesAfter(index uint64) (entries []raftpb.Entry, err error) {
	for i, b := range d.content.Entries {
		var e raftpb.Entry
		if err := e.Unmarshal(b); err != nil {
			return nil, err
		}
		if want := d.content.First + uint64(i); e.Index != want {
			return nil, fmt.Errorf("entry has index %d, want %d", e.Index, want)
		}
		if e.Index > index {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

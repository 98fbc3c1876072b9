//go:build powertest

package vfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Recorder is the operating system's file system, with a file in which all that is done below a directory is written down, and faults that
// another file orders. It is in test builds only (tag powertest).
//
// An operation is written down before it is done, a sync after it has returned: what the record promises to be there is. The record outlives a
// SIGKILL, as the kernel has it by then.
type Recorder struct {
	OS
	root, fault string
	mu          sync.Mutex
	out         *os.File
	last        uint64
	ids         map[string]uint64
}

// NewRecorder records below root into a file, anew. fault names the file with the fault in force, "full", "readonly" or "slow 2s"; no file, no fault.
func NewRecorder(root, record, fault string) (*Recorder, error) {
	out, err := os.OpenFile(record, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Recorder{root: root, fault: fault, out: out, ids: map[string]uint64{}}, nil
}

func (r *Recorder) put(op Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putLocked(op)
}

func (r *Recorder) putLocked(op Op) {
	b, err := cbor.Marshal(op)
	if err == nil {
		_, err = r.out.Write(b)
	}
	if err != nil {
		panic(err) // the test can't be trusted any more
	}
}

func (r *Recorder) rel(name string) string {
	rel, err := filepath.Rel(r.root, name)
	if err != nil || strings.HasPrefix(rel, "..") {
		panic(name + " is not below " + r.root)
	}
	return rel
}

// faulty is what an operation that changes something meets.
func (r *Recorder) faulty() error {
	b, err := os.ReadFile(r.fault)
	if err != nil {
		return nil
	}
	switch what, arg, _ := strings.Cut(strings.TrimSpace(string(b)), " "); what {
	case "full":
		return syscall.ENOSPC
	case "readonly":
		return syscall.EROFS
	case "slow":
		if d, err := time.ParseDuration(arg); err == nil {
			time.Sleep(d)
		}
	}
	return nil
}

func (r *Recorder) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	if flag&(os.O_WRONLY|os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND) == 0 {
		return r.OS.OpenFile(name, flag, perm)
	}
	if err := r.faulty(); err != nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: err}
	}
	_, err := os.Stat(name)
	there := err == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := r.OS.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err
	}
	return r.opened(f, name, there, flag&os.O_TRUNC != 0), nil
}

// opened gives a file its number. The caller holds mu.
func (r *Recorder) opened(f File, name string, there, emptied bool) *recorded {
	rel := r.rel(name)
	r.last++
	id := r.last
	if there {
		if known, ok := r.ids[rel]; ok {
			id = known
		} else {
			r.putLocked(Op{Kind: Open, ID: id, Path: rel})
		}
		if emptied {
			r.putLocked(Op{Kind: Truncate, ID: id})
		}
	} else {
		r.putLocked(Op{Kind: Make, ID: id, Path: rel})
	}
	r.ids[rel] = id
	return &recorded{File: f, r: r, id: id}
}

func (r *Recorder) CreateTemp(dir, pattern string) (File, error) {
	if err := r.faulty(); err != nil {
		return nil, &fs.PathError{Op: "createtemp", Path: dir, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := r.OS.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err
	}
	return r.opened(f, f.Name(), false, false), nil
}

func (r *Recorder) Rename(from, to string) error {
	if err := r.faulty(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := r.rel(from), r.rel(to)
	r.putLocked(Op{Kind: Rename, Path: a, To: b})
	if id, ok := r.ids[a]; ok {
		delete(r.ids, a)
		r.ids[b] = id
	} else {
		delete(r.ids, b)
	}
	return r.OS.Rename(from, to)
}

func (r *Recorder) Remove(name string) error {
	if err := r.faulty(); err != nil {
		return &fs.PathError{Op: "remove", Path: name, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putLocked(Op{Kind: Remove, Path: r.rel(name)})
	delete(r.ids, r.rel(name))
	return r.OS.Remove(name)
}

func (r *Recorder) MkdirAll(name string, perm fs.FileMode) error {
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
		if err := r.faulty(); err != nil {
			return &fs.PathError{Op: "mkdir", Path: name, Err: err}
		}
		r.put(Op{Kind: Mkdir, Path: r.rel(name)})
	}
	return r.OS.MkdirAll(name, perm)
}

func (r *Recorder) SyncDir(name string) error {
	if err := r.faulty(); err != nil {
		return &fs.PathError{Op: "sync", Path: name, Err: err}
	}
	err := r.OS.SyncDir(name)
	if err == nil {
		r.put(Op{Kind: SyncDir, Path: r.rel(name)})
	}
	return err
}

// recorded is an open file. Its offset is the file's own, so writes are written down where they go.
type recorded struct {
	File
	r  *Recorder
	id uint64
}

func (f *recorded) Write(b []byte) (int, error) {
	if err := f.r.faulty(); err != nil {
		return 0, &fs.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	at, err := f.Seek(0, 1)
	if err != nil {
		return 0, err
	}
	f.r.put(Op{Kind: Write, ID: f.id, Off: at, Data: b})
	return f.File.Write(b)
}

func (f *recorded) Truncate(size int64) error {
	if err := f.r.faulty(); err != nil {
		return &fs.PathError{Op: "truncate", Path: f.Name(), Err: err}
	}
	f.r.put(Op{Kind: Truncate, ID: f.id, Off: size})
	return f.File.Truncate(size)
}

func (f *recorded) Sync() error {
	if err := f.r.faulty(); err != nil {
		return &fs.PathError{Op: "sync", Path: f.Name(), Err: err}
	}
	err := f.File.Sync()
	if err == nil {
		f.r.put(Op{Kind: Sync, ID: f.id})
	}
	return err
}

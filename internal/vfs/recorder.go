//go:build powertest

package vfs

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Faults that the fault file may name. A duration follows faultSlow, as in "slow 2s".
const (
	faultFull     = "full"
	faultReadOnly = "readonly"
	faultSlow     = "slow"
)

// Recorder is the operating system's file system with a record of all changes below a directory and with fault
// injection. It exists in test builds only (build tag powertest).
//
// A change is recorded before it is made, and a sync after it has succeeded, so the record never has a sync that the
// disk has not completed. The record survives a SIGKILL of the process. The recorder panics if it can't record a
// change, as the test's result would be invalid.
type Recorder struct {
	OS
	// root is the recorded directory.
	root string
	// faultPath is the path of the file that names the current fault; without the file there is none.
	faultPath string

	mu     sync.Mutex
	record *os.File
	// lastID is the ID assigned last. fileIDs are the IDs of files by their relative paths.
	lastID  uint64
	fileIDs map[string]uint64
}

// NewRecorder returns a recorder of the changes below root. It overwrites an existing record.
func NewRecorder(root, recordPath, faultPath string) (*Recorder, error) {
	record, err := os.OpenFile(recordPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Recorder{root: root, faultPath: faultPath, record: record, fileIDs: map[string]uint64{}}, nil
}

// append records an operation.
func (r *Recorder) append(operation Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendLocked(operation)
}

// appendLocked records an operation. The caller holds mu.
func (r *Recorder) appendLocked(operation Operation) {
	b, err := cbor.Marshal(operation)
	if err == nil {
		_, err = r.record.Write(b)
	}
	if err != nil {
		panic(err)
	}
}

// relative returns a path relative to the root. It panics for a path outside the root.
func (r *Recorder) relative(name string) string {
	path, err := filepath.Rel(r.root, name)
	if err != nil || strings.HasPrefix(path, "..") {
		panic(name + " is not below " + r.root)
	}
	return path
}

// injectFault delays a change or returns the error with which it must fail.
func (r *Recorder) injectFault() error {
	text, err := os.ReadFile(r.faultPath)
	if err != nil {
		return nil // no fault without a file
	}
	fault, argument, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	switch fault {
	case faultFull:
		return syscall.ENOSPC
	case faultReadOnly:
		return syscall.EROFS
	case faultSlow:
		if delay, err := time.ParseDuration(argument); err == nil {
			time.Sleep(delay)
		}
	}
	return nil
}

// injectPathFault is like injectFault with the error type of package os for an operation on a path.
func (r *Recorder) injectPathFault(operation, path string) error {
	if err := r.injectFault(); err != nil {
		return &fs.PathError{Op: operation, Path: path, Err: err}
	}
	return nil
}

// OpenFile implements [FS]. A file that is only read is not recorded.
func (r *Recorder) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	const writing = os.O_WRONLY | os.O_RDWR | os.O_CREATE | os.O_TRUNC | os.O_APPEND
	if flag&writing == 0 {
		return r.OS.OpenFile(name, flag, perm)
	}
	if err := r.injectPathFault("open", name); err != nil {
		return nil, err
	}
	_, err := os.Stat(name)
	existed := err == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := r.OS.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err
	}
	if !existed {
		return r.createdLocked(file, name), nil
	}
	opened := r.openedLocked(file, name)
	if flag&os.O_TRUNC != 0 {
		r.appendLocked(Operation{Kind: OpTruncate, FileID: opened.id})
	}
	return opened, nil
}

// createdLocked records the creation of a file. The caller holds mu.
func (r *Recorder) createdLocked(file File, name string) *recordedFile {
	path := r.relative(name)
	r.lastID++
	r.fileIDs[path] = r.lastID
	r.appendLocked(Operation{Kind: OpCreate, FileID: r.lastID, Path: path})
	return &recordedFile{File: file, recorder: r, id: r.lastID}
}

// openedLocked records the first opening of an existing file. The caller holds mu.
func (r *Recorder) openedLocked(file File, name string) *recordedFile {
	path := r.relative(name)
	r.lastID++
	id, isKnown := r.fileIDs[path]
	if !isKnown {
		id = r.lastID
		r.fileIDs[path] = id
		r.appendLocked(Operation{Kind: OpOpen, FileID: id, Path: path})
	}
	return &recordedFile{File: file, recorder: r, id: id}
}

// CreateTemp implements [FS].
func (r *Recorder) CreateTemp(dir, pattern string) (File, error) {
	if err := r.injectPathFault("createtemp", dir); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := r.OS.CreateTemp(dir, pattern)
	if err != nil {
		return nil, err
	}
	return r.createdLocked(file, file.Name()), nil
}

// Rename implements [FS].
func (r *Recorder) Rename(oldPath, newPath string) error {
	if err := r.injectFault(); err != nil {
		return &os.LinkError{Op: "rename", Old: oldPath, New: newPath, Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	from, to := r.relative(oldPath), r.relative(newPath)
	r.appendLocked(Operation{Kind: OpRename, Path: from, NewPath: to})
	if id, ok := r.fileIDs[from]; ok {
		delete(r.fileIDs, from)
		r.fileIDs[to] = id
	} else {
		delete(r.fileIDs, to)
	}
	return r.OS.Rename(oldPath, newPath)
}

// Remove implements [FS].
func (r *Recorder) Remove(name string) error {
	if err := r.injectPathFault("remove", name); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	path := r.relative(name)
	r.appendLocked(Operation{Kind: OpRemove, Path: path})
	delete(r.fileIDs, path)
	return r.OS.Remove(name)
}

// MkdirAll implements [FS].
func (r *Recorder) MkdirAll(name string, perm fs.FileMode) error {
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
		if err := r.injectPathFault("mkdir", name); err != nil {
			return err
		}
		r.append(Operation{Kind: OpMkdir, Path: r.relative(name)})
	}
	return r.OS.MkdirAll(name, perm)
}

// SyncDir implements [FS].
func (r *Recorder) SyncDir(name string) error {
	if err := r.injectPathFault("sync", name); err != nil {
		return err
	}
	err := r.OS.SyncDir(name)
	if err == nil {
		r.append(Operation{Kind: OpSyncDir, Path: r.relative(name)})
	}
	return err
}

// recordedFile is a file that is open for writing.
type recordedFile struct {
	File
	recorder *Recorder
	id       uint64
}

// Write implements [File]. It records the write at the file's current offset.
func (f *recordedFile) Write(b []byte) (int, error) {
	if err := f.recorder.injectPathFault("write", f.Name()); err != nil {
		return 0, err
	}
	offset, err := f.Seek(0, io.SeekCurrent)
	if err != nil {
		return 0, err
	}
	f.recorder.append(Operation{Kind: OpWrite, FileID: f.id, Offset: offset, Data: b})
	return f.File.Write(b)
}

// Truncate implements [File].
func (f *recordedFile) Truncate(size int64) error {
	if err := f.recorder.injectPathFault("truncate", f.Name()); err != nil {
		return err
	}
	f.recorder.append(Operation{Kind: OpTruncate, FileID: f.id, Offset: size})
	return f.File.Truncate(size)
}

// Sync implements [File].
func (f *recordedFile) Sync() error {
	if err := f.recorder.injectPathFault("sync", f.Name()); err != nil {
		return err
	}
	err := f.File.Sync()
	if err == nil {
		f.recorder.append(Operation{Kind: OpSync, FileID: f.id})
	}
	return err
}

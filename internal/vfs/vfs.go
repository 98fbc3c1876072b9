// Package vfs is the file system as code sees it whose state must outlive a power loss. [OS] is the real one. Tests put
// another one in its place, which records operations, so that the files after a power loss can be made from these.
//
// A caller may rely on two things only after a power loss: the content of a file as of its last Sync, and the names in
// a directory as of its last SyncDir. Of all later changes any part may be there.
package vfs

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// ErrTooLarge reports a file that has more bytes than its reader allows.
var ErrTooLarge = errors.New("the file is larger than it may be")

// File is an open file.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Seeker
	io.Closer
	Name() string
	Stat() (fs.FileInfo, error)
	// Sync returns nil once the file's content outlives a power loss.
	Sync() error
	Truncate(size int64) error
}

// FS is a file system. Its methods have the errors of those of package os.
type FS interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	CreateTemp(dir, pattern string) (File, error)
	Rename(oldPath, newPath string) error
	Remove(name string) error
	MkdirAll(name string, perm fs.FileMode) error
	ReadDir(name string) ([]fs.DirEntry, error)
	// Chtimes sets when a file was last used and written. Neither need outlive a power loss.
	Chtimes(name string, accessed, modified time.Time) error
	// SyncDir returns nil once the names in the directory outlive a power loss.
	SyncDir(name string) error
}

// OrOS returns the file system, or that of the operating system for nil.
func OrOS(fsys FS) FS {
	if fsys == nil {
		return OS{}
	}
	return fsys
}

// ReadFile reads a file. The error is ErrTooLarge if that has more than maxBytes.
func ReadFile(fsys FS, name string, maxBytes int64) ([]byte, error) {
	file, err := fsys.OpenFile(name, os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // only read
	content, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return nil, ErrTooLarge
	}
	return content, err
}

// ReplaceFile writes a file in place of an older one, as a whole or not at all. When it returns nil, the new content
// outlives a power loss.
func ReplaceFile(fsys FS, name string, content []byte) error {
	dir := filepath.Dir(name)
	temporary, err := fsys.CreateTemp(dir, filepath.Base(name)+".new*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = fsys.Rename(temporary.Name(), name)
	}
	if err != nil {
		_ = fsys.Remove(temporary.Name()) // the first error counts
		return err
	}
	return fsys.SyncDir(dir)
}

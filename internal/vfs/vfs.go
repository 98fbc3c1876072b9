// Package vfs is the file system interface of code whose state must survive a power loss. [OS] is the real file system.
// Tests use another one that records operations, from which they derive the files after a power loss.
//
// After a power loss a caller may rely on the content of a file as of its last Sync and on the names in a directory as
// of its last SyncDir. Any part of later changes may be present.
package vfs

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// ErrTooLarge is returned for a file that has more bytes than the caller allows.
var ErrTooLarge = errors.New("the file exceeds its size limit")

// File is an open file.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Seeker
	io.Closer
	Name() string
	Stat() (fs.FileInfo, error)
	// Sync returns nil once the file's content survives a power loss.
	Sync() error
	Truncate(size int64) error
}

// FS is a file system. Its methods return the errors of their counterparts in package os.
type FS interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	CreateTemp(dir, pattern string) (File, error)
	Rename(oldPath, newPath string) error
	Remove(name string) error
	MkdirAll(name string, perm fs.FileMode) error
	ReadDir(name string) ([]fs.DirEntry, error)
	// Chtimes sets a file's access and modification times, which need not survive a power loss.
	Chtimes(name string, accessed, modified time.Time) error
	// SyncDir returns nil once the names in the directory survive a power loss.
	SyncDir(name string) error
}

// OrOS returns fsys, or the operating system's file system if fsys is nil.
func OrOS(fsys FS) FS {
	if fsys == nil {
		return OS{}
	}
	return fsys
}

// ReadFile reads a file. It returns ErrTooLarge if the file has more than maxBytes.
func ReadFile(fsys FS, name string, maxBytes int64) ([]byte, error) {
	file, err := fsys.OpenFile(name, os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	content, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return nil, ErrTooLarge
	}
	return content, err
}

// ReplaceFile creates or replaces a file atomically. When it returns nil, the new content survives a power loss.
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
		_ = fsys.Remove(temporary.Name()) // the first error is returned
		return err
	}
	return fsys.SyncDir(dir)
}

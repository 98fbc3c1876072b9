// Package vfs is the file system as states that must outlive a power loss see it. [OS] is the real one. Tests put another in its place, which
// writes down what was written and what was synced, so that what a disk has after a power cut can be made of that.
//
// What a caller may take for granted after a power cut is only: the bytes of a file as of its last Sync, and a directory's names as of its last
// SyncDir. Of all that came later any part may be there.
package vfs

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// File is an open file.
type File interface {
	io.Reader
	io.ReaderAt
	io.Writer
	io.Closer
	Name() string
	Stat() (fs.FileInfo, error)
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
}

// FS is a file system. Errors are as those of package os.
type FS interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	CreateTemp(dir, pattern string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	MkdirAll(name string, perm fs.FileMode) error
	ReadDir(name string) ([]fs.DirEntry, error)
	SyncDir(name string) error // its names outlive a power cut once it returns nil
}

// OS is the operating system's.
type OS struct{}

func (OS) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	return file(os.OpenFile(name, flag, perm))
}
func (OS) CreateTemp(dir, pattern string) (File, error) { return file(os.CreateTemp(dir, pattern)) }
func (OS) Rename(from, to string) error                 { return os.Rename(from, to) }
func (OS) Remove(name string) error                     { return os.Remove(name) }
func (OS) MkdirAll(name string, perm fs.FileMode) error { return os.MkdirAll(name, perm) }
func (OS) ReadDir(name string) ([]fs.DirEntry, error)   { return os.ReadDir(name) }

// file keeps a nil *os.File from becoming a File that is not nil.
func file(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return f, nil
}

// SyncDir implements [FS].
func (OS) SyncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Or is a file system, or the operating system's where none is given.
func Or(f FS) FS {
	if f == nil {
		return OS{}
	}
	return f
}

// ErrLarge says that a file has more bytes than it may.
var ErrLarge = errors.New("the file is larger than it may be")

// ReadFile reads a file of so many bytes at most.
func ReadFile(f FS, name string, most int64) ([]byte, error) {
	in, err := f.OpenFile(name, os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	b, err := io.ReadAll(io.LimitReader(in, most+1))
	if err == nil && int64(len(b)) > most {
		return nil, ErrLarge
	}
	return b, err
}

// Replace writes a file in the place of the one before, whole or not at all: when it returns nil, that outlives a power cut. A file that could not
// be finished is removed.
func Replace(f FS, name string, b []byte) error {
	dir := filepath.Dir(name)
	tmp, err := f.CreateTemp(dir, filepath.Base(name)+".new*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(b)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = f.Rename(tmp.Name(), name)
	}
	if err != nil {
		f.Remove(tmp.Name())
		return err
	}
	return f.SyncDir(dir)
}

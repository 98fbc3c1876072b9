package vfs

import (
	"io/fs"
	"os"
	"time"
)

// OS is the operating system's file system.
type OS struct{}

// OpenFile implements [FS].
func (OS) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	return asFile(os.OpenFile(name, flag, perm))
}

// CreateTemp implements [FS].
func (OS) CreateTemp(dir, pattern string) (File, error) {
	return asFile(os.CreateTemp(dir, pattern))
}

// Rename implements [FS].
func (OS) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

// Remove implements [FS].
func (OS) Remove(name string) error { return os.Remove(name) }

// MkdirAll implements [FS].
func (OS) MkdirAll(name string, perm fs.FileMode) error { return os.MkdirAll(name, perm) }

// ReadDir implements [FS].
func (OS) ReadDir(name string) ([]fs.DirEntry, error) { return os.ReadDir(name) }

// Chtimes implements [FS].
func (OS) Chtimes(name string, accessed, modified time.Time) error {
	return os.Chtimes(name, accessed, modified)
}

// SyncDir implements [FS].
func (OS) SyncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // opened for reading only
	return dir.Sync()
}

// asFile returns a nil File with an error, as a File holding a nil *os.File would not be nil.
func asFile(file *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return file, nil
}

package power

import (
	"bytes"
	"io"
	"io/fs"
	"path/filepath"
	"time"

	"gapgap/internal/vfs"
)

// file is an open file of a Disk. It implements [vfs.File].
type file struct {
	disk *Disk
	node *inode
	// id identifies the file in operations. 0 means that it is open read-only.
	id   uint64
	name string
	// offset is where the next Read or Write starts.
	offset int64
}

// Name implements [vfs.File].
func (f *file) Name() string { return f.name }

// Close implements [vfs.File].
func (f *file) Close() error { return nil }

// Stat implements [vfs.File].
func (f *file) Stat() (fs.FileInfo, error) {
	return fileInfo{node: f.node, path: relativePath(f.name)}, nil
}

// Sync implements [vfs.File].
func (f *file) Sync() error {
	return f.disk.do(vfs.Operation{Kind: vfs.OpSync, FileID: f.id})
}

// Truncate implements [vfs.File].
func (f *file) Truncate(size int64) error {
	return f.disk.do(vfs.Operation{Kind: vfs.OpTruncate, FileID: f.id, Offset: size})
}

// Read implements [vfs.File].
func (f *file) Read(b []byte) (int, error) {
	n, err := f.ReadAt(b, f.offset)
	f.offset += int64(n)
	return n, err
}

// ReadAt implements [vfs.File].
func (f *file) ReadAt(b []byte, at int64) (int, error) {
	return bytes.NewReader(f.node.content).ReadAt(b, at)
}

// Write implements [vfs.File].
func (f *file) Write(b []byte) (int, error) {
	op := vfs.Operation{Kind: vfs.OpWrite, FileID: f.id, Offset: f.offset, Data: b}
	if err := f.disk.do(op); err != nil {
		return 0, err
	}
	f.offset += int64(len(b))
	return len(b), nil
}

// Seek implements [vfs.File].
func (f *file) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += f.offset
	case io.SeekEnd:
		offset += int64(len(f.node.content))
	}
	f.offset = offset
	return f.offset, nil
}

// fileInfo describes a file or a directory of a Disk. It implements [fs.DirEntry] and [fs.FileInfo].
type fileInfo struct {
	// node is nil for a directory.
	node *inode
	path string
}

// Name implements [fs.DirEntry].
func (i fileInfo) Name() string { return filepath.Base(i.path) }

// IsDir implements [fs.DirEntry].
func (i fileInfo) IsDir() bool { return i.node == nil }

// Type implements [fs.DirEntry].
func (i fileInfo) Type() fs.FileMode { return i.Mode().Type() }

// Info implements [fs.DirEntry].
func (i fileInfo) Info() (fs.FileInfo, error) { return i, nil }

// ModTime implements [fs.FileInfo]. It returns the zero time: the disk does not store file times.
func (i fileInfo) ModTime() time.Time { return time.Time{} }

// Sys implements [fs.FileInfo].
func (i fileInfo) Sys() any { return nil }

// Size implements [fs.FileInfo]. It panics for a directory.
func (i fileInfo) Size() int64 { return int64(len(i.node.content)) }

// Mode implements [fs.FileInfo].
func (i fileInfo) Mode() fs.FileMode {
	if i.IsDir() {
		return fs.ModeDir
	}
	return 0
}

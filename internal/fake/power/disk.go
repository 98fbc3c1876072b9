package power

import (
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gapgap/internal/vfs"
)

// ErrCut is the error of every change after the power cut.
var ErrCut = errors.New("power cut")

// Disk is an in-memory file system that implements [vfs.FS]. It is not safe for concurrent use.
type Disk struct {
	*Model

	// CutAt is the number of operations after which the power is cut. 0 means never.
	CutAt int
	// Fault is the error with which every change fails. With nil, changes succeed.
	Fault error

	lastFileID uint64
	// tempFiles is the number of temporary files created so far.
	tempFiles int
}

// NewDisk returns a disk with the files of an image.
func NewDisk(image map[string][]byte) *Disk { return &Disk{Model: NewModel(image)} }

// do executes an operation, or fails with ErrCut or Fault.
func (d *Disk) do(op vfs.Operation) error {
	if d.CutAt > 0 && d.Ops >= d.CutAt {
		return ErrCut
	}
	if d.Fault != nil {
		return d.Fault
	}
	d.Do(op)
	return nil
}

// relativePath converts an absolute or relative file name to a path relative to the root of the disk.
func relativePath(name string) string { return strings.TrimPrefix(filepath.Clean(name), "/") }

// OpenFile implements [vfs.FS].
func (d *Disk) OpenFile(name string, flag int, _ fs.FileMode) (vfs.File, error) {
	path := relativePath(name)
	node, exists := d.names[path]
	isDirectory := exists && node == nil
	if isDirectory || !exists && flag&os.O_CREATE == 0 {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	opened := &file{disk: d, name: name}
	if flag&(os.O_WRONLY|os.O_RDWR|os.O_CREATE) == 0 {
		opened.node = node
		return opened, nil
	}
	d.lastFileID++
	opened.id = d.lastFileID
	op := vfs.Operation{Kind: vfs.OpOpen, FileID: opened.id, Path: path}
	if !exists {
		op.Kind = vfs.OpCreate
	}
	err := d.do(op)
	if err == nil && exists && flag&os.O_TRUNC != 0 {
		err = d.do(vfs.Operation{Kind: vfs.OpTruncate, FileID: opened.id})
	}
	opened.node = d.files[opened.id]
	return opened, err
}

// CreateTemp implements [vfs.FS].
func (d *Disk) CreateTemp(dir, pattern string) (vfs.File, error) {
	d.tempFiles++
	letter := string(rune('a' + d.tempFiles%26))
	name := strings.Replace(pattern, "*", letter, 1)
	return d.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0)
}

// Rename implements [vfs.FS].
func (d *Disk) Rename(from, to string) error {
	return d.do(vfs.Operation{Kind: vfs.OpRename, Path: relativePath(from), NewPath: relativePath(to)})
}

// Remove implements [vfs.FS].
func (d *Disk) Remove(name string) error {
	path := relativePath(name)
	if _, exists := d.names[path]; !exists {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	return d.do(vfs.Operation{Kind: vfs.OpRemove, Path: path})
}

// MkdirAll implements [vfs.FS].
func (d *Disk) MkdirAll(name string, _ fs.FileMode) error {
	path := relativePath(name)
	if _, exists := d.names[path]; exists {
		return nil
	}
	return d.do(vfs.Operation{Kind: vfs.OpMkdir, Path: path})
}

// Chtimes implements [vfs.FS]. The disk does not store file times.
func (d *Disk) Chtimes(name string, _, _ time.Time) error {
	if _, exists := d.names[relativePath(name)]; !exists {
		return &fs.PathError{Op: "chtimes", Path: name, Err: fs.ErrNotExist}
	}
	return nil
}

// SyncDir implements [vfs.FS].
func (d *Disk) SyncDir(name string) error {
	return d.do(vfs.Operation{Kind: vfs.OpSyncDir, Path: relativePath(name)})
}

// ReadDir implements [vfs.FS].
func (d *Disk) ReadDir(name string) ([]fs.DirEntry, error) {
	directory := relativePath(name)
	var entries []fs.DirEntry
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		if path != rootDirectory && filepath.Dir(path) == directory {
			entries = append(entries, fileInfo{node: d.names[path], path: path})
		}
	}
	return entries, nil
}

// Package power is what a disk has after its power was cut. A [Model] takes what a program did to its disk, operation by operation, and makes one of
// the many images that a cut may leave: what was synced is there, of the rest any part. A [Disk] is a file system in memory over it.
package power

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/vfs"
)

// inode is a file, whatever its name.
type inode struct {
	safe    []byte // as of the last sync
	pending []vfs.Operation
	live    []byte
}

// change is one of a directory's names that was not synced.
type change struct {
	from, to string // from: removed; to: it has node
	node     *inode
	dir      bool
}

// Model is one disk. Paths are relative, "." is its top.
type Model struct {
	Ops     int // so far
	files   map[uint64]*inode
	live    map[string]*inode // nil: a directory
	safe    map[string]*inode
	pending map[string][]change // by directory
}

// NewModel is a disk that has some files, all of them safe.
func NewModel(image map[string][]byte) *Model {
	m := &Model{files: map[uint64]*inode{}, live: map[string]*inode{".": nil}, safe: map[string]*inode{".": nil}, pending: map[string][]change{}}
	for path, b := range image {
		for dir := filepath.Dir(path); ; dir = filepath.Dir(dir) {
			m.live[dir], m.safe[dir] = nil, nil
			if dir == "." {
				break
			}
		}
		n := &inode{safe: b, live: bytes.Clone(b)}
		m.live[path], m.safe[path] = n, n
	}
	return m
}

// Do takes what was done.
func (m *Model) Do(op vfs.Operation) {
	m.Ops++
	n := m.files[op.FileID]
	dir := filepath.Dir(op.Path)
	switch op.Kind {
	case vfs.OpCreate:
		n = &inode{}
		m.files[op.FileID], m.live[op.Path] = n, n
		m.pending[dir] = append(m.pending[dir], change{to: op.Path, node: n})
	case vfs.OpOpen:
		m.files[op.FileID] = m.live[op.Path]
	case vfs.OpWrite, vfs.OpTruncate:
		op.Data = bytes.Clone(op.Data)
		n.pending = append(n.pending, op)
		n.live = apply(n.live, op, len(op.Data))
	case vfs.OpSync:
		n.safe, n.pending = bytes.Clone(n.live), nil
	case vfs.OpRename:
		c := change{from: op.Path, to: op.NewPath, node: m.live[op.Path]}
		m.pending[dir] = append(m.pending[dir], c)
		c.do(m.live)
	case vfs.OpRemove:
		c := change{from: op.Path}
		m.pending[dir] = append(m.pending[dir], c)
		c.do(m.live)
	case vfs.OpMkdir:
		c := change{to: op.Path, dir: true}
		m.pending[dir] = append(m.pending[dir], c)
		c.do(m.live)
	case vfs.OpSyncDir:
		for _, c := range m.pending[op.Path] {
			c.do(m.safe)
		}
		delete(m.pending, op.Path)
	}
}

func (c change) do(names map[string]*inode) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.node
	}
}

// apply does a write, or its first bytes, or a truncate.
func apply(b []byte, op vfs.Operation, bytes int) []byte {
	if op.Kind == vfs.OpTruncate {
		if op.Offset <= int64(len(b)) {
			return b[:op.Offset:op.Offset]
		}
		return append(b, make([]byte, op.Offset-int64(len(b)))...)
	}
	if end := op.Offset + int64(bytes); end > int64(len(b)) {
		b = append(b, make([]byte, end-int64(len(b)))...)
	}
	copy(b[op.Offset:], op.Data[:bytes])
	return b
}

// How says what becomes of what was not synced.
type How int

const (
	Lost  How = iota // nothing of it is there
	Kept             // all of it is there, as after a SIGKILL
	Order            // all up to some moment is there, the last write torn
	Any              // any part of it is there, in any order, torn anywhere
	Hows  = 4
)

// Cut makes what the disk has after a cut.
func (m *Model) Cut(how How, rng *rand.Rand) map[string][]byte {
	if how == Kept {
		return contents(m.live, func(n *inode) []byte { return n.live })
	}
	names := maps.Clone(m.safe)
	if how != Lost {
		for _, dir := range slices.Sorted(maps.Keys(m.pending)) {
			all := m.pending[dir]
			until := rng.IntN(len(all) + 1)
			for i, c := range all {
				if how == Order && i < until || how == Any && rng.IntN(2) == 0 {
					c.do(names)
				}
			}
		}
	}
	done := map[*inode][]byte{}
	return contents(names, func(n *inode) []byte {
		if b, ok := done[n]; ok {
			return b
		}
		b := bytes.Clone(n.safe)
		until := rng.IntN(len(n.pending) + 1)
		for i, op := range n.pending {
			switch {
			case how == Order && i < until, how == Any && rng.IntN(2) == 0:
				b = apply(b, op, len(op.Data))
			case how == Order && i == until, how == Any && rng.IntN(3) == 0:
				if op.Kind == vfs.OpWrite {
					b = apply(b, op, rng.IntN(len(op.Data)+1))
				}
			}
		}
		done[n] = b
		return b
	})
}

func contents(names map[string]*inode, of func(*inode) []byte) map[string][]byte {
	image := map[string][]byte{}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		n := names[path]
		_, parent := names[filepath.Dir(path)]
		if n != nil && parent {
			image[path] = of(n)
		}
	}
	return image
}

// Replay makes a disk out of what a recorder has written, from what the disk had before. A last operation that is not whole was never done.
func Replay(image map[string][]byte, record []byte) *Model {
	m := NewModel(image)
	for len(record) > 0 {
		var op vfs.Operation
		rest, err := cbor.UnmarshalFirst(record, &op)
		if err != nil {
			break
		}
		m.Do(op)
		record = rest
	}
	return m
}

// ReadDir reads what a directory of the real disk has, but for what a name says is left out.
func ReadDir(dir string, but func(name string) bool) (map[string][]byte, error) {
	image := map[string][]byte{}
	return image, filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() || but(d.Name()) {
			return err
		}
		b, err := os.ReadFile(path)
		if err == nil {
			rel, _ := filepath.Rel(dir, path)
			image[rel] = b
		}
		return err
	})
}

// WriteDir puts an image in the place of what a directory of the real disk has, but for what a name says is left alone.
func WriteDir(dir string, image map[string][]byte, but func(name string) bool) error {
	old, err := ReadDir(dir, but)
	if err != nil {
		return err
	}
	for path := range old {
		if err := os.Remove(filepath.Join(dir, path)); err != nil {
			return err
		}
	}
	for path, b := range image {
		full := filepath.Join(dir, path)
		if err := os.MkdirAll(filepath.Dir(full), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(full, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// ErrCut is what everything fails with once the power is gone.
var ErrCut = errors.New("the power is gone")

// Disk is a file system in memory. It belongs to one goroutine.
type Disk struct {
	*Model
	CutAt int   // operations after which the power is gone; 0: never
	Fault error // with which whatever changes something fails; nil: none
	last  uint64
	temps int
}

// NewDisk makes one that has an image.
func NewDisk(image map[string][]byte) *Disk { return &Disk{Model: NewModel(image)} }

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

func rel(name string) string { return strings.TrimPrefix(filepath.Clean(name), "/") }

// OpenFile implements [vfs.FS].
func (d *Disk) OpenFile(name string, flag int, _ fs.FileMode) (vfs.File, error) {
	path := rel(name)
	n, there := d.live[path]
	if there && n == nil || !there && flag&os.O_CREATE == 0 {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	f := &file{d: d, name: name}
	if flag&(os.O_WRONLY|os.O_RDWR|os.O_CREATE) == 0 {
		f.n = n
		return f, nil
	}
	d.last++
	f.id = d.last
	op := vfs.Operation{Kind: vfs.OpOpen, FileID: f.id, Path: path}
	if !there {
		op.Kind = vfs.OpCreate
	}
	err := d.do(op)
	if err == nil && there && flag&os.O_TRUNC != 0 {
		err = d.do(vfs.Operation{Kind: vfs.OpTruncate, FileID: f.id})
	}
	f.n = d.files[f.id]
	return f, err
}

// CreateTemp implements [vfs.FS].
func (d *Disk) CreateTemp(dir, pattern string) (vfs.File, error) {
	d.temps++
	return d.OpenFile(filepath.Join(dir, strings.Replace(pattern, "*", string(rune('a'+d.temps%26)), 1)), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0)
}

// Rename implements [vfs.FS].
func (d *Disk) Rename(from, to string) error {
	return d.do(vfs.Operation{Kind: vfs.OpRename, Path: rel(from), NewPath: rel(to)})
}

// Remove implements [vfs.FS].
func (d *Disk) Remove(name string) error {
	if _, there := d.live[rel(name)]; !there {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	return d.do(vfs.Operation{Kind: vfs.OpRemove, Path: rel(name)})
}

// MkdirAll implements [vfs.FS].
func (d *Disk) MkdirAll(name string, _ fs.FileMode) error {
	if _, there := d.live[rel(name)]; there {
		return nil
	}
	return d.do(vfs.Operation{Kind: vfs.OpMkdir, Path: rel(name)})
}

// SyncDir implements [vfs.FS].
func (d *Disk) SyncDir(name string) error {
	return d.do(vfs.Operation{Kind: vfs.OpSyncDir, Path: rel(name)})
}

// ReadDir implements [vfs.FS].
func (d *Disk) ReadDir(name string) (all []fs.DirEntry, err error) {
	for _, path := range slices.Sorted(maps.Keys(d.live)) {
		if path != "." && filepath.Dir(path) == rel(name) {
			all = append(all, entry{d.live[path], path})
		}
	}
	return all, nil
}

type entry struct {
	n    *inode
	path string
}

func (e entry) Name() string               { return filepath.Base(e.path) }
func (e entry) IsDir() bool                { return e.n == nil }
func (e entry) Type() fs.FileMode          { return e.Mode().Type() }
func (e entry) Info() (fs.FileInfo, error) { return e, nil }
func (e entry) ModTime() time.Time         { return time.Time{} }
func (e entry) Sys() any                   { return nil }
func (e entry) Size() int64                { return int64(len(e.n.live)) }
func (e entry) Mode() fs.FileMode {
	if e.n == nil {
		return fs.ModeDir
	}
	return 0
}

// file is an open file.
type file struct {
	d    *Disk
	n    *inode
	id   uint64
	name string
	at   int64
}

func (f *file) Name() string               { return f.name }
func (f *file) Close() error               { return nil }
func (f *file) Stat() (fs.FileInfo, error) { return entry{f.n, rel(f.name)}, nil }
func (f *file) Sync() error                { return f.d.do(vfs.Operation{Kind: vfs.OpSync, FileID: f.id}) }
func (f *file) Truncate(size int64) error {
	return f.d.do(vfs.Operation{Kind: vfs.OpTruncate, FileID: f.id, Offset: size})
}

func (f *file) Read(b []byte) (int, error) {
	n, err := f.ReadAt(b, f.at)
	f.at += int64(n)
	return n, err
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	return bytes.NewReader(f.n.live).ReadAt(b, at)
}

func (f *file) Write(b []byte) (int, error) {
	if err := f.d.do(vfs.Operation{Kind: vfs.OpWrite, FileID: f.id, Offset: f.at, Data: b}); err != nil {
		return 0, err
	}
	f.at += int64(len(b))
	return len(b), nil
}

func (f *file) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += f.at
	case io.SeekEnd:
		offset += int64(len(f.n.live))
	}
	f.at = offset
	return f.at, nil
}

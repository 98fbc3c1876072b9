package policyreplica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/statefile"
	"gapgap/internal/vfs"
)

const (
	keepDocs = 16 // documents on the disk, those last used
	suffix   = ".toml"
)

// documentStore are the documents that a door has on its disk, each in a file that is named by its hash.
type documentStore struct {
	fs  vfs.FS
	dir string
}

func openDocumentStore(fsys vfs.FS, dir string) (*documentStore, error) {
	d := &documentStore{fsys, filepath.Join(dir, "policies")}
	if err := fsys.MkdirAll(d.dir, 0o700); err != nil {
		return nil, err
	}
	if err := fsys.SyncDir(dir); err != nil { // the directory's own name
		return nil, err
	}
	list, err := fsys.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	for _, e := range list {
		if strings.Contains(e.Name(), ".new") { // of a process that was killed
			fsys.Remove(filepath.Join(d.dir, e.Name()))
		}
	}
	return d, nil
}

func (d *documentStore) path(h policy.Hash) string { return filepath.Join(d.dir, h.String()+suffix) }

// errDamaged says that a document's file is not what its name says.
var errDamaged = errors.New("the document's file is damaged")

// read reads a document.
func (d *documentStore) read(h policy.Hash) ([]byte, error) {
	b, err := vfs.ReadFile(d.fs, d.path(h), policy.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	if policy.HashOf(b) != h {
		return nil, fmt.Errorf("%s: %w", d.path(h), errDamaged)
	}
	return b, nil
}

// store keeps a document: when it returns nil it outlives a power loss. Others that were not used for long make room, but for those to keep.
func (d *documentStore) store(b []byte, keep ...policy.Hash) error {
	h := policy.HashOf(b)
	if old, err := d.read(h); err == nil && len(old) == len(b) {
		now := time.Now()
		os.Chtimes(d.path(h), now, now)
		return d.fs.SyncDir(d.dir) // a process that was killed after its rename may not have come to that
	}
	if err := vfs.ReplaceFile(d.fs, d.path(h), b); err != nil {
		return err
	}
	d.prune(append(keep, h))
	return nil
}

func (d *documentStore) prune(keep []policy.Hash) {
	list, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return
	}
	type file struct {
		name string
		at   time.Time
	}
	var all []file
	for _, e := range list {
		if i, err := e.Info(); err == nil && strings.HasSuffix(e.Name(), suffix) {
			all = append(all, file{e.Name(), i.ModTime()})
		}
	}
	slices.SortFunc(all, func(a, b file) int { return b.at.Compare(a.at) })
	for i, f := range all {
		kept := slices.ContainsFunc(keep, func(h policy.Hash) bool { return f.name == h.String()+suffix })
		if i >= keepDocs && !kept {
			d.fs.Remove(filepath.Join(d.dir, f.name))
		}
	}
}

// readAt reads some bytes of a document, and how long it is.
func (d *documentStore) readAt(h policy.Hash, at int64, b []byte) (n int, size int64, err error) {
	f, err := d.fs.OpenFile(d.path(h), os.O_RDONLY, 0)
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	i, err := f.Stat()
	if err != nil {
		return 0, 0, err
	}
	n, err = f.ReadAt(b, at)
	if n > 0 {
		err = nil
	}
	return n, i.Size(), err
}

// last is the version that a door went by when it last changed over.
type last struct {
	Version policy.Version `json:"version"`
}

var lastForm = statefile.Format{Kind: "gapgap policy version", Version: 1, MaxBytes: 4 << 10}

func lastPath(dir string) string { return filepath.Join(dir, "policy.json") }

func loadVersion(fsys vfs.FS, dir string) (v policy.Version, err error) {
	var l last
	if err = lastForm.LoadFrom(fsys, lastPath(dir), &l); errors.Is(err, fs.ErrNotExist) {
		return policy.Version{}, nil
	} else if err != nil {
		return policy.Version{}, fmt.Errorf("%s: %w", lastPath(dir), err)
	}
	return l.Version, nil
}

func saveVersion(fsys vfs.FS, dir string, v policy.Version) error {
	return lastForm.SaveTo(fsys, lastPath(dir), last{v})
}

// encodeHistory is a leader's answer that is too long for a datagram.
func encodeHistory(s *policy.State) []byte {
	b, err := json.Marshal(s.Outcomes)
	if err != nil {
		return []byte("[]")
	}
	return b
}

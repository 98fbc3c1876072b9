package policyreplica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

const (
	// maxStoredDocuments is how many documents are kept on the disk: the most recently used ones.
	maxStoredDocuments = 16

	documentDirectory = "policies"
	documentSuffix    = ".toml"
	// temporaryMark is part of the names of temporary files. One is left over if a process ended before renaming it.
	temporaryMark = ".new"
)

// errDocumentDamaged is returned if the hash of a file's content is not the one in its name.
var errDocumentDamaged = errors.New("the document's file is damaged")

// documentStore stores policy documents on the disk, each in a file named by its hash. Any goroutine may use it.
type documentStore struct {
	fs  vfs.FS
	dir string
}

// openDocumentStore creates the store's directory in a state directory and removes leftover temporary files.
func openDocumentStore(fsys vfs.FS, stateDir string) (*documentStore, error) {
	d := &documentStore{fs: fsys, dir: filepath.Join(stateDir, documentDirectory)}
	if err := fsys.MkdirAll(d.dir, 0o700); err != nil {
		return nil, err
	}
	if err := fsys.SyncDir(stateDir); err != nil {
		return nil, err
	}
	entries, err := fsys.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if strings.Contains(entry.Name(), temporaryMark) {
			_ = fsys.Remove(filepath.Join(d.dir, entry.Name())) // a leftover file only takes up space
		}
	}
	return d, nil
}

func (d *documentStore) path(hash policy.Hash) string {
	return filepath.Join(d.dir, hash.String()+documentSuffix)
}

// read returns a document. Its error may wrap fs.ErrNotExist or errDocumentDamaged.
func (d *documentStore) read(hash policy.Hash) ([]byte, error) {
	document, err := vfs.ReadFile(d.fs, d.path(hash), policy.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	if policy.HashOf(document) != hash {
		return nil, fmt.Errorf("%s: %w", d.path(hash), errDocumentDamaged)
	}
	return document, nil
}

// store stores a document durably, and removes the least recently used documents that are not in use.
func (d *documentStore) store(document []byte, inUse ...policy.Hash) error {
	hash := policy.HashOf(document)
	if stored, err := d.read(hash); err == nil && len(stored) == len(document) {
		return d.touch(hash)
	}
	if err := vfs.ReplaceFile(d.fs, d.path(hash), document); err != nil {
		return err
	}
	d.prune(append(inUse, hash))
	return nil
}

// touch marks a document as used now. It also syncs the directory, as an earlier process may have ended before it had
// synced the directory entry of the file.
func (d *documentStore) touch(hash policy.Hash) error {
	now := time.Now()
	_ = d.fs.Chtimes(d.path(hash), now, now) // at worst it is pruned too early and downloaded again
	return d.fs.SyncDir(d.dir)
}

// storedDocument is the file of a document with the time of its last use.
type storedDocument struct {
	name   string
	usedAt time.Time
}

// prune removes all but the maxStoredDocuments most recently used documents, except those in use.
func (d *documentStore) prune(inUse []policy.Hash) {
	stored := d.list()
	slices.SortFunc(stored, func(a, b storedDocument) int { return b.usedAt.Compare(a.usedAt) })
	for i, file := range stored {
		isInUse := slices.ContainsFunc(inUse, func(hash policy.Hash) bool {
			return file.name == hash.String()+documentSuffix
		})
		if i >= maxStoredDocuments && !isInUse {
			_ = d.fs.Remove(filepath.Join(d.dir, file.name)) // the next prune tries again
		}
	}
}

// list returns the stored documents, or nil if the directory can't be read.
func (d *documentStore) list() (stored []storedDocument) {
	entries, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err == nil && strings.HasSuffix(entry.Name(), documentSuffix) {
			stored = append(stored, storedDocument{name: entry.Name(), usedAt: info.ModTime()})
		}
	}
	return stored
}

// readAt reads up to len(b) bytes of a document from an offset on, and returns the document's size. It reads fewer
// bytes at the end of the document.
func (d *documentStore) readAt(hash policy.Hash, offset int64, b []byte) (n int, size int64, err error) {
	file, err := d.fs.OpenFile(d.path(hash), os.O_RDONLY, 0)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	info, err := file.Stat()
	if err != nil {
		return 0, 0, err
	}
	n, err = file.ReadAt(b, offset)
	if n > 0 {
		err = nil
	}
	return n, info.Size(), err
}

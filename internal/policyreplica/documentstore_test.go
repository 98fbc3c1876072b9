package policyreplica

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"testing"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/vfs"
)

func openTestStore(t *testing.T) *documentStore {
	t.Helper()
	documents, err := openDocumentStore(vfs.OS{}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return documents
}

// TestDocumentStoreRead verifies that missing and damaged documents are reported, and that storing a damaged document
// again repairs it.
func TestDocumentStoreRead(t *testing.T) {
	documents := openTestStore(t)
	document := []byte("a document")
	hash := policy.HashOf(document)
	if _, err := documents.read(hash); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("before it is stored: %v", err)
	}
	if err := documents.store(document); err != nil {
		t.Fatal(err)
	}
	if got, err := documents.read(hash); err != nil || string(got) != string(document) {
		t.Errorf("stored: %q, %v", got, err)
	}
	if err := os.WriteFile(documents.path(hash), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := documents.read(hash); !errors.Is(err, errDocumentDamaged) {
		t.Errorf("damaged: %v", err)
	}
	if err := documents.store(document); err != nil {
		t.Fatal(err)
	}
	if got, err := documents.read(hash); err != nil || string(got) != string(document) {
		t.Errorf("stored again: %q, %v", got, err)
	}
}

// TestDocumentStorePrunesLeastRecentlyUsed verifies that the least recently used document is removed, unless it is in
// use or was stored again.
func TestDocumentStorePrunesLeastRecentlyUsed(t *testing.T) {
	documents := openTestStore(t)
	var hashes []policy.Hash
	for i := range maxStoredDocuments {
		document := fmt.Appendf(nil, "document %d", i)
		hashes = append(hashes, policy.HashOf(document))
		if err := documents.store(document); err != nil {
			t.Fatal(err)
		}
		usedAt := time.Unix(int64(1_700_000_000+i), 0)
		if err := os.Chtimes(documents.path(hashes[i]), usedAt, usedAt); err != nil {
			t.Fatal(err)
		}
	}
	if err := documents.store([]byte("document 1")); err != nil { // used again
		t.Fatal(err)
	}
	if err := documents.store([]byte("one more"), hashes[0]); err != nil {
		t.Fatal(err)
	}
	if err := documents.store([]byte("another"), hashes[0]); err != nil {
		t.Fatal(err)
	}
	for i, hash := range hashes {
		_, err := documents.read(hash)
		isRemoved := errors.Is(err, fs.ErrNotExist)
		if wantRemoved := i == 2; isRemoved != wantRemoved {
			t.Errorf("document %d: removed %v, want %v", i, isRemoved, wantRemoved)
		}
	}
}

// usedTimes is a file system that records the files whose times are set.
type usedTimes struct {
	vfs.OS
	files []string
}

func (u *usedTimes) Chtimes(name string, _, _ time.Time) error {
	u.files = append(u.files, name)
	return nil
}

// TestStoreTouchesByItsFileSystem verifies that storing a document again marks it as used through the store's own file
// system rather than the operating system's.
func TestStoreTouchesByItsFileSystem(t *testing.T) {
	used := &usedTimes{}
	documents, err := openDocumentStore(used, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	document := []byte("a policy")
	for range 2 {
		if err := documents.store(document); err != nil {
			t.Fatal(err)
		}
	}
	if want := documents.path(policy.HashOf(document)); len(used.files) != 1 || used.files[0] != want {
		t.Errorf("marked as used %q, want %q", used.files, want)
	}
}

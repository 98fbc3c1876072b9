package vfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// failingFS is a file system whose renames fail.
type failingFS struct {
	OS
	err error
}

func (f failingFS) Rename(string, string) error { return f.err }

// TestReadFile verifies that the size limit is inclusive and that a missing file is an error.
func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte("12345"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		path     string
		maxBytes int64
		want     error
	}{
		{"smaller than the limit", path, 6, nil},
		{"as large as the limit", path, 5, nil},
		{"larger than the limit", path, 4, ErrTooLarge},
		{"no such file", path + "2", 5, fs.ErrNotExist},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			content, err := ReadFile(OS{}, c.path, c.maxBytes)
			if !errors.Is(err, c.want) || err == nil && string(content) != "12345" {
				t.Errorf("got %q, %v, want %v", content, err, c.want)
			}
		})
	}
}

// TestReplaceFile verifies that a file is replaced, and that after a failed rename the old content remains and no
// temporary file is left.
func TestReplaceFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	for _, content := range []string{"first", "second"} {
		if err := ReplaceFile(OS{}, path, []byte(content)); err != nil {
			t.Fatal(err)
		}
	}
	errRename := errors.New("rename")
	if err := ReplaceFile(failingFS{err: errRename}, path, []byte("third")); !errors.Is(err, errRename) {
		t.Errorf("got %v, want %v", err, errRename)
	}
	if content, err := os.ReadFile(path); err != nil || string(content) != "second" {
		t.Errorf("after a failure: %q, %v", content, err)
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 {
		t.Errorf("files after a failure: %v, %v", entries, err)
	}
}

// TestOrOS verifies that only nil is replaced by the operating system's file system.
func TestOrOS(t *testing.T) {
	if OrOS(nil) != (OS{}) {
		t.Error("nil is not replaced by the operating system's file system")
	}
	if other := (failingFS{}); OrOS(other) != other {
		t.Error("a file system other than nil is replaced")
	}
}

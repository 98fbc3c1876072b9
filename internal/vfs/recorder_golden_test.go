//go:build powertest

package vfs

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gapgap/internal/golden"
)

// TestGoldenRecord verifies the recorded bytes of operations and the errors of injected faults.
func TestGoldenRecord(t *testing.T) {
	root, other := t.TempDir(), t.TempDir()
	record, fault := filepath.Join(other, "record"), filepath.Join(other, "fault")
	if err := os.WriteFile(filepath.Join(root, "old"), []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	recorder, err := NewRecorder(root, record, fault)
	if err != nil {
		t.Fatal(err)
	}
	path := func(name string) string { return filepath.Join(root, name) }
	write := func(name string, flag int, data string) {
		t.Helper()
		file, err := recorder.OpenFile(path(name), flag, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		_, err = file.Write([]byte(data))
		err = errors.Join(err, file.Sync(), file.Truncate(1), file.Close())
		if err != nil {
			t.Fatal(err)
		}
	}
	err = recorder.MkdirAll(path("dir"), 0o700)
	if err != nil {
		t.Fatal(err)
	}
	write("dir/a", os.O_CREATE|os.O_RDWR, "first")
	write("old", os.O_RDWR|os.O_TRUNC, "second")
	write("dir/a", os.O_RDWR, "third")
	err = errors.Join(
		recorder.Rename(path("dir/a"), path("dir/b")),
		recorder.Rename(path("old"), path("dir/old")),
		recorder.SyncDir(path("dir")),
		recorder.Remove(path("dir/old")),
		recorder.MkdirAll(path("dir"), 0o700),
	)
	if err != nil {
		t.Fatal(err)
	}
	write("dir/b", os.O_RDWR, "fourth")
	for text, want := range map[string]error{"full": syscall.ENOSPC, "readonly": syscall.EROFS, "slow 1ms": nil} {
		if err := os.WriteFile(fault, []byte(text+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := recorder.SyncDir(root); !errors.Is(err, want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	golden.CheckBytes(t, "testdata/golden/record.cbor", golden.Read(t, record))
}

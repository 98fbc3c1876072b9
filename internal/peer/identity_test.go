package peer

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/vfs"
)

// TestIncarnationGrowsWithEachStart verifies that the incarnation increases with each start, even if the
// previous process saved nothing before its end, and that two processes cannot use a directory at the same time.
func TestIncarnationGrowsWithEachStart(t *testing.T) {
	dir := t.TempDir()
	for want := uint32(1); want < 4; want++ {
		store, err := OpenIdentity(vfs.OS{}, dir, "n0")
		if err != nil || store.Incarnation() != want {
			t.Fatalf("%v, %v", store, err)
		}
		_, err = OpenIdentity(vfs.OS{}, dir, "n0")
		if err == nil || !strings.Contains(err.Error(), "another process has it") {
			t.Errorf("a second process: %v", err)
		}
		if want == 2 {
			if err := store.Save(2); err != nil {
				t.Error(err)
			}
		}
		store.Close()
	}
}

// TestMissingStateDirectory verifies that a missing state directory is an error.
func TestMissingStateDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	if _, err := OpenIdentity(vfs.OS{}, dir, "n0"); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

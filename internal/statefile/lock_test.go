package statefile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// appendName adds a name to a state file under a lock.
func appendName(path, lockPath, name string) error {
	unlock, err := Lock(lockPath)
	if err != nil {
		return err
	}
	defer unlock()
	var s state
	if err := testFormat.Load(path, &s); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	s.Names = append(s.Names, name)
	return testFormat.Save(path, s)
}

// TestLock verifies that no change is lost when several goroutines change a file under the lock.
func TestLock(t *testing.T) {
	const writers, changes = 8, 10
	path := filepath.Join(t.TempDir(), "state")
	lockPath := path + ".lock"
	var waitGroup sync.WaitGroup
	for range writers {
		waitGroup.Go(func() {
			for range changes {
				if err := appendName(path, lockPath, "x"); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	waitGroup.Wait()
	var s state
	if err := testFormat.Load(path, &s); err != nil || len(s.Names) != writers*changes {
		t.Errorf("%d names, %v", len(s.Names), err)
	}
	if _, err := os.Stat(lockPath); err != nil {
		t.Error(err)
	}
}

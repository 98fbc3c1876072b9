package statefile

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Lock waits for the exclusive lock on a file, which it creates if needed, and returns the function that releases the
// lock. The end of the process releases it too.
func Lock(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	release := func() { _ = file.Close() } // nothing was written, so closing loses no data
	if err != nil {
		release()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return release, nil
}

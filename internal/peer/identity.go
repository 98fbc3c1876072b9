package peer

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"syscall"

	"gapgap/internal/statefile"
	"gapgap/internal/vfs"
)

// Files in a gateway's state directory.
const (
	identityFile = "door.json"
	lockFile     = "door.lock"
)

// identity is the part of a gateway's identity that is stored over restarts.
type identity struct {
	Name        string `json:"name"`
	Incarnation uint32 `json:"incarnation"`
}

var identityFormat = statefile.Format{Kind: "gapgap door", Version: 1, MaxBytes: 4 << 10}

// IdentityStore stores a gateway's identity in its state directory, which it locks against other processes.
type IdentityStore struct {
	fs       vfs.FS
	path     string
	lock     *os.File
	identity identity
}

// OpenIdentity locks the state directory of a gateway and increments the stored incarnation. It fails if another
// process has locked the directory, if that belongs to another gateway, and if the file is damaged or of a newer
// version; the stored identity is then unchanged. Error texts have one line.
func OpenIdentity(fsys vfs.FS, dir, name string) (*IdentityStore, error) {
	lock, err := lockDirectory(dir)
	if err != nil {
		return nil, err
	}
	s := &IdentityStore{fs: fsys, path: filepath.Join(dir, identityFile), lock: lock}
	if err := s.load(name); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.Save(s.identity.Incarnation + 1); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// lockDirectory locks a state directory. The lock is held until the returned file is closed or the process ends.
func lockDirectory(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		_ = lock.Close() // nothing was written
		return nil, fmt.Errorf("%s: another process has it (%w)", dir, err)
	}
	return lock, nil
}

// load reads the stored identity. In an empty directory it starts with a new one.
func (s *IdentityStore) load(name string) error {
	switch err := identityFormat.LoadFrom(s.fs, s.path, &s.identity); {
	case errors.Is(err, fs.ErrNotExist):
		s.identity = identity{Name: name}
	case err != nil:
		return fmt.Errorf("%s: %w; a gateway that has lost its disk must start with an empty directory", s.path, err)
	case s.identity.Name != name:
		return fmt.Errorf("%s is that of the door %q, not of %q", s.path, s.identity.Name, name)
	case s.identity.Incarnation == math.MaxUint32:
		return fmt.Errorf("%s: no higher incarnation is available; start with an empty directory", s.path)
	}
	return nil
}

// Incarnation returns the incarnation of this process.
func (s *IdentityStore) Incarnation() uint32 { return s.identity.Incarnation }

// Save stores a changed incarnation durably.
func (s *IdentityStore) Save(incarnation uint32) error {
	next := s.identity
	next.Incarnation = incarnation
	if err := identityFormat.SaveTo(s.fs, s.path, next); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	s.identity = next
	return nil
}

// Close unlocks the directory.
func (s *IdentityStore) Close() { _ = s.lock.Close() } // nothing was written to the lock file

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

// identity is what a door keeps of itself over its starts.
type identity struct {
	Name        string `json:"name"`
	Incarnation uint32 `json:"incarnation"`
}

var identityForm = statefile.Format{Kind: "gapgap door", Version: 1, MaxBytes: 4 << 10}

// IdentityStore is a door's state directory, which one process has at a time.
type IdentityStore struct {
	fs   vfs.FS
	path string
	lock *os.File
	is   identity
}

// OpenIdentity takes the state directory of a door and counts its incarnation up. Its errors say in one line what is wrong: another process
// has it, it is another door's, or the file is damaged or of a newer version. Then nothing has been changed.
func OpenIdentity(fsys vfs.FS, dir, name string) (*IdentityStore, error) {
	d := &IdentityStore{fs: fsys, path: filepath.Join(dir, "door.json")}
	lock, err := os.OpenFile(filepath.Join(dir, "door.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another process has it (%w)", dir, err)
	}
	d.lock = lock
	switch err := identityForm.LoadFrom(fsys, d.path, &d.is); {
	case errors.Is(err, fs.ErrNotExist):
		d.is = identity{Name: name}
	case err != nil:
		lock.Close()
		return nil, fmt.Errorf("%s: %w; a door that has lost its disk starts with an empty directory", d.path, err)
	case d.is.Name != name:
		lock.Close()
		return nil, fmt.Errorf("%s is that of the door %q, not of %q", d.path, d.is.Name, name)
	case d.is.Incarnation == math.MaxUint32:
		lock.Close()
		return nil, fmt.Errorf("%s has no further incarnation; start with an empty directory", d.path)
	}
	if err := d.Save(d.is.Incarnation + 1); err != nil {
		lock.Close()
		return nil, err
	}
	return d, nil
}

// Incarnation is that of this process.
func (d *IdentityStore) Incarnation() uint32 { return d.is.Incarnation }

// Save writes another incarnation, durably.
func (d *IdentityStore) Save(incarnation uint32) error {
	next := d.is
	next.Incarnation = incarnation
	if err := identityForm.SaveTo(d.fs, d.path, next); err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	d.is = next
	return nil
}

// Close gives the directory back.
func (d *IdentityStore) Close() { d.lock.Close() }

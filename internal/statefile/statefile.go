// Package statefile keeps small states in files that another process, or the next one, reads: written whole or not at all, with
// the version of their form and a checksum.
package statefile

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"syscall"

	"gapgap/internal/vfs"
)

// Errors of Load beside those of the file system. A file that is not there is [io/fs.ErrNotExist].
var (
	ErrDamaged = errors.New("the file is damaged")
	ErrNewer   = errors.New("the file is of a newer version")
)

// Form names a kind of state and the version of its form. Older versions are read as far as their names say the same.
type Form struct {
	Kind    string
	Version int
	Most    int64 // bytes of a file
}

type envelope struct {
	Kind    string          `json:"kind"`
	Version int             `json:"version"`
	Sum     uint32          `json:"crc32"`
	Data    json.RawMessage `json:"data"`
}

// Encode makes the bytes of a state.
func (f Form) Encode(state any) ([]byte, error) {
	data, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(envelope{f.Kind, f.Version, crc32.ChecksumIEEE(data), data})
	if err == nil && int64(len(b)) > f.Most {
		err = fmt.Errorf("%s: %d bytes, %d at most", f.Kind, len(b), f.Most)
	}
	return b, err
}

// Decode reads what Encode made. An error says that nothing was read.
func (f Form) Decode(b []byte, state any) error {
	var e envelope
	if int64(len(b)) > f.Most {
		return fmt.Errorf("%w: over %d bytes", ErrDamaged, f.Most)
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	switch {
	case e.Kind != f.Kind:
		return fmt.Errorf("%w: it is a %.20q, not a %q", ErrDamaged, e.Kind, f.Kind)
	case e.Version > f.Version:
		return fmt.Errorf("%w: %d; %d is known", ErrNewer, e.Version, f.Version)
	case e.Version < 1 || crc32.ChecksumIEEE(e.Data) != e.Sum:
		return fmt.Errorf("%w: its checksum is wrong", ErrDamaged)
	}
	if err := json.Unmarshal(e.Data, state); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// Save writes a state in the place of the one before, whole or not at all. When it returns nil the state outlives a power loss.
func (f Form) Save(path string, state any) error { return f.SaveTo(vfs.OS{}, path, state) }

// SaveTo is Save on another file system.
func (f Form) SaveTo(fs vfs.FS, path string, state any) error {
	b, err := f.Encode(state)
	if err != nil {
		return err
	}
	return vfs.ReplaceFile(fs, path, b)
}

// Load reads a state.
func (f Form) Load(path string, state any) error { return f.LoadFrom(vfs.OS{}, path, state) }

// LoadFrom is Load on another file system.
func (f Form) LoadFrom(fs vfs.FS, path string, state any) error {
	b, err := vfs.ReadFile(fs, path, f.Most)
	if errors.Is(err, vfs.ErrTooLarge) {
		return fmt.Errorf("%w: over %d bytes", ErrDamaged, f.Most)
	} else if err != nil {
		return err
	}
	return f.Decode(b, state)
}

// Lock waits for a lock that processes have on a path, and returns what gives it back. It goes with the process that has it.
func Lock(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		if err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return func() { file.Close() }, nil
}

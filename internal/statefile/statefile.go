// Package statefile stores small states in files for other processes or for the next one. A file is replaced
// atomically. It has the kind and version of its format and a checksum.
package statefile

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"gapgap/internal/vfs"
)

// Errors that Decode and Load return beside file system errors. For a missing file that is [io/fs.ErrNotExist].
var (
	ErrCorrupt      = errors.New("the file is damaged")
	ErrNewerVersion = errors.New("the file is of a newer version")
)

// TooLargeError reports a state that is too large for its format.
type TooLargeError struct {
	// Kind is the kind of the format.
	Kind string
	// Bytes is the size of the file and MaxBytes the limit.
	Bytes, MaxBytes int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, the limit is %d", e.Kind, e.Bytes, e.MaxBytes)
}

// Format is the format of a kind of state, which is a value that encoding/json can encode.
type Format struct {
	Kind string
	// Version is the version that is written. Lower versions are read too; fields are matched by name.
	Version int
	// MaxBytes is the limit on the size of a file.
	MaxBytes int64
}

// envelope is the content of a file.
type envelope struct {
	Kind    string `json:"kind"`
	Version int    `json:"version"`
	// Checksum is the CRC-32 (IEEE) of Data.
	Checksum uint32          `json:"crc32"`
	Data     json.RawMessage `json:"data"`
}

// Encode returns the file content of a state, or a *TooLargeError if it exceeds the limit.
func (f Format) Encode(state any) ([]byte, error) {
	data, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	content, err := json.Marshal(envelope{
		Kind:     f.Kind,
		Version:  f.Version,
		Checksum: crc32.ChecksumIEEE(data),
		Data:     data,
	})
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > f.MaxBytes {
		return nil, &TooLargeError{Kind: f.Kind, Bytes: int64(len(content)), MaxBytes: f.MaxBytes}
	}
	return content, nil
}

// Decode decodes a file content into a state. Its errors wrap ErrCorrupt or ErrNewerVersion.
func (f Format) Decode(content []byte, state any) error {
	if int64(len(content)) > f.MaxBytes {
		return f.errTooLarge()
	}
	var e envelope
	if err := json.Unmarshal(content, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	switch {
	case e.Kind != f.Kind:
		return fmt.Errorf("%w: its kind is %.20q, not %q", ErrCorrupt, e.Kind, f.Kind)
	case e.Version > f.Version:
		return fmt.Errorf("%w: %d, the newest supported one is %d", ErrNewerVersion, e.Version, f.Version)
	case e.Version < 1 || crc32.ChecksumIEEE(e.Data) != e.Checksum:
		return fmt.Errorf("%w: its version or checksum is wrong", ErrCorrupt)
	}
	if err := json.Unmarshal(e.Data, state); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// errTooLarge returns the error for a file that exceeds the limit.
func (f Format) errTooLarge() error { return fmt.Errorf("%w: over %d bytes", ErrCorrupt, f.MaxBytes) }

// Save replaces a file. When it returns nil, the state survives a power loss.
func (f Format) Save(path string, state any) error { return f.SaveTo(vfs.OS{}, path, state) }

// SaveTo is Save on another file system.
func (f Format) SaveTo(fsys vfs.FS, path string, state any) error {
	content, err := f.Encode(state)
	if err != nil {
		return err
	}
	return vfs.ReplaceFile(fsys, path, content)
}

// Load reads a file into a state. An error other than a file system error wraps ErrCorrupt or ErrNewerVersion.
func (f Format) Load(path string, state any) error { return f.LoadFrom(vfs.OS{}, path, state) }

// LoadFrom is Load on another file system.
func (f Format) LoadFrom(fsys vfs.FS, path string, state any) error {
	content, err := vfs.ReadFile(fsys, path, f.MaxBytes)
	if errors.Is(err, vfs.ErrTooLarge) {
		return f.errTooLarge()
	}
	if err != nil {
		return err
	}
	return f.Decode(content, state)
}

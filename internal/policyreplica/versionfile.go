package policyreplica

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"
	"sync"

	"gapgap/internal/policy"
	"gapgap/internal/statefile"
	"gapgap/internal/vfs"
)

// versionFile is the content of the version file, which has the version that the gateway switched to last.
type versionFile struct {
	Version policy.Version `json:"version"`
}

var versionFormat = statefile.Format{Kind: "gapgap policy version", Version: 1, MaxBytes: 4 << 10}

func versionPath(stateDir string) string { return filepath.Join(stateDir, "policy.json") }

// loadVersion returns the stored version, or the zero version if there is no file.
func loadVersion(fsys vfs.FS, stateDir string) (policy.Version, error) {
	var content versionFile
	err := versionFormat.LoadFrom(fsys, versionPath(stateDir), &content)
	if errors.Is(err, fs.ErrNotExist) {
		return policy.Version{}, nil
	}
	if err != nil {
		return policy.Version{}, fmt.Errorf("%s: %w", versionPath(stateDir), err)
	}
	return content.Version, nil
}

func saveVersion(fsys vfs.FS, stateDir string, version policy.Version) error {
	return versionFormat.SaveTo(fsys, versionPath(stateDir), versionFile{Version: version})
}

// versionWriter stores versions, one write at a time and the newest last. Deciding does not wait for a write: the next
// process asks the voters for the version, and uses the file only if they do not answer.
type versionWriter struct {
	fs        vfs.FS
	dir       string
	log       *slog.Logger
	waitGroup *sync.WaitGroup

	mu sync.Mutex
	// next is the version to write next; nil: none.
	next *policy.Version
	// isRunning is true while a goroutine writes.
	isRunning bool
}

// write schedules a version to be written by another goroutine.
func (w *versionWriter) write(version policy.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = &version
	if !w.isRunning {
		w.isRunning = true
		w.waitGroup.Go(w.run)
	}
}

// run writes versions until none is left.
func (w *versionWriter) run() {
	for {
		version := w.take()
		if version == nil {
			return
		}
		if err := saveVersion(w.fs, w.dir, *version); err != nil {
			w.log.Error("policy version could not be stored", "error", err)
		}
	}
}

// take removes and returns the version to write next. If there is none, it returns nil, and run must return.
func (w *versionWriter) take() *policy.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.next
	w.next = nil
	w.isRunning = version != nil
	return version
}

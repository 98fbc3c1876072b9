// Package golden compares the results of tests with golden files in testdata: files of trace hashes, with one line for
// each scenario run, and files of bytes. With GOLDEN_RECORD=1 in the environment it adds missing records. Existing
// records are compared in any case and never overwritten.
package golden

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// recording reports whether missing records are to be added.
func recording() bool { return os.Getenv("GOLDEN_RECORD") == "1" }

// Trace hashes the values of a trace in their order. Each value has a fixed width or is preceded by its length, so
// different sequences of values give different input to the hash.
type Trace struct{ sum hash.Hash }

// NewTrace returns the hash of an empty trace.
func NewTrace() *Trace { return &Trace{sum: sha256.New()} }

// Uint adds an unsigned number, such as the code of a kind of action.
func (t *Trace) Uint(v uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], v)
	t.sum.Write(b[:])
}

// Int adds a signed number.
func (t *Trace) Int(v int64) { t.Uint(uint64(v)) }

// Duration adds a duration in nanoseconds.
func (t *Trace) Duration(d time.Duration) { t.Int(int64(d)) }

// Float adds a number by its bits, so that a sum in another order of terms is detected.
func (t *Trace) Float(v float64) { t.Uint(math.Float64bits(v)) }

// Bool adds a boolean.
func (t *Trace) Bool(v bool) {
	if v {
		t.Uint(1)
	} else {
		t.Uint(0)
	}
}

// String adds a string with its length.
func (t *Trace) String(s string) {
	t.Uint(uint64(len(s)))
	t.sum.Write([]byte(s))
}

// Sum returns the hash of all added values in hexadecimal.
func (t *Trace) Sum() string { return hex.EncodeToString(t.sum.Sum(nil)) }

// Hashes are the recorded hashes of a file, which has a line with name and hash for each.
type Hashes struct {
	path     string
	recorded map[string]string
	// checked has the hashes that were compared, by name.
	checked map[string]string
}

// LoadHashes reads recorded hashes. It returns no hashes if the file does not exist.
func LoadHashes(t testing.TB, path string) *Hashes {
	t.Helper()
	h := &Hashes{path: path, recorded: map[string]string{}, checked: map[string]string{}}
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		name, sum, ok := strings.Cut(lines.Text(), " ")
		if !ok || h.recorded[name] != "" {
			t.Fatalf("%s: malformed or repeated line %q", path, lines.Text())
		}
		h.recorded[name] = sum
	}
	return h
}

// Check compares a hash with the recorded one of a name, which must not contain a space.
func (h *Hashes) Check(t testing.TB, name, sum string) {
	t.Helper()
	h.checked[name] = sum
	want, ok := h.recorded[name]
	switch {
	case !ok && recording():
		h.add(t, name, sum)
	case !ok:
		t.Errorf("%s: no hash is recorded for %s", h.path, name)
	case want != sum:
		t.Errorf("%s: trace %s differs: got %s, recorded %s", h.path, name, sum, want)
	}
}

// CheckRun runs a scenario twice, compares the two hashes, and one of them with the recorded hash of a name.
func (h *Hashes) CheckRun(t testing.TB, name string, play func() string) {
	t.Helper()
	sum := play()
	if again := play(); again != sum {
		t.Errorf("%s: two runs differ", name)
	}
	h.Check(t, name, sum)
}

// CheckAllRun checks that as many names were compared as hashes are recorded.
func (h *Hashes) CheckAllRun(t testing.TB) {
	t.Helper()
	if len(h.recorded) != len(h.checked) {
		t.Errorf("%s: %d traces are recorded, %d were compared", h.path, len(h.recorded), len(h.checked))
	}
}

// CheckDistinct checks that no two compared names have the same hash.
func (h *Hashes) CheckDistinct(t testing.TB) {
	t.Helper()
	names := map[string]string{}
	for name, sum := range h.checked {
		if other, ok := names[sum]; ok {
			t.Errorf("%s: %s and %s have the same trace", h.path, name, other)
		}
		names[sum] = name
	}
}

// Len returns the number of recorded hashes.
func (h *Hashes) Len() int { return len(h.recorded) }

// add appends a hash to the file.
func (h *Hashes) add(t testing.TB, name, sum string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(h.path), 0o755); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(h.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(f, "%s %s\n", name, sum); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	h.recorded[name] = sum
}

// Read returns the recorded bytes of a file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// CheckBytes compares bytes with the recorded ones of a file.
func CheckBytes(t testing.TB, path string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && recording() {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nrecorded\n%q", path, got, want)
	}
}

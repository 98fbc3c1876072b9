// Package golden compares what a test produces with what was recorded in testdata: hashes of traces, one line for each
// play, and files of bytes. Nothing recorded is ever overwritten: with GOLDEN_RECORD=1 in the environment what is
// missing is added, all else is compared as always.
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

// recording tells whether what is missing is to be recorded.
func recording() bool { return os.Getenv("GOLDEN_RECORD") == "1" }

// Trace hashes the values of a trace in their order. Each value has a fixed width or a length, so no two traces run
// together.
type Trace struct{ sum hash.Hash }

// NewTrace returns the hash of an empty trace.
func NewTrace() *Trace { return &Trace{sum: sha256.New()} }

// Uint adds an unsigned number, such as the number that stands for a kind of action.
func (t *Trace) Uint(v uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], v)
	t.sum.Write(b[:])
}

// Int adds a signed number.
func (t *Trace) Int(v int64) { t.Uint(uint64(v)) }

// Duration adds a duration, exact to the nanosecond.
func (t *Trace) Duration(d time.Duration) { t.Int(int64(d)) }

// Float adds a number by its bits, so a sum in another order shows.
func (t *Trace) Float(v float64) { t.Uint(math.Float64bits(v)) }

// Bool adds a truth value.
func (t *Trace) Bool(v bool) {
	if v {
		t.Uint(1)
	} else {
		t.Uint(0)
	}
}

// String adds a text with its length.
func (t *Trace) String(s string) {
	t.Uint(uint64(len(s)))
	t.sum.Write([]byte(s))
}

// Sum returns the hash of all that was added, in hexadecimal.
func (t *Trace) Sum() string { return hex.EncodeToString(t.sum.Sum(nil)) }

// Hashes are recorded hashes of a file, a line for each: name and hash.
type Hashes struct {
	path     string
	recorded map[string]string
	// checked has the hashes that were compared with the recorded ones, by name.
	checked map[string]string
}

// LoadHashes reads recorded hashes. A file that does not exist has none.
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

// Check compares a hash with the one recorded under a name, which must hold no space.
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

// CheckPlay plays twice, compares the two hashes with each other, and one with the hash recorded under a name.
func (h *Hashes) CheckPlay(t testing.TB, name string, play func() string) {
	t.Helper()
	sum := play()
	if again := play(); again != sum {
		t.Errorf("%s: two runs differ", name)
	}
	h.Check(t, name, sum)
}

// CheckAllPlayed compares the number of recorded hashes with the number of names that were checked.
func (h *Hashes) CheckAllPlayed(t testing.TB) {
	t.Helper()
	if len(h.recorded) != len(h.checked) {
		t.Errorf("%s: %d traces are recorded, %d were played", h.path, len(h.recorded), len(h.checked))
	}
}

// CheckDistinct checks that no two of the checked names have one hash.
func (h *Hashes) CheckDistinct(t testing.TB) {
	t.Helper()
	names := map[string]string{}
	for name, sum := range h.checked {
		if other, ok := names[sum]; ok {
			t.Errorf("%s: %s and %s have one trace", h.path, name, other)
		}
		names[sum] = name
	}
}

// Len returns how many hashes are recorded.
func (h *Hashes) Len() int { return len(h.recorded) }

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

// Read returns the bytes recorded in a file.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// CheckBytes compares bytes with those recorded in a file.
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

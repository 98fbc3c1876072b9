package golden

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// sum returns the hash of a trace to which add adds the values.
func sum(add func(*Trace)) string {
	trace := NewTrace()
	add(trace)
	return trace.Sum()
}

// TestTraceTellsValuesApart verifies that different values, and the same text split in another way, give different
// hashes, and that the same values give the same hash.
func TestTraceTellsValuesApart(t *testing.T) {
	cases := map[string]func(*Trace){
		"empty":            func(*Trace) {},
		"zero":             func(trace *Trace) { trace.Int(0) },
		"one":              func(trace *Trace) { trace.Duration(time.Nanosecond) },
		"float":            func(trace *Trace) { trace.Float(1) },
		"float's last bit": func(trace *Trace) { trace.Float(1 + 1e-15) },
		"text ab, c":       func(trace *Trace) { trace.String("ab"); trace.String("c") },
		"text a, bc":       func(trace *Trace) { trace.String("a"); trace.String("bc") },
	}
	seen := map[string]string{}
	for name, add := range cases {
		got := sum(add)
		if other, ok := seen[got]; ok {
			t.Errorf("%s and %s have the same hash", name, other)
		}
		seen[got] = name
		if again := sum(add); again != got {
			t.Errorf("%s: %s, then %s", name, got, again)
		}
	}
}

// recorder records whether a check fails, in place of a test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatal(...any)          { r.failed = true }

// TestChecksFindWhatDiffers verifies that different and missing records are failures.
func TestChecksFindWhatDiffers(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "hashes")
	if err := os.WriteFile(path, []byte("play aa\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	bytesPath := filepath.Join(dir, "bytes")
	if err := os.WriteFile(bytesPath, []byte("abc"), 0o644); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		check func(testing.TB)
		fails bool
	}{
		{"same hash", func(tb testing.TB) { LoadHashes(t, path).Check(tb, "play", "aa") }, false},
		{"other hash", func(tb testing.TB) { LoadHashes(t, path).Check(tb, "play", "ab") }, true},
		{"no such hash", func(tb testing.TB) { LoadHashes(t, path).Check(tb, "other", "aa") }, true},
		{"same bytes", func(tb testing.TB) { CheckBytes(tb, bytesPath, []byte("abc")) }, false},
		{"other bytes", func(tb testing.TB) { CheckBytes(tb, bytesPath, []byte("abd")) }, true},
		{"no such file", func(tb testing.TB) { CheckBytes(tb, bytesPath+"2", nil) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{TB: t}
			c.check(r)
			if r.failed != c.fails {
				t.Errorf("failed: %v, want %v", r.failed, c.fails)
			}
		})
	}
}

// hashesOf writes hashes to a file and loads them.
func hashesOf(t *testing.T, lines string) *Hashes {
	t.Helper()
	path := filepath.Join(t.TempDir(), "hashes")
	if err := os.WriteFile(path, []byte(lines), 0o644); err != nil {
		t.Fatal(err)
	}
	return LoadHashes(t, path)
}

// TestPlaysAreChecked verifies the checks on runs: a run must match its record and its repetition, each recorded run
// must take place, and no two runs may have the same trace.
func TestPlaysAreChecked(t *testing.T) {
	constant := func(sum string) func() string { return func() string { return sum } }
	changing := func() func() string {
		runs := 0
		return func() string {
			runs++
			return []string{"aa", "ab"}[runs-1]
		}
	}
	cases := []struct {
		name  string
		check func(testing.TB, *Hashes)
		fails bool
	}{
		{"as recorded", func(tb testing.TB, h *Hashes) { h.CheckRun(tb, "one", constant("aa")) }, false},
		{"not as recorded", func(tb testing.TB, h *Hashes) { h.CheckRun(tb, "one", constant("ab")) }, true},
		{"two runs differ", func(tb testing.TB, h *Hashes) { h.CheckRun(tb, "one", changing()) }, true},
		{"all played", func(tb testing.TB, h *Hashes) {
			h.CheckRun(tb, "one", constant("aa"))
			h.CheckRun(tb, "two", constant("aa"))
			h.CheckAllRun(tb)
		}, false},
		{"one not played", func(tb testing.TB, h *Hashes) {
			h.CheckRun(tb, "one", constant("aa"))
			h.CheckAllRun(tb)
		}, true},
		{"one trace of two plays", func(tb testing.TB, h *Hashes) {
			h.CheckRun(tb, "one", constant("aa"))
			h.CheckRun(tb, "two", constant("aa"))
			h.CheckDistinct(tb)
		}, true},
		{"one play", func(tb testing.TB, h *Hashes) {
			h.CheckRun(tb, "one", constant("aa"))
			h.CheckDistinct(tb)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{TB: t}
			c.check(r, hashesOf(t, "one aa\ntwo aa\n"))
			if r.failed != c.fails {
				t.Errorf("failed: %v, want %v", r.failed, c.fails)
			}
		})
	}
}

// TestRecordingAddsOnly verifies that recording adds missing records and overwrites none.
func TestRecordingAddsOnly(t *testing.T) {
	t.Setenv("GOLDEN_RECORD", "1")
	dir := t.TempDir()
	path := filepath.Join(dir, "sub", "hashes")
	LoadHashes(t, path).Check(t, "play", "aa")
	r := &recorder{TB: t}
	LoadHashes(t, path).Check(r, "play", "ab")
	if !r.failed {
		t.Error("a recorded hash was replaced")
	}
	if LoadHashes(t, path).Len() != 1 {
		t.Error("the number of recorded hashes is not 1")
	}
	bytesPath := filepath.Join(dir, "bytes")
	CheckBytes(t, bytesPath, []byte("abc"))
	r = &recorder{TB: t}
	CheckBytes(r, bytesPath, []byte("abd"))
	if !r.failed || string(Read(t, bytesPath)) != "abc" {
		t.Error("recorded bytes were replaced")
	}
}

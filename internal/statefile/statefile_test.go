package statefile

import (
	"bytes"
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"testing"
)

// state is the state that the tests store.
type state struct{ Names []string }

var testFormat = Format{Kind: "test", Version: 2, MaxBytes: 1 << 10}

// TestSaveAndLoad verifies that a saved state is loaded, also after a replacement, and that no temporary file is left.
func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	for _, want := range []state{{[]string{"a"}}, {[]string{"b", "c"}}} {
		if err := testFormat.Save(path, want); err != nil {
			t.Fatal(err)
		}
		var got state
		if err := testFormat.Load(path, &got); err != nil || !slices.Equal(got.Names, want.Names) {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	}
	if left, err := filepath.Glob(path + ".new*"); err != nil || len(left) > 0 {
		t.Errorf("left over: %v, %v", left, err)
	}
}

// TestLoadRefusesOtherFiles verifies the errors for a missing file and for one of another format.
func TestLoadRefusesOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := testFormat.Save(path, state{[]string{"a"}}); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		path   string
		format Format
		want   error
	}{
		{"no such file", path + "2", testFormat, fs.ErrNotExist},
		{"a newer version", path, Format{Kind: "test", Version: 1, MaxBytes: 1 << 10}, ErrNewerVersion},
		{"another kind", path, Format{Kind: "other", Version: 2, MaxBytes: 1 << 10}, ErrCorrupt},
		{"a file that is too large", path, Format{Kind: "test", Version: 2, MaxBytes: 10}, ErrCorrupt},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got state
			if err := c.format.Load(c.path, &got); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// TestSaveRefusesLargeState verifies that saving a state over the limit fails and leaves the file unchanged.
func TestSaveRefusesLargeState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := testFormat.Save(path, state{[]string{"b", "c"}}); err != nil {
		t.Fatal(err)
	}
	var tooLarge *TooLargeError
	err := testFormat.Save(path, state{[]string{string(make([]byte, 4<<10))}})
	if !errors.As(err, &tooLarge) || tooLarge.MaxBytes != testFormat.MaxBytes {
		t.Errorf("got %v", err)
	}
	var got state
	if err := testFormat.Load(path, &got); err != nil || !slices.Equal(got.Names, []string{"b", "c"}) {
		t.Errorf("afterwards the file has %v, %v", got, err)
	}
}

// TestDecodeRefusesDamage verifies that content with a changed byte, or truncated at any byte, is rejected or decodes
// to the saved state.
func TestDecodeRefusesDamage(t *testing.T) {
	want := []string{"backend-1", "backend-2"}
	content, err := testFormat.Encode(state{want})
	if err != nil {
		t.Fatal(err)
	}
	for i := range content {
		changed := bytes.Clone(content)
		changed[i] ^= 4
		for _, damaged := range [][]byte{changed, content[:i]} {
			var got state
			if err := testFormat.Decode(damaged, &got); err == nil && !slices.Equal(got.Names, want) {
				t.Errorf("byte %d: decoded as %v", i, got)
			}
		}
	}
}

// FuzzDecode verifies that arbitrary bytes decode without an error or with one of the documented errors.
func FuzzDecode(f *testing.F) {
	content, err := testFormat.Encode(state{[]string{"a"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte(`{"kind":"test","version":2,"data":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var got state
		err := testFormat.Decode(content, &got)
		if err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) {
			t.Errorf("%v", err)
		}
	})
}

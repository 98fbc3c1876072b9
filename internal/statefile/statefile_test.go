package statefile

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

type state struct{ Names []string }

var form = Form{Kind: "test", Version: 2, Most: 1 << 10}

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var got state
	if err := form.Load(path, &got); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	for _, names := range [][]string{{"a"}, {"b", "c"}} {
		if err := form.Save(path, state{names}); err != nil {
			t.Fatal(err)
		}
		if err := form.Load(path, &got); err != nil || len(got.Names) != len(names) || got.Names[0] != names[0] {
			t.Errorf("%v, %v", got, err)
		}
	}
	if left, _ := filepath.Glob(path + ".new*"); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
	older := Form{Kind: "test", Version: 1, Most: 1 << 10}
	if err := older.Load(path, &got); !errors.Is(err, ErrNewer) {
		t.Errorf("a newer file: %v", err)
	}
	if err := (Form{Kind: "other", Version: 2, Most: 1 << 10}).Load(path, &got); !errors.Is(err, ErrDamaged) {
		t.Errorf("another kind: %v", err)
	}
	if err := form.Save(path, state{[]string{string(make([]byte, 4<<10))}}); err == nil {
		t.Error("a state over the bound is saved")
	}
	if err := form.Load(path, &got); err != nil || got.Names[0] != "b" {
		t.Errorf("the one before: %v, %v", got, err)
	}
}

// Whatever byte is lost or changed, nothing wrong is read.
func TestDamagedIsRefused(t *testing.T) {
	good, err := form.Encode(state{[]string{"backend-1", "backend-2"}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 4
		for _, b := range [][]byte{bad, good[:i]} {
			var got state
			if err := form.Decode(b, &got); err == nil && (len(got.Names) != 2 || got.Names[0] != "backend-1" || got.Names[1] != "backend-2") {
				t.Errorf("byte %d: read as %v", i, got)
			}
		}
	}
}

// Writers under the lock lose nothing of each other's.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 10 {
				unlock, err := Lock(path + ".lock")
				if err != nil {
					t.Error(err)
					return
				}
				var s state
				if err := form.Load(path, &s); err != nil && !errors.Is(err, fs.ErrNotExist) {
					t.Error(err)
				}
				s.Names = append(s.Names, "x")
				if err := form.Save(path, s); err != nil {
					t.Error(err)
				}
				unlock()
			}
		})
	}
	wg.Wait()
	var s state
	if err := form.Load(path, &s); err != nil || len(s.Names) != 80 {
		t.Errorf("%d, %v", len(s.Names), err)
	}
	if _, err := os.Stat(path + ".lock"); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := form.Encode(state{[]string{"a"}})
	f.Add(good)
	f.Add([]byte(`{"kind":"test","version":2,"data":null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s state
		if err := form.Decode(b, &s); err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Errorf("%v", err)
		}
	})
}

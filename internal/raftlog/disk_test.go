package raftlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/vfs"
)

// TestPolicyLogDamaged changes or cuts off bytes of the file at random. Either the file is rejected in one line or it
// is read as it was.
func TestPolicyLogDamaged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.waitUntil(100, "a leader", func() bool { return c.leader() != nil })
	for n := range 50 {
		c.leader().log.Propose(entry(n))
		c.tick()
	}
	c.stop(0)
	path := filepath.Join(c.dirs[0], fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	try := func(what string, b []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := OpenDisk(vfs.OS{}, dir)
		if err == nil {
			_, err = d.load()
		}
		if err == nil {
			return
		}
		rejected++
		isExpected := errors.Is(err, ErrDamaged) || strings.Contains(err.Error(), "newer")
		if !isExpected || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q", what, err)
		}
	}
	for n := range 60 {
		bad := append([]byte(nil), good...)
		i := c.rng.IntN(len(bad))
		for j := i; j < min(len(bad), i+64); j++ {
			bad[j] ^= byte(1 + c.rng.IntN(255))
		}
		try(fmt.Sprint("changed at ", i), bad)
		if n%2 == 0 {
			try(fmt.Sprint("cut at ", i), good[:i])
		}
	}
	if rejected < 10 {
		t.Errorf("%d of 80 damaged files were rejected", rejected)
	}
}

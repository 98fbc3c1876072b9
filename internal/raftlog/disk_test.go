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

// TestPolicyLogDamaged verifies that a file with random bytes changed, or its end cut off, is either rejected with a
// single-line error or loaded without one.
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
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	open := func(damage string, b []byte) {
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
			t.Errorf("%s: %q", damage, err)
		}
	}
	for n := range 60 {
		damaged := append([]byte(nil), valid...)
		i := c.rng.IntN(len(damaged))
		for j := i; j < min(len(damaged), i+64); j++ {
			damaged[j] ^= byte(1 + c.rng.IntN(255))
		}
		open(fmt.Sprint("changed at ", i), damaged)
		if n%2 == 0 {
			open(fmt.Sprint("cut at ", i), valid[:i])
		}
	}
	if rejected < 10 {
		t.Errorf("%d of 80 damaged files were rejected", rejected)
	}
}

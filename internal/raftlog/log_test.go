package raftlog

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestPolicyLogCatchesUp verifies that a voter that was down for 10,000 entries catches up by a snapshot over links
// that lose a tenth of the messages. All voters then have all entries in the same order, also after a restart of each,
// and the size of their files is bounded.
func TestPolicyLogCatchesUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.waitUntil(200, "a leader", func() bool { return c.leader() != nil })
	c.stop(2)
	c.waitUntil(200, "a leader of two voters", func() bool { return c.leader() != nil })
	for n := 0; n < 10_000; {
		l := c.leader()
		if l == nil {
			c.tick()
			continue
		}
		for range 1000 {
			l.log.Propose(entry(n))
			n++
		}
		l.processReady()
		c.tick()
	}
	c.waitUntil(200, "committed", func() bool {
		return len(c.voters[0].applied) == 10_000 && len(c.voters[1].applied) == 10_000
	})
	c.loss = 0.1
	c.start(2)
	c.waitUntil(2000, "caught up", func() bool { return len(c.voters[2].applied) == 10_000 })
	c.loss = 0
	for i := range 3 {
		c.stop(i)
		if info, err := os.Stat(filepath.Join(c.dirs[i], fileName)); err != nil || info.Size() > 4<<20 {
			t.Errorf("voter %d: %v, %v", i, info.Size(), err)
		}
		c.start(i)
	}
	c.waitUntil(200, "a leader again", func() bool { return c.leader() != nil && c.leader().log.HasStarted() })
	l := c.leader()
	l.log.Propose(entry(10_000))
	l.log.ConfirmRead(7)
	l.processReady()
	c.waitUntil(200, "committed again", func() bool {
		return !slices.ContainsFunc(c.voters, func(v *voter) bool { return len(v.applied) != 10_001 })
	})
	for i, v := range c.voters {
		for n, x := range v.applied {
			if x != uint64(n) {
				t.Fatalf("voter %d: entry %d is %d", i, n, x)
			}
		}
	}
	if l.reads == 0 {
		t.Error("a read was not confirmed")
	}
}

// TestPolicyLogLostDisk verifies that a voter that has lost its disk does not participate after a restart, as the votes
// it cast are unknown, and that the other voters can still elect a leader.
func TestPolicyLogLostDisk(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.waitUntil(200, "a leader", func() bool { return c.leader() != nil })
	c.wipe(1)
	c.start(1)
	for range 60 {
		c.tick()
	}
	if v := c.voters[1]; v.log.HasStarted() || !v.log.isExcluded {
		t.Error("the voter participates with an empty disk")
	}
	c.stop(0)
	c.start(0)
	c.waitUntil(200, "a leader among the voters that have their disks", func() bool { return c.leader() != nil })
}

package raftlog

import (
	"fmt"
	"slices"
	"testing"
)

// TestPolicyVoterReplaced verifies that a voter whose disk is permanently lost can be replaced by one with an empty
// disk, over links that lose a tenth of the messages. The new voter counts towards the majority: another voter may
// fail, all may restart, and a second voter may be replaced. No committed entry is lost, and all voters have the same
// order.
func TestPolicyVoterReplaced(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{3, 5} {
		c := newCluster(t, voters)
		c.waitUntil(200, "a leader", func() bool { return c.leader() != nil })
		n := 0
		commit := func(limit int) {
			t.Helper()
			for to := n + 20; n < to; n++ {
				c.waitUntil(limit, "a leader", func() bool { return c.leader() != nil })
				l := c.leader()
				l.log.Propose(entry(n))
				c.waitUntil(limit, fmt.Sprint("entry ", n), func() bool {
					if l.log != nil && !slices.Contains(l.applied, uint64(n)) && c.rng.IntN(20) == 0 {
						l.log.Propose(entry(n)) // the proposal may be lost
					}
					for _, v := range c.voters {
						if v.log != nil && slices.Contains(v.applied, uint64(n)) {
							return true
						}
					}
					return false
				})
			}
		}
		commit(300)
		for _, lost := range []int{1, voters - 1} {
			c.wipe(lost)
			c.start(lost)
			c.voters[lost].applied = nil
			commit(300)
			if c.voters[lost].log.HasStarted() {
				t.Fatal("the voter participates before it is replaced")
			}
			c.loss = 0.1
			c.waitUntil(2000, "replaced", func() bool {
				l := c.leader()
				return l != nil && l.log.ReplaceVoter(lost) == nil && c.voters[lost].log.HasStarted()
			})
			c.loss = 0
			c.waitUntil(500, "caught up", func() bool { return slices.Contains(c.voters[lost].applied, uint64(n-1)) })
			down := (lost + 1) % voters // of three voters, the new one is now needed for a majority
			c.stop(down)
			commit(500)
			c.start(down)
		}
		for i := range c.voters {
			c.stop(i)
		}
		for i := range c.voters {
			c.start(i)
		}
		commit(500)
		c.waitUntil(500, "all entries at all voters", func() bool {
			for _, v := range c.voters {
				if !slices.Contains(v.applied, uint64(n-1)) {
					return false
				}
			}
			return true
		})
		for i, v := range c.voters {
			at := uint64(0)
			for _, x := range v.applied { // an entry that was proposed again may appear twice
				if x != at && x+1 != at {
					t.Fatalf("voter %d: entry %d after %d", i, x, at)
				}
				at = x + 1
			}
		}
		if err := c.leader().log.ReplaceVoter(0); err == nil {
			t.Error("a voter that has its disk can be replaced")
		}
	}
}

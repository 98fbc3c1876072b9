package raftlog

import (
	"slices"
	"strings"
	"testing"
)

// TestPowerLostMajorityOfVoters verifies the recovery after a majority of the voters' disks is permanently lost. The
// voter with the longest log may continue alone only once a majority is known to be lost. The other voters are replaced
// one by one, and all get its entries. A voter with a log from before the recovery does not participate.
func TestPowerLostMajorityOfVoters(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	c.waitUntil(200, "a leader", func() bool { return c.leader() != nil })
	rejected := func(i int, want string, lost ...int) {
		t.Helper()
		if err := c.voters[i].log.Recover(lost, entry(1000)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("voter %d: %v, want an error with %q", i, err, want)
		}
	}
	propose := func(n int) {
		t.Helper()
		c.waitUntil(800, "a leader", func() bool { return c.leader() != nil })
		c.leader().log.Propose(entry(n))
	}
	propose(0)
	for i := range 5 {
		c.waitApplied(i, 0)
	}
	rejected(0, "have a leader")
	c.stop(1) // it lags from now on
	propose(1)
	for _, i := range []int{0, 2, 3, 4} {
		c.waitApplied(i, 1)
	}
	for _, i := range []int{2, 3, 4} {
		c.stop(i)
	}
	c.runTicks(60) // the leader, if it is still running, steps down
	c.start(1)
	c.runTicks(60)
	rejected(0, "[door 2 door 3 door 4] not heard of")
	rejected(0, "may still come", 2, 3)
	rejected(0, "is there with its log", 1, 2, 3, 4)
	rejected(1, "door 0 has a longer log", 2, 3, 4)
	c.wipe(2)
	c.wipe(3)
	c.start(2)
	c.start(3)
	c.runTicks(60)
	rejected(0, "may still come")
	if err := c.voters[0].log.Recover([]int{4}, entry(1000)); err != nil {
		t.Fatal(err)
	}
	c.stop(0) // the recovery was a single write, so it survives an immediate stop
	c.start(0)
	c.waitUntil(200, "voter 0 leads alone", func() bool { return c.leader() == c.voters[0] })
	if got := c.voters[0].applied; !slices.Equal(got, []uint64{0, 1, 1000}) {
		t.Errorf("voter 0 has %v after the recovery", got)
	}
	propose(2)
	c.waitApplied(0, 2)
	c.start(4) // it was named as lost, but returns with its old log
	c.runTicks(100)
	for _, i := range []int{1, 4} {
		if v := c.voters[i]; !v.log.isExcluded || slices.Contains(v.applied, 2) {
			t.Errorf("voter %d with its old log: excluded %v, applied %v", i, v.log.isExcluded, v.applied)
		}
	}
	c.loss = 0.1
	for _, i := range []int{2, 3, 1, 4} {
		if i == 1 || i == 4 {
			c.wipe(i)
			c.start(i)
		}
		c.waitUntil(3000, "replaced", func() bool {
			l := c.leader()
			return l != nil && l.log.ReplaceVoter(i) == nil && c.voters[i].log.HasStarted()
		})
		c.waitApplied(i, 2)
	}
	c.loss = 0
	c.stop(0)
	c.stop(2)
	propose(3)
	c.waitApplied(1, 3)
	c.start(0)
	c.start(2)
	for i, v := range c.voters {
		c.waitApplied(i, 3)
		if got := slices.Compact(slices.Clone(v.applied)); !slices.Equal(got, []uint64{0, 1, 1000, 2, 3}) {
			t.Errorf("voter %d has %v", i, got)
		}
	}
}

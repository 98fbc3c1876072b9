package raftlog

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// wipe ends a voter and takes its disk.
func (f *cluster) wipe(i int) {
	f.t.Helper()
	f.stop(i)
	if err := os.Remove(filepath.Join(f.dirs[i], "policy.log")); err != nil {
		f.t.Fatal(err)
	}
}

func (f *cluster) ticks(n int) {
	for range n {
		f.tick()
	}
}

// waitApplied waits until a voter has applied an entry.
func (f *cluster) waitApplied(i, n int) {
	f.t.Helper()
	f.until(800, "all of it", func() bool { v := f.voters[i]; return v.log != nil && slices.Contains(v.applied, uint64(n)) })
}

// A majority of the voters' disks is lost for good. The voter with the longest log goes on alone, once that is known and not before; the others come
// back one by one, and what it had all have. A voter of before takes no part, whatever it says.
func TestPowerLostMajorityOfVoters(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 5)
	f.until(200, "a leader", func() bool { return f.leader() != nil })
	refused := func(i int, want string, lost ...int) {
		t.Helper()
		if err := f.voters[i].log.Recover(lost, entry(1000)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("voter %d: %v, wanted %q", i, err, want)
		}
	}
	propose := func(n int) {
		t.Helper()
		f.until(800, "a leader", func() bool { return f.leader() != nil })
		f.leader().log.Propose(entry(n))
	}
	propose(0)
	for i := range 5 {
		f.waitApplied(i, 0)
	}
	refused(0, "have a leader")
	f.stop(1) // it is behind from here on
	propose(1)
	for _, i := range []int{0, 2, 3, 4} {
		f.waitApplied(i, 1)
	}
	for _, i := range []int{2, 3, 4} {
		f.stop(i)
	}
	f.ticks(60) // the leader, if it is left, gives up
	f.start(1)
	f.ticks(60)
	refused(0, "[door 2 door 3 door 4] not heard of")
	refused(0, "may still come", 2, 3)
	refused(0, "is there with its log", 1, 2, 3, 4)
	refused(1, "door 0 has a longer log", 2, 3, 4)
	f.wipe(2)
	f.wipe(3)
	f.start(2)
	f.start(3)
	f.ticks(60)
	refused(0, "may still come")
	if err := f.voters[0].log.Recover([]int{4}, entry(1000)); err != nil {
		t.Fatal(err)
	}
	f.stop(0) // at once: it was one write
	f.start(0)
	f.until(200, "it leads alone", func() bool { return f.leader() == f.voters[0] })
	if got := f.voters[0].applied; !slices.Equal(got, []uint64{0, 1, 1000}) {
		t.Errorf("it has %v", got)
	}
	propose(2)
	f.waitApplied(0, 2)
	f.start(4) // named as lost, and there with its old log all the same
	f.ticks(100)
	for _, i := range []int{1, 4} {
		if v := f.voters[i]; !v.log.isLost || slices.Contains(v.applied, 2) {
			t.Errorf("voter %d of before: it was told so: %v; it has %v", i, v.log.isLost, v.applied)
		}
	}
	f.loss = 0.1
	for _, i := range []int{2, 3, 1, 4} {
		if i == 1 || i == 4 {
			f.wipe(i)
			f.start(i)
		}
		f.until(3000, "replaced", func() bool {
			l := f.leader()
			return l != nil && l.log.ReplaceVoter(i) == nil && f.voters[i].log.HasStarted()
		})
		f.waitApplied(i, 2)
	}
	f.loss = 0
	f.stop(0)
	f.stop(2)
	propose(3)
	f.waitApplied(1, 3)
	f.start(0)
	f.start(2)
	for i, v := range f.voters {
		f.waitApplied(i, 3)
		if got := slices.Compact(slices.Clone(v.applied)); !slices.Equal(got, []uint64{0, 1, 1000, 2, 3}) {
			t.Errorf("voter %d has %v", i, got)
		}
	}
}

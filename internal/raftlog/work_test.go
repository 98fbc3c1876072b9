package raftlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPolicyLogStuckDisk stops the disk of a voter. That stops nobody but its own voter, whether it leads or follows:
// the others decide and read, another one leads, and it has all once its disk goes on. What it did not keep it does
// not count.
func TestPolicyLogStuckDisk(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		c := newCluster(t, 3)
		c.until(200, "a leader", func() bool { return c.leader() != nil })
		c.leader().log.Propose(entry(0))
		c.until(50, "committed", func() bool {
			return len(c.voters[0].applied) == 1 && len(c.voters[1].applied) == 1 && len(c.voters[2].applied) == 1
		})
		stuck := slices.IndexFunc(c.voters, func(v *voter) bool { return (v == c.leader()) == leads })
		write := c.delayWrites(stuck)
		c.leader().log.Propose(entry(1))
		c.leader().work()
		c.until(20, "another one leads", func() bool { l := c.leader(); return l != nil && l != c.voters[stuck] })
		c.until(5, "committed by two", func() bool { return len(c.leader().applied) == 2 })
		l := c.leader()
		l.log.ConfirmRead(3)
		l.work()
		c.until(5, "a read", func() bool { return l.reads == 1 })
		if n := len(c.voters[stuck].applied); n != 1 {
			t.Errorf("the voter whose disk stands still has applied %d entries", n)
		}
		for n := range 1500 { // long
			if l := c.leader(); l != nil && n%2 == 0 {
				l.log.Propose(entry(2))
			}
			c.tick()
		}
		if n := len(c.voters[stuck].log.writes.waiting); n > maxWaiting+20 {
			t.Errorf("%d things wait for the disk", n)
		}
		c.until(200, "all have all", func() bool {
			write()
			return len(c.voters[stuck].applied) == len(c.leader().applied)
		})
	}
}

// TestPolicyLogLateWrites plays voters whose writes are late at random, and that are killed with writes under way:
// what one of them has applied all have in the end, in the same order, and no majority forgets it. A voter that
// counts what it has not kept is found.
func TestPolicyLogLateWrites(t *testing.T) {
	t.Parallel()
	play := func(seed uint64, broken bool) (wrong string) {
		c := newCluster(t, 3)
		c.rng = rand.New(rand.NewPCG(seed, 5))
		c.until(200, "a leader", func() bool { return c.leader() != nil })
		writes := make([]func(), 3)
		late := func(i int) {
			writes[i] = c.delayWrites(i)
			if broken { // it says so, and keeps one in five
				c.voters[i].log.cfg.WriteAsync = func(write func() error, done func(error)) {
					if c.rng.IntN(5) == 0 {
						_ = write()
					}
					done(nil)
				}
				writes[i] = func() {}
			}
		}
		for i := range 3 {
			late(i)
		}
		var order []uint64 // as applied first by anybody
		check := func() bool {
			for i, v := range c.voters {
				for n, x := range v.applied {
					if n == len(order) {
						order = append(order, x)
					}
					if order[n] != x {
						wrong = fmt.Sprintf("seed %d: voter %d has %d at %d, not %d", seed, i, x, n, order[n])
						return false
					}
				}
			}
			return true
		}
		n := 0
		c.loss = 0.05
		for range 400 {
			if l := c.leader(); l != nil && c.rng.IntN(2) == 0 {
				l.log.Propose(entry(n))
				n++
			}
			c.tick()
			for i := range 3 {
				if c.rng.IntN(3) == 0 {
					writes[i]()
				}
			}
			if c.rng.IntN(15) == 0 {
				for _, i := range c.rng.Perm(3)[:1+c.rng.IntN(3)] { // one, two or all: with what was not written
					c.stop(i)
					c.start(i)
					late(i)
				}
			}
			if !check() {
				return wrong
			}
			for i, v := range c.voters {
				if v.log.failure != nil {
					return fmt.Sprintf("seed %d: voter %d: %v", seed, i, v.log.failure)
				}
			}
		}
		c.loss = 0
		end := func() bool {
			for i := range 3 {
				writes[i]()
			}
			lags := func(v *voter) bool { return len(v.applied) != len(order) }
			return check() && !slices.ContainsFunc(c.voters, lags)
		}
		for range 500 {
			if end() {
				return ""
			}
			c.tick()
		}
		if wrong == "" {
			wrong = fmt.Sprintf(
				"seed %d: of %d that were applied the voters have %d, %d, %d in the end",
				seed,
				len(order),
				len(c.voters[0].applied),
				len(c.voters[1].applied),
				len(c.voters[2].applied),
			)
		}
		return wrong
	}
	found := false // raft draws its time-outs itself, so no seed plays alike
	for seed := range uint64(20) {
		if wrong := play(seed, false); wrong != "" {
			t.Error(wrong)
		}
		found = found || play(seed, true) != ""
	}
	if !found {
		t.Error("voters that count what they have not kept were not found")
	}
}

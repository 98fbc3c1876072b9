package raftlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPolicyLogStuckDisk verifies that a disk that stops affects only its own voter, whether that is the leader or a
// follower: another voter leads, and the others commit and read. The voter applies nothing that it has not stored, and
// catches up once its disk continues.
func TestPolicyLogStuckDisk(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		c := newCluster(t, 3)
		c.waitUntil(200, "a leader", func() bool { return c.leader() != nil })
		c.leader().log.Propose(entry(0))
		c.waitUntil(50, "committed", func() bool {
			return len(c.voters[0].applied) == 1 && len(c.voters[1].applied) == 1 && len(c.voters[2].applied) == 1
		})
		stuck := slices.IndexFunc(c.voters, func(v *voter) bool { return (v == c.leader()) == leads })
		write := c.delayWrites(stuck)
		c.leader().log.Propose(entry(1))
		c.leader().processReady()
		c.waitUntil(20, "another leader", func() bool { l := c.leader(); return l != nil && l != c.voters[stuck] })
		c.waitUntil(5, "committed by two", func() bool { return len(c.leader().applied) == 2 })
		l := c.leader()
		l.log.ConfirmRead(3)
		l.processReady()
		c.waitUntil(5, "a read", func() bool { return l.reads == 1 })
		if n := len(c.voters[stuck].applied); n != 1 {
			t.Errorf("the voter whose disk is stuck has applied %d entries", n)
		}
		for n := range 1500 {
			if l := c.leader(); l != nil && n%2 == 0 {
				l.log.Propose(entry(2))
			}
			c.tick()
		}
		if n := len(c.voters[stuck].log.writes.queued); n > maxQueuedMessages+20 {
			t.Errorf("%d messages wait for the disk", n)
		}
		c.waitUntil(200, "all entries at all voters", func() bool {
			write()
			return len(c.voters[stuck].applied) == len(c.leader().applied)
		})
	}
}

// delayedWrites simulates voters whose writes are randomly delayed, and that are killed during writes.
type delayedWrites struct {
	*cluster
	seed uint64
	// acknowledgesEarly makes voters treat entries as stored that they have not written.
	acknowledgesEarly bool
	finish            []func() // performs the write that is in progress, by voter
	proposed          int
	order             []uint64 // entries in the order in which any voter first applied them
}

// run runs the simulation. It returns a description of the first problem, or an empty string.
func (d *delayedWrites) run() (problem string) {
	d.waitUntil(200, "a leader", func() bool { return d.leader() != nil })
	d.finish = make([]func(), len(d.voters))
	for i := range d.voters {
		d.delay(i)
	}
	d.loss = 0.05
	for range 400 {
		d.step()
		if problem := d.check(); problem != "" {
			return problem
		}
		for i, v := range d.voters {
			if v.log.failure != nil {
				return fmt.Sprintf("seed %d: voter %d: %v", d.seed, i, v.log.failure)
			}
		}
	}
	d.loss = 0
	return d.catchUp()
}

// delay delays a voter's writes. With acknowledgesEarly, writes are reported as done at once, but only one in five is
// performed.
func (d *delayedWrites) delay(i int) {
	d.finish[i] = d.delayWrites(i)
	if !d.acknowledgesEarly {
		return
	}
	d.finish[i] = func() {}
	d.voters[i].log.cfg.WriteAsync = func(write func() error, done func(error)) {
		if d.rng.IntN(5) == 0 {
			_ = write()
		}
		done(nil)
	}
}

// step runs a tick, and at random proposes an entry, finishes writes and restarts voters.
func (d *delayedWrites) step() {
	if l := d.leader(); l != nil && d.rng.IntN(2) == 0 {
		l.log.Propose(entry(d.proposed))
		d.proposed++
	}
	d.tick()
	for _, finish := range d.finish {
		if d.rng.IntN(3) == 0 {
			finish()
		}
	}
	if d.rng.IntN(15) > 0 {
		return
	}
	for _, i := range d.rng.Perm(3)[:1+d.rng.IntN(3)] { // one, two or all voters, which lose their pending writes
		d.stop(i)
		d.start(i)
		d.delay(i)
	}
}

// check returns a description of a voter that has applied other entries than the rest, or an empty string.
func (d *delayedWrites) check() (problem string) {
	for i, v := range d.voters {
		for n, applied := range v.applied {
			if n == len(d.order) {
				d.order = append(d.order, applied)
			}
			if d.order[n] != applied {
				return fmt.Sprintf("seed %d: voter %d has %d at %d, not %d", d.seed, i, applied, n, d.order[n])
			}
		}
	}
	return ""
}

// catchUp ticks until all voters have applied all entries that any of them has applied.
func (d *delayedWrites) catchUp() (problem string) {
	lags := func(v *voter) bool { return len(v.applied) != len(d.order) }
	for range 500 {
		for _, finish := range d.finish {
			finish()
		}
		if problem = d.check(); problem == "" && !slices.ContainsFunc(d.voters, lags) {
			return ""
		}
		d.tick()
	}
	if problem != "" {
		return problem
	}
	return fmt.Sprintf("seed %d: of %d applied entries the voters have %d, %d and %d at the end", d.seed, len(d.order),
		len(d.voters[0].applied), len(d.voters[1].applied), len(d.voters[2].applied))
}

// TestPolicyLogLateWrites verifies that all voters eventually apply the same entries in the same order if their writes
// are delayed and they are killed during writes. As a check of the simulation itself, voters that acknowledge entries
// before they have stored them must be detected. Raft randomizes election timeouts itself, so runs are not reproducible
// by seed.
func TestPolicyLogLateWrites(t *testing.T) {
	t.Parallel()
	simulate := func(seed uint64, acknowledgesEarly bool) string {
		c := newCluster(t, 3)
		c.rng = rand.New(rand.NewPCG(seed, 5))
		d := &delayedWrites{cluster: c, seed: seed, acknowledgesEarly: acknowledgesEarly}
		return d.run()
	}
	isDetected := false
	for seed := range uint64(20) {
		if problem := simulate(seed, false); problem != "" {
			t.Error(problem)
		}
		if problem := simulate(seed, true); problem != "" {
			isDetected = true
		}
	}
	if !isDetected {
		t.Error("voters that acknowledge entries before they are stored were not detected")
	}
}

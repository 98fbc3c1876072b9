package raftlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPolicyLogStuckDisk stops the disk of a voter. That stops nobody but its own voter, whether it leads or follows:
// the others decide and read, another one leads, and it has all once its disk goes on. What it did not store it does
// not count.
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
		c.waitUntil(20, "another one leads", func() bool { l := c.leader(); return l != nil && l != c.voters[stuck] })
		c.waitUntil(5, "committed by two", func() bool { return len(c.leader().applied) == 2 })
		l := c.leader()
		l.log.ConfirmRead(3)
		l.processReady()
		c.waitUntil(5, "a read", func() bool { return l.reads == 1 })
		if n := len(c.voters[stuck].applied); n != 1 {
			t.Errorf("the voter whose disk stands still has applied %d entries", n)
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

// delayedWrites is voters whose writes are late at random, and that are killed with writes under way.
type delayedWrites struct {
	*cluster
	seed uint64
	// acknowledgesEarly makes voters count what they have not stored.
	acknowledgesEarly bool
	finish            []func() // the write that is under way, by voter
	proposed          int
	order             []uint64 // entries as applied first by any voter
}

// run returns what is problem; empty: nothing.
func (p *delayedWrites) run() (problem string) {
	p.waitUntil(200, "a leader", func() bool { return p.leader() != nil })
	p.finish = make([]func(), len(p.voters))
	for i := range p.voters {
		p.delay(i)
	}
	p.loss = 0.05
	for range 400 {
		p.step()
		if problem := p.check(); problem != "" {
			return problem
		}
		for i, v := range p.voters {
			if v.log.failure != nil {
				return fmt.Sprintf("seed %d: voter %d: %v", p.seed, i, v.log.failure)
			}
		}
	}
	p.loss = 0
	return p.catchUp()
}

// delay makes a voter's writes late. Those of a broken voter seem to be done at once, and one in five is.
func (p *delayedWrites) delay(i int) {
	p.finish[i] = p.delayWrites(i)
	if !p.acknowledgesEarly {
		return
	}
	p.finish[i] = func() {}
	p.voters[i].log.cfg.WriteAsync = func(write func() error, done func(error)) {
		if p.rng.IntN(5) == 0 {
			_ = write()
		}
		done(nil)
	}
}

// step proposes an entry, ticks, finishes writes and restarts voters, each at random.
func (p *delayedWrites) step() {
	if l := p.leader(); l != nil && p.rng.IntN(2) == 0 {
		l.log.Propose(entry(p.proposed))
		p.proposed++
	}
	p.tick()
	for _, finish := range p.finish {
		if p.rng.IntN(3) == 0 {
			finish()
		}
	}
	if p.rng.IntN(15) > 0 {
		return
	}
	for _, i := range p.rng.Perm(3)[:1+p.rng.IntN(3)] { // one, two or all: with what was not written
		p.stop(i)
		p.start(i)
		p.delay(i)
	}
}

// check returns which voter has applied something else than the others.
func (p *delayedWrites) check() (problem string) {
	for i, v := range p.voters {
		for n, applied := range v.applied {
			if n == len(p.order) {
				p.order = append(p.order, applied)
			}
			if p.order[n] != applied {
				return fmt.Sprintf("seed %d: voter %d has %d at %d, not %d", p.seed, i, applied, n, p.order[n])
			}
		}
	}
	return ""
}

// catchUp ticks until all voters have applied what any of them has.
func (p *delayedWrites) catchUp() (problem string) {
	lags := func(v *voter) bool { return len(v.applied) != len(p.order) }
	for range 500 {
		for _, finish := range p.finish {
			finish()
		}
		if problem = p.check(); problem == "" && !slices.ContainsFunc(p.voters, lags) {
			return ""
		}
		p.tick()
	}
	if problem != "" {
		return problem
	}
	return fmt.Sprintf("seed %d: of %d that were applied the voters have %d, %d, %d in the end", p.seed, len(p.order),
		len(p.voters[0].applied), len(p.voters[1].applied), len(p.voters[2].applied))
}

// TestPolicyLogLateWrites plays voters whose writes are late, and that are killed with writes under way. What one of
// them has applied all have in the end, in the same order. A voter that counts what it has not stored is found. Raft
// draws election timeouts itself, so no seed plays alike.
func TestPolicyLogLateWrites(t *testing.T) {
	t.Parallel()
	simulate := func(seed uint64, acknowledgesEarly bool) string {
		c := newCluster(t, 3)
		c.rng = rand.New(rand.NewPCG(seed, 5))
		p := &delayedWrites{cluster: c, seed: seed, acknowledgesEarly: acknowledgesEarly}
		return p.run()
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
		t.Error("voters that count what they have not stored were not found")
	}
}

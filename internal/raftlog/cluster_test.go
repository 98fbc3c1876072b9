package raftlog

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gapgap/internal/vfs"
)

// cluster runs several voters in one goroutine. Their messages go through a queue and are lost at random.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	dirs     []string
	voters   []*voter
	messages []message
	loss     float64
}

type message struct {
	from, to int
	data     []byte
}

type voter struct {
	log     *Log // nil while its process is down
	disk    *Disk
	index   uint64
	applied []uint64 // numbers in the applied entries
	reads   int
}

// processReady calls ProcessReady. Its error is also in the log's failure.
func (v *voter) processReady() { _ = v.log.ProcessReady() }

// newCluster starts voters with empty disks.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(1, 2))}
	for range n {
		c.dirs = append(c.dirs, t.TempDir())
		c.voters = append(c.voters, nil)
	}
	for i := range n {
		c.start(i)
	}
	t.Cleanup(func() {
		for i := range c.voters {
			c.stop(i)
		}
	})
	return c
}

// start starts a voter from its disk.
func (c *cluster) start(i int) {
	c.t.Helper()
	disk, err := OpenDisk(vfs.OS{}, c.dirs[i])
	if err != nil {
		c.t.Fatal(err)
	}
	v := &voter{disk: disk}
	var all []int
	for other := range c.voters {
		all = append(all, other)
	}
	v.log, err = New(Config{
		Voter:  i,
		Voters: all,
		Disk:   disk,
		Logger: slog.New(slog.DiscardHandler),
		Send:   func(to int, b []byte) { c.messages = append(c.messages, message{i, to, b}) },
		Apply: func(index uint64, b []byte) {
			if v.index = index; len(b) >= 8 {
				v.applied = append(v.applied, binary.BigEndian.Uint64(b))
			}
		},
		ReadConfirmed: func(uint64) { v.reads++ },
		Snapshot: func() (uint64, []byte, error) {
			b := []byte{}
			for _, x := range v.applied {
				b = binary.BigEndian.AppendUint64(b, x)
			}
			return v.index, b, nil
		},
		Restore: func(index uint64, b []byte) error {
			v.index, v.applied = index, nil
			for ; len(b) >= 8; b = b[8:] {
				v.applied = append(v.applied, binary.BigEndian.Uint64(b))
			}
			return nil
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.voters[i] = v
}

// stop kills a voter's process.
func (c *cluster) stop(i int) {
	if v := c.voters[i]; v != nil && v.log != nil {
		v.log = nil
	}
}

// tick advances all voters by one tick and delivers the resulting messages.
func (c *cluster) tick() {
	for _, v := range c.voters {
		if v.log != nil {
			v.log.Tick()
			v.processReady()
		}
	}
	for n := 0; len(c.messages) > 0 && n < 10_000; n++ {
		m := c.messages[0]
		c.messages = c.messages[1:]
		if to := c.voters[m.to]; to.log != nil && c.rng.Float64() >= c.loss {
			if err := to.log.Step(m.from, m.data); err != nil {
				c.t.Errorf("%v", err)
			}
			to.processReady()
		}
	}
}

// waitUntil ticks until a condition holds, and fails the test after limit ticks.
func (c *cluster) waitUntil(limit int, event string, done func() bool) {
	c.t.Helper()
	for range limit {
		if done() {
			return
		}
		c.tick()
	}
	c.t.Fatalf("%s: not within %d ticks", event, limit)
}

// leader returns the leader, or nil if there is none.
func (c *cluster) leader() *voter {
	for _, v := range c.voters {
		if v.log == nil {
			continue
		}
		if _, leads := v.log.Leading(); leads {
			return v
		}
	}
	return nil
}

// entry returns an entry that contains a number.
func entry(n int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(n))
	return append(b, make([]byte, 56)...)
}

// wipe kills a voter's process and removes its disk.
func (c *cluster) wipe(i int) {
	c.t.Helper()
	c.stop(i)
	if err := os.Remove(filepath.Join(c.dirs[i], fileName)); err != nil {
		c.t.Fatal(err)
	}
}

// runTicks runs n ticks.
func (c *cluster) runTicks(n int) {
	for range n {
		c.tick()
	}
}

// waitApplied ticks until a voter has applied an entry.
func (c *cluster) waitApplied(i, n int) {
	c.t.Helper()
	c.waitUntil(800, "entry applied", func() bool {
		v := c.voters[i]
		return v.log != nil && slices.Contains(v.applied, uint64(n))
	})
}

// delayWrites holds a voter's writes back. The returned function performs the write that is in progress, if any.
func (c *cluster) delayWrites(i int) (write func()) {
	type job struct {
		write func() error
		done  func(error)
	}
	var jobs []job
	v := c.voters[i]
	v.log.cfg.WriteAsync = func(write func() error, done func(error)) { jobs = append(jobs, job{write, done}) }
	return func() {
		if len(jobs) > 1 {
			c.t.Errorf("voter %d has %d writes in progress, want at most 1", i, len(jobs))
		}
		if len(jobs) > 0 && v.log != nil {
			j := jobs[0]
			jobs = nil
			j.done(j.write())
			v.processReady()
		}
	}
}

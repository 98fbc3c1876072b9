package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// clusterPlay is one deterministic run of a cluster with random faults.
type clusterPlay struct {
	seed     uint64
	gateways int
	length   time.Duration
	// duplicate is whether a second process of one name runs for a while.
	duplicate bool
}

// clusterTrace adds all that the nodes of a play return to a trace.
type clusterTrace struct {
	trace *golden.Trace
	world *world
}

// hash plays and returns the hash of all messages, standings and changes, in order.
func (p clusterPlay) hash() string {
	rng := rand.New(rand.NewPCG(p.seed, 24))
	w := newWorld(p.seed, p.gateways)
	w.lag = time.Duration(1+rng.IntN(300)) * time.Millisecond
	recorder := &clusterTrace{trace: golden.NewTrace(), world: w}
	w.onSend = recorder.message
	w.onStanding = recorder.standing
	side := make([]int, p.gateways)
	loss := 0.0
	w.line = func(from, to int) (bool, time.Duration) {
		return side[from] != side[to] || w.rng.Float64() < loss, time.Duration(1+w.rng.IntN(30)) * time.Millisecond
	}
	w.startAll()
	w.run(w.now+3*time.Second, 50*time.Millisecond)
	if p.duplicate {
		recorder.runDuplicate()
	}
	for end := w.now + p.length; w.now < end; {
		w.run(w.now+time.Duration(rng.IntN(2500))*time.Millisecond, 50*time.Millisecond)
		target := w.doors[rng.IntN(p.gateways)]
		switch rng.IntN(9) {
		case 0, 1:
			if target.alive {
				target.kill()
			} else {
				target.start()
			}
		case 2:
			if target.alive && !target.stopped {
				target.stop()
			} else if target.alive {
				target.resume()
			}
		case 3: // it has lost its disk
			if target.alive && !target.stopped {
				target.inc = 0
				target.start()
			}
		case 4:
			for i := range side {
				side[i] = rng.IntN(2)
			}
		case 5:
			loss = rng.Float64() * 0.4
		case 6:
			if target.alive && !target.stopped {
				target.node.Leave()
			}
		case 7:
			if target.alive && !target.stopped {
				err := target.node.Forget(target.clock(), rng.IntN(p.gateways))
				recorder.trace.Bool(err == nil)
			}
		default:
			clear(side)
			loss = 0
		}
	}
	for _, d := range w.doors {
		recorder.members(d)
	}
	return recorder.trace.Sum()
}

// runDuplicate runs a second process of gateway 0's name for some seconds, which hears gateway 1.
func (c *clusterTrace) runDuplicate() {
	w := c.world
	duplicate := &door{w: w, rank: 0, drift: 1}
	duplicate.startAs(membership.ID{Incarnation: 1, Nonce: ^uint32(0)})
	var relay func()
	relay = func() {
		heartbeat := w.doors[1].node.detector.Heartbeat(w.doors[1].clock())
		duplicate.heard(1, Message{Heartbeat: &heartbeat})
		if duplicate.alive {
			w.after(200*time.Millisecond, relay)
		}
	}
	relay()
	w.run(w.now+4*time.Second, 50*time.Millisecond)
	duplicate.kill()
	w.run(w.now+3*time.Second, 50*time.Millisecond)
}

// message adds a message that a node sends.
func (c *clusterTrace) message(from int, out Outgoing) {
	c.trace.Int(1)
	c.trace.Int(int64(from))
	c.trace.Duration(c.world.now)
	c.trace.Int(int64(out.To))
	c.trace.Bool(out.ReplyToSender)
	switch {
	case out.Message.Heartbeat != nil:
		c.heartbeat(out.Message.Heartbeat)
	case out.Message.Request != nil:
		c.trace.Int(2)
		c.id(out.Message.Request.ID)
		c.trace.Uint(uint64(out.Message.Request.Sequence))
		c.trace.String(string(out.Message.Request.Slots))
	case out.Message.Grant != nil:
		c.trace.Int(3)
		c.id(out.Message.Grant.ID)
		c.trace.Uint(uint64(out.Message.Grant.Sequence))
		c.trace.String(string(out.Message.Grant.Slots))
	}
}

func (c *clusterTrace) heartbeat(beat *membership.Heartbeat) {
	c.trace.Int(1)
	c.trace.Int(int64(len(beat.Entries)))
	for _, entry := range beat.Entries {
		c.trace.Int(int64(entry.Index))
		c.id(entry.ID)
		c.trace.Uint(uint64(entry.Counter))
		c.trace.Int(int64(entry.Phase))
		c.trace.Int(int64(entry.AgeMillis))
	}
	c.trace.String(string(beat.AliveBits))
}

// standing adds what a node permits, and what changed.
func (c *clusterTrace) standing(d *door, st ShareLease, changes []membership.Transition) {
	c.trace.Int(2)
	c.trace.Int(int64(d.rank))
	c.trace.Duration(c.world.now)
	c.trace.Uint(st.Epoch)
	c.trace.Float(st.Fraction)
	c.trace.Duration(st.Until)
	c.trace.Bool(st.Excluded)
	c.trace.Int(int64(len(st.DeadGateways)))
	for _, index := range st.DeadGateways {
		c.trace.Int(int64(index))
	}
	c.trace.Int(int64(len(changes)))
	for _, change := range changes {
		c.trace.Int(int64(change.Index))
		c.trace.Int(int64(change.From))
		c.trace.Int(int64(change.To))
		c.trace.String(change.Cause)
		c.id(change.ID)
	}
	rival, hasRival := d.node.Duplicate(d.clock())
	c.id(rival)
	c.trace.Bool(hasRival)
	c.trace.Bool(d.node.TakeIncarnationChange())
	c.trace.Bool(d.node.HasLeft())
	c.id(d.node.ID())
	held, of := d.node.Slots(d.clock())
	c.trace.Int(int64(held))
	c.trace.Int(int64(of))
}

// members adds how a node sees all gateways.
func (c *clusterTrace) members(d *door) {
	for _, m := range d.node.Members() {
		c.trace.Int(int64(m.Index))
		c.trace.Int(int64(m.State))
		c.trace.String(m.Cause)
		c.trace.Duration(m.Since)
		c.id(m.ID)
		c.trace.Duration(m.LastHeard)
	}
}

func (c *clusterTrace) id(id membership.ID) {
	c.trace.Uint(uint64(id.Incarnation))
	c.trace.Uint(uint64(id.Nonce))
}

// TestGoldenCluster holds that a cluster behaves as in the program that the hashes were recorded from.
func TestGoldenCluster(t *testing.T) {
	skipRace(t)
	recorded := golden.LoadHashes(t, "testdata/golden/cluster.txt")
	plays := 0
	for _, size := range []struct {
		gateways int
		length   time.Duration
	}{{2, 20 * time.Second}, {3, 20 * time.Second}, {5, 20 * time.Second}, {20, 6 * time.Second}, {80, time.Second}} {
		for seed := range uint64(5) {
			play := clusterPlay{
				seed:      seed + 1,
				gateways:  size.gateways,
				length:    size.length,
				duplicate: seed%2 == 1 && size.gateways < 80,
			}
			name := fmt.Sprintf("%d/%d", play.gateways, play.seed)
			sum := play.hash()
			if again := play.hash(); again != sum {
				t.Errorf("%s: two runs differ", name)
			}
			recorded.Check(t, name, sum)
			plays++
		}
	}
	if recorded.Len() != plays {
		t.Errorf("%d traces are recorded, %d were played", recorded.Len(), plays)
	}
}

// TestInvalidMessagesAreRejected holds that a malformed message is answered by an error and by nothing else.
func TestInvalidMessagesAreRejected(t *testing.T) {
	node := New(Config{Index: 2, Gateways: 8, ID: membership.ID{Incarnation: 1}}, time.Hour, rand.New(rand.NewPCG(1, 1)))
	last := New(Config{Index: 7, Gateways: 8, ID: membership.ID{Incarnation: 1}}, time.Hour, rand.New(rand.NewPCG(1, 1)))
	set := quotalease.NewSlotSet(8)
	cases := []struct {
		name string
		node *Node
		from int
		msg  Message
	}{
		{"nothing in it", node, 1, Message{}},
		{"sender below the list", node, -1, Message{Grant: &quotalease.Grant{Slots: set}}},
		{"sender beyond the list", node, 8, Message{Grant: &quotalease.Grant{Slots: set}}},
		{"heartbeat without entries", node, 1, Message{Heartbeat: &membership.Heartbeat{}}},
		{"claim of a short set", node, 1, Message{Request: &quotalease.Request{Slots: set[1:]}}},
		{"grant of a short set", node, 1, Message{Grant: &quotalease.Grant{Slots: set[1:]}}},
		{"claim to a gateway without a vote", last, 1, Message{Request: &quotalease.Request{Sequence: 1, Slots: set}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if outs, err := c.node.Receive(time.Hour, c.from, c.msg); err == nil || len(outs) > 0 {
				t.Errorf("%d messages, error %v", len(outs), err)
			}
		})
	}
}

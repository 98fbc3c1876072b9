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
	trace   *golden.Trace
	cluster *simulatedCluster
}

// hash plays and returns the hash of all messages, share leases and transitions, in order.
func (p clusterPlay) hash() string {
	rng := rand.New(rand.NewPCG(p.seed, 24))
	c := newSimulatedCluster(p.seed, p.gateways)
	c.maxApplyDelay = time.Duration(1+rng.IntN(300)) * time.Millisecond
	recorder := &clusterTrace{trace: golden.NewTrace(), cluster: c}
	c.onSend = recorder.message
	c.onShareLease = recorder.shareLease
	side := make([]int, p.gateways)
	loss := 0.0
	c.network = func(from, to int) (bool, time.Duration) {
		return side[from] != side[to] || c.rng.Float64() < loss, time.Duration(1+c.rng.IntN(30)) * time.Millisecond
	}
	c.startAll()
	c.run(3*time.Second, 50*time.Millisecond)
	if p.duplicate {
		recorder.runDuplicate()
	}
	for end := c.now + p.length; c.now < end; {
		c.run(time.Duration(rng.IntN(2500))*time.Millisecond, 50*time.Millisecond)
		target := c.gateways[rng.IntN(p.gateways)]
		switch rng.IntN(9) {
		case 0, 1:
			if target.isRunning {
				target.kill()
			} else {
				target.start()
			}
		case 2:
			if target.isActive() {
				target.suspend()
			} else if target.isRunning {
				target.resume()
			}
		case 3: // it has lost its disk
			if target.isActive() {
				target.incarnation = 0
				target.start()
			}
		case 4:
			for i := range side {
				side[i] = rng.IntN(2)
			}
		case 5:
			loss = rng.Float64() * 0.4
		case 6:
			if target.isActive() {
				target.node.Leave()
			}
		case 7:
			if target.isActive() {
				err := target.node.Forget(target.clock(), rng.IntN(p.gateways))
				recorder.trace.Bool(err == nil)
			}
		default:
			clear(side)
			loss = 0
		}
	}
	for _, gateway := range c.gateways {
		recorder.members(gateway)
	}
	return recorder.trace.Sum()
}

// runDuplicate runs a second process of gateway 0's name for some seconds, which hears gateway 1.
func (recorder *clusterTrace) runDuplicate() {
	c := recorder.cluster
	duplicate := &simulatedGateway{cluster: c, index: 0, drift: 1}
	duplicate.startAs(membership.ID{Incarnation: 1, Nonce: ^uint32(0)})
	var relay func()
	relay = func() {
		heartbeat := c.gateways[1].node.detector.Heartbeat(c.gateways[1].clock())
		duplicate.receive(1, Message{Heartbeat: &heartbeat})
		if duplicate.isRunning {
			c.schedule(200*time.Millisecond, relay)
		}
	}
	relay()
	c.run(4*time.Second, 50*time.Millisecond)
	duplicate.kill()
	c.run(3*time.Second, 50*time.Millisecond)
}

// message adds a message that a node sends.
func (recorder *clusterTrace) message(from int, out Outgoing) {
	recorder.trace.Int(1)
	recorder.trace.Int(int64(from))
	recorder.trace.Duration(recorder.cluster.now)
	recorder.trace.Int(int64(out.To))
	recorder.trace.Bool(out.ReplyToSender)
	switch {
	case out.Message.Heartbeat != nil:
		recorder.heartbeat(out.Message.Heartbeat)
	case out.Message.Request != nil:
		recorder.trace.Int(2)
		recorder.id(out.Message.Request.ID)
		recorder.trace.Uint(uint64(out.Message.Request.Sequence))
		recorder.trace.String(string(out.Message.Request.Slots))
	case out.Message.Grant != nil:
		recorder.trace.Int(3)
		recorder.id(out.Message.Grant.ID)
		recorder.trace.Uint(uint64(out.Message.Grant.Sequence))
		recorder.trace.String(string(out.Message.Grant.Slots))
	}
}

func (recorder *clusterTrace) heartbeat(heartbeat *membership.Heartbeat) {
	recorder.trace.Int(1)
	recorder.trace.Int(int64(len(heartbeat.Entries)))
	for _, entry := range heartbeat.Entries {
		recorder.trace.Int(int64(entry.Index))
		recorder.id(entry.ID)
		recorder.trace.Uint(uint64(entry.Counter))
		recorder.trace.Int(int64(entry.Phase))
		recorder.trace.Int(int64(entry.AgeMillis))
	}
	recorder.trace.String(string(heartbeat.AliveBits))
}

// shareLease adds what a node permits, and what changed.
func (recorder *clusterTrace) shareLease(
	gateway *simulatedGateway, lease ShareLease, transitions []membership.Transition,
) {
	recorder.trace.Int(2)
	recorder.trace.Int(int64(gateway.index))
	recorder.trace.Duration(recorder.cluster.now)
	recorder.trace.Uint(lease.Epoch)
	recorder.trace.Float(lease.Fraction)
	recorder.trace.Duration(lease.Until)
	recorder.trace.Bool(lease.Excluded)
	recorder.trace.Int(int64(len(lease.DeadGateways)))
	for _, index := range lease.DeadGateways {
		recorder.trace.Int(int64(index))
	}
	recorder.trace.Int(int64(len(transitions)))
	for _, transition := range transitions {
		recorder.trace.Int(int64(transition.Index))
		recorder.trace.Int(int64(transition.From))
		recorder.trace.Int(int64(transition.To))
		recorder.trace.String(transition.Cause)
		recorder.id(transition.ID)
	}
	duplicate, hasDuplicate := gateway.node.Duplicate(gateway.clock())
	recorder.id(duplicate)
	recorder.trace.Bool(hasDuplicate)
	recorder.trace.Bool(gateway.node.TakeIncarnationChange())
	recorder.trace.Bool(gateway.node.HasLeft())
	recorder.id(gateway.node.ID())
	held, of := gateway.node.Slots(gateway.clock())
	recorder.trace.Int(int64(held))
	recorder.trace.Int(int64(of))
}

// members adds how a node sees all gateways.
func (recorder *clusterTrace) members(gateway *simulatedGateway) {
	for _, m := range gateway.node.Members() {
		recorder.trace.Int(int64(m.Index))
		recorder.trace.Int(int64(m.State))
		recorder.trace.String(m.Cause)
		recorder.trace.Duration(m.Since)
		recorder.id(m.ID)
		recorder.trace.Duration(m.LastHeard)
	}
}

func (recorder *clusterTrace) id(id membership.ID) {
	recorder.trace.Uint(uint64(id.Incarnation))
	recorder.trace.Uint(uint64(id.Nonce))
}

// TestGoldenCluster holds that a cluster behaves as in the program that the hashes were recorded from.
func TestGoldenCluster(t *testing.T) {
	skipUnderRaceDetector(t)
	recorded := golden.LoadHashes(t, "testdata/golden/cluster.txt")
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
			recorded.CheckPlay(t, name, play.hash)
		}
	}
	recorded.CheckAllPlayed(t)
}

// TestInvalidMessagesAreRejected holds that a malformed message is answered by an error and by nothing else.
func TestInvalidMessagesAreRejected(t *testing.T) {
	id := membership.ID{Incarnation: 1}
	node := New(Config{Index: 2, Gateways: 8, ID: id}, time.Hour, rand.New(rand.NewPCG(1, 1)))
	last := New(Config{Index: 7, Gateways: 8, ID: id}, time.Hour, rand.New(rand.NewPCG(1, 1)))
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

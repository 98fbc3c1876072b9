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

// clusterScenario describes a deterministic run of a cluster with random faults.
type clusterScenario struct {
	seed     uint64
	gateways int
	length   time.Duration
	// duplicate adds a temporary second process with the name of gateway 0.
	duplicate bool
}

// clusterRecorder records everything that the nodes of a cluster return in a trace.
type clusterRecorder struct {
	trace   *golden.Trace
	cluster *simulatedCluster
}

// hash runs the scenario and returns the hash of all messages, share leases and transitions, in order.
func (s clusterScenario) hash() string {
	rng := rand.New(rand.NewPCG(s.seed, 24))
	c := newSimulatedCluster(s.seed, s.gateways)
	c.maxApplyDelay = time.Duration(1+rng.IntN(300)) * time.Millisecond
	recorder := &clusterRecorder{trace: golden.NewTrace(), cluster: c}
	c.onSend = recorder.recordMessage
	c.onShareLease = recorder.recordShareLease
	side := make([]int, s.gateways)
	loss := 0.0
	c.network = func(from, to int) (bool, time.Duration) {
		return side[from] != side[to] || c.rng.Float64() < loss, time.Duration(1+c.rng.IntN(30)) * time.Millisecond
	}
	c.startAll()
	c.run(3*time.Second, 50*time.Millisecond)
	if s.duplicate {
		recorder.runDuplicate()
	}
	for end := c.now + s.length; c.now < end; {
		c.run(time.Duration(rng.IntN(2500))*time.Millisecond, 50*time.Millisecond)
		target := c.gateways[rng.IntN(s.gateways)]
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
		case 3: // restart with an empty disk
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
				err := target.node.Forget(target.clock(), rng.IntN(s.gateways))
				recorder.trace.Bool(err == nil)
			}
		default:
			clear(side)
			loss = 0
		}
	}
	for _, gateway := range c.gateways {
		recorder.recordMembers(gateway)
	}
	return recorder.trace.Sum()
}

// runDuplicate runs a second process with the name of gateway 0 for 4 s. It receives the heartbeats of gateway 1 only.
func (recorder *clusterRecorder) runDuplicate() {
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

// recordMessage records a message that a node sends.
func (recorder *clusterRecorder) recordMessage(from int, out Outgoing) {
	recorder.trace.Int(1)
	recorder.trace.Int(int64(from))
	recorder.trace.Duration(recorder.cluster.now)
	recorder.trace.Int(int64(out.To))
	recorder.trace.Bool(out.ReplyToSender)
	switch {
	case out.Message.Heartbeat != nil:
		recorder.recordHeartbeat(out.Message.Heartbeat)
	case out.Message.Request != nil:
		recorder.trace.Int(2)
		recorder.recordID(out.Message.Request.ID)
		recorder.trace.Uint(uint64(out.Message.Request.Sequence))
		recorder.trace.String(string(out.Message.Request.Slots))
	case out.Message.Grant != nil:
		recorder.trace.Int(3)
		recorder.recordID(out.Message.Grant.ID)
		recorder.trace.Uint(uint64(out.Message.Grant.Sequence))
		recorder.trace.String(string(out.Message.Grant.Slots))
	}
}

func (recorder *clusterRecorder) recordHeartbeat(heartbeat *membership.Heartbeat) {
	recorder.trace.Int(1)
	recorder.trace.Int(int64(len(heartbeat.Entries)))
	for _, entry := range heartbeat.Entries {
		recorder.trace.Int(int64(entry.Index))
		recorder.recordID(entry.ID)
		recorder.trace.Uint(uint64(entry.Counter))
		recorder.trace.Int(int64(entry.Phase))
		recorder.trace.Int(int64(entry.AgeMillis))
	}
	recorder.trace.String(string(heartbeat.AliveBits))
}

// recordShareLease records a node's share lease, its transitions and the rest of its state.
func (recorder *clusterRecorder) recordShareLease(
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
		recorder.recordID(transition.ID)
	}
	duplicate, hasDuplicate := gateway.node.Duplicate(gateway.clock())
	recorder.recordID(duplicate)
	recorder.trace.Bool(hasDuplicate)
	recorder.trace.Bool(gateway.node.TakeIncarnationChange())
	recorder.trace.Bool(gateway.node.HasLeft())
	recorder.recordID(gateway.node.ID())
	held, total := gateway.node.Slots(gateway.clock())
	recorder.trace.Int(int64(held))
	recorder.trace.Int(int64(total))
}

// recordMembers records a node's view of all gateways.
func (recorder *clusterRecorder) recordMembers(gateway *simulatedGateway) {
	for _, m := range gateway.node.Members() {
		recorder.trace.Int(int64(m.Index))
		recorder.trace.Int(int64(m.State))
		recorder.trace.String(m.Cause)
		recorder.trace.Duration(m.Since)
		recorder.recordID(m.ID)
		recorder.trace.Duration(m.LastHeard)
	}
}

func (recorder *clusterRecorder) recordID(id membership.ID) {
	recorder.trace.Uint(uint64(id.Incarnation))
	recorder.trace.Uint(uint64(id.Nonce))
}

// TestGoldenCluster verifies that a cluster produces the same traces as the version that the hashes were recorded from.
func TestGoldenCluster(t *testing.T) {
	skipUnderRaceDetector(t)
	recorded := golden.LoadHashes(t, "testdata/golden/cluster.txt")
	for _, size := range []struct {
		gateways int
		length   time.Duration
	}{{2, 20 * time.Second}, {3, 20 * time.Second}, {5, 20 * time.Second}, {20, 6 * time.Second}, {80, time.Second}} {
		for seed := range uint64(5) {
			scenario := clusterScenario{
				seed:      seed + 1,
				gateways:  size.gateways,
				length:    size.length,
				duplicate: seed%2 == 1 && size.gateways < 80,
			}
			name := fmt.Sprintf("%d/%d", scenario.gateways, scenario.seed)
			recorded.CheckRun(t, name, scenario.hash)
		}
	}
	recorded.CheckAllRun(t)
}

// TestInvalidMessagesAreRejected verifies that Receive returns an error and no messages for an invalid message.
func TestInvalidMessagesAreRejected(t *testing.T) {
	id := membership.ID{Incarnation: 1}
	node := New(Config{Index: 2, Gateways: 8, ID: id}, time.Hour, rand.New(rand.NewPCG(1, 1)))
	nonVoter := New(Config{Index: 7, Gateways: 8, ID: id}, time.Hour, rand.New(rand.NewPCG(1, 1)))
	set := quotalease.NewSlotSet(8)
	cases := []struct {
		name string
		node *Node
		from int
		msg  Message
	}{
		{"empty message", node, 1, Message{}},
		{"negative sender index", node, -1, Message{Grant: &quotalease.Grant{Slots: set}}},
		{"sender index beyond the list", node, 8, Message{Grant: &quotalease.Grant{Slots: set}}},
		{"heartbeat without entries", node, 1, Message{Heartbeat: &membership.Heartbeat{}}},
		{"request with a short slot set", node, 1, Message{Request: &quotalease.Request{Slots: set[1:]}}},
		{"grant with a short slot set", node, 1, Message{Grant: &quotalease.Grant{Slots: set[1:]}}},
		{"request to a non-voter", nonVoter, 1, Message{Request: &quotalease.Request{Sequence: 1, Slots: set}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if outs, err := c.node.Receive(time.Hour, c.from, c.msg); err == nil || len(outs) > 0 {
				t.Errorf("%d messages, error %v", len(outs), err)
			}
		})
	}
}

package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
)

// gossipScenario describes a deterministic run of a cluster's failure detectors with random faults.
type gossipScenario struct {
	seed     uint64
	gateways int
	length   time.Duration
	// faults is the probability of a fault in each round.
	faults float64
	// loss is the probability that a message is lost.
	loss float64
}

// roundInterval is the time between two rounds of a scenario.
const roundInterval = 50 * time.Millisecond

// gossipProcess is one process of a gateway. Two processes may share an index.
type gossipProcess struct {
	index       int
	incarnation uint32
	detector    *membership.Detector
	offset      time.Duration
	startedAt   time.Duration
	pausedUntil time.Duration
	isDown      bool
}

// gossipMessage is a heartbeat in flight.
type gossipMessage struct {
	at       time.Duration
	from     *gossipProcess
	to       *gossipProcess
	contents membership.Heartbeat
}

// gossipSimulation is the state of a running scenario.
type gossipSimulation struct {
	gossipScenario
	rng       *rand.Rand
	now       time.Duration
	trace     *golden.Trace
	processes []*gossipProcess
	messages  []gossipMessage
}

// hash runs the scenario and returns the hash of everything that the detectors returned, in order.
func (s gossipScenario) hash() string {
	r := &gossipSimulation{
		gossipScenario: s,
		rng:            rand.New(rand.NewPCG(s.seed, 21)),
		now:            time.Hour,
		trace:          golden.NewTrace(),
	}
	for i := range s.gateways {
		process := &gossipProcess{index: i, offset: time.Duration(r.rng.IntN(1000)) * time.Second}
		r.processes = append(r.processes, process)
		r.start(process)
	}
	for end := r.now + s.length; r.now < end; r.now += roundInterval {
		if r.rng.Float64() < s.faults {
			r.injectFault()
		}
		r.deliver()
		for _, process := range r.processes {
			r.tick(process)
		}
	}
	for _, process := range r.processes {
		r.recordMembers(process)
	}
	return r.trace.Sum()
}

func (p *gossipProcess) clock(now time.Duration) time.Duration { return now + p.offset }

// start starts a process, or restarts it, with the next incarnation.
func (r *gossipSimulation) start(process *gossipProcess) {
	process.incarnation++
	process.isDown = false
	process.startedAt = r.now
	id := membership.ID{Incarnation: process.incarnation, Nonce: r.rng.Uint32()}
	config := membership.Config{Index: process.index, Gateways: r.gateways, Hubs: min(7, r.gateways), ID: id}
	seed := rand.NewPCG(r.seed, uint64(r.now)+uint64(process.index))
	process.detector = membership.New(config, process.clock(r.now), rand.New(seed))
}

// injectFault applies one random fault to one process.
func (r *gossipSimulation) injectFault() {
	process := r.processes[r.rng.IntN(len(r.processes))]
	switch r.rng.IntN(8) {
	case 0, 1:
		if process.isDown {
			r.start(process)
		} else {
			process.isDown = true
		}
	case 2:
		process.pausedUntil = r.now + time.Duration(r.rng.IntN(3000))*time.Millisecond
	case 3: // restart with an empty disk
		process.incarnation = 0
		r.start(process)
	case 4:
		process.detector.Leave(process.clock(r.now))
	case 5:
		err := process.detector.Forget(process.clock(r.now), r.rng.IntN(r.gateways))
		r.trace.Bool(err == nil)
	case 6: // start a second process with the same index
		if len(r.processes) < r.gateways+3 {
			second := &gossipProcess{index: process.index, incarnation: process.incarnation, offset: process.offset}
			r.processes = append(r.processes, second)
			r.start(second)
		}
	default:
		r.start(process)
	}
}

// deliver delivers the messages that are due.
func (r *gossipSimulation) deliver() {
	due := r.messages
	r.messages = nil
	for _, message := range due {
		to := message.to
		switch {
		case message.at > r.now || r.now < to.pausedUntil && !to.isDown:
			r.messages = append(r.messages, message)
			continue
		case to.isDown:
			continue
		}
		if err := to.detector.Validate(message.from.index, &message.contents); err != nil {
			r.trace.Int(-1)
			continue
		}
		outs := to.detector.Receive(to.clock(r.now), message.from.index, message.contents)
		r.record(to, outs)
		r.send(to, outs, message.from)
	}
}

// tick runs the timers of a process.
func (r *gossipSimulation) tick(process *gossipProcess) {
	if process.isDown || r.now < process.pausedUntil {
		return
	}
	now := process.clock(r.now)
	if r.now-process.startedAt >= time.Second {
		process.detector.StartServing(now)
	}
	outs := process.detector.Tick(now)
	r.record(process, outs)
	r.send(process, outs, nil)
	if r.rng.IntN(100) == 0 {
		r.recordMembers(process)
	}
}

// send sends heartbeats to the first process of each index, and also to the sender where a reply asks for it.
func (r *gossipSimulation) send(from *gossipProcess, outs []membership.Outgoing, sender *gossipProcess) {
	for _, out := range outs {
		receivers := []*gossipProcess{r.processes[out.To]}
		if out.ReplyToSender && sender != receivers[0] {
			receivers = append(receivers, sender)
		}
		for _, to := range receivers {
			if r.rng.Float64() >= r.loss {
				arrival := r.now + time.Duration(r.rng.IntN(120))*time.Millisecond
				r.messages = append(r.messages, gossipMessage{arrival, from, to, out.Heartbeat})
			}
		}
	}
}

// record adds to the trace what a detector returned and what changed in it.
func (r *gossipSimulation) record(process *gossipProcess, outs []membership.Outgoing) {
	r.trace.Int(int64(process.index))
	r.trace.Duration(r.now)
	r.trace.Int(int64(len(outs)))
	for _, out := range outs {
		r.trace.Int(int64(out.To))
		r.trace.Bool(out.ReplyToSender)
		r.trace.Int(int64(len(out.Heartbeat.Entries)))
		for _, entry := range out.Heartbeat.Entries {
			r.trace.Int(int64(entry.Index))
			r.recordID(entry.ID)
			r.trace.Uint(uint64(entry.Counter))
			r.trace.Int(int64(entry.Phase))
			r.trace.Int(int64(entry.AgeMillis))
		}
		r.trace.String(string(out.Heartbeat.AliveBits))
	}
	changes := process.detector.TakeTransitions()
	r.trace.Int(int64(len(changes)))
	for _, change := range changes {
		r.trace.Int(int64(change.Index))
		r.trace.Int(int64(change.From))
		r.trace.Int(int64(change.To))
		r.trace.String(change.Cause)
		r.recordID(change.ID)
	}
	duplicate, hasDuplicate := process.detector.Duplicate(process.clock(r.now))
	r.recordID(duplicate)
	r.trace.Bool(hasDuplicate)
	r.trace.Bool(process.detector.TakeIncarnationChange())
	r.trace.Bool(process.detector.HasLeft())
	r.recordID(process.detector.ID())
}

// recordMembers adds to the trace a process's view of all gateways.
func (r *gossipSimulation) recordMembers(process *gossipProcess) {
	for _, member := range process.detector.Members() {
		r.trace.Int(int64(member.Index))
		r.trace.Int(int64(member.State))
		r.trace.Bool(member.State.IsPresent())
		r.trace.String(member.State.String())
		r.trace.String(member.Cause)
		r.trace.Duration(member.Since)
		r.recordID(member.ID)
		r.trace.Duration(member.LastHeard)
		r.trace.Bool(process.detector.State(member.Index) == member.State)
	}
}

func (r *gossipSimulation) recordID(id membership.ID) {
	r.trace.Uint(uint64(id.Incarnation))
	r.trace.Uint(uint64(id.Nonce))
}

// TestGoldenGossip verifies that the failure detector produces the same traces as the version that the hashes were
// recorded from.
func TestGoldenGossip(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/gossip.txt")
	for _, size := range []struct {
		gateways int
		length   time.Duration
	}{{1, 5 * time.Second}, {3, time.Minute}, {5, time.Minute}, {20, 10 * time.Second}, {80, 4 * time.Second}} {
		for seed := range uint64(6) {
			scenario := gossipScenario{
				seed:     seed + 1,
				gateways: size.gateways,
				length:   size.length,
				faults:   0.02 * float64(seed),
				loss:     0.1 * float64(seed%4),
			}
			name := fmt.Sprintf("%d/%d", scenario.gateways, scenario.seed)
			recorded.CheckRun(t, name, scenario.hash)
		}
	}
	recorded.CheckAllRun(t)
}

package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
)

// gossipPlay is one deterministic run of the failure detectors of a cluster with random faults.
type gossipPlay struct {
	seed     uint64
	gateways int
	length   time.Duration
	// faults is the probability of a fault in each round of goldenRound.
	faults float64
	// loss is the probability that a message gets lost.
	loss float64
}

// goldenRound is the time between two rounds of a play.
const goldenRound = 50 * time.Millisecond

// gossipProcess is one process of a gateway; two may have one index.
type gossipProcess struct {
	index       int
	incarnation uint32
	table       *membership.Detector
	offset      time.Duration
	startedAt   time.Duration
	pausedUntil time.Duration
	isDown      bool
}

// gossipMessage is a heartbeat on its way.
type gossipMessage struct {
	at       time.Duration
	from     *gossipProcess
	to       *gossipProcess
	contents membership.Heartbeat
}

// gossipRun is a play while it goes on.
type gossipRun struct {
	gossipPlay
	rng       *rand.Rand
	now       time.Duration
	trace     *golden.Trace
	processes []*gossipProcess
	messages  []gossipMessage
}

// hash plays and returns the hash of all that the tables returned, in order.
func (p gossipPlay) hash() string {
	r := &gossipRun{
		gossipPlay: p,
		rng:        rand.New(rand.NewPCG(p.seed, 21)),
		now:        time.Hour,
		trace:      golden.NewTrace(),
	}
	for i := range p.gateways {
		process := &gossipProcess{index: i, offset: time.Duration(r.rng.IntN(1000)) * time.Second}
		r.processes = append(r.processes, process)
		r.start(process)
	}
	for end := r.now + p.length; r.now < end; r.now += goldenRound {
		if r.rng.Float64() < p.faults {
			r.fault()
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

func (process *gossipProcess) clock(now time.Duration) time.Duration { return now + process.offset }

// start starts a process anew, with one higher incarnation.
func (r *gossipRun) start(process *gossipProcess) {
	process.incarnation++
	process.isDown = false
	process.startedAt = r.now
	id := membership.ID{Incarnation: process.incarnation, Nonce: r.rng.Uint32()}
	config := membership.Config{Index: process.index, Gateways: r.gateways, Hubs: min(7, r.gateways), ID: id}
	seed := rand.NewPCG(r.seed, uint64(r.now)+uint64(process.index))
	process.table = membership.New(config, process.clock(r.now), rand.New(seed))
}

// fault does one random thing to one process.
func (r *gossipRun) fault() {
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
	case 3: // it has lost its disk
		process.incarnation = 0
		r.start(process)
	case 4:
		process.table.Leave(process.clock(r.now))
	case 5:
		err := process.table.Forget(process.clock(r.now), r.rng.IntN(r.gateways))
		r.trace.Bool(err == nil)
	case 6: // a second process has its index
		if len(r.processes) < r.gateways+3 {
			second := &gossipProcess{index: process.index, incarnation: process.incarnation, offset: process.offset}
			r.processes = append(r.processes, second)
			r.start(second)
		}
	default:
		r.start(process)
	}
}

// deliver hands over the messages that have arrived.
func (r *gossipRun) deliver() {
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
		if err := to.table.Validate(message.from.index, &message.contents); err != nil {
			r.trace.Int(-1)
			continue
		}
		outs := to.table.Receive(to.clock(r.now), message.from.index, message.contents)
		r.record(to, outs)
		r.send(to, outs, message.from)
	}
}

// tick lets a process do what is due.
func (r *gossipRun) tick(process *gossipProcess) {
	if process.isDown || r.now < process.pausedUntil {
		return
	}
	now := process.clock(r.now)
	if r.now-process.startedAt >= time.Second {
		process.table.StartServing(now)
	}
	outs := process.table.Tick(now)
	r.record(process, outs)
	r.send(process, outs, nil)
	if r.rng.IntN(100) == 0 {
		r.recordMembers(process)
	}
}

// send sends to the first process of an index, and back to a process where that is wanted.
func (r *gossipRun) send(from *gossipProcess, outs []membership.Outgoing, sender *gossipProcess) {
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

// record adds to the trace what a table returned and what changed in it.
func (r *gossipRun) record(process *gossipProcess, outs []membership.Outgoing) {
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
	changes := process.table.TakeTransitions()
	r.trace.Int(int64(len(changes)))
	for _, change := range changes {
		r.trace.Int(int64(change.Index))
		r.trace.Int(int64(change.From))
		r.trace.Int(int64(change.To))
		r.trace.String(change.Cause)
		r.recordID(change.ID)
	}
	duplicate, hasDuplicate := process.table.Duplicate(process.clock(r.now))
	r.recordID(duplicate)
	r.trace.Bool(hasDuplicate)
	r.trace.Bool(process.table.TakeIncarnationChange())
	r.trace.Bool(process.table.HasLeft())
	r.recordID(process.table.ID())
}

// recordMembers adds to the trace how a process sees all gateways.
func (r *gossipRun) recordMembers(process *gossipProcess) {
	for _, member := range process.table.Members() {
		r.trace.Int(int64(member.Index))
		r.trace.Int(int64(member.State))
		r.trace.Bool(member.State.IsPresent())
		r.trace.String(member.State.String())
		r.trace.String(member.Cause)
		r.trace.Duration(member.Since)
		r.recordID(member.ID)
		r.trace.Duration(member.LastHeard)
		r.trace.Bool(process.table.State(member.Index) == member.State)
	}
}

func (r *gossipRun) recordID(id membership.ID) {
	r.trace.Uint(uint64(id.Incarnation))
	r.trace.Uint(uint64(id.Nonce))
}

// TestGoldenGossip holds that the failure detector behaves as in the program that the hashes were recorded from.
func TestGoldenGossip(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/gossip.txt")
	for _, size := range []struct {
		gateways int
		length   time.Duration
	}{{1, 5 * time.Second}, {3, time.Minute}, {5, time.Minute}, {20, 10 * time.Second}, {80, 4 * time.Second}} {
		for seed := range uint64(6) {
			play := gossipPlay{
				seed:     seed + 1,
				gateways: size.gateways,
				length:   size.length,
				faults:   0.02 * float64(seed),
				loss:     0.1 * float64(seed%4),
			}
			name := fmt.Sprintf("%d/%d", play.gateways, play.seed)
			recorded.CheckPlay(t, name, play.hash)
		}
	}
	recorded.CheckAllPlayed(t)
}

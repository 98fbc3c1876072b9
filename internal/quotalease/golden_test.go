package quotalease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// leasePlay is one deterministic run of the lease holders and voters of a cluster with random faults.
type leasePlay struct {
	seed     uint64
	gateways int
	rounds   int
	// loss is the probability that a message gets lost.
	loss float64
}

// leaseProcess is one gateway that holds leases.
type leaseProcess struct {
	index       int
	incarnation uint32
	holder      *quotalease.Holder
}

// leaseMessage is a claim or a grant on its way.
type leaseMessage struct {
	at    time.Duration
	from  int
	to    int
	claim *quotalease.Request
	grant *quotalease.Grant
}

// leaseRun is a play while it goes on.
type leaseRun struct {
	leasePlay
	rng       *rand.Rand
	now       time.Duration
	trace     *golden.Trace
	processes []*leaseProcess
	voters    []*quotalease.Voter
	isDown    []bool
	messages  []leaseMessage
}

// hash plays and returns the hash of all claims, grants and leases, in order.
func (p leasePlay) hash() string {
	r := &leaseRun{
		leasePlay: p,
		rng:       rand.New(rand.NewPCG(p.seed, 22)),
		now:       time.Hour,
		trace:     golden.NewTrace(),
		isDown:    make([]bool, p.gateways),
	}
	for i := range p.gateways {
		id := membership.ID{Incarnation: 1, Nonce: r.rng.Uint32()}
		holder := quotalease.NewHolder(p.gateways, id)
		r.processes = append(r.processes, &leaseProcess{index: i, incarnation: 1, holder: holder})
	}
	for range quotalease.VoterCount(p.gateways) {
		r.voters = append(r.voters, quotalease.NewVoter(p.gateways, r.now))
	}
	r.trace.Int(int64(quotalease.SlotsPerGateway(p.gateways)))
	r.trace.Int(int64(len(r.voters)))
	for range p.rounds {
		r.now += time.Duration(20+r.rng.IntN(100)) * time.Millisecond
		r.fault()
		r.deliver()
		for _, process := range r.processes {
			r.step(process)
		}
	}
	return r.trace.Sum()
}

// fault changes at random what gateways believe of each other, and restarts some.
func (r *leaseRun) fault() {
	index := r.rng.IntN(r.gateways)
	switch r.rng.IntN(60) {
	case 0, 1, 2:
		r.isDown[index] = !r.isDown[index]
	case 3:
		if index < len(r.voters) {
			r.voters[index] = quotalease.NewVoter(r.gateways, r.now)
		}
	case 4:
		process := r.processes[index]
		process.incarnation++
		process.holder.ChangeID(membership.ID{Incarnation: process.incarnation, Nonce: r.rng.Uint32()})
	case 5:
		r.processes[index].holder.ReleaseAll()
	case 6:
		process := r.processes[index]
		process.incarnation++
		id := membership.ID{Incarnation: process.incarnation, Nonce: r.rng.Uint32()}
		process.holder = quotalease.NewHolder(r.gateways, id)
	case 7:
		r.now += time.Duration(r.rng.IntN(3000)) * time.Millisecond
	}
}

// step lets a gateway claim what it wants and records what it holds.
func (r *leaseRun) step(process *leaseProcess) {
	isGone := func(i int) bool { return r.isDown[i] }
	isThere := func(i int) bool { return !r.isDown[i] }
	want := quotalease.WantedSlots(r.gateways, process.index, isGone, isThere)
	r.recordSet(want)
	if process.holder.Release(r.now, want) {
		r.trace.Int(1)
		if r.rng.IntN(3) > 0 {
			want = process.holder.Requested()
		}
	}
	if claim, ok := process.holder.NextRequest(r.now, want); ok {
		r.trace.Int(2)
		r.trace.Uint(uint64(claim.ID.Incarnation))
		r.trace.Uint(uint64(claim.ID.Nonce))
		r.trace.Uint(uint64(claim.Sequence))
		r.recordSet(claim.Slots)
		for voter := range r.voters {
			r.send(leaseMessage{from: process.index, to: voter, claim: &claim})
		}
	}
	held, until := process.holder.Held(r.now)
	part, partUntil := process.holder.Fraction(r.now)
	r.trace.Int(int64(held))
	r.trace.Duration(until)
	r.trace.Float(part)
	r.trace.Duration(partUntil)
	for i := range r.gateways * quotalease.SlotsPerGateway(r.gateways) {
		r.trace.Bool(process.holder.IsHeld(i, r.now))
	}
	r.recordSet(process.holder.Requested())
}

// send puts a message on its way, once, twice or not at all.
func (r *leaseRun) send(message leaseMessage) {
	copies := 1
	if r.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if r.rng.Float64() >= r.loss {
			late := message
			late.at = r.now + time.Duration(r.rng.IntN(150))*time.Millisecond
			r.messages = append(r.messages, late)
		}
	}
}

// deliver hands over the messages that have arrived.
func (r *leaseRun) deliver() {
	due := r.messages
	r.messages = nil
	for _, message := range due {
		if message.at > r.now {
			r.messages = append(r.messages, message)
			continue
		}
		if message.grant != nil {
			r.trace.Bool(quotalease.ValidateSlots(r.gateways, message.grant.Slots) == nil)
			r.processes[message.to].holder.HandleGrant(message.from, *message.grant)
			continue
		}
		r.trace.Bool(quotalease.ValidateSlots(r.gateways, message.claim.Slots) == nil)
		grant, ok := r.voters[message.to].HandleRequest(r.now, message.from, *message.claim)
		r.trace.Bool(ok)
		if !ok {
			continue
		}
		r.trace.Uint(uint64(grant.ID.Incarnation))
		r.trace.Uint(uint64(grant.ID.Nonce))
		r.trace.Uint(uint64(grant.Sequence))
		r.recordSet(grant.Slots)
		r.send(leaseMessage{from: message.to, to: message.from, grant: &grant})
	}
}

func (r *leaseRun) recordSet(set quotalease.SlotSet) { r.trace.String(string(set)) }

// TestGoldenLeases holds that leases are granted as in the program that the hashes were recorded from.
func TestGoldenLeases(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/leases.txt")
	sizes := []struct{ gateways, rounds int }{
		{1, 200}, {2, 600}, {3, 1000}, {4, 600}, {5, 600}, {20, 150}, {40, 60},
	}
	for _, size := range sizes {
		for seed := range uint64(6) {
			play := leasePlay{
				seed:     seed + 1,
				gateways: size.gateways,
				rounds:   size.rounds,
				loss:     0.1 * float64(seed%4),
			}
			name := fmt.Sprintf("%d/%d", play.gateways, play.seed)
			recorded.CheckPlay(t, name, play.hash)
		}
	}
	recorded.CheckAllPlayed(t)
}

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

// leaseScenario describes a deterministic run of a cluster's lease holders and voters with random faults.
type leaseScenario struct {
	seed     uint64
	gateways int
	rounds   int
	// loss is the probability that a message is lost.
	loss float64
}

// leaseProcess is one gateway with its lease holder.
type leaseProcess struct {
	index       int
	incarnation uint32
	holder      *quotalease.Holder
}

// leaseMessage is a request or a grant in flight.
type leaseMessage struct {
	at      time.Duration
	from    int
	to      int
	request *quotalease.Request
	grant   *quotalease.Grant
}

// leaseSimulation is the state of a running scenario.
type leaseSimulation struct {
	leaseScenario
	rng       *rand.Rand
	now       time.Duration
	trace     *golden.Trace
	processes []*leaseProcess
	voters    []*quotalease.Voter
	isDown    []bool
	messages  []leaseMessage
}

// hash runs the scenario and returns the hash of all requests, grants and leases, in order.
func (s leaseScenario) hash() string {
	r := &leaseSimulation{
		leaseScenario: s,
		rng:           rand.New(rand.NewPCG(s.seed, 22)),
		now:           time.Hour,
		trace:         golden.NewTrace(),
		isDown:        make([]bool, s.gateways),
	}
	for i := range s.gateways {
		id := membership.ID{Incarnation: 1, Nonce: r.rng.Uint32()}
		holder := quotalease.NewHolder(s.gateways, id)
		r.processes = append(r.processes, &leaseProcess{index: i, incarnation: 1, holder: holder})
	}
	for range quotalease.VoterCount(s.gateways) {
		r.voters = append(r.voters, quotalease.NewVoter(s.gateways, r.now))
	}
	r.trace.Int(int64(quotalease.SlotsPerGateway(s.gateways)))
	r.trace.Int(int64(len(r.voters)))
	for range s.rounds {
		r.now += time.Duration(20+r.rng.IntN(100)) * time.Millisecond
		r.injectFault()
		r.deliver()
		for _, process := range r.processes {
			r.step(process)
		}
	}
	return r.trace.Sum()
}

// injectFault applies at most one random fault: it changes which gateways are considered down, restarts a voter or a
// holder, changes a process ID, releases all slots of a holder, or lets time pass.
func (r *leaseSimulation) injectFault() {
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

// step sends a gateway's request for the slots that it wants and records the slots that it holds.
func (r *leaseSimulation) step(process *leaseProcess) {
	isDead := func(i int) bool { return r.isDown[i] }
	isActive := func(i int) bool { return !r.isDown[i] }
	wanted := quotalease.WantedSlots(r.gateways, process.index, isDead, isActive)
	r.recordSet(wanted)
	if process.holder.Release(r.now, wanted) {
		r.trace.Int(1)
		if r.rng.IntN(3) > 0 {
			wanted = process.holder.Requested()
		}
	}
	if request, ok := process.holder.NextRequest(r.now, wanted); ok {
		r.trace.Int(2)
		r.trace.Uint(uint64(request.ID.Incarnation))
		r.trace.Uint(uint64(request.ID.Nonce))
		r.trace.Uint(uint64(request.Sequence))
		r.recordSet(request.Slots)
		for voter := range r.voters {
			r.send(leaseMessage{from: process.index, to: voter, request: &request})
		}
	}
	held, until := process.holder.Held(r.now)
	fraction, fractionUntil := process.holder.Fraction(r.now)
	r.trace.Int(int64(held))
	r.trace.Duration(until)
	r.trace.Float(fraction)
	r.trace.Duration(fractionUntil)
	for i := range r.gateways * quotalease.SlotsPerGateway(r.gateways) {
		r.trace.Bool(process.holder.IsHeld(i, r.now))
	}
	r.recordSet(process.holder.Requested())
}

// send sends a message, which may be lost, or duplicated with a probability of 1/20.
func (r *leaseSimulation) send(message leaseMessage) {
	copies := 1
	if r.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if r.rng.Float64() >= r.loss {
			delayed := message
			delayed.at = r.now + time.Duration(r.rng.IntN(150))*time.Millisecond
			r.messages = append(r.messages, delayed)
		}
	}
}

// deliver delivers the messages that are due.
func (r *leaseSimulation) deliver() {
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
		r.trace.Bool(quotalease.ValidateSlots(r.gateways, message.request.Slots) == nil)
		grant, ok := r.voters[message.to].HandleRequest(r.now, message.from, *message.request)
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

func (r *leaseSimulation) recordSet(set quotalease.SlotSet) { r.trace.String(string(set)) }

// TestGoldenLeases verifies that lease holders and voters produce the same traces as the version that the hashes were
// recorded from.
func TestGoldenLeases(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/leases.txt")
	sizes := []struct{ gateways, rounds int }{
		{1, 200}, {2, 600}, {3, 1000}, {4, 600}, {5, 600}, {20, 150}, {40, 60},
	}
	for _, size := range sizes {
		for seed := range uint64(6) {
			scenario := leaseScenario{
				seed:     seed + 1,
				gateways: size.gateways,
				rounds:   size.rounds,
				loss:     0.1 * float64(seed%4),
			}
			name := fmt.Sprintf("%d/%d", scenario.gateways, scenario.seed)
			recorded.CheckRun(t, name, scenario.hash)
		}
	}
	recorded.CheckAllRun(t)
}

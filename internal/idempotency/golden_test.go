package idempotency

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gapgap/internal/golden"
)

// goldenRetention is how long the voters of a play retain a key.
const goldenRetention = 10 * time.Second

// goldenPlay is one deterministic run of coordinators and voters whose messages are lost, repeated and late.
type goldenPlay struct {
	name string
	seed uint64
	// voterCount and coordinatorCount are how many of each there are.
	voterCount, coordinatorCount int
	// keyCount is how many keys the requests share.
	keyCount int
	// capacity is how many keys a voter retains.
	capacity int
	// loss is the probability that a message is lost.
	loss float64
	// restart is the probability of a voter's restart in a round.
	restart float64
	// emptyDisk is the probability that a restart finds an empty disk, oldDisk that it finds an older one.
	emptyDisk, oldDisk float64
	// length is the virtual time of the play.
	length time.Duration
}

// goldenVoter is a voter with its disk.
type goldenVoter struct {
	voter *Voter
	disk  []Record
	// older is the disk as it was at the restart before.
	older       []Record
	incarnation uint32
}

// goldenMessage is a message on its way.
type goldenMessage struct {
	// at is when it arrives.
	at time.Duration
	// voter takes it, or sent the response.
	voter int
	// other is a coordinator, or a voter that sent a status.
	other    int
	request  *Request
	response *Response
	status   *VoterStatus
	// isAnswer tells whether the status answers one.
	isAnswer bool
}

// goldenRun is a play while it goes on.
type goldenRun struct {
	goldenPlay
	rng   *rand.Rand
	trace *golden.Trace
	now   time.Duration
	// starts counts voter processes.
	starts       uint64
	voterIndices []int
	voters       []*goldenVoter
	coordinators []*Coordinator
	// active has the reservations that are not finished, by coordinator.
	active   [][]uint64
	messages []goldenMessage
}

// hash plays and returns the hash of all that the voters and coordinators return.
func (p goldenPlay) hash() string {
	r := &goldenRun{goldenPlay: p, rng: rand.New(rand.NewPCG(p.seed, 91)), trace: golden.NewTrace(), now: time.Hour}
	for i := range p.voterCount {
		r.voterIndices = append(r.voterIndices, i)
	}
	for i := range p.voterCount {
		r.voters = append(r.voters, &goldenVoter{})
		r.start(i, nil)
	}
	for i := range p.coordinatorCount {
		r.coordinators = append(r.coordinators, NewCoordinator(uint64(100+i), r.voterIndices))
		r.active = append(r.active, nil)
	}
	end := r.now + p.length
	for r.now < end {
		r.now += time.Duration(1+r.rng.IntN(60)) * time.Millisecond
		r.deliver()
		r.requests()
		r.announce()
		r.timers()
		if r.rng.Float64() < p.restart {
			r.restart(r.rng.IntN(p.voterCount))
		}
	}
	for i := range r.voters {
		r.trace.Int(int64(r.voters[i].voter.KeyCount()))
		r.hashUnordered(r.voters[i].voter.Snapshot())
	}
	return r.trace.Sum()
}

// start starts a voter with what its disk has.
func (r *goldenRun) start(i int, disk []Record) {
	v := r.voters[i]
	v.incarnation++
	r.starts++
	config := VoterConfig{
		Index:       i,
		Voters:      r.voterIndices,
		Process:     1000 + r.starts,
		Retention:   goldenRetention,
		MaxKeys:     r.capacity,
		NewDiskID:   2000 + r.starts,
		Incarnation: v.incarnation,
	}
	voter, out := NewVoter(config, r.now, slices.Values(disk))
	v.voter, v.disk = voter, slices.Clone(disk)
	r.persist(v, out)
}

// persist writes records to a voter's disk.
func (r *goldenRun) persist(v *goldenVoter, out []Record) {
	r.hashRecords(out)
	v.disk = append(v.disk, out...)
	v.voter.MarkSynced()
}

// restart ends a voter's process and starts the next one.
func (r *goldenRun) restart(i int) {
	v := r.voters[i]
	switch chance := r.rng.Float64(); {
	case chance < r.emptyDisk:
		v.incarnation = 0
		r.start(i, nil)
	case chance < r.emptyDisk+r.oldDisk:
		r.start(i, v.older)
	default:
		r.start(i, v.disk)
	}
	v.older = slices.Clone(v.disk)
}

// send puts a message on its way, none, one or two times.
func (r *goldenRun) send(m goldenMessage) {
	copies := 1
	if r.rng.Float64() < r.loss {
		copies = 2 * r.rng.IntN(2)
	}
	for range copies {
		m.at = r.now + time.Duration(r.rng.IntN(120))*time.Millisecond
		r.messages = append(r.messages, m)
	}
}

// deliver hands over the messages that are due, in the order in which they were sent.
func (r *goldenRun) deliver() {
	due := r.messages
	r.messages = nil
	for _, m := range due {
		switch {
		case m.at > r.now:
			r.messages = append(r.messages, m)
		case m.request != nil:
			r.request(m)
		case m.response != nil:
			r.response(m)
		default:
			r.status(m)
		}
	}
}

// request has a request arrive at a voter.
func (r *goldenRun) request(m goldenMessage) {
	v := r.voters[m.voter]
	answer, out, ok := v.voter.HandleRequest(r.now, r.coordinators[m.other].Process(), *m.request)
	r.trace.Bool(ok)
	r.trace.Uint(answer.Sequence)
	r.trace.Uint(uint64(answer.Vote))
	r.persist(v, out)
	if ok {
		r.send(goldenMessage{voter: m.voter, other: m.other, response: &answer})
	}
}

// response has a response arrive at a coordinator.
func (r *goldenRun) response(m goldenMessage) {
	result, ok := r.coordinators[m.other].HandleResponse(r.now, m.voter, *m.response)
	r.trace.Bool(ok)
	r.trace.Uint(result.Sequence)
	r.trace.Int(int64(result.Outcome))
	if ok && result.Outcome != Reserved {
		r.finish(m.other, result.Sequence, false)
	}
}

// status has a status arrive at a voter.
func (r *goldenRun) status(m goldenMessage) {
	v := r.voters[m.voter]
	out, answer := v.voter.HandleStatus(m.other, *m.status)
	r.hashStatus(answer)
	r.persist(v, out)
	if !m.isAnswer {
		r.send(goldenMessage{voter: m.other, other: m.voter, status: &answer, isAnswer: true})
	}
}

// finish ends a reservation.
func (r *goldenRun) finish(coordinator int, sequence uint64, mayHaveRun bool) {
	r.coordinators[coordinator].Finish(r.now, sequence, mayHaveRun)
	isFinished := func(other uint64) bool { return other == sequence }
	r.active[coordinator] = slices.DeleteFunc(r.active[coordinator], isFinished)
}

// requests begins and ends some reservations.
func (r *goldenRun) requests() {
	for i, c := range r.coordinators {
		if r.rng.IntN(4) == 0 {
			n, err := c.Reserve(r.now, KeyOf("customer", "class", fmt.Sprint(r.rng.IntN(r.keyCount))))
			r.trace.Uint(n)
			r.trace.Bool(err != nil)
			if err == nil {
				r.active[i] = append(r.active[i], n)
			}
		}
		if len(r.active[i]) > 0 && r.rng.IntN(6) == 0 {
			r.finish(i, r.active[i][r.rng.IntN(len(r.active[i]))], r.rng.IntN(2) == 0)
		}
		if at, ok := c.NextRetry(); ok {
			r.trace.Duration(at)
		}
		outs := c.Tick(r.now)
		slices.SortFunc(outs, func(a, b OutgoingRequest) int {
			return cmp.Or(cmp.Compare(a.Request.Sequence, b.Request.Sequence), cmp.Compare(a.Voter, b.Voter))
		})
		r.trace.Int(int64(len(outs)))
		for _, out := range outs {
			r.trace.Int(int64(out.Voter))
			r.trace.String(string(out.Request.Key[:]))
			r.trace.Uint(out.Request.Sequence)
			r.trace.Bool(out.Request.Release)
			request := out.Request
			r.send(goldenMessage{voter: out.Voter, other: i, request: &request})
		}
		reservations, releases := c.InFlight()
		r.trace.Int(int64(reservations))
		r.trace.Int(int64(releases))
	}
}

// announce has a voter send its status to the others.
func (r *goldenRun) announce() {
	from := r.rng.IntN(len(r.voterIndices))
	for _, to := range r.voterIndices {
		if to != from {
			status := r.voters[from].voter.StatusFor(to)
			r.hashStatus(status)
			r.send(goldenMessage{voter: to, other: from, status: &status})
		}
	}
}

// timers advances the time of the voters.
func (r *goldenRun) timers() {
	for _, v := range r.voters {
		out, rotated := v.voter.Tick(r.now)
		r.trace.Bool(rotated)
		r.persist(v, out)
		if rotated && r.rng.IntN(2) == 0 {
			r.hashUnordered(v.voter.SegmentHeader())
			v.disk = v.voter.Snapshot()
			r.hashUnordered(v.disk)
			v.voter.MarkSynced()
		}
		ready, reason := v.voter.Ready(r.now)
		r.trace.Bool(ready)
		r.trace.String(reason)
	}
}

// hashUnordered hashes records that come from a map, and so have no order.
func (r *goldenRun) hashUnordered(records []Record) {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Voter, b.Voter),
			slices.Compare(a.Key[:], b.Key[:]), cmp.Compare(a.Owner.Process, b.Owner.Process),
			cmp.Compare(a.Owner.Sequence, b.Owner.Sequence))
	})
	r.hashRecords(records)
}

// hashRecords hashes records in their order.
func (r *goldenRun) hashRecords(records []Record) {
	r.trace.Int(int64(len(records)))
	for _, record := range records {
		r.trace.Uint(uint64(record.Kind))
		r.trace.String(string(record.Key[:]))
		r.trace.Uint(record.Owner.Process)
		r.trace.Uint(record.Owner.Sequence)
		r.trace.Uint(record.ID)
		r.hashDisks(record.Disks)
		r.trace.Int(int64(record.Voter))
		r.trace.Uint(uint64(record.Incarnation))
		r.trace.Uint(record.RecordCount)
	}
}

// hashDisks hashes a set of disks, which has no order.
func (r *goldenRun) hashDisks(disks []uint64) {
	r.trace.Int(int64(len(disks)))
	for _, disk := range slices.Sorted(slices.Values(disks)) {
		r.trace.Uint(disk)
	}
}

// hashStatus hashes a status.
func (r *goldenRun) hashStatus(status VoterStatus) {
	r.trace.Uint(status.Process)
	r.trace.Uint(uint64(status.Incarnation))
	r.trace.Uint(status.Disk)
	r.trace.Bool(status.Joined)
	r.hashDisks(status.InitialDisks)
	r.trace.Uint(status.RecordsAtStart)
	r.trace.Uint(status.RecordsSynced)
	r.trace.Uint(status.ObservedProcess)
	r.trace.Bool(status.ObservedIsNewest)
}

// goldenPlays are all that is recorded.
func goldenPlays() (all []goldenPlay) {
	add := func(p goldenPlay) {
		p.length = 30 * time.Second
		for seed := range uint64(4) {
			p.seed = seed + 1
			one := p
			one.name = fmt.Sprintf("%s/%d", p.name, p.seed)
			all = append(all, one)
		}
	}
	add(goldenPlay{
		name:             "calm",
		voterCount:       3,
		coordinatorCount: 3,
		keyCount:         400,
		capacity:         10_000,
	})
	add(goldenPlay{
		name:             "contended",
		voterCount:       3,
		coordinatorCount: 6,
		keyCount:         5,
		capacity:         10_000,
		loss:             0.1,
	})
	add(goldenPlay{
		name:             "full",
		voterCount:       3,
		coordinatorCount: 4,
		keyCount:         300,
		capacity:         30,
		loss:             0.1,
	})
	add(goldenPlay{
		name:             "lossy",
		voterCount:       5,
		coordinatorCount: 3,
		keyCount:         40,
		capacity:         200,
		loss:             0.5,
	})
	add(goldenPlay{
		name:             "restarts",
		voterCount:       3,
		coordinatorCount: 3,
		keyCount:         40,
		capacity:         200,
		loss:             0.2,
		restart:          0.02,
	})
	add(goldenPlay{
		name:             "disks",
		voterCount:       3,
		coordinatorCount: 3,
		keyCount:         40,
		capacity:         200,
		loss:             0.2,
		restart:          0.01,
		emptyDisk:        0.2,
		oldDisk:          0.3,
	})
	add(goldenPlay{
		name:             "single",
		voterCount:       1,
		coordinatorCount: 2,
		keyCount:         40,
		capacity:         200,
		loss:             0.1,
		restart:          0.005,
		emptyDisk:        0.2,
	})
	return all
}

// TestGoldenTraces compares reservations, votes and records with the recorded ones, and each play with itself.
func TestGoldenTraces(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/reservations.txt")
	for _, p := range goldenPlays() {
		recorded.CheckPlay(t, p.name, p.hash)
	}
	recorded.CheckDistinct(t)
	recorded.CheckAllPlayed(t)
}

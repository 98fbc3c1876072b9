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

// goldenRetention is the retention of the voters in a scenario.
const goldenRetention = 10 * time.Second

// goldenScenario configures a deterministic run of coordinators and voters with lost, duplicated and delayed messages.
type goldenScenario struct {
	name string
	seed uint64
	// voterCount and coordinatorCount are the numbers of voters and coordinators.
	voterCount, coordinatorCount int
	// keyCount is the number of different keys that requests use.
	keyCount int
	// capacity is the maximum number of keys that a voter retains.
	capacity int
	// lossProbability is the probability that a message is lost or duplicated.
	lossProbability float64
	// restartProbability is the probability that a voter is restarted in a round.
	restartProbability float64
	// emptyDiskProbability is the probability that a voter restarts with an empty disk, olderDiskProbability that it
	// restarts with an older copy of its disk.
	emptyDiskProbability, olderDiskProbability float64
	// duration is the virtual duration of the run.
	duration time.Duration
}

// goldenVoter is a voter and its disk.
type goldenVoter struct {
	voter *Voter
	disk  []Record
	// previousDisk is a copy of the disk from the previous restart.
	previousDisk []Record
	incarnation  uint32
}

// goldenMessage is a message in transit.
type goldenMessage struct {
	// arrivesAt is when the message is delivered.
	arrivesAt time.Duration
	// voter receives the message or, if it is a response, has sent it.
	voter int
	// other is the coordinator of a request or response, or the voter that has sent a status.
	other    int
	request  *Request
	response *Response
	status   *VoterStatus
	// isAnswer reports whether the status answers another one.
	isAnswer bool
}

// goldenRun is the state of a running scenario.
type goldenRun struct {
	goldenScenario
	rng   *rand.Rand
	trace *golden.Trace
	now   time.Duration
	// processCount is the number of voter processes started so far.
	processCount uint64
	voterIndices []int
	voters       []*goldenVoter
	coordinators []*Coordinator
	// active holds the sequence numbers of unfinished reservations, by coordinator.
	active   [][]uint64
	messages []goldenMessage
}

// hash runs the scenario and returns the hash of everything that the voters and coordinators return.
func (s goldenScenario) hash() string {
	r := &goldenRun{goldenScenario: s, rng: rand.New(rand.NewPCG(s.seed, 91)), trace: golden.NewTrace(), now: time.Hour}
	for i := range s.voterCount {
		r.voterIndices = append(r.voterIndices, i)
	}
	for i := range s.voterCount {
		r.voters = append(r.voters, &goldenVoter{})
		r.startVoter(i, nil)
	}
	for i := range s.coordinatorCount {
		r.coordinators = append(r.coordinators, NewCoordinator(uint64(100+i), r.voterIndices))
		r.active = append(r.active, nil)
	}
	end := r.now + s.duration
	for r.now < end {
		r.now += time.Duration(1+r.rng.IntN(60)) * time.Millisecond
		r.deliver()
		r.driveReservations()
		r.sendVoterStatus()
		r.tickVoters()
		if r.rng.Float64() < s.restartProbability {
			r.restartVoter(r.rng.IntN(s.voterCount))
		}
	}
	for i := range r.voters {
		r.trace.Int(int64(r.voters[i].voter.KeyCount()))
		r.hashUnordered(r.voters[i].voter.Snapshot())
	}
	return r.trace.Sum()
}

// startVoter starts a process of a voter with the given disk content.
func (r *goldenRun) startVoter(i int, disk []Record) {
	v := r.voters[i]
	v.incarnation++
	r.processCount++
	config := VoterConfig{
		Index:       i,
		Voters:      r.voterIndices,
		Process:     1000 + r.processCount,
		Retention:   goldenRetention,
		MaxKeys:     r.capacity,
		NewDiskID:   2000 + r.processCount,
		Incarnation: v.incarnation,
	}
	voter, out := NewVoter(config, r.now, slices.Values(disk))
	v.voter, v.disk = voter, slices.Clone(disk)
	r.persist(v, out)
}

// persist writes records to the disk of a voter and syncs it.
func (r *goldenRun) persist(v *goldenVoter, out []Record) {
	r.hashRecords(out)
	v.disk = append(v.disk, out...)
	v.voter.MarkSynced()
}

// restartVoter replaces the process of a voter by a new one, whose disk is empty, older or unchanged.
func (r *goldenRun) restartVoter(i int) {
	v := r.voters[i]
	switch chance := r.rng.Float64(); {
	case chance < r.emptyDiskProbability:
		v.incarnation = 0
		r.startVoter(i, nil)
	case chance < r.emptyDiskProbability+r.olderDiskProbability:
		r.startVoter(i, v.previousDisk)
	default:
		r.startVoter(i, v.disk)
	}
	v.previousDisk = slices.Clone(v.disk)
}

// send sends a message with a random delay. The message may be lost or duplicated.
func (r *goldenRun) send(m goldenMessage) {
	copies := 1
	if r.rng.Float64() < r.lossProbability {
		copies = 2 * r.rng.IntN(2)
	}
	for range copies {
		m.arrivesAt = r.now + time.Duration(r.rng.IntN(120))*time.Millisecond
		r.messages = append(r.messages, m)
	}
}

// deliver delivers the messages that are due, in the order in which they were sent.
func (r *goldenRun) deliver() {
	due := r.messages
	r.messages = nil
	for _, m := range due {
		switch {
		case m.arrivesAt > r.now:
			r.messages = append(r.messages, m)
		case m.request != nil:
			r.deliverRequest(m)
		case m.response != nil:
			r.deliverResponse(m)
		default:
			r.deliverStatus(m)
		}
	}
}

// deliverRequest delivers a request to a voter and sends the response.
func (r *goldenRun) deliverRequest(m goldenMessage) {
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

// deliverResponse delivers a response to a coordinator.
func (r *goldenRun) deliverResponse(m goldenMessage) {
	result, ok := r.coordinators[m.other].HandleResponse(r.now, m.voter, *m.response)
	r.trace.Bool(ok)
	r.trace.Uint(result.Sequence)
	r.trace.Int(int64(result.Outcome))
	if ok && result.Outcome != Reserved {
		r.finish(m.other, result.Sequence, false)
	}
}

// deliverStatus delivers a status to a voter and sends the answer.
func (r *goldenRun) deliverStatus(m goldenMessage) {
	v := r.voters[m.voter]
	out, answer := v.voter.HandleStatus(m.other, *m.status)
	r.hashStatus(answer)
	r.persist(v, out)
	if !m.isAnswer {
		r.send(goldenMessage{voter: m.other, other: m.voter, status: &answer, isAnswer: true})
	}
}

// finish finishes a reservation.
func (r *goldenRun) finish(coordinator int, sequence uint64, mayHaveRun bool) {
	r.coordinators[coordinator].Finish(r.now, sequence, mayHaveRun)
	isFinished := func(other uint64) bool { return other == sequence }
	r.active[coordinator] = slices.DeleteFunc(r.active[coordinator], isFinished)
}

// driveReservations starts and finishes some reservations, and sends the requests that are due.
func (r *goldenRun) driveReservations() {
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

// sendVoterStatus sends the status of a random voter to the others.
func (r *goldenRun) sendVoterStatus() {
	from := r.rng.IntN(len(r.voterIndices))
	for _, to := range r.voterIndices {
		if to != from {
			status := r.voters[from].voter.StatusFor(to)
			r.hashStatus(status)
			r.send(goldenMessage{voter: to, other: from, status: &status})
		}
	}
}

// tickVoters advances the time of all voters. After a rotation, some of them replace their disk by a snapshot.
func (r *goldenRun) tickVoters() {
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

// hashUnordered hashes records in sorted order, as those that come from a map have a random one.
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

// hashDisks hashes disk IDs in sorted order, as they form a set.
func (r *goldenRun) hashDisks(disks []uint64) {
	r.trace.Int(int64(len(disks)))
	for _, disk := range slices.Sorted(slices.Values(disks)) {
		r.trace.Uint(disk)
	}
}

// hashStatus hashes all fields of a status.
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

// goldenScenarios returns the recorded scenarios, each with several seeds.
func goldenScenarios() (all []goldenScenario) {
	add := func(p goldenScenario) {
		p.duration = 30 * time.Second
		for seed := range uint64(4) {
			p.seed = seed + 1
			one := p
			one.name = fmt.Sprintf("%s/%d", p.name, p.seed)
			all = append(all, one)
		}
	}
	add(goldenScenario{
		name:             "calm",
		voterCount:       3,
		coordinatorCount: 3,
		keyCount:         400,
		capacity:         10_000,
	})
	add(goldenScenario{
		name:             "contended",
		voterCount:       3,
		coordinatorCount: 6,
		keyCount:         5,
		capacity:         10_000,
		lossProbability:  0.1,
	})
	add(goldenScenario{
		name:             "full",
		voterCount:       3,
		coordinatorCount: 4,
		keyCount:         300,
		capacity:         30,
		lossProbability:  0.1,
	})
	add(goldenScenario{
		name:             "lossy",
		voterCount:       5,
		coordinatorCount: 3,
		keyCount:         40,
		capacity:         200,
		lossProbability:  0.5,
	})
	add(goldenScenario{
		name:               "restarts",
		voterCount:         3,
		coordinatorCount:   3,
		keyCount:           40,
		capacity:           200,
		lossProbability:    0.2,
		restartProbability: 0.02,
	})
	add(goldenScenario{
		name:                 "disks",
		voterCount:           3,
		coordinatorCount:     3,
		keyCount:             40,
		capacity:             200,
		lossProbability:      0.2,
		restartProbability:   0.01,
		emptyDiskProbability: 0.2,
		olderDiskProbability: 0.3,
	})
	add(goldenScenario{
		name:                 "single",
		voterCount:           1,
		coordinatorCount:     2,
		keyCount:             40,
		capacity:             200,
		lossProbability:      0.1,
		restartProbability:   0.005,
		emptyDiskProbability: 0.2,
	})
	return all
}

// TestGoldenTraces verifies that reservations, votes and records match the recorded traces, that repeated runs of a
// scenario are equal, and that different scenarios have different traces.
func TestGoldenTraces(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/reservations.txt")
	for _, p := range goldenScenarios() {
		recorded.CheckRun(t, p.name, p.hash)
	}
	recorded.CheckDistinct(t)
	recorded.CheckAllRun(t)
}

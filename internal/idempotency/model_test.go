package idempotency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/race"
)

// The model consists of three voters and several requests with the same key, each at a gateway of its own. Messages
// form a set: each may arrive at any time, any number of times, or never. Voters lose power and restart with all synced
// records, with or without the records that were being written, with an older copy of the disk, or with an empty disk.
// The model explores the possible orders of events.
//
// Invariant: at most one of the requests may run.

// defects are deliberate errors in the algorithm, which check that the model detects violations of the invariant.
type defects struct {
	// grantsBeforeSync sends a vote before it is synced to disk.
	grantsBeforeSync bool
	// oneVoteIsEnough treats a single vote as a majority.
	oneVoteIsEnough bool
	// releasesAfterRun releases a key although its request may have run.
	releasesAfterRun bool
	// trustsEmptyDisk lets a voter with an empty disk vote at once.
	trustsEmptyDisk bool
	// trustsOlderDisk lets a voter with an older copy of its disk vote at once.
	trustsOlderDisk bool
	// grantsToLast grants a key to the latest request, even if another one holds it.
	grantsToLast bool
	// releasesForAnyone accepts a release from a reservation that does not own the key.
	releasesForAnyone bool
}

// requestState is the state of a request of the model.
type requestState int

const (
	requestNotStarted requestState = iota
	requestReserving
	// requestDispatched means that the request may run.
	requestDispatched
	// requestEnded means that the request ended without running.
	requestEnded
	// requestRan means that the request has run or may have run.
	requestRan
)

// diskFault is the state of a voter's disk after a power loss.
type diskFault int

const (
	diskIntact diskFault = iota
	// diskOlder is a copy of the disk from before the first reservation.
	diskOlder
	diskEmpty
)

// powerLoss tells when a voter loses power while it handles a message.
type powerLoss int

const (
	noPowerLoss powerLoss = iota
	// powerLossBeforeSync loses the records written for the message.
	powerLossBeforeSync
	// powerLossAfterSync keeps these records but loses the response.
	powerLossAfterSync
)

// modelVoter is a voter and its disk.
type modelVoter struct {
	voter *Voter
	// log holds the synced records.
	log         []Record
	incarnation uint32
}

// modelMessage is a request or a response in transit.
type modelMessage struct {
	gateway, voter int
	request        *Request
	response       *Response
}

// id returns a string that is the same for equal messages.
func (m modelMessage) id() string {
	if m.request != nil {
		return fmt.Sprintf("%d>%d %v%v", m.gateway, m.voter, m.request.Sequence, m.request.Release)
	}
	return fmt.Sprintf("%d<%d %v %d", m.gateway, m.voter, m.response.Sequence, m.response.Vote)
}

// model is a state of the whole system.
type model struct {
	defects      defects
	voters       [3]modelVoter
	coordinators []*Coordinator
	requests     []requestState
	messages     map[string]modelMessage
	// powerLosses is the number of power losses that may still happen.
	powerLosses int
	// processCount is the number of voter processes started so far.
	processCount int
}

var modelVoters = []int{0, 1, 2}

func cloneVoter(v *Voter) *Voter {
	clone := *v
	clone.peers = maps.Clone(v.peers)
	clone.confirmedBy = maps.Clone(v.confirmedBy)
	clone.emptyPeerDisks = maps.Clone(v.emptyPeerDisks)
	clone.keys.current = maps.Clone(v.keys.current)
	clone.keys.previous = maps.Clone(v.keys.previous)
	return &clone
}

func cloneCoordinator(c *Coordinator) *Coordinator {
	clone := *c
	clone.reservations = map[uint64]*reservation{}
	for sequence, r := range c.reservations {
		copied := *r
		clone.reservations[sequence] = &copied
	}
	return &clone
}

func (m *model) clone() *model {
	clone := *m
	for i := range clone.voters {
		v := &clone.voters[i]
		v.log = slices.Clone(v.log)
		v.voter = cloneVoter(v.voter)
	}
	clone.coordinators = slices.Clone(m.coordinators)
	for i := range clone.coordinators {
		clone.coordinators[i] = cloneCoordinator(clone.coordinators[i])
	}
	clone.requests = slices.Clone(m.requests)
	clone.messages = maps.Clone(m.messages)
	return &clone
}

// id returns a string that is the same for equal states.
func (m *model) id() string {
	var b strings.Builder
	for i := range m.voters {
		v := &m.voters[i]
		hasKeys := slices.ContainsFunc(v.log, isKeyRecord)
		ready, _ := v.voter.Ready(0)
		fmt.Fprint(&b, v.incarnation, v.voter.keys.current, hasKeys, ready, " ")
	}
	for i, c := range m.coordinators {
		fmt.Fprint(&b, m.requests[i])
		for sequence, r := range c.reservations {
			fmt.Fprint(&b, sequence, r.votes, r.phase)
		}
	}
	fmt.Fprint(&b, slices.Sorted(maps.Keys(m.messages)), m.powerLosses)
	return b.String()
}

func newModel(d defects, requests int) *model {
	m := &model{defects: d, messages: map[string]modelMessage{}, requests: make([]requestState, requests)}
	for i := range m.voters {
		m.startVoter(i, 1, nil)
	}
	const roundsUntilJoined = 2
	for range roundsUntilJoined {
		m.exchangeStatus()
	}
	for i := range requests {
		m.coordinators = append(m.coordinators, NewCoordinator(uint64(100+i), modelVoters))
	}
	return m
}

// startVoter starts a process of a voter with the given records on its disk.
func (m *model) startVoter(i int, incarnation uint32, log []Record) {
	m.processCount++
	config := VoterConfig{
		Index:       i,
		Voters:      modelVoters,
		Process:     uint64(1000 + m.processCount),
		Retention:   time.Hour,
		MaxKeys:     100,
		NewDiskID:   uint64(2000 + m.processCount),
		Incarnation: incarnation,
	}
	v := &m.voters[i]
	voter, records := NewVoter(config, 0, slices.Values(log))
	v.voter = voter
	v.incarnation = incarnation
	v.log = append(slices.Clone(log), records...)
	v.voter.MarkSynced()
}

func isKeyRecord(r Record) bool { return r.Kind == RecordReserved || r.Kind == RecordReleased }

// exchangeStatus lets all voters exchange their status and sync their disks.
func (m *model) exchangeStatus() {
	for i := range m.voters {
		for j := range m.voters {
			if i == j {
				continue
			}
			from, to := &m.voters[i], &m.voters[j]
			records, answer := to.voter.HandleStatus(i, from.voter.StatusFor(j))
			to.log = append(to.log, records...)
			records, _ = from.voter.HandleStatus(j, answer)
			from.log = append(from.log, records...)
			from.voter.MarkSynced()
			to.voter.MarkSynced()
		}
	}
}

func (m *model) send(message modelMessage) { m.messages[message.id()] = message }

// possibleSteps returns all steps that may happen next. Deliveries of messages come last.
func (m *model) possibleSteps() (all []func(*model)) {
	for i := range m.coordinators {
		all = append(all, m.requestSteps(i)...)
	}
	if m.powerLosses > 0 {
		all = append(all, m.powerLossSteps()...)
	}
	for _, id := range slices.Sorted(maps.Keys(m.messages)) {
		all = append(all, func(next *model) { next.deliver(next.messages[id], noPowerLoss) })
	}
	return all
}

// requestSteps returns the possible steps of a request: it starts, is given up, or runs.
func (m *model) requestSteps(i int) (all []func(*model)) {
	finish := func(state requestState, mayHaveRun bool) {
		all = append(all, func(next *model) {
			next.coordinators[i].Finish(0, 1, mayHaveRun)
			next.requests[i] = state
			next.sendRequests(i)
		})
	}
	switch m.requests[i] {
	case requestNotStarted:
		all = append(all, func(next *model) {
			next.requests[i] = requestReserving
			if _, err := next.coordinators[i].Reserve(0, Key{1}); err != nil {
				panic(err) // the model has fewer reservations than the limit
			}
			next.sendRequests(i)
		})
	case requestReserving:
		finish(requestEnded, false)
	case requestDispatched:
		finish(requestRan, !m.defects.releasesAfterRun)
		finish(requestEnded, false)
	}
	return all
}

// powerLossSteps returns the possible power losses of voters, between messages and while one is handled.
func (m *model) powerLossSteps() (all []func(*model)) {
	for i := range m.voters {
		for _, fault := range []diskFault{diskIntact, diskOlder, diskEmpty} {
			all = append(all, func(next *model) { next.losePower(i, fault) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.messages)) {
		message := m.messages[id]
		if message.request == nil {
			continue
		}
		for _, loss := range []powerLoss{powerLossBeforeSync, powerLossAfterSync} {
			all = append(all, func(next *model) { next.deliver(message, loss) })
		}
	}
	return all
}

// sendRequests sends the requests of a coordinator to the voters.
func (m *model) sendRequests(i int) {
	for _, out := range m.coordinators[i].Tick(releaseRetryWindow - 1) {
		m.send(modelMessage{gateway: i, voter: out.Voter, request: &out.Request})
	}
}

// deliver delivers a message. The voter that receives a request may lose power before it sends the response.
func (m *model) deliver(message modelMessage, loss powerLoss) {
	if message.request == nil {
		m.deliverResponse(message)
		return
	}
	v := &m.voters[message.voter]
	m.injectVoterDefects(v.voter, *message.request)
	process := m.coordinators[message.gateway].process
	response, records, ok := v.voter.HandleRequest(0, process, *message.request)
	if ok && response.Vote != VoteReleased && (loss == noPowerLoss || m.defects.grantsBeforeSync) {
		m.send(modelMessage{gateway: message.gateway, voter: message.voter, response: &response})
	}
	if loss != powerLossBeforeSync {
		v.log = append(v.log, records...)
		v.voter.MarkSynced()
	}
	if loss != noPowerLoss {
		m.losePower(message.voter, diskIntact)
	}
}

// deliverResponse delivers a response to its gateway.
func (m *model) deliverResponse(message modelMessage) {
	result, decided := m.coordinators[message.gateway].HandleResponse(0, message.voter, *message.response)
	if m.defects.oneVoteIsEnough && message.response.Vote == VoteGranted {
		result, decided = Result{Sequence: 1, Outcome: Reserved}, true
	}
	if decided && m.requests[message.gateway] == requestReserving {
		m.requests[message.gateway] = requestEnded
		if result.Outcome == Reserved {
			m.requests[message.gateway] = requestDispatched
		}
	}
	m.sendRequests(message.gateway)
}

// injectVoterDefects applies the defects to a voter before it handles a request.
func (m *model) injectVoterDefects(v *Voter, request Request) {
	everyoneConfirmed := map[int]bool{0: true, 1: true, 2: true}
	if m.defects.trustsEmptyDisk && !v.disk.joined {
		v.disk.joined, v.isDiskReplaced = true, false
		v.confirmedBy = everyoneConfirmed
	}
	if m.defects.trustsOlderDisk {
		v.isDiskOutdated = false
		v.confirmedBy = everyoneConfirmed
	}
	if m.defects.grantsToLast && !request.Release {
		delete(v.keys.current, request.Key)
	}
	if held, ok := v.keys.current[request.Key]; ok && m.defects.releasesForAnyone && request.Release {
		v.keys.current[request.Key] = entry{held.owner, true}
	}
}

// losePower restarts a voter after a power loss.
func (m *model) losePower(i int, fault diskFault) {
	v := &m.voters[i]
	m.powerLosses--
	if fault == diskOlder {
		m.exchangeStatus() // the older copy is from before the last status exchange
	}
	log, incarnation := v.log, v.incarnation+1
	switch fault {
	case diskOlder:
		if first := slices.IndexFunc(log, isKeyRecord); first >= 0 {
			log = log[:first]
		}
	case diskEmpty:
		log, incarnation = nil, 1
	}
	m.startVoter(i, incarnation, log)
	m.exchangeStatus()
}

// violatesInvariant reports whether more than one request may run.
func (m *model) violatesInvariant() bool {
	running := 0
	for _, state := range m.requests {
		if state == requestDispatched || state == requestRan {
			running++
		}
	}
	return running > 1
}

// explore visits states in breadth-first order, up to a limit. It returns the number of states, whether one of them
// violates the invariant, and in how many of them a request is dispatched.
func explore(d defects, powerLosses, maxStates int) (states int, isViolated bool, dispatched int) {
	first := newModel(d, 2)
	first.powerLosses = powerLosses
	seen := map[string]bool{first.id(): true}
	queue := []*model{first}
	for ; len(queue) > 0 && len(seen) < maxStates; queue = queue[1:] {
		for _, step := range queue[0].possibleSteps() {
			next := queue[0].clone()
			if step(next); next.violatesInvariant() {
				return len(seen), true, dispatched
			}
			if id := next.id(); !seen[id] {
				seen[id] = true
				queue = append(queue, next)
				if slices.Contains(next.requests, requestDispatched) {
					dispatched++
				}
			}
		}
	}
	return len(seen), false, dispatched
}

// randomWalks takes random walks through the states. It returns the number of the first walk that violates the
// invariant, or zero if none does.
func randomWalks(d defects, powerLosses, walks int) int {
	for n := range walks {
		rng := rand.New(rand.NewPCG(uint64(n), 6))
		m := newModel(d, 3)
		m.powerLosses = powerLosses
		for !m.violatesInvariant() {
			steps := m.possibleSteps()
			if len(steps) == 0 || rng.IntN(60) == 0 {
				break
			}
			first := 0
			if rng.IntN(4) > 0 && len(m.messages) > 0 { // most steps deliver a message
				first = len(steps) - min(len(steps), len(m.messages))
			}
			steps[first+rng.IntN(len(steps)-first)](m)
		}
		if m.violatesInvariant() {
			return n + 1
		}
	}
	return 0
}

// TestPowerModelOneRequestRuns verifies that no explored order of events, including power losses, lets two requests
// run.
func TestPowerModelOneRequestRuns(t *testing.T) {
	maxStates, walks := 15_000, 1_500
	if os.Getenv("GAPGAP_LONG") != "" {
		maxStates, walks = 3_000_000, 50_000
	}
	if race.On {
		maxStates, walks = 4_000, 300
	}
	for _, powerLosses := range []int{0, 1, 2} {
		states, isViolated, dispatched := explore(defects{}, powerLosses, maxStates)
		t.Logf("%d power losses: %d states, a request is dispatched in %d of them", powerLosses, states, dispatched)
		if isViolated || dispatched == 0 {
			t.Errorf("both requests may run: %v; a request is dispatched in %d states", isViolated, dispatched)
		}
		if n := randomWalks(defects{}, powerLosses, walks); n > 0 {
			t.Errorf("two requests may run in walk %d with %d power losses", n, powerLosses)
		}
	}
}

// TestPowerModelFindsDefects verifies that the model detects each deliberate defect of the algorithm.
func TestPowerModelFindsDefects(t *testing.T) {
	cases := []struct {
		name    string
		defects defects
	}{
		{"vote is sent before it is synced", defects{grantsBeforeSync: true}},
		{"one vote is enough", defects{oneVoteIsEnough: true}},
		{"key is released though its request ran", defects{releasesAfterRun: true}},
		{"empty disk is trusted", defects{trustsEmptyDisk: true}},
		{"older disk is trusted", defects{trustsOlderDisk: true}},
		{"whoever asks last gets the key", defects{grantsToLast: true}},
		{"release by any owner is taken", defects{releasesForAnyone: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := randomWalks(c.defects, 2, 20_000)
			t.Logf("defect found in walk %d", n)
			if n == 0 {
				t.Error("the model did not find the defect")
			}
		})
	}
}

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

// The model has three voters and requests with one key at gateways of their own. Messages form a set: each may arrive
// at any time, any number of times, or never. Voters lose power and restart with what was synced, with some of what was
// not, with an older disk or with an empty one. The model explores all orders.
//
// Invariant: of two requests at most one may run.

// defects break the algorithm on purpose, so that the model has something to find.
type defects struct {
	// grantsBeforeSync sends a vote before it outlives a power loss.
	grantsBeforeSync bool
	// oneVoteIsEnough takes one vote for a majority.
	oneVoteIsEnough bool
	// releasesAfterRun releases a key though its request may have run.
	releasesAfterRun bool
	// trustsEmptyDisk lets a voter with an empty disk vote at once.
	trustsEmptyDisk bool
	// trustsOlderDisk lets a voter with an older disk vote at once.
	trustsOlderDisk bool
	// grantsToLast gives a key to whoever asks last.
	grantsToLast bool
	// releasesForAnyone takes a release from any owner.
	releasesForAnyone bool
}

// requestState is how far a request of the model has come.
type requestState int

const (
	requestNotStarted requestState = iota
	requestReserving
	// requestDispatched may run.
	requestDispatched
	// requestEnded has not run.
	requestEnded
	// requestRan has run or may have.
	requestRan
)

// diskFault is what a voter's disk has after a power loss.
type diskFault int

const (
	diskIntact diskFault = iota
	// diskOlder is a copy from before the first reservation.
	diskOlder
	diskEmpty
)

// powerLoss is whether a voter loses power while it handles a message.
type powerLoss int

const (
	noPowerLoss powerLoss = iota
	// powerLossBeforeSync loses what was written for the message.
	powerLossBeforeSync
	// powerLossAfterSync keeps it, and loses the response.
	powerLossAfterSync
)

// modelVoter is a voter with its disk.
type modelVoter struct {
	voter *Voter
	// log is what was synced.
	log         []Record
	incarnation uint32
}

// modelMessage is a request or a response on its way.
type modelMessage struct {
	gateway, voter int
	request        *Request
	response       *Response
}

// id identifies equal messages.
func (m modelMessage) id() string {
	if m.request != nil {
		return fmt.Sprintf("%d>%d %v%v", m.gateway, m.voter, m.request.Sequence, m.request.Release)
	}
	return fmt.Sprintf("%d<%d %v %d", m.gateway, m.voter, m.response.Sequence, m.response.Vote)
}

// model is one state of the whole system.
type model struct {
	defects      defects
	voters       [3]modelVoter
	coordinators []*Coordinator
	requests     []requestState
	messages     map[string]modelMessage
	// powerLosses is how many power losses may still happen.
	powerLosses int
	// starts counts voter processes.
	starts int
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

// id identifies equal states.
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
		m.start(i, 1, nil)
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

// start starts a voter's process with what its disk has.
func (m *model) start(i int, incarnation uint32, log []Record) {
	m.starts++
	config := VoterConfig{
		Index:       i,
		Voters:      modelVoters,
		Process:     uint64(1000 + m.starts),
		Retention:   time.Hour,
		MaxKeys:     100,
		NewDiskID:   uint64(2000 + m.starts),
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

// exchangeStatus has all voters exchange their status, and sync at once.
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

// steps are all that may happen next; deliveries come last.
func (m *model) steps() (all []func(*model)) {
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

// requestSteps are those of a request: it begins, is given up, or runs.
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

// powerLossSteps are the power losses of voters, between messages and while one is handled.
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

// sendRequests sends what a coordinator has for the voters.
func (m *model) sendRequests(i int) {
	for _, out := range m.coordinators[i].Tick(releaseRetryWindow - 1) {
		m.send(modelMessage{gateway: i, voter: out.Voter, request: &out.Request})
	}
}

// deliver has a message arrive. Its voter may lose power before it sends its response.
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

// deliverResponse has a response arrive at its gateway.
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

// injectVoterDefects changes a voter before it handles a request as the defects order.
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

// losePower restarts a voter.
func (m *model) losePower(i int, fault diskFault) {
	v := &m.voters[i]
	m.powerLosses--
	if fault == diskOlder {
		m.exchangeStatus() // an older copy is older than the last exchange
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
	m.start(i, incarnation, log)
	m.exchangeStatus()
}

// isBroken tells whether two requests may both run.
func (m *model) isBroken() bool {
	running := 0
	for _, state := range m.requests {
		if state == requestDispatched || state == requestRan {
			running++
		}
	}
	return running > 1
}

// explore visits states in breadth-first order, up to a limit. It returns how many it visited, whether one of them is
// broken, and in how many a request is dispatched.
func explore(d defects, powerLosses, maxStates int) (states int, isBroken bool, dispatched int) {
	first := newModel(d, 2)
	first.powerLosses = powerLosses
	seen := map[string]bool{first.id(): true}
	queue := []*model{first}
	for ; len(queue) > 0 && len(seen) < maxStates; queue = queue[1:] {
		for _, step := range queue[0].steps() {
			next := queue[0].clone()
			if step(next); next.isBroken() {
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

// walk takes random walks through the states and returns the number of the first one that ends in a broken state; zero
// if none does.
func walk(d defects, powerLosses, walks int) int {
	for n := range walks {
		rng := rand.New(rand.NewPCG(uint64(n), 6))
		m := newModel(d, 3)
		m.powerLosses = powerLosses
		for !m.isBroken() {
			steps := m.steps()
			if len(steps) == 0 || rng.IntN(60) == 0 {
				break
			}
			first := 0
			if rng.IntN(4) > 0 && len(m.messages) > 0 { // mostly messages arrive
				first = len(steps) - min(len(steps), len(m.messages))
			}
			steps[first+rng.IntN(len(steps)-first)](m)
		}
		if m.isBroken() {
			return n + 1
		}
	}
	return 0
}

// TestPowerModelOneRequestRuns explores the algorithm with power losses: no order of events lets two requests run.
func TestPowerModelOneRequestRuns(t *testing.T) {
	maxStates, walks := 15_000, 1_500
	if os.Getenv("GAPGAP_LONG") != "" {
		maxStates, walks = 3_000_000, 50_000
	}
	if race.On {
		maxStates, walks = 4_000, 300
	}
	for _, powerLosses := range []int{0, 1, 2} {
		states, isBroken, dispatched := explore(defects{}, powerLosses, maxStates)
		t.Logf("%d power losses: %d states, in %d of them a request is dispatched", powerLosses, states, dispatched)
		if isBroken || dispatched == 0 {
			t.Errorf("both requests may run: %v; one is dispatched in %d states", isBroken, dispatched)
		}
		if n := walk(defects{}, powerLosses, walks); n > 0 {
			t.Errorf("both requests may run in walk %d with %d power losses", n, powerLosses)
		}
	}
}

// TestPowerModelFindsDefects holds that the model finds each way of breaking the algorithm.
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
			n := walk(c.defects, 2, 20_000)
			t.Logf("found in walk %d", n)
			if n == 0 {
				t.Error("not found")
			}
		})
	}
}

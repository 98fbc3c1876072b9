package quotalease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gapgap/internal/fake/race"
	"gapgap/internal/membership"
)

// The tests of this file explore a model of one slot with three voters, of which one may restart, and two holders: the
// owner, gateway 0, and gateway 1, which also requests the slot. They run the production code through every
// interleaving, within bounds, of requests (each reaches any two voters), grants, lost, duplicated and late messages,
// requests that give up the slot, and the passing of time.

const (
	modelStep     = LeaseDuration * 11 / 20
	modelVoters   = 3
	modelGateways = 3
)

// modelBounds limits how often each kind of event may occur in an exploration.
type modelBounds struct {
	steps      int
	restarts   int
	duplicates int
	// requests is the number of requests by gateway.
	requests [2]int
	// inFlight is the maximum number of messages in flight at once.
	inFlight int
}

// flaw is a protocol violation that is injected to check that the exploration detects it.
type flaw int

const (
	noFlaw flaw = iota
	// noWarmup: a restarted voter grants at once.
	noWarmup
	// shortHold: a voter reserves a slot for half of a lease only.
	shortHold
	// keepsOldGrants: a grant still counts after the slot was released.
	keepsOldGrants
	// acceptsOldRequests: a voter answers requests that are older than the last one.
	acceptsOldRequests
	// oneGrantSuffices: the grant of a single voter counts as a majority.
	oneGrantSuffices
	// leaseFromGrant: a lease is measured from when the grant was received.
	leaseFromGrant
	// grantsTwice: a voter grants a slot that another gateway holds.
	grantsTwice
)

// modelMessage is a request or a grant in flight.
type modelMessage struct {
	gateway int
	voter   int
	request *Request
	grant   *Grant
}

// String describes the arrival of the message.
func (m modelMessage) String() string {
	if m.grant != nil {
		return fmt.Sprintf("grant of voter %d arrives at gateway %d", m.voter, m.gateway)
	}
	return fmt.Sprintf("request of gateway %d arrives at voter %d", m.gateway, m.voter)
}

// slotModel is a state of the exploration.
type slotModel struct {
	now        time.Duration
	voters     []*Voter
	holders    []*Holder
	messages   []modelMessage
	requests   [2]int
	restarts   int
	duplicates int
	bounds     modelBounds
}

func newSlotModel(bounds modelBounds) *slotModel {
	m := &slotModel{now: time.Hour, bounds: bounds}
	for range modelVoters {
		m.voters = append(m.voters, withOneSlot(NewVoter(modelGateways, 0)))
	}
	for range 2 {
		h := NewHolder(modelGateways, membership.ID{Incarnation: 1})
		h.requestedSince = h.requestedSince[:1]
		for voter := range h.granted {
			h.granted[voter] = h.granted[voter][:1]
		}
		m.holders = append(m.holders, h)
	}
	return m
}

// withOneSlot removes all slots of a voter but the first.
func withOneSlot(v *Voter) *Voter {
	v.slots = v.slots[:1]
	return v
}

func (m *slotModel) clone() *slotModel {
	c := *m
	c.voters, c.holders, c.messages = nil, nil, slices.Clone(m.messages)
	for _, voter := range m.voters {
		v := *voter
		v.slots, v.lastRequests = slices.Clone(voter.slots), slices.Clone(voter.lastRequests)
		c.voters = append(c.voters, &v)
	}
	for _, holder := range m.holders {
		h := *holder
		h.sentAt = slices.Clone(holder.sentAt)
		h.requested = slices.Clone(holder.requested)
		h.released = slices.Clone(holder.released)
		h.requestedSince = slices.Clone(holder.requestedSince)
		h.granted = nil
		for _, granted := range holder.granted {
			h.granted = append(h.granted, slices.Clone(granted))
		}
		c.holders = append(c.holders, &h)
	}
	return &c
}

// key encodes everything that affects the one slot; states with equal keys are explored once.
func (m *slotModel) key() string {
	key := make([]byte, 0, 128)
	add := func(values ...int) {
		for _, value := range values {
			key = append(key, byte(value+100))
		}
	}
	twentieths := func(d time.Duration) int { return int(max(-9, (d-time.Hour)*100/LeaseDuration/5)) }
	hasSlot := func(s SlotSet) int { return int(s[0] & 1) }
	add(twentieths(m.now), m.requests[0], m.requests[1], m.restarts, m.duplicates)
	for _, v := range m.voters {
		s := &v.slots[0]
		add(twentieths(v.grantsFrom), s.holder, twentieths(s.heldUntil), twentieths(s.ownerDeniedAt))
		add(int(v.lastRequests[0].sequence), int(v.lastRequests[1].sequence))
	}
	for _, h := range m.holders {
		add(int(h.sequence), twentieths(h.sentAt[1]), twentieths(h.sentAt[2]), hasSlot(h.requested))
		add(int(h.requestedSince[0]), int(h.granted[0][0]), int(h.granted[1][0]), int(h.granted[2][0]))
	}
	var messages []int
	for _, message := range m.messages {
		code := message.gateway<<8 | message.voter<<4
		if message.request != nil {
			code |= 1<<12 | int(message.request.Sequence)<<1 | hasSlot(message.request.Slots)
		} else {
			code |= int(message.grant.Sequence)<<1 | hasSlot(message.grant.Slots)
		}
		messages = append(messages, code)
	}
	slices.Sort(messages)
	for _, code := range messages {
		add(code>>8, code&255-100)
	}
	return string(key)
}

// exploration visits all states reachable from a state.
type exploration struct {
	injected flaw
	seen     map[string]bool
}

// explore returns a path to a state in which both gateways hold the slot, or nil if there is none.
func (e *exploration) explore(m *slotModel) []string {
	if m.holders[0].IsHeld(0, m.now) && m.holders[1].IsHeld(0, m.now) {
		return []string{"held twice"}
	}
	key := m.key()
	if e.seen[key] {
		return nil
	}
	e.seen[key] = true
	for gateway := range m.holders {
		for _, wants := range []bool{true, false} {
			if path := e.exploreRequest(m, gateway, wants); path != nil {
				return path
			}
		}
	}
	for i := range m.messages {
		if path := e.exploreDelivery(m, i); path != nil {
			return path
		}
	}
	if int((m.now-time.Hour)/modelStep) < m.bounds.steps {
		if path := e.step(m, "time passes", func(next *slotModel) { next.now += modelStep }); path != nil {
			return path
		}
	}
	if m.restarts < m.bounds.restarts {
		return e.step(m, "voter 2 restarts", func(next *slotModel) { next.restartVoter(2, e.injected) })
	}
	return nil
}

// step applies a change to a copy of a state and explores from there. The description becomes part of the path.
func (e *exploration) step(m *slotModel, description string, change func(*slotModel)) []string {
	next := m.clone()
	change(next)
	if path := e.explore(next); path != nil {
		return append([]string{description}, path...)
	}
	return nil
}

// exploreRequest explores a request of a gateway that is lost on the way to one of the voters, for each voter.
func (e *exploration) exploreRequest(m *slotModel, gateway int, wants bool) []string {
	if m.requests[gateway] >= m.bounds.requests[gateway] || len(m.messages)+2 > m.bounds.inFlight {
		return nil
	}
	if !wants && !m.holders[gateway].requested.Has(0) {
		return nil
	}
	for lost := range modelVoters {
		description := fmt.Sprintf("gateway %d requests the slot: %v; lost to voter %d", gateway, wants, lost)
		path := e.step(m, description, func(next *slotModel) { next.request(gateway, wants, lost) })
		if path != nil {
			return path
		}
	}
	return nil
}

// exploreDelivery explores that a message arrives, that a grant is lost, and that a message is duplicated.
func (e *exploration) exploreDelivery(m *slotModel, i int) []string {
	message := m.messages[i]
	path := e.step(m, message.String(), func(next *slotModel) {
		next.messages = slices.Delete(next.messages, i, i+1)
		next.deliver(message, e.injected)
	})
	if path != nil {
		return path
	}
	if message.grant != nil {
		path := e.step(m, "lost: "+message.String(), func(next *slotModel) {
			next.messages = slices.Delete(next.messages, i, i+1)
		})
		if path != nil {
			return path
		}
	}
	if m.duplicates < m.bounds.duplicates && len(m.messages) < m.bounds.inFlight {
		return e.step(m, "duplicated: "+message.String(), func(next *slotModel) {
			next.duplicates++
			next.deliver(message, e.injected)
		})
	}
	return nil
}

// request sends a request of a gateway to all voters but one.
func (m *slotModel) request(gateway int, wants bool, lost int) {
	wanted := NewSlotSet(modelGateways)
	if wants {
		wanted.Add(0)
	}
	m.requests[gateway]++
	m.holders[gateway].requestedAt = 0
	request, ok := m.holders[gateway].NextRequest(m.now, wanted)
	if !ok {
		return
	}
	for voter := range modelVoters {
		if voter != lost {
			m.messages = append(m.messages, modelMessage{gateway: gateway, voter: voter, request: &request})
		}
	}
}

func (m *slotModel) restartVoter(voter int, injected flaw) {
	m.restarts++
	m.voters[voter] = withOneSlot(NewVoter(modelGateways, m.now))
	if injected == noWarmup {
		m.voters[voter].grantsFrom = 0
	}
}

func (m *slotModel) deliver(message modelMessage, injected flaw) {
	if message.request != nil {
		m.deliverRequest(message, injected)
	} else {
		m.deliverGrant(message, injected)
	}
}

func (m *slotModel) deliverRequest(message modelMessage, injected flaw) {
	voter := m.voters[message.voter]
	switch injected {
	case acceptsOldRequests:
		voter.lastRequests[message.gateway] = receivedRequest{}
	case grantsTwice:
		voter.slots[0].heldUntil = 0
	}
	grant, ok := voter.HandleRequest(m.now, message.gateway, *message.request)
	if injected == shortHold {
		voter.slots[0].heldUntil = min(voter.slots[0].heldUntil, m.now+LeaseDuration/2)
	}
	if ok && grant.Slots.Has(0) {
		answer := modelMessage{gateway: message.gateway, voter: message.voter, grant: &grant}
		m.messages = append(m.messages, answer)
	}
}

func (m *slotModel) deliverGrant(message modelMessage, injected flaw) {
	holder := m.holders[message.gateway]
	grant := *message.grant
	switch injected {
	case keepsOldGrants:
		grant.Sequence = holder.sequence
	case leaseFromGrant:
		holder.sentAt[grant.Sequence%requestHistory] = m.now
	case oneGrantSuffices:
		holder.HandleGrant((message.voter+1)%modelVoters, grant)
	}
	holder.HandleGrant(message.voter, grant)
}

// explorations has the bounds of each exploration: with a restarting voter, with duplicated messages, and two in which
// a gateway can give up the slot and request it again.
var explorations = []modelBounds{
	{steps: 2, restarts: 1, requests: [2]int{1, 1}, inFlight: 3},
	{steps: 2, duplicates: 1, requests: [2]int{1, 1}, inFlight: 3},
	{steps: 1, requests: [2]int{2, 1}, inFlight: 3},
	{requests: [2]int{3, 1}, inFlight: 4},
}

// TestNoInterleavingHoldsSlotTwice verifies that in no interleaving within the bounds two gateways hold the slot at the
// same time.
func TestNoInterleavingHoldsSlotTwice(t *testing.T) {
	skipUnderRaceDetector(t)
	const minStates = 10_000
	for _, bounds := range explorations {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			t.Parallel()
			e := &exploration{injected: noFlaw, seen: map[string]bool{}}
			if path := e.explore(newSlotModel(bounds)); path != nil {
				t.Errorf("%q", path)
			}
			t.Logf("%d states", len(e.seen))
			if len(e.seen) < minStates {
				t.Errorf("only %d states explored", len(e.seen))
			}
		})
	}
}

// skipUnderRaceDetector skips a single-goroutine test that is slow under the race detector.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if race.On {
		t.Skip("single goroutine: nothing for the race detector to find")
	}
}

// TestExplorationFindsFlaws verifies that the exploration detects each injected flaw: two gateways then hold the slot
// at the same time.
func TestExplorationFindsFlaws(t *testing.T) {
	skipUnderRaceDetector(t)
	cases := []struct {
		name     string
		injected flaw
	}{
		{"no warm-up", noWarmup},
		{"short hold", shortHold},
		{"keeps old grants", keepsOldGrants},
		{"accepts old requests", acceptsOldRequests},
		{"one grant suffices", oneGrantSuffices},
		{"lease from the grant", leaseFromGrant},
		{"grants twice", grantsTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, order := 0, slices.Clone(explorations)
			if c.injected == keepsOldGrants || c.injected == acceptsOldRequests { // need a slot that was given up
				slices.Reverse(order)
			}
			for _, bounds := range order {
				e := &exploration{injected: c.injected, seen: map[string]bool{}}
				path := e.explore(newSlotModel(bounds))
				if states += len(e.seen); path != nil {
					t.Logf("%d states: %q", states, path)
					return
				}
			}
			t.Errorf("not found in %d states", states)
		})
	}
}

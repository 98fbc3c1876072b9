package quotalease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gapgap/internal/fake/race"
	"gapgap/internal/membership"
)

// A model of one seat, its own door 0, door 1 that would use it, and three voters of which one may start anew: every interleaving of
// claims (each comes to two voters, whichever), grants, losses, doubles, late messages, a change of mind, and the passing of time is explored, within the bounds below, on the
// code that serves.
const (
	modelStep = LeaseDuration * 11 / 20
	modelMsgs = 3 // under way at once
)

// bounds are how often something may happen.
type bounds struct {
	time, restarts, doubles int
	claims                  [2]int // of each door
	msgs                    int    // under way at once
}

type flaw int

const (
	sound      flaw = iota
	noWarmup        // a voter that has started anew says yes at once
	shortHold       // a voter keeps a seat for half of a lease
	keepsOld        // a yes counts though the seat was given up since
	oldClaims       // a voter heeds a claim that is older than the last
	anyVoter        // one yes is enough
	fromAnswer      // a lease counts from when the answer came
	twiceGiven      // a voter gives a seat to whoever asks
)

type modelMsg struct {
	door, voter int
	claim       *Request
	grant       *Grant
}

type model struct {
	now      time.Duration
	voters   []*Voter
	holders  []*Holder
	msgs     []modelMsg
	claims   [2]int
	restarts int
	doubles  int
	most     bounds
}

func newModel(most bounds) *model {
	m := &model{now: time.Hour, most: most}
	for range 3 {
		m.voters = append(m.voters, one(NewVoter(3, 0)))
	}
	for i := range 2 {
		h := NewHolder(3, i, membership.ID{Incarnation: 1})
		h.requestedSince = h.requestedSince[:1]
		for v := range h.granted {
			h.granted[v] = h.granted[v][:1]
		}
		m.holders = append(m.holders, h)
	}
	return m
}

// one leaves a voter with the one seat.
func one(v *Voter) *Voter {
	v.slots = v.slots[:1]
	return v
}

func (m *model) clone() *model {
	c := *m
	c.voters, c.holders, c.msgs = nil, nil, slices.Clone(m.msgs)
	for _, v := range m.voters {
		n := *v
		n.slots, n.lastRequests = slices.Clone(v.slots), slices.Clone(v.lastRequests)
		c.voters = append(c.voters, &n)
	}
	for _, h := range m.holders {
		n := *h
		n.sentAt, n.requested, n.released, n.requestedSince = slices.Clone(h.sentAt), slices.Clone(h.requested), slices.Clone(h.released), slices.Clone(h.requestedSince)
		n.granted = nil
		for _, y := range h.granted {
			n.granted = append(n.granted, slices.Clone(y))
		}
		c.holders = append(c.holders, &n)
	}
	return &c
}

// key tells states apart by all that matters of the one seat.
func (m *model) key() string {
	b := make([]byte, 0, 128)
	put := func(all ...int) {
		for _, x := range all {
			b = append(b, byte(x+100))
		}
	}
	tenths := func(d time.Duration) int { return int(max(-9, (d-time.Hour)*100/LeaseDuration/5)) }
	has := func(s SlotSet) int { return int(s[0] & 1) }
	put(tenths(m.now), m.claims[0], m.claims[1], m.restarts, m.doubles)
	for _, v := range m.voters {
		s := &v.slots[0]
		put(tenths(v.grantsFrom), s.holder, tenths(s.heldUntil), tenths(s.ownerDeniedAt), int(v.lastRequests[0].sequence), int(v.lastRequests[1].sequence))
	}
	for _, h := range m.holders {
		put(int(h.sequence), tenths(h.sentAt[1]), tenths(h.sentAt[2]), has(h.requested), int(h.requestedSince[0]), int(h.granted[0][0]), int(h.granted[1][0]), int(h.granted[2][0]))
	}
	var all []int
	for _, x := range m.msgs {
		n := x.door<<8 | x.voter<<4
		if x.claim != nil {
			n |= 1<<12 | int(x.claim.Sequence)<<1 | has(x.claim.Slots)
		} else {
			n |= int(x.grant.Sequence)<<1 | has(x.grant.Slots)
		}
		all = append(all, n)
	}
	slices.Sort(all)
	for _, n := range all {
		put(n>>8, n&255-100)
	}
	return string(b)
}

// explore looks at all that may follow and returns a path to a seat that is held twice; nil: there is none.
func explore(m *model, broken flaw, seen map[string]bool) []string {
	if m.holders[0].IsHeld(0, m.now) && m.holders[1].IsHeld(0, m.now) {
		return []string{"held twice"}
	}
	k := m.key()
	if seen[k] {
		return nil
	}
	seen[k] = true
	try := func(what string, do func(*model)) []string {
		n := m.clone()
		do(n)
		if path := explore(n, broken, seen); path != nil {
			return append([]string{what}, path...)
		}
		return nil
	}
	for d := range 2 {
		for _, wants := range []bool{true, false} {
			if m.claims[d] >= m.most.claims[d] || len(m.msgs)+2 > m.most.msgs || !wants && !m.holders[d].requested.Has(0) {
				continue
			}
			for lost := range 3 {
				if p := try(fmt.Sprintf("%d claims %v, but not of %d", d, wants, lost), func(n *model) {
					want := NewSlotSet(3)
					if wants {
						want.Add(0)
					}
					n.claims[d]++
					n.holders[d].requestedAt = 0
					if c, ok := n.holders[d].NextRequest(n.now, want); ok {
						for v := range 3 {
							if v != lost {
								n.msgs = append(n.msgs, modelMsg{door: d, voter: v, claim: &c})
							}
						}
					}
				}); p != nil {
					return p
				}
			}
		}
	}
	for i, x := range m.msgs {
		what := fmt.Sprintf("claim of %d at voter %d", x.door, x.voter)
		if x.grant != nil {
			what = fmt.Sprintf("grant of voter %d at %d", x.voter, x.door)
		}
		if p := try(what, func(n *model) { n.msgs = slices.Delete(n.msgs, i, i+1); n.deliver(x, broken) }); p != nil {
			return p
		}
		if x.grant != nil {
			if p := try("lost: "+what, func(n *model) { n.msgs = slices.Delete(n.msgs, i, i+1) }); p != nil {
				return p
			}
		}
		if m.doubles < m.most.doubles && len(m.msgs) < m.most.msgs {
			if p := try("doubled: "+what, func(n *model) { n.doubles++; n.deliver(x, broken) }); p != nil {
				return p
			}
		}
	}
	if int((m.now-time.Hour)/modelStep) < m.most.time {
		if p := try("time passes", func(n *model) { n.now += modelStep }); p != nil {
			return p
		}
	}
	if m.restarts < m.most.restarts {
		if p := try("voter 2 starts anew", func(n *model) {
			n.restarts++
			n.voters[2] = one(NewVoter(3, n.now))
			if broken == noWarmup {
				n.voters[2].grantsFrom = 0
			}
		}); p != nil {
			return p
		}
	}
	return nil
}

func (m *model) deliver(x modelMsg, broken flaw) {
	if x.claim != nil {
		v := m.voters[x.voter]
		switch broken {
		case oldClaims:
			v.lastRequests[x.door] = receivedRequest{}
		case twiceGiven:
			v.slots[0].heldUntil = 0
		}
		g, ok := v.HandleRequest(m.now, x.door, *x.claim)
		if broken == shortHold {
			v.slots[0].heldUntil = min(v.slots[0].heldUntil, m.now+LeaseDuration/2)
		}
		if ok && g.Slots.Has(0) {
			m.msgs = append(m.msgs, modelMsg{door: x.door, voter: x.voter, grant: &g})
		}
		return
	}
	h := m.holders[x.door]
	g := *x.grant
	switch broken {
	case keepsOld:
		g.Sequence = h.sequence
	case fromAnswer:
		h.sentAt[g.Sequence%requestHistory] = m.now
	case anyVoter:
		h.HandleGrant((x.voter+1)%3, g)
	}
	h.HandleGrant(x.voter, g)
}

// modelled are the explorations: with a voter that starts anew, with doubled messages, and with a change of mind.
var modelled = []bounds{{time: 2, restarts: 1, claims: [2]int{1, 1}, msgs: 3}, {time: 2, doubles: 1, claims: [2]int{1, 1}, msgs: 3},
	{time: 1, claims: [2]int{2, 1}, msgs: 3}, {claims: [2]int{3, 1}, msgs: 4}}

func TestMembersModelOfASeat(t *testing.T) {
	skipRace(t)
	for _, b := range modelled {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			if path := explore(newModel(b), sound, seen); path != nil {
				t.Errorf("%q", path)
			}
			t.Logf("%d states", len(seen))
			if len(seen) < 10_000 {
				t.Errorf("%d states only", len(seen))
			}
		})
	}
}

func skipRace(t *testing.T) {
	if race.On {
		t.Skip("one goroutine")
	}
}

func TestMembersModelFindsFlaws(t *testing.T) {
	skipRace(t)
	for f, name := range map[flaw]string{noWarmup: "no warm-up", shortHold: "short hold", keepsOld: "keeps old", oldClaims: "old claims", anyVoter: "any voter",
		fromAnswer: "from the answer", twiceGiven: "given twice"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, order := 0, slices.Clone(modelled)
			if f == keepsOld || f == oldClaims { // takes a change of mind
				slices.Reverse(order)
			}
			for _, b := range order {
				seen := map[string]bool{}
				path := explore(newModel(b), f, seen)
				if states += len(seen); path != nil {
					t.Logf("%d states: %q", states, path)
					return
				}
			}
			t.Errorf("not found in %d states", states)
		})
	}
}

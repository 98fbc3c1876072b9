// Package cluster is one door's part in a fleet: it knows the others (package members), holds and gives leases (package seats), and says
// what this door may hand out now. Messages and time come in, messages and a [Standing] go out. It does no input or output; a [Node] belongs
// to one goroutine, which drives it by Tick some ten times a second and by Heard.
package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// TickInterval is how often Tick is to be called.
const TickInterval = 50 * time.Millisecond

// Times of a start; ours.
const (
	// minStartDelay is how long a door that has started waits before it takes a part: a second process of its name is told of by then, and what
	// an earlier self has lent (share.LoanHold) is given back.
	minStartDelay = 1100 * time.Millisecond
	maxStartDelay = 2 * time.Second // ... and after so long it does, whoever has answered
)

// Message is what one door tells another: one of its fields is set.
type Message struct {
	Heartbeat *membership.Heartbeat `cbor:"1,keyasint,omitempty"`
	Request   *quotalease.Request   `cbor:"2,keyasint,omitempty"`
	Grant     *quotalease.Grant     `cbor:"3,keyasint,omitempty"`
}

// Outgoing is a message to a door.
type Outgoing struct {
	To            int
	Message       Message
	ReplyToSender bool // to where what it answers came from as well
}

// ShareLease is what this door may hand out.
type ShareLease struct {
	Epoch        uint64        // grows when something is taken away; see Applied
	Fraction     float64       // of what is leased
	Until        time.Duration // it is nothing from then on
	Excluded     bool          // not even what is kept without a lease: it is joining, has left, or is not the process that has its name
	DeadGateways []int         // ranks of doors that do not serve
}

// Config says which door this is, of how many.
type Config struct {
	Index, Gateways int
	ID              membership.ID
}

// Node is one door.
type Node struct {
	config                 Config
	detector               *membership.Detector
	holder                 *quotalease.Holder
	voter                  *quotalease.Voter // nil: this door does not vote
	startedAt              time.Duration
	heardFrom              map[int]bool // doors that have spoken since the start; until it serves
	isServing              bool
	hasReleased, isLeaving bool
	hasDuplicate           bool
	epoch                  uint64
	appliedEpoch           uint64 // the generation that is applied
	requiredEpoch          uint64 // the generation before whose use no claim may give seats up
	deadGateways           []int
}

// New makes a door that has just started.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Node {
	n := &Node{config: cfg, startedAt: now, heardFrom: map[int]bool{}, detector: membership.New(membership.Config{Index: cfg.Index, Gateways: cfg.Gateways, Hubs: quotalease.VoterCount(cfg.Gateways), ID: cfg.ID}, now, rng),
		holder: quotalease.NewHolder(cfg.Gateways, cfg.ID)}
	if cfg.Index < quotalease.VoterCount(cfg.Gateways) {
		n.voter = quotalease.NewVoter(cfg.Gateways, now)
	}
	return n
}

// Tick does what the time brings, and returns what is to be sent.
func (n *Node) Tick(now time.Duration) []Outgoing {
	var out []Outgoing
	if n.isLeaving && !n.hasReleased && n.appliedEpoch >= n.requiredEpoch {
		out = n.announceLeave(now)
	}
	for _, o := range n.detector.Tick(now) {
		out = append(out, Outgoing{To: o.To, Message: Message{Heartbeat: &o.Heartbeat}})
	}
	n.updateView(now)
	if !n.isExcluded() {
		out = append(out, n.requestSlots(now)...)
	}
	return out
}

// isExcluded says that this door takes part in nothing.
func (n *Node) isExcluded() bool { return !n.isServing || n.isLeaving || n.hasDuplicate }

// updateView sees what has become of this door and of the others.
func (n *Node) updateView(now time.Duration) {
	_, rival := n.detector.Duplicate(now)
	if rival && !n.hasDuplicate {
		n.epoch++
		n.holder.ReleaseAll()
	}
	n.hasDuplicate = rival
	if n.detector.ID() != n.config.ID {
		n.config.ID = n.detector.ID()
		n.epoch++
		n.holder.ChangeID(n.config.ID)
	}
	if since := now - n.startedAt; !n.isServing && !rival && (since >= maxStartDelay || since >= minStartDelay && 2*len(n.heardFrom) >= n.config.Gateways-1) {
		n.isServing = true
		n.detector.StartServing(now)
	}
	voters := 0
	for v := range quotalease.VoterCount(n.config.Gateways) {
		if v == n.config.Index || !n.isDead(now, v) {
			voters++
		}
	}
	if 2*voters <= quotalease.VoterCount(n.config.Gateways) {
		return // it is rather this door that is cut off: others are taken to be where they were
	}
	n.deadGateways = n.deadGateways[:0]
	for r := range n.config.Gateways {
		if r != n.config.Index && n.isDead(now, r) {
			n.deadGateways = append(n.deadGateways, r)
		}
	}
}

// isDead says that others may use what a door had. One that was never heard of may still come, for as long as a door is given to die.
func (n *Node) isDead(now time.Duration, rank int) bool {
	switch s := n.detector.State(rank); s {
	case membership.Dead, membership.Left:
		return true
	case membership.Absent:
		return now-n.startedAt >= maxStartDelay
	}
	return false
}

func (n *Node) isActive(rank int) bool {
	s := n.detector.State(rank)
	return s.IsPresent() && s != membership.Joining
}

// requestSlots asks the voters for what this door wants. What it gives up it first ceases to use.
func (n *Node) requestSlots(now time.Duration) []Outgoing {
	want := quotalease.WantedSlots(n.config.Gateways, n.config.Index, func(r int) bool { return n.isDead(now, r) }, n.isActive)
	if n.holder.Release(now, want) {
		n.epoch++
		n.requiredEpoch = n.epoch
	}
	if n.appliedEpoch < n.requiredEpoch {
		want = n.holder.Requested()
	}
	c, ok := n.holder.NextRequest(now, want)
	if !ok {
		return nil
	}
	return n.sendRequest(now, c)
}

func (n *Node) sendRequest(now time.Duration, c quotalease.Request) (out []Outgoing) {
	for v := range quotalease.VoterCount(n.config.Gateways) {
		if v != n.config.Index {
			out = append(out, Outgoing{To: v, Message: Message{Request: &c}})
		} else if g, ok := n.voter.HandleRequest(now, v, c); ok {
			n.holder.HandleGrant(v, g)
		}
	}
	return out
}

// Errors of Heard.
var (
	ErrEmptyMessage = errors.New("message with nothing in it")
	ErrNotVoter     = errors.New("claim to a door that does not vote")
)

// Receive takes a message from a door and returns what is to be sent in answer. An error says what is wrong with it; then it has changed
// nothing.
func (n *Node) Receive(now time.Duration, from int, m Message) ([]Outgoing, error) {
	if from < 0 || from >= n.config.Gateways {
		return nil, fmt.Errorf("message from door %d of %d", from, n.config.Gateways)
	}
	switch {
	case m.Heartbeat != nil:
		if err := n.detector.Validate(from, m.Heartbeat); err != nil {
			return nil, err
		}
		if !n.isServing && from != n.config.Index {
			n.heardFrom[from] = true
		}
		var out []Outgoing
		for _, o := range n.detector.Receive(now, from, *m.Heartbeat) {
			out = append(out, Outgoing{To: o.To, Message: Message{Heartbeat: &o.Heartbeat}, ReplyToSender: o.ReplyToSender})
		}
		n.updateView(now)
		return out, nil
	case m.Request != nil:
		if err := quotalease.ValidateSlots(n.config.Gateways, m.Request.Slots); err != nil {
			return nil, err
		}
		if n.voter == nil {
			return nil, ErrNotVoter
		}
		if n.hasDuplicate || from == n.config.Index {
			return nil, nil
		}
		if g, ok := n.voter.HandleRequest(now, from, *m.Request); ok {
			return []Outgoing{{To: from, Message: Message{Grant: &g}}}, nil
		}
		return nil, nil
	case m.Grant != nil:
		if err := quotalease.ValidateSlots(n.config.Gateways, m.Grant.Slots); err != nil {
			return nil, err
		}
		n.holder.HandleGrant(from, *m.Grant)
		return nil, nil
	}
	return nil, ErrEmptyMessage
}

// ShareLease is what this door may hand out at a time.
func (n *Node) ShareLease(now time.Duration) ShareLease {
	s := ShareLease{Epoch: n.epoch, Excluded: n.isExcluded(), DeadGateways: append([]int(nil), n.deadGateways...)}
	if !s.Excluded {
		s.Fraction, s.Until = n.holder.Fraction(now)
	}
	return s
}

// ConfirmApplied says that all who hand out go by the Standing of a generation, or a later one.
func (n *Node) ConfirmApplied(gen uint64) { n.appliedEpoch = max(n.appliedEpoch, gen) }

// Leave gives all up, as soon as nobody hands out by it any more; Tick then tells the others, until Gone.
func (n *Node) Leave() {
	if !n.isLeaving {
		n.isLeaving = true
		n.epoch++
		n.requiredEpoch = n.epoch
	}
}

// announceLeave tells the voters that this door has no seats.
func (n *Node) announceLeave(now time.Duration) (out []Outgoing) {
	if c, ok := n.holder.NextRequest(now, quotalease.NewSlotSet(n.config.Gateways)); ok && n.isServing && !n.hasDuplicate {
		out = n.sendRequest(now, c)
	}
	n.hasReleased = true
	n.holder.ReleaseAll()
	n.detector.Leave(now)
	return out
}

// HasLeft says that the others have been told that this door leaves.
func (n *Node) HasLeft() bool { return n.detector.HasLeft() }

// Forget takes a door that does not serve as gone for good.
func (n *Node) Forget(now time.Duration, rank int) error { return n.detector.Forget(now, rank) }

// Members tells of all doors as they are seen from here.
func (n *Node) Members() []membership.Member { return n.detector.Members() }

// TakeTransitions returns the transitions since it was last called.
func (n *Node) TakeTransitions() []membership.Transition { return n.detector.TakeTransitions() }

// Duplicate says that another process has this door's name, and goes before it.
func (n *Node) Duplicate(now time.Duration) (membership.ID, bool) { return n.detector.Duplicate(now) }

// ID is this process. It may take a higher incarnation than it started with; Adopted says so once.
func (n *Node) ID() membership.ID { return n.config.ID }

// TakeIncarnationChange says, once, that the incarnation has changed and is to be kept on disk.
func (n *Node) TakeIncarnationChange() bool { return n.detector.TakeIncarnationChange() }

// Slots is how many seats this door holds, of how many.
func (n *Node) Slots(now time.Duration) (held, of int) {
	held, _ = n.holder.Held(now)
	return held, n.config.Gateways * quotalease.SlotsPerGateway(n.config.Gateways)
}

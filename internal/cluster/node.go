package cluster

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// TickInterval is how often [Node.Tick] is to be called.
const TickInterval = 50 * time.Millisecond

// Delays of a start.
const (
	// minStartDelay is how long a gateway waits after its start before it uses a share. By then a duplicate process of
	// its name is known, and loans that an earlier process granted (quotashare.LoanHold) have ended.
	minStartDelay = 1100 * time.Millisecond
	// maxStartDelay is after how long it serves whoever has been heard of.
	maxStartDelay = 2 * time.Second
)

// Config names a gateway and its place in the cluster.
type Config struct {
	// Index is this gateway's position in the list, from 0.
	Index int
	// Gateways is the length of the list.
	Gateways int
	// ID identifies this process.
	ID membership.ID
}

// Node is one gateway of a cluster.
type Node struct {
	config   Config
	detector *membership.Detector
	holder   *quotalease.Holder
	// voter is nil at a gateway that does not vote.
	voter     *quotalease.Voter
	startedAt time.Duration
	// heardFrom are the gateways that were heard from since the start, until this one serves.
	heardFrom map[int]bool
	isServing bool
	// isLeaving is whether Leave was called, and hasReleased whether the slots have been given up since.
	isLeaving   bool
	hasReleased bool
	// hasDuplicate is whether another process of this gateway's name takes precedence.
	hasDuplicate bool
	epochs       epochs
	// deadGateways are the indexes of gateways whose slots others may use.
	deadGateways []int
}

// epochs count the times that something was taken away from this gateway's share.
type epochs struct {
	current uint64
	// applied is the latest epoch that everyone who uses the share goes by.
	applied uint64
	// required is the epoch that must be applied before slots may be given up.
	required uint64
}

// requireNext begins an epoch that must be applied before slots are given up.
func (e *epochs) requireNext() {
	e.current++
	e.required = e.current
}

// mayRelease reports whether nobody uses the slots that are to be given up.
func (e *epochs) mayRelease() bool { return e.applied >= e.required }

// New returns a gateway that has just started.
func New(config Config, now time.Duration, rng *rand.Rand) *Node {
	voters := quotalease.VoterCount(config.Gateways)
	n := &Node{
		config:    config,
		startedAt: now,
		heardFrom: map[int]bool{},
		detector: membership.New(membership.Config{
			Index:    config.Index,
			Gateways: config.Gateways,
			Hubs:     voters,
			ID:       config.ID,
		}, now, rng),
		holder: quotalease.NewHolder(config.Gateways, config.ID),
	}
	if config.Index < voters {
		n.voter = quotalease.NewVoter(config.Gateways, now)
	}
	return n
}

// Tick does what is due and returns the messages to be sent.
func (n *Node) Tick(now time.Duration) []Outgoing {
	var outgoing []Outgoing
	if n.isLeaving && !n.hasReleased && n.epochs.mayRelease() {
		outgoing = n.announceLeave(now)
	}
	outgoing = append(outgoing, asMessages(n.detector.Tick(now))...)
	n.updateView(now)
	if !n.isExcluded() {
		outgoing = append(outgoing, n.requestSlots(now)...)
	}
	return outgoing
}

// updateView updates what this gateway makes of itself and of the others.
func (n *Node) updateView(now time.Duration) {
	n.updateDuplicate(now)
	n.updateID()
	if n.canServe(now) {
		n.isServing = true
		n.detector.StartServing(now)
	}
	if n.seesMajority(now) { // else it is rather this gateway that is cut off: the others count as before
		n.updateDeadGateways(now)
	}
}

// updateDuplicate gives everything up when another process of this gateway's name takes precedence.
func (n *Node) updateDuplicate(now time.Duration) {
	_, hasDuplicate := n.detector.Duplicate(now)
	if hasDuplicate && !n.hasDuplicate {
		n.epochs.current++
		n.holder.ReleaseAll()
	}
	n.hasDuplicate = hasDuplicate
}

// updateID takes an incarnation that the detector has changed.
func (n *Node) updateID() {
	if n.detector.ID() != n.config.ID {
		n.config.ID = n.detector.ID()
		n.epochs.current++
		n.holder.ChangeID(n.config.ID)
	}
}

// canServe reports whether the delay of the start is over: the longer one, or the shorter one if half of the other
// gateways have been heard from.
func (n *Node) canServe(now time.Duration) bool {
	if n.isServing || n.hasDuplicate {
		return false
	}
	uptime := now - n.startedAt
	hasHeardHalf := 2*len(n.heardFrom) >= n.config.Gateways-1
	return uptime >= maxStartDelay || uptime >= minStartDelay && hasHeardHalf
}

// seesMajority reports whether a majority of the voters is not dead, by what this gateway knows.
func (n *Node) seesMajority(now time.Duration) bool {
	voters := quotalease.VoterCount(n.config.Gateways)
	present := 0
	for i := range voters {
		if i == n.config.Index || !n.isDead(now, i) {
			present++
		}
	}
	return 2*present > voters
}

func (n *Node) updateDeadGateways(now time.Duration) {
	n.deadGateways = n.deadGateways[:0]
	for i := range n.config.Gateways {
		if i != n.config.Index && n.isDead(now, i) {
			n.deadGateways = append(n.deadGateways, i)
		}
	}
}

// isDead reports whether others may use a gateway's slots. One that was never heard of may still come for as long as
// the longest delay of a start.
func (n *Node) isDead(now time.Duration, index int) bool {
	switch n.detector.State(index) {
	case membership.Dead, membership.Left:
		return true
	case membership.Absent:
		return now-n.startedAt >= maxStartDelay
	}
	return false
}

// isActive reports whether a gateway uses slots.
func (n *Node) isActive(index int) bool {
	state := n.detector.State(index)
	return state.IsPresent() && state != membership.Joining
}

// Forget takes a gateway as gone until a new process of it is heard of. It returns a *membership.PresentError for one
// that is present.
func (n *Node) Forget(now time.Duration, index int) error { return n.detector.Forget(now, index) }

// Members returns all gateways as they are seen from here, in the order of the list.
func (n *Node) Members() []membership.Member { return n.detector.Members() }

// TakeTransitions returns the transitions of members since it was last called.
func (n *Node) TakeTransitions() []membership.Transition { return n.detector.TakeTransitions() }

// Duplicate returns another process of this gateway's name that takes precedence, if there is one.
func (n *Node) Duplicate(now time.Duration) (membership.ID, bool) { return n.detector.Duplicate(now) }

// ID returns the identity of this process. It may take a higher incarnation than it was started with.
func (n *Node) ID() membership.ID { return n.config.ID }

// TakeIncarnationChange reports, once, that the incarnation has changed and is to be written to disk.
func (n *Node) TakeIncarnationChange() bool { return n.detector.TakeIncarnationChange() }

package cluster

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// TickInterval is how often [Node.Tick] is to be called.
const TickInterval = 50 * time.Millisecond

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
	// applied is the latest epoch that all users of the share have applied.
	applied uint64
	// required is the epoch that must be applied before slots may be given up.
	required uint64
}

// requireNext begins an epoch that must be applied before slots are given up.
func (e *epochs) requireNext() {
	e.current++
	e.required = e.current
}

// mayRelease reports whether the slots that are to be given up are no longer used.
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

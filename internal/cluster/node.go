package cluster

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// TickInterval is how often [Node.Tick] must be called.
const TickInterval = 50 * time.Millisecond

// Config identifies a gateway and its position in the cluster.
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
	// voter is nil if this gateway does not vote.
	voter     *quotalease.Voter
	startedAt time.Duration
	// heardFrom has the other gateways that sent a heartbeat before this one began to serve.
	heardFrom map[int]bool
	isServing bool
	// isLeaving reports whether Leave was called, hasReleased whether the slots have been given up since.
	isLeaving   bool
	hasReleased bool
	// hasDuplicate reports whether another process of the same name takes precedence.
	hasDuplicate bool
	epochs       epochs
	// deadGateways has the indexes of the gateways whose slots others may use.
	deadGateways []int
}

// epochs counts the reductions of this gateway's share and tracks which of them are applied.
type epochs struct {
	current uint64
	// applied is the latest epoch that all users of the share have applied.
	applied uint64
	// required is the epoch that must be applied before any slot may be given up.
	required uint64
}

// requireNext starts an epoch that must be applied before any slot may be given up.
func (e *epochs) requireNext() {
	e.current++
	e.required = e.current
}

// mayRelease reports whether the slots to be given up are no longer in use.
func (e *epochs) mayRelease() bool { return e.applied >= e.required }

// New returns the node of a gateway that has just started.
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

// Tick performs the actions that are due and returns the messages to send.
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

// Forget marks a gateway as left until a heartbeat of a new process of it arrives. It returns a
// *membership.PresentError for a gateway that is present and for this gateway.
func (n *Node) Forget(now time.Duration, index int) error { return n.detector.Forget(now, index) }

// Members returns this gateway's view of all gateways, in list order.
func (n *Node) Members() []membership.Member { return n.detector.Members() }

// TakeTransitions returns the state transitions of members since the last call.
func (n *Node) TakeTransitions() []membership.Transition { return n.detector.TakeTransitions() }

// Duplicate returns the other process of the same name that takes precedence, if there is one.
func (n *Node) Duplicate(now time.Duration) (membership.ID, bool) { return n.detector.Duplicate(now) }

// ID returns the identity of this process. Its incarnation may be higher than the one in Config.
func (n *Node) ID() membership.ID { return n.config.ID }

// TakeIncarnationChange reports, once per change, that the incarnation has changed and must be written to disk.
func (n *Node) TakeIncarnationChange() bool { return n.detector.TakeIncarnationChange() }

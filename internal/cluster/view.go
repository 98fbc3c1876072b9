package cluster

import (
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// Delays after the start of a gateway.
const (
	// minStartDelay is the minimum time between a gateway's start and its use of a share. By then a duplicate process
	// of the same name is known, and loans that an earlier process granted (quotashare.LenderLoanDuration) have ended.
	minStartDelay = 1100 * time.Millisecond
	// maxStartDelay is when a gateway serves regardless of how many other gateways it has heard from.
	maxStartDelay = 2 * time.Second
)

// updateView updates this gateway's view of itself and of the others.
func (n *Node) updateView(now time.Duration) {
	n.updateDuplicate(now)
	n.updateID()
	if n.canServe(now) {
		n.isServing = true
		n.detector.StartServing(now)
	}
	if n.seesMajority(now) { // otherwise this gateway is probably the one cut off, and keeps its view of the others
		n.updateDeadGateways(now)
	}
}

// updateDuplicate gives up all slots when another process of the same name takes precedence.
func (n *Node) updateDuplicate(now time.Duration) {
	_, hasDuplicate := n.detector.Duplicate(now)
	if hasDuplicate && !n.hasDuplicate {
		n.epochs.current++
		n.holder.ReleaseAll()
	}
	n.hasDuplicate = hasDuplicate
}

// updateID adopts the ID of the detector if its incarnation has changed.
func (n *Node) updateID() {
	if n.detector.ID() != n.config.ID {
		n.config.ID = n.detector.ID()
		n.epochs.current++
		n.holder.ChangeID(n.config.ID)
	}
}

// canServe reports whether the start delay is over: maxStartDelay, or minStartDelay if at least half of the other
// gateways have been heard from.
func (n *Node) canServe(now time.Duration) bool {
	if n.isServing || n.hasDuplicate {
		return false
	}
	uptime := now - n.startedAt
	hasHeardHalf := 2*len(n.heardFrom) >= n.config.Gateways-1
	return uptime >= maxStartDelay || uptime >= minStartDelay && hasHeardHalf
}

// seesMajority reports whether a majority of the voters is not dead in this gateway's view.
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

// updateDeadGateways recomputes which gateways' slots others may use.
func (n *Node) updateDeadGateways(now time.Duration) {
	n.deadGateways = n.deadGateways[:0]
	for i := range n.config.Gateways {
		if i != n.config.Index && n.isDead(now, i) {
			n.deadGateways = append(n.deadGateways, i)
		}
	}
}

// isDead reports whether others may use a gateway's slots. A gateway that was never heard of counts as dead only after
// maxStartDelay, since it may still be starting.
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

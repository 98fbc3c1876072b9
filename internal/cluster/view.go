package cluster

import (
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// Delays of a start.
const (
	// minStartDelay is how long a gateway waits after its start before it uses a share. By then a duplicate process of
	// its name is known, and loans that an earlier process granted (quotashare.LenderLoanDuration) have ended.
	minStartDelay = 1100 * time.Millisecond
	// maxStartDelay is after how long it serves, however few other gateways it has heard from.
	maxStartDelay = 2 * time.Second
)

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

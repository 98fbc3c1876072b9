package cluster

import (
	"slices"
	"time"

	"gapgap/internal/quotalease"
)

// ShareLease is the share of the quotas that a gateway may use.
type ShareLease struct {
	// Epoch increases when the share is reduced; see [Node.ConfirmApplied].
	Epoch uint64
	// Fraction is the leased fraction of the shared quota, from 0 to 1.
	Fraction float64
	// Until is when the lease ends, by this gateway's clock.
	Until time.Duration
	// Excluded reports that the gateway may not use even the share that needs no lease, because it is joining or
	// leaving, or because another process of the same name takes precedence.
	Excluded bool
	// DeadGateways has the indexes of the gateways whose share others may use.
	DeadGateways []int
}

// ShareLease returns the share that this gateway may use.
func (n *Node) ShareLease(now time.Duration) ShareLease {
	lease := ShareLease{
		Epoch:        n.epochs.current,
		Excluded:     n.isExcluded(),
		DeadGateways: slices.Clone(n.deadGateways),
	}
	if !lease.Excluded {
		lease.Fraction, lease.Until = n.holder.Fraction(now)
	}
	return lease
}

// isExcluded reports whether this gateway may use no share at all; see [ShareLease].
func (n *Node) isExcluded() bool { return !n.isServing || n.isLeaving || n.hasDuplicate }

// ConfirmApplied records that all users of the share have applied the ShareLease of an epoch, or a later one.
func (n *Node) ConfirmApplied(epoch uint64) { n.epochs.applied = max(n.epochs.applied, epoch) }

// Slots returns how many slots this gateway holds, and the total number of slots.
func (n *Node) Slots(now time.Duration) (held, total int) {
	held, _ = n.holder.Held(now)
	return held, n.config.Gateways * quotalease.SlotsPerGateway(n.config.Gateways)
}

// requestSlots requests the slots that this gateway wants. While unwanted slots are still in use, it repeats the last
// request, which names them.
func (n *Node) requestSlots(now time.Duration) []Outgoing {
	isDead := func(index int) bool { return n.isDead(now, index) }
	wanted := quotalease.WantedSlots(n.config.Gateways, n.config.Index, isDead, n.isActive)
	if n.holder.Release(now, wanted) {
		n.epochs.requireNext()
	}
	if !n.epochs.mayRelease() {
		wanted = n.holder.Requested()
	}
	request, ok := n.holder.NextRequest(now, wanted)
	if !ok {
		return nil
	}
	return n.sendRequest(now, request)
}

// sendRequest returns a request to each remote voter. This gateway's own voter, if any, answers at once.
func (n *Node) sendRequest(now time.Duration, request quotalease.Request) []Outgoing {
	var outgoing []Outgoing
	for voter := range quotalease.VoterCount(n.config.Gateways) {
		if voter != n.config.Index {
			outgoing = append(outgoing, Outgoing{To: voter, Message: Message{Request: &request}})
		} else if grant, ok := n.voter.HandleRequest(now, voter, request); ok {
			n.holder.HandleGrant(voter, grant)
		}
	}
	return outgoing
}

// Leave gives up the share once it is no longer in use. Tick then announces that this gateway leaves, until HasLeft
// returns true.
func (n *Node) Leave() {
	if !n.isLeaving {
		n.isLeaving = true
		n.epochs.requireNext()
	}
}

// HasLeft reports whether this gateway has announced to the others that it leaves.
func (n *Node) HasLeft() bool { return n.detector.HasLeft() }

// announceLeave gives up all slots and returns the messages that inform the voters.
func (n *Node) announceLeave(now time.Duration) []Outgoing {
	var outgoing []Outgoing
	request, ok := n.holder.NextRequest(now, quotalease.NewSlotSet(n.config.Gateways))
	if ok && n.isServing && !n.hasDuplicate {
		outgoing = n.sendRequest(now, request)
	}
	n.hasReleased = true
	n.holder.ReleaseAll()
	n.detector.Leave(now)
	return outgoing
}

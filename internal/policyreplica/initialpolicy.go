package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

const (
	// initialChangeID is the ID of the change that introduces a fleet's first policy.
	initialChangeID = "begin"
	// initialProposalInterval is the interval at which the initial policy is proposed again.
	initialProposalInterval = time.Second
)

// initialProposal is the state of a leader's proposal of its own policy to a fleet without one.
type initialProposal struct {
	// query is the number of the open query that carries the proposal; zero: none.
	query uint64
	// nextAt is the earliest time of the next proposal.
	nextAt time.Duration
}

// proposeInitialPolicy proposes this gateway's own policy if this gateway is the leader and the fleet has no policy.
func (r *Replica) proposeInitialPolicy(now time.Duration) {
	proposal := &r.initialProposal
	hasPolicy := r.node.State().Current.Number > 0
	if hasPolicy && proposal.query > 0 {
		r.node.EndQuery(proposal.query)
		proposal.query = 0
	}
	if hasPolicy || !r.isLeader() || now < proposal.nextAt {
		return
	}
	proposal.nextAt = now + initialProposalInterval
	document, err := r.config.InitialPolicy()
	if err == nil {
		err = r.documents.store(document)
	}
	if err != nil {
		r.config.Log.Error("initial policy could not be proposed", "error", err)
		return
	}
	r.node.EndQuery(proposal.query)
	// If too many queries are open, the number is zero and the proposal is repeated later.
	proposal.query, _ = r.node.StartQuery(policy.Query{ChangeID: initialChangeID, Change: r.initialChange(document)})
}

func (r *Replica) initialChange(document []byte) *policy.Change {
	change := &policy.Change{
		ID:         initialChangeID,
		Hash:       policy.HashOf(document),
		Bytes:      int64(len(document)),
		Author:     r.config.Name,
		ProposedAt: wallMilliseconds(),
		Source:     uint16(r.config.Index),
		Initial:    true,
	}
	if r.config.Fence {
		change.Mode = policy.Fence
	}
	return change
}

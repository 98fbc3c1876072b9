package peer

import (
	"time"

	"gapgap/internal/membership"
)

// View is a gateway's view of the cluster. Its JSON encoding is part of the control socket's protocol.
type View struct {
	Name        string `json:"name"`
	Incarnation uint32 `json:"incarnation"`
	// Fraction is the fraction of the shared quotas that this gateway has leased.
	Fraction float64 `json:"part"`
	// Excluded is whether this gateway must not use any share.
	Excluded bool `json:"out"`
	// HasDuplicate is whether another process of this gateway's name takes precedence.
	HasDuplicate bool `json:"rival,omitempty"`
	// WrongClock is whether this gateway makes no counter calls because its clock is wrong.
	WrongClock bool     `json:"wrong_clock,omitempty"`
	Gateways   []Member `json:"doors"`
	epoch      uint64
}

// Member is the state of one gateway as seen by this gateway and by the others.
type Member struct {
	Name        string    `json:"name"`
	State       string    `json:"state"`
	Cause       string    `json:"cause"`
	Since       time.Time `json:"since"`
	Incarnation uint32    `json:"incarnation"`
	// Fraction is the leased fraction that the member has reported; nil means that it has not replied.
	Fraction *float64 `json:"part,omitempty"`
	// SeenBy has the member's state as seen by each gateway that has replied, by the names of these gateways.
	SeenBy map[string]string `json:"seen_by,omitempty"`
	// Recovery is the startup step that the member has reported.
	Recovery string `json:"recovery,omitempty"`
	// Disagree is whether some of the gateways that have replied consider the member present and others do not.
	Disagree bool `json:"disagree,omitempty"`
}

// IsPresent reports whether the gateway has been heard of recently, which its state shows.
func (m *Member) IsPresent() bool {
	switch m.State {
	case membership.Alive.String(), membership.Joining.String(), membership.Returned.String():
		return true
	}
	return false
}

// updateDisagree sets Disagree according to SeenBy.
func (m *Member) updateDisagree() {
	present := 0
	for _, state := range m.SeenBy {
		switch state {
		case membership.Dead.String(), membership.Left.String(), membership.Absent.String():
		default:
			present++
		}
	}
	m.Disagree = present > 0 && present < len(m.SeenBy)
}

// View returns the last published view of the cluster. It is safe for concurrent use.
func (t *Transport) View() *View { return t.view.Load() }

// publish makes the current view and identity available to other goroutines.
func (t *Transport) publish(now time.Duration) {
	lease, id := t.shareLease(now), t.node.ID()
	t.id.Store(&id)
	view := &View{
		Name:         t.config.Name,
		Incarnation:  id.Incarnation,
		Fraction:     lease.Fraction,
		Excluded:     lease.Excluded,
		HasDuplicate: t.hasDuplicate,
		WrongClock:   t.clock.isWrong,
		epoch:        lease.Epoch,
	}
	for _, member := range t.node.Members() {
		view.Gateways = append(view.Gateways, Member{
			Name:        t.names[member.Index],
			State:       member.State.String(),
			Cause:       member.Cause,
			Since:       time.Now().Add(member.Since - now),
			Incarnation: member.ID.Incarnation,
		})
	}
	t.view.Store(view)
}

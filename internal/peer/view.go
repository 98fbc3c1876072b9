package peer

import (
	"time"

	"gapgap/internal/membership"
)

// View is how a gateway sees the cluster. Its JSON form is part of the control socket's protocol.
type View struct {
	Name        string `json:"name"`
	Incarnation uint32 `json:"incarnation"`
	// Fraction is the fraction of the common quotas that this gateway has leased.
	Fraction float64 `json:"part"`
	// Excluded is whether it uses no share at all.
	Excluded bool `json:"out"`
	// HasDuplicate is whether another process of its name takes precedence.
	HasDuplicate bool `json:"rival,omitempty"`
	// WrongClock is whether it makes no calls to the counter, as its clock is wrong.
	WrongClock bool     `json:"wrong_clock,omitempty"`
	Gateways   []Member `json:"doors"`
	epoch      uint64
}

// Member is one gateway as this one sees it, and as the others do.
type Member struct {
	Name        string    `json:"name"`
	State       string    `json:"state"`
	Cause       string    `json:"cause"`
	Since       time.Time `json:"since"`
	Incarnation uint32    `json:"incarnation"`
	// Fraction is the fraction that it says it has leased; nil means that it has not answered.
	Fraction *float64 `json:"part,omitempty"`
	// SeenBy is how it is seen, by the names of the gateways that have answered.
	SeenBy map[string]string `json:"seen_by,omitempty"`
	// Recovery is the step of the recovery that it says it is at.
	Recovery string `json:"recovery,omitempty"`
	// Disagree is whether some of the gateways that have answered take it to be present and some do not.
	Disagree bool `json:"disagree,omitempty"`
}

// IsPresent reports whether the gateway was heard of a moment ago.
func (m *Member) IsPresent() bool {
	switch m.State {
	case membership.Alive.String(), membership.Joining.String(), membership.Returned.String():
		return true
	}
	return false
}

// updateDisagree compares how the gateways that have answered see the member.
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

// View returns how this gateway saw the cluster when that last changed. Any goroutine may call it.
func (t *Transport) View() *View { return t.view.Load() }

// publish makes the present view and identity available to other goroutines.
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

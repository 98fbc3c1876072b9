package policy

import (
	"fmt"
	"maps"
	"slices"

	"gapgap/internal/membership"
)

// RecoveryVersionSkip is added to the version number by a recovery. Gateways never switch to a lower number, so the
// result has to exceed any number that only the lost voters knew of.
const RecoveryVersionSkip = 1000

// State is the result of applying all log entries up to an index. It is identical on all voters.
type State struct {
	// Current is the current version.
	Current Version `cbor:"1,keyasint"`
	// Participants maps a gateway's index to the ID of its process that may decide.
	Participants map[uint16]membership.ID `cbor:"2,keyasint"`
	// Pending is the change that is being decided; nil if none.
	Pending *Change `cbor:"3,keyasint,omitempty"`
	// Outcomes holds the last MaxOutcomes decided changes, oldest first.
	Outcomes []Outcome `cbor:"4,keyasint"`
	// Mode is set by the initial change. With Fence, all gateways hold leases.
	Mode Mode `cbor:"5,keyasint,omitempty"`
}

// NewState returns the state of an empty log.
func NewState() *State { return &State{Participants: map[uint16]membership.ID{}} }

// FindOutcome returns the outcome of the change with the given ID, or nil if it is unknown.
func (s *State) FindOutcome(id string) *Outcome {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].Change.ID == id {
			return &s.Outcomes[i]
		}
	}
	return nil
}

// MayDecide reports whether a process may decide by the current version.
func (s *State) MayDecide(process Process) bool { return s.Participants[process.Gateway] == process.ID }

// Processes returns the processes that may decide, ordered by the index of their gateway.
func (s *State) Processes() (all []Process) {
	for _, gateway := range slices.Sorted(maps.Keys(s.Participants)) {
		all = append(all, Process{Gateway: gateway, ID: s.Participants[gateway]})
	}
	return all
}

// Apply applies the entry with the given log index. An entry that does not fit the state has no effect, for example a
// commit that misses a participant, a second decision on a change, or a proposal with a known ID.
func (s *State) Apply(index uint64, e Entry) {
	switch {
	case e.Propose != nil:
		s.propose(index, *e.Propose)
	case e.Join != nil:
		s.join(*e.Join)
	case e.Leave != nil:
		s.leave(*e.Leave)
	case e.Commit != nil:
		s.commit(*e.Commit)
	case e.Abort != nil:
		s.abort(*e.Abort)
	case e.Recovery != nil:
		s.recover(*e.Recovery)
	case e.SwitchReport != nil:
		s.addSwitchReport(*e.SwitchReport)
	}
}

// propose makes a change pending, or commits it at once if it is the initial one. A change that conflicts with the
// state is aborted at once. Invalid changes and those with a known ID are ignored.
func (s *State) propose(index uint64, c Change) {
	isPending := s.Pending != nil && s.Pending.ID == c.ID
	if c.Validate() != nil || s.FindOutcome(c.ID) != nil || isPending {
		return
	}
	c.Index = index
	if reason := s.conflict(&c); reason != "" {
		s.addOutcome(Outcome{Change: c, Reason: reason, DecidedAt: c.ProposedAt})
		return
	}
	if !c.Initial {
		s.Pending = &c
		return
	}
	s.Current = Version{Number: 1, Hash: c.Hash}
	s.Mode = c.Mode
	s.addOutcome(Outcome{Change: c, Committed: true, Version: 1, DecidedAt: c.ProposedAt})
}

// conflict returns why a change can't be decided in this state, or an empty string if it can. The text is part of the
// replicated state.
func (s *State) conflict(c *Change) string {
	switch {
	case c.Initial && s.Current.Number > 0:
		return fmt.Sprintf("the fleet has a policy, version %d", s.Current.Number)
	case c.Initial:
		return ""
	case s.Current.Number == 0:
		return "the fleet has not begun"
	case s.Pending != nil:
		return fmt.Sprintf(
			"it conflicts with the change %q by %q, which is being decided",
			s.Pending.ID,
			s.Pending.Author,
		)
	case c.Mode == Fence && s.Mode != Fence:
		return "the doors of this fleet hold no leases, so none can be fenced: its mode is wait"
	case c.Base != s.Current.Number:
		return fmt.Sprintf("it changes version %d, and the present one is %d", c.Base, s.Current.Number)
	}
	return ""
}

// join lets a process decide, and replaces an earlier process of its gateway.
func (s *State) join(p Process) {
	previous, ok := s.Participants[p.Gateway]
	if s.Current.Number > 0 && (!ok || previous.Before(p.ID)) {
		s.Participants[p.Gateway] = p.ID
	}
}

// leave removes a process from those that may decide.
func (s *State) leave(p Process) {
	if s.MayDecide(p) {
		delete(s.Participants, p.Gateway)
	}
}

// commit makes the pending change the current version if the entry names every process that may decide.
func (s *State) commit(entry Commit) {
	change := s.Pending
	if change == nil || change.Index != entry.Index || len(entry.Fenced) > 0 && change.Mode != Fence {
		return
	}
	for _, p := range s.Processes() {
		if !slices.Contains(entry.Locked, p) && !slices.Contains(entry.Fenced, p) {
			return
		}
	}
	for _, p := range entry.Fenced {
		s.leave(p)
	}
	s.Pending = nil
	s.Current = Version{Number: s.Current.Number + 1, Hash: change.Hash}
	s.addOutcome(Outcome{
		Change:    *change,
		Committed: true,
		Version:   s.Current.Number,
		DecidedAt: entry.DecidedAt,
		Locked:    entry.Locked,
		Fenced:    entry.Fenced,
	})
}

// abort ends the pending change without committing it.
func (s *State) abort(entry Abort) {
	change := s.Pending
	if change == nil || change.Index != entry.Index {
		return
	}
	s.Pending = nil
	s.addOutcome(Outcome{Change: *change, Reason: entry.Reason, DecidedAt: entry.DecidedAt})
}

// recover aborts the pending change and raises the version number.
func (s *State) recover(entry Recovery) {
	if s.Pending != nil {
		const reason = "a majority of the voters' disks was given up while it was decided"
		s.abort(Abort{Index: s.Pending.Index, Reason: reason, DecidedAt: entry.RecoveredAt})
	}
	if s.Current.Number == 0 {
		return
	}
	change := Change{
		ID:         fmt.Sprint("recover-", entry.RecoveredAt),
		Base:       s.Current.Number,
		Hash:       s.Current.Hash,
		Mode:       s.Mode,
		Author:     entry.Author,
		ProposedAt: entry.RecoveredAt,
		Note:       "a majority of the voters' disks was given up; versions that only they knew of are lost",
	}
	s.Current.Number += RecoveryVersionSkip
	s.addOutcome(Outcome{Change: change, Committed: true, Version: s.Current.Number, DecidedAt: entry.RecoveredAt})
}

// addSwitchReport adds the switch times to the outcome of the version, if that outcome is still kept.
func (s *State) addSwitchReport(entry SwitchReport) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		outcome := &s.Outcomes[i]
		if !outcome.Committed || outcome.Version != entry.Version {
			continue
		}
		outcome.SwitchedAt = maps.Clone(outcome.SwitchedAt)
		if outcome.SwitchedAt == nil {
			outcome.SwitchedAt = map[uint16]int64{}
		}
		maps.Copy(outcome.SwitchedAt, entry.SwitchedAt)
		return
	}
}

func (s *State) addOutcome(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if excess := len(s.Outcomes) - MaxOutcomes; excess > 0 {
		s.Outcomes = slices.Clone(s.Outcomes[excess:])
	}
}

package policy

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/membership"
)

// successors collects the successor states of a model.
type successors struct {
	from *model
	bug  injectedBug
	all  []*model
}

// next returns all successor states.
func (m *model) next(bug injectedBug) []*model {
	s := &successors{from: m, bug: bug}
	s.advanceClock()
	for i := range m.participants {
		s.sendRequest(i)
		s.finishWrites(i)
		s.crash(i)
	}
	s.changeLeader()
	s.proposeChange()
	s.proposeEntries()
	s.applyEntries()
	s.deliverMessages()
	return s.all
}

// add adds the state that a step leads to, unless it is out of bounds.
func (s *successors) add(step func(*model)) {
	to := s.from.clone()
	step(to)
	to.violation = to.check()
	if len(to.messages) <= to.bounds.messages && len(to.entries) <= to.bounds.entries {
		s.all = append(s.all, to)
	}
}

func (s *successors) advanceClock() {
	if s.from.bounds.ticks == 0 {
		return
	}
	s.add(func(m *model) {
		m.bounds.ticks--
		m.now += m.bounds.clockStep
	})
}

// sendRequest sends a status request. With the bug staleLeader it also sends one to the deposed leader.
func (s *successors) sendRequest(i int) {
	b := &s.from.bounds
	if s.from.participants[i].requests >= b.requests || len(s.from.messages) >= b.messages {
		return
	}
	for _, stale := range []bool{false, true} {
		if stale && (s.bug != staleLeader || s.from.staleState == nil) {
			continue
		}
		s.add(func(m *model) {
			request := m.participants[i].StatusRequest(m.now)
			m.participants[i].requests++
			m.messages = append(m.messages, modelMessage{request: &request, toStaleLeader: stale})
		})
	}
}

// finishWrites makes documents durable that, with the bug voteNotDurable, were prepared before they were durable.
func (s *successors) finishWrites(i int) {
	if s.bug != voteNotDurable {
		return
	}
	p := s.from.participants[i]
	for hash := range p.prepared {
		if !p.disk[hash] {
			s.add(func(m *model) { m.participants[i].disk[hash] = true })
		}
	}
}

func (s *successors) crash(i int) {
	if s.from.bounds.crashes > 0 {
		s.add(func(m *model) { m.crash(i, s.bug) })
	}
}

func (s *successors) changeLeader() {
	if s.from.bounds.leaderChanges == 0 {
		return
	}
	s.add(func(m *model) {
		m.bounds.leaderChanges--
		if s.bug == staleLeader {
			m.staleState = cloneState(m.state)
		}
		m.coordinator = NewCoordinator(m.now, time.Hour)
	})
}

// proposeChange proposes another change. With the bug idForgotten it also proposes the first one again, as if its ID
// were unknown.
func (s *successors) proposeChange() {
	if s.from.state.Pending != nil {
		return
	}
	if s.from.bounds.changes > 0 {
		s.add(func(m *model) { m.propose(2) })
	}
	if s.bug == idForgotten {
		s.add(func(m *model) {
			m.state.Outcomes = nil
			m.index++
			m.state.Apply(m.index, Entry{Propose: &Change{ID: "c1", Base: 1, Hash: hashN(2), Mode: m.bounds.mode}})
		})
	}
}

// proposeEntries proposes the entries that the coordinator, or an injected bug, proposes in this state and that are not
// proposed yet.
func (s *successors) proposeEntries() {
	if len(s.from.entries) >= s.from.bounds.entries {
		return
	}
	for _, e := range s.from.clone().proposals(s.bug) {
		isProposed := slices.ContainsFunc(s.from.entries, func(other Entry) bool {
			return fmt.Sprint(other.Commit, other.Join, other.Abort) == fmt.Sprint(e.Commit, e.Join, e.Abort)
		})
		if e.SwitchReport != nil || isProposed {
			continue
		}
		s.add(func(m *model) {
			m.recordProposal(&e, s.bug)
			m.entries = append(m.entries, e)
		})
	}
}

// proposals returns the entries to propose in this state. It modifies the coordinator.
func (m *model) proposals(bug injectedBug) []Entry {
	clear(m.coordinator.proposedAt)
	entries := m.coordinator.Tick(m.now, m.state, 0)
	pending := m.state.Pending
	if pending == nil {
		return entries
	}
	prepared := func(status *participantStatus, change uint64) bool { return status.request.Prepared == change }
	if bug == commitUnlocked && len(m.coordinator.missing(m.now, m.state, prepared)) == 0 {
		entries = append(entries, Entry{Commit: &Commit{Index: pending.Index, Locked: m.state.Processes()}})
	}
	if bug == fencesAtOnce {
		entries = append(entries, Entry{Commit: &Commit{Index: pending.Index, Fenced: m.state.Processes()}})
	}
	return entries
}

// recordProposal modifies the coordinator as its Tick does when it proposes the entry.
func (m *model) recordProposal(e *Entry, bug injectedBug) {
	changeIndex := uint64(0)
	if m.state.Pending != nil {
		changeIndex = m.state.Pending.Index
	}
	if m.coordinator.changeIndex != changeIndex {
		m.coordinator.changeIndex = changeIndex
		clear(m.coordinator.fenced)
	}
	if e.Commit == nil || bug == renewsWhileCommitting {
		return
	}
	for _, p := range e.Commit.Fenced {
		m.coordinator.fenced[p] = true
	}
}

// applyEntries applies any one of the proposed entries. An entry that is never applied was lost with its leader.
func (s *successors) applyEntries() {
	for i, e := range s.from.entries {
		s.add(func(m *model) {
			m.entries = slices.Delete(slices.Clone(m.entries), i, i+1)
			m.index++
			if s.bug == joinUnnoticed && e.Commit != nil {
				commit := *e.Commit
				commit.Locked = m.state.Processes()
				e.Commit = &commit
			}
			m.state.Apply(m.index, e)
		})
	}
}

// deliverMessages delivers any one of the messages, which may be duplicated.
func (s *successors) deliverMessages() {
	for i, message := range s.from.messages {
		for _, duplicate := range []bool{false, true} {
			if duplicate && s.from.bounds.duplicates == 0 {
				continue
			}
			s.add(func(m *model) {
				m.messages = slices.Delete(slices.Clone(m.messages), i, i+1)
				if duplicate {
					m.messages = append(m.messages, message)
					m.bounds.duplicates--
				}
				m.deliver(message, s.bug)
			})
		}
	}
}

// crash restarts a participant, which keeps only the documents on its disk.
func (m *model) crash(i int, bug injectedBug) {
	m.bounds.crashes--
	p := m.participants[i]
	p.incarnation++
	version := p.version
	p.Participant = NewParticipant(Process{Gateway: uint16(i), ID: membership.ID{Incarnation: p.incarnation}})
	p.lastSentAt, p.lastReplyTo = m.now-1, m.now-1
	for hash := range p.disk {
		p.prepared[hash] = true
	}
	if bug == trustsDisk {
		p.version, p.decidesUntil = version, NoExpiry
	}
}

// deliver delivers a request to a leader, which replies, or a reply to its participant.
func (m *model) deliver(message modelMessage, bug injectedBug) {
	if message.request == nil {
		m.deliverReply(message.reply, bug)
		return
	}
	state := m.state
	if message.toStaleLeader {
		state = m.staleState
	} else {
		m.coordinator.ReceiveStatus(m.now, *message.request)
	}
	reply := m.coordinator.Reply(m.now, state, *message.request)
	m.messages = append(m.messages, modelMessage{reply: &reply})
}

// deliverReply delivers a reply to its participant, which prepares a missing document at once.
func (m *model) deliverReply(reply *StatusReply, bug injectedBug) {
	p := m.participants[reply.Process.Gateway]
	before := p.decidesUntil
	to, ok := p.ReceiveReply(m.now, *reply)
	if hash, _, isMissing := p.MissingDocument(); isMissing {
		if bug != voteNotDurable {
			p.disk[hash] = true
		}
		p.DocumentPrepared(hash)
		if p.required.Number > 0 && reply.MayDecide {
			to, ok = p.required, true
		}
	}
	if bug == leaseFromReply && p.decidesUntil != NoExpiry && p.decidesUntil > before {
		p.decidesUntil += m.now - reply.RequestSentAt
	}
	if ok {
		p.SwitchTo(to, reply.RequestSentAt, 0)
	}
}

package policy

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
	"time"
)

// modelKey is a hash that identifies a state of the model.
type modelKey [2]uint64

var modelSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// Markers that separate the parts of a key, so that an absent part is unambiguous.
const (
	entryMarker       = 96
	messageMarker     = 97
	participantMarker = 98
	logMarker         = 99
)

// keyWriter encodes everything in a model that can affect its successors. Times are encoded relative to now, so that
// states that differ only in the time have the same key.
type keyWriter struct {
	b   []byte
	now time.Duration
}

func (w *keyWriter) numbers(values ...uint64) {
	for _, value := range values {
		w.b = binary.AppendUvarint(w.b, value)
	}
}

func (w *keyWriter) boolean(v bool) {
	if v {
		w.numbers(1)
	} else {
		w.numbers(2)
	}
}

// relativeTime encodes a time relative to now. All times more than an hour ago have the same encoding.
func (w *keyWriter) relativeTime(t time.Duration) uint64 {
	if t == NoExpiry {
		return 1
	}
	return uint64(max(0, t-w.now+time.Hour) + 2)
}

func (w *keyWriter) process(p Process) {
	w.numbers(uint64(p.Gateway), uint64(p.ID.Incarnation))
}

func (w *keyWriter) state(s *State) {
	if s == nil {
		w.numbers(0)
		return
	}
	w.numbers(1, s.Current.Number, uint64(len(s.Outcomes)))
	if s.Pending != nil {
		w.numbers(s.Pending.Index)
	}
	w.numbers(0)
	for _, p := range s.Processes() {
		w.process(p)
	}
}

func (w *keyWriter) participant(p *modelParticipant) {
	w.numbers(uint64(p.incarnation), uint64(p.requests), w.relativeTime(p.lastSentAt), w.relativeTime(p.lastReplyTo))
	w.numbers(p.version.Number, w.relativeTime(p.decidesUntil), p.lockedChange, w.relativeTime(p.lockedAt))
	w.numbers(p.pending.Index, p.required.Number, uint64(len(p.prepared)), uint64(len(p.disk)))
}

func (w *keyWriter) request(r *StatusRequest) {
	w.process(r.Process)
	w.numbers(w.relativeTime(r.SentAt), r.Version, r.Prepared, r.Rejected, r.Locked)
}

func (w *keyWriter) reply(r *StatusReply) {
	w.numbers(w.relativeTime(r.RequestSentAt))
	w.process(r.Process)
	w.numbers(r.Current.Number)
	if r.Pending != nil {
		w.numbers(r.Pending.Index)
	}
}

// coordinator encodes the state of the leader, and what it has fenced among the processes that may decide.
func (w *keyWriter) coordinator(c *Coordinator, s *State, participants int) {
	w.numbers(w.relativeTime(c.leadingSince), c.changeIndex, uint64(len(c.fenced)))
	for gateway := range uint16(participants) {
		if c.fenced[Process{Gateway: gateway, ID: s.Participants[gateway]}] {
			w.numbers(uint64(gateway))
		}
	}
	for gateway := range uint16(participants) {
		if status := c.statuses[gateway]; status != nil {
			w.request(&status.request)
			w.numbers(w.relativeTime(status.lastReadAt))
		}
		w.numbers(participantMarker)
	}
}

func (w *keyWriter) message(m *modelMessage) {
	w.numbers(messageMarker)
	if m.request != nil {
		w.request(m.request)
	} else {
		w.reply(m.reply)
	}
	w.boolean(m.request != nil)
	w.boolean(m.toStaleLeader)
	w.boolean(m.reply != nil && m.reply.MayDecide)
	w.boolean(m.reply != nil && m.reply.Lock)
}

func (w *keyWriter) entry(e *Entry) {
	w.numbers(entryMarker)
	switch {
	case e.Commit != nil:
		w.numbers(1, e.Commit.Index)
		for _, p := range slices.Concat(e.Commit.Locked, e.Commit.Fenced) {
			w.process(p)
		}
		w.numbers(uint64(len(e.Commit.Fenced)))
	case e.Abort != nil:
		w.numbers(2, e.Abort.Index)
	case e.Join != nil:
		w.numbers(3)
		w.process(*e.Join)
	}
}

// key returns the key of the model's state.
func (m *model) key() (k modelKey) {
	w := &keyWriter{b: make([]byte, 0, 512), now: m.now}
	w.state(m.state)
	w.state(m.staleState)
	w.numbers(logMarker, m.index)
	for _, p := range m.participants {
		w.participant(p)
	}
	w.coordinator(m.coordinator, m.state, len(m.participants))
	for i := range m.messages {
		w.message(&m.messages[i])
	}
	for i := range m.entries {
		w.entry(&m.entries[i])
	}
	for version := uint64(2); version < 5; version++ {
		if t, ok := m.firstDecidedAt[version]; ok {
			w.numbers(version, w.relativeTime(t))
		}
	}
	b := &m.bounds
	w.numbers(uint64(b.ticks), uint64(b.crashes), uint64(b.leaderChanges), uint64(b.duplicates), uint64(b.changes+9))
	for i := range k {
		k[i] = maphash.Bytes(modelSeeds[i], w.b)
	}
	return k
}

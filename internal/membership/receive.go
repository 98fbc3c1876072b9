package membership

import (
	"fmt"
	"time"
)

// replyInterval is the minimum time between two replies to outdated processes.
const replyInterval = HeartbeatInterval

// Receive processes a heartbeat that has passed Validate. If the sender is an outdated process of its name, Receive
// returns a reply that informs it of the newer process.
func (d *Detector) Receive(now time.Duration, from int, heartbeat Heartbeat) []Outgoing {
	d.advance(now)
	isOutdated := from != d.config.Index && heartbeat.Entries[0].ID.Before(d.members[from].ID)
	for _, entry := range heartbeat.Entries {
		if int(entry.Index) == d.config.Index {
			d.receiveOwnEntry(now, entry)
		} else {
			d.receiveEntry(now, entry)
		}
	}
	for i := range d.members {
		if heartbeat.hasAliveBit(i) && i != d.config.Index {
			d.receiveAliveBit(now, &d.members[i])
		}
	}
	if !isOutdated || now < d.nextReply || d.duplicate != nil {
		return nil
	}
	d.nextReply = now + replyInterval
	reply := Heartbeat{Entries: []Entry{d.self().entry(now), d.members[from].entry(now)}}
	return []Outgoing{{To: from, Heartbeat: reply, ReplyToSender: true}}
}

// receiveEntry applies an entry of another gateway, unless it is older than what is known.
func (d *Detector) receiveEntry(now time.Duration, entry Entry) {
	m := &d.members[entry.Index]
	isNewProcess := m.LastHeard == 0 || m.ID.Before(entry.ID)
	isOutdated := entry.ID.Before(m.ID) || !isNewProcess && entry.Counter <= m.counter
	hasLeft := m.phase == Leaving || m.isForgotten
	if isOutdated || hasLeft && !isNewProcess {
		return
	}
	heardAt := max(1, now-time.Duration(entry.AgeMillis)*time.Millisecond)
	if isNewProcess {
		m.firstHeard = now
	} else {
		heardAt = max(heardAt, m.LastHeard)
	}
	m.ID, m.counter, m.phase, m.isForgotten = entry.ID, entry.Counter, entry.Phase, false
	if m.LastHeard == 0 || entry.Phase == Leaving {
		m.LastHeard = heardAt
	}
	isRecent := now-heardAt < DeadTimeout
	switch {
	case entry.Phase == Leaving:
		d.transition(now, m, Left, causeAnnounced)
	case entry.Phase == Starting && isRecent:
		m.LastHeard = heardAt
		d.transition(now, m, Joining, fmt.Sprintf(causeStartedAs, entry.ID.Incarnation))
	default:
		if isNewProcess && isRecent && m.State.IsPresent() && m.State != Joining {
			d.transition(now, m, Returned, fmt.Sprintf(causeRestartedAs, entry.ID.Incarnation))
		}
		d.recordAlive(now, m, heardAt)
	}
}

// receiveAliveBit processes an alive bit of a member, which was set by a counter at most aliveBitAge old.
func (d *Detector) receiveAliveBit(now time.Duration, m *member) {
	if m.LastHeard > 0 && m.phase != Leaving && !m.isForgotten {
		d.recordAlive(now, m, max(m.LastHeard, now-aliveBitAge))
	}
}

// recordAlive records that a member was alive at heardAt and updates its state if that is recent enough.
func (d *Detector) recordAlive(now time.Duration, m *member, heardAt time.Duration) {
	m.LastHeard = max(m.LastHeard, heardAt)
	if now-m.LastHeard >= SuspectTimeout {
		return
	}
	switch m.State {
	case Suspect:
		d.transition(now, m, Alive, causeHeardAgain)
	case Dead, Left:
		d.transition(now, m, Returned, causeHeardAgain)
	case Absent, Joining:
		d.transition(now, m, Alive, causeServes)
	}
}

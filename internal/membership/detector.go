package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timeouts of the failure detector.
const (
	// HeartbeatInterval is the time between two rounds of heartbeats of a gateway.
	HeartbeatInterval = 200 * time.Millisecond
	// SuspectTimeout is how long a gateway's counter may stay unchanged before the gateway is suspect.
	SuspectTimeout = 1100 * time.Millisecond
	// DeadTimeout is how long a gateway's counter may stay unchanged before the gateway is dead.
	DeadTimeout = 1500 * time.Millisecond

	// returnedPeriod is how long a gateway that came back is shown as returned.
	returnedPeriod = 10 * time.Second
	// stallThreshold is the time between two calls above which this process must itself have been suspended.
	stallThreshold = 2 * HeartbeatInterval
	// leaveHeartbeats is the number of heartbeat rounds that announce that this gateway leaves.
	leaveHeartbeats = 3
)

// Config identifies a gateway and its position in the cluster.
type Config struct {
	// Index is this gateway's position in the list, from 0.
	Index int
	// Gateways is the length of the list, at most 65,536.
	Gateways int
	// Hubs is the number of gateways, from the start of the list, that exchange heartbeats with all others in a large
	// cluster.
	Hubs int
	// ID identifies this process.
	ID ID
}

// Detector is one gateway's view of the cluster. Tick and Receive update it.
type Detector struct {
	config  Config
	rng     *rand.Rand
	members []member
	// lastCall is the latest time that a caller supplied.
	lastCall time.Duration
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat time.Duration
	// nextReply is the earliest time of the next reply to an outdated process.
	nextReply time.Duration
	// phase is what this gateway announces about itself.
	phase Phase
	// leaveAnnounced counts the heartbeat rounds that announced that this gateway leaves.
	leaveAnnounced int
	// heartbeatsSent counts heartbeat rounds.
	heartbeatsSent int
	// nextEntry is the gateway whose entry was gossiped last in turn, in a large cluster; the next heartbeat continues
	// after it.
	nextEntry int
	// duplicate is another process of the same name that takes precedence, or nil.
	duplicate *duplicateProcess
	// hasNewIncarnation reports whether the incarnation has changed since the last TakeIncarnationChange.
	hasNewIncarnation bool
	transitions       []Transition
}

// New returns a detector that has not heard from any other gateway.
func New(config Config, now time.Duration, rng *rand.Rand) *Detector {
	d := &Detector{
		config:        config,
		rng:           rng,
		members:       make([]member, config.Gateways),
		lastCall:      now,
		nextHeartbeat: now,
	}
	for i := range d.members {
		d.members[i].Member = Member{Index: i, Since: now, Cause: causeNeverHeard}
	}
	self := d.self()
	self.ID = config.ID
	self.State = Joining
	self.LastHeard = now
	self.Cause = causeStarted
	return d
}

// ID returns the identity of this process. Its incarnation may be higher than the one in Config.
func (d *Detector) ID() ID { return d.config.ID }

// StartServing announces that this gateway serves requests.
func (d *Detector) StartServing(now time.Duration) {
	if d.phase == Starting {
		d.phase = Serving
		d.transition(now, d.self(), Alive, causeServes)
	}
}

// Leave announces in the next heartbeats that this gateway leaves, until HasLeft returns true.
func (d *Detector) Leave(now time.Duration) {
	if d.phase != Leaving {
		d.phase = Leaving
		d.nextHeartbeat = now
		d.transition(now, d.self(), Left, causeLeaves)
	}
}

// HasLeft reports whether enough heartbeats have announced that this gateway leaves.
func (d *Detector) HasLeft() bool { return d.leaveAnnounced >= leaveHeartbeats }

// PresentError is returned for a gateway that cannot be forgotten because it is present or is this gateway.
type PresentError struct {
	// Index is the gateway's position in the list.
	Index int
	// State is the gateway's state.
	State State
}

// Error implements error.
func (e *PresentError) Error() string { return fmt.Sprintf("door %d is %v", e.Index, e.State) }

// Forget marks a gateway as left until a heartbeat of a new process of it arrives. It returns a *PresentError for a
// gateway that is present and for this gateway.
func (d *Detector) Forget(now time.Duration, index int) error {
	m := &d.members[index]
	if m.State.IsPresent() || index == d.config.Index {
		return &PresentError{Index: index, State: m.State}
	}
	m.isForgotten = true
	d.transition(now, m, Left, causeForgotten)
	return nil
}

// TakeTransitions returns the transitions since the last call.
func (d *Detector) TakeTransitions() []Transition {
	transitions := d.transitions
	d.transitions = nil
	return transitions
}

// State returns the state of a gateway.
func (d *Detector) State(index int) State { return d.members[index].State }

// Members returns all gateways in list order.
func (d *Detector) Members() []Member {
	members := make([]Member, len(d.members))
	for i := range d.members {
		members[i] = d.members[i].Member
	}
	return members
}

// self returns this gateway's own member.
func (d *Detector) self() *member { return &d.members[d.config.Index] }

// isLarge reports whether the cluster has too many gateways for one heartbeat to hold an entry for each.
func (d *Detector) isLarge() bool { return d.config.Gateways > MaxEntries }

// transition changes a member's state. The number of recorded transitions is bounded in case no caller takes them.
func (d *Detector) transition(now time.Duration, m *member, to State, cause string) {
	if m.State == to {
		return
	}
	if len(d.transitions) < 4*len(d.members) {
		d.transitions = append(d.transitions, Transition{Index: m.Index, From: m.State, To: to, Cause: cause, ID: m.ID})
	}
	m.State, m.Cause, m.Since = to, cause, now
}

// advance moves the time forward. A process that was suspended received nothing in the meantime, so the missed time is
// added to when each other gateway was last heard from: their silence says nothing about them.
func (d *Detector) advance(now time.Duration) {
	if missed := now - d.lastCall; missed > stallThreshold {
		for i := range d.members {
			if m := &d.members[i]; m.LastHeard > 0 {
				m.LastHeard = min(now, m.LastHeard+missed)
			}
		}
		if d.duplicate != nil {
			d.duplicate.lastHeard = min(now, d.duplicate.lastHeard+missed)
		}
	}
	d.lastCall = max(d.lastCall, now)
}

// Tick updates the state of all gateways and returns the heartbeats that are due. It must be called several times per
// HeartbeatInterval.
func (d *Detector) Tick(now time.Duration) []Outgoing {
	d.advance(now)
	d.expireDuplicate(now)
	for i := range d.members {
		if i != d.config.Index {
			d.expireMember(now, &d.members[i])
		}
	}
	if now < d.nextHeartbeat || d.duplicate != nil || d.HasLeft() {
		return nil
	}
	d.nextHeartbeat = max(d.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2)
	return d.sendHeartbeats(now)
}

// expireMember marks a member suspect or dead if its counter has not increased for too long, and ends its Returned
// state after returnedPeriod.
func (d *Detector) expireMember(now time.Duration, m *member) {
	if m.State == Left || m.State == Dead || m.State == Absent {
		return
	}
	switch silence := now - m.LastHeard; {
	case silence >= DeadTimeout:
		d.transition(now, m, Dead, fmt.Sprintf(causeSilentFor, DeadTimeout))
	case silence >= SuspectTimeout:
		d.transition(now, m, Suspect, fmt.Sprintf(causeSilentFor, SuspectTimeout))
	case m.State == Returned && now-m.Since >= returnedPeriod:
		m.State = Alive // not recorded as a transition: operators need not act on it
	}
}

// sendHeartbeats increments this gateway's counter and returns a round of heartbeats.
func (d *Detector) sendHeartbeats(now time.Duration) []Outgoing {
	self := d.self()
	self.counter++
	self.LastHeard, self.phase = now, d.phase
	d.heartbeatsSent++
	full := d.Heartbeat(now)
	ownOnly := Heartbeat{Entries: full.Entries[:1]}
	var outgoing []Outgoing
	for _, to := range d.targets() {
		heartbeat := full
		if d.isLarge() && to < d.config.Hubs && !d.isHub() {
			heartbeat = ownOnly // hubs hear from every gateway directly
		}
		outgoing = append(outgoing, Outgoing{To: to, Heartbeat: heartbeat})
	}
	if d.phase == Leaving {
		d.leaveAnnounced++
	}
	return outgoing
}

package membership

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timeouts of the failure detector.
const (
	// HeartbeatInterval is the time between two heartbeats of a gateway.
	HeartbeatInterval = 200 * time.Millisecond
	// SuspectTimeout is after how long without a higher counter a gateway is suspect.
	SuspectTimeout = 1100 * time.Millisecond
	// DeadTimeout is after how long without a higher counter a gateway is dead.
	DeadTimeout = 1500 * time.Millisecond

	// returnedPeriod is for how long a gateway that came back is shown as returned.
	returnedPeriod = 10 * time.Second
	// stallThreshold is the time between two calls from which on this process itself must have been suspended.
	stallThreshold = 2 * HeartbeatInterval
	// leaveHeartbeats is how many heartbeats announce that this gateway leaves.
	leaveHeartbeats = 3
)

// Config names a gateway and its place in the cluster.
type Config struct {
	// Index is this gateway's position in the list, from 0.
	Index int
	// Gateways is the length of the list; at most 65,536.
	Gateways int
	// Hubs is how many of the first gateways exchange heartbeats with all others in a large cluster.
	Hubs int
	// ID identifies this process.
	ID ID
}

// Detector is what one gateway knows of the cluster. It is changed by Tick and Receive.
type Detector struct {
	config  Config
	rng     *rand.Rand
	members []member
	// lastCall is the latest time that was handed in.
	lastCall time.Duration
	// nextHeartbeat is when the next heartbeat is due.
	nextHeartbeat time.Duration
	// nextReply is the earliest time of the next reply to an outdated process.
	nextReply time.Duration
	// phase is what this gateway announces of itself.
	phase Phase
	// leaveAnnounced counts heartbeats that announced that this gateway leaves.
	leaveAnnounced int
	// heartbeatsSent counts rounds of heartbeats.
	heartbeatsSent int
	// nextEntry is the gateway after which entries are gossiped next, in a large cluster.
	nextEntry int
	// duplicate is another process of this gateway's name that takes precedence; nil means none.
	duplicate *duplicateProcess
	// hasNewIncarnation is whether the incarnation has changed since TakeIncarnationChange.
	hasNewIncarnation bool
	transitions       []Transition
}

// New returns a detector that has heard of no other gateway.
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

// ID returns the identity of this process. Its incarnation may be higher than that of the Config.
func (d *Detector) ID() ID { return d.config.ID }

// StartServing announces that this gateway serves.
func (d *Detector) StartServing(now time.Duration) {
	if d.phase == Starting {
		d.phase = Serving
		d.transition(now, d.self(), Alive, causeServes)
	}
}

// Leave announces by the next heartbeats that this gateway leaves, until HasLeft.
func (d *Detector) Leave(now time.Duration) {
	if d.phase != Leaving {
		d.phase = Leaving
		d.nextHeartbeat = now
		d.transition(now, d.self(), Left, causeLeaves)
	}
}

// HasLeft reports whether enough heartbeats have announced that this gateway leaves.
func (d *Detector) HasLeft() bool { return d.leaveAnnounced >= leaveHeartbeats }

// PresentError is returned for a gateway that cannot be forgotten, as it is present or is this one.
type PresentError struct {
	// Index is the gateway's position in the list.
	Index int
	// State is how it is seen.
	State State
}

// Error implements error.
func (e *PresentError) Error() string { return fmt.Sprintf("door %d is %v", e.Index, e.State) }

// Forget takes a gateway as gone until a new process of it is heard of. It returns a *PresentError for a gateway that
// is present, and for this one.
func (d *Detector) Forget(now time.Duration, index int) error {
	m := &d.members[index]
	if m.State.IsPresent() || index == d.config.Index {
		return &PresentError{Index: index, State: m.State}
	}
	m.isForgotten = true
	d.transition(now, m, Left, causeForgotten)
	return nil
}

// TakeTransitions returns the transitions since it was last called.
func (d *Detector) TakeTransitions() []Transition {
	transitions := d.transitions
	d.transitions = nil
	return transitions
}

// State returns how a gateway is seen.
func (d *Detector) State(index int) State { return d.members[index].State }

// Members returns all gateways in the order of the list.
func (d *Detector) Members() []Member {
	members := make([]Member, len(d.members))
	for i := range d.members {
		members[i] = d.members[i].Member
	}
	return members
}

// self returns this gateway's own member.
func (d *Detector) self() *member { return &d.members[d.config.Index] }

// isLarge reports whether the cluster is too large for an entry of each gateway in a heartbeat.
func (d *Detector) isLarge() bool { return d.config.Gateways > MaxEntries }

// transition changes a member's state. Transitions that nobody takes are bounded.
func (d *Detector) transition(now time.Duration, m *member, to State, cause string) {
	if m.State == to {
		return
	}
	if len(d.transitions) < 4*len(d.members) {
		d.transitions = append(d.transitions, Transition{Index: m.Index, From: m.State, To: to, Cause: cause, ID: m.ID})
	}
	m.State, m.Cause, m.Since = to, cause, now
}

// advance moves the time on. A process that was suspended has heard nothing meanwhile and concludes nothing from that:
// the time that it missed is given to all others.
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

// Tick judges all gateways and returns the heartbeats that are due. It is to be called several times in
// HeartbeatInterval.
func (d *Detector) Tick(now time.Duration) []Outgoing {
	d.advance(now)
	d.expireDuplicate(now)
	for i := range d.members {
		if i != d.config.Index {
			d.judge(now, &d.members[i])
		}
	}
	if now < d.nextHeartbeat || d.duplicate != nil || d.HasLeft() {
		return nil
	}
	d.nextHeartbeat = max(d.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2)
	return d.sendHeartbeats(now)
}

// judge changes the state of a member that was not heard of for too long.
func (d *Detector) judge(now time.Duration, m *member) {
	if m.State == Left || m.State == Dead || m.State == Absent {
		return
	}
	switch silence := now - m.LastHeard; {
	case silence >= DeadTimeout:
		d.transition(now, m, Dead, fmt.Sprintf(causeSilentFor, DeadTimeout))
	case silence >= SuspectTimeout:
		d.transition(now, m, Suspect, fmt.Sprintf(causeSilentFor, SuspectTimeout))
	case m.State == Returned && now-m.Since >= returnedPeriod:
		m.State = Alive // not logged: nobody needs to act on it
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
			heartbeat = ownOnly // each gateway tells the hubs of itself
		}
		outgoing = append(outgoing, Outgoing{To: to, Heartbeat: heartbeat})
	}
	if d.phase == Leaving {
		d.leaveAnnounced++
	}
	return outgoing
}

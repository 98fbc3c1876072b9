// Package membership is what one door of a fleet knows of the others: who is there and who has failed. Doors gossip heartbeats (van Renesse,
// Minsky, Hayden, "A Gossip-Style Failure Detection Service", 1998): each counts up, each message carries the counts that its sender
// knows, and a door is judged by how long its count has not grown here, by whatever way the news came.
//
// Nothing here does input or output. The caller hands in the time, a random source and what came, and sends what is returned. All times
// are those of one clock that does not go back and runs on while the process is stopped; other doors may have other clocks. A [Table]
// belongs to one goroutine.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Times and bounds; ours. docs/design/members.md has what they were measured to give.
const (
	HeartbeatInterval = 200 * time.Millisecond
	SuspectTimeout    = 1100 * time.Millisecond // without news of a count that grew
	DeadTimeout       = 1500 * time.Millisecond // ... and no more is hoped for
	settles           = 10 * time.Second        // a door that came back is called returned for so long
	fanout            = 8                       // doors that one beat goes to, some of them by chance among those that are gone
	MaxEntries        = 64                      // in one beat, the freshest first: it stays in one packet
	stalled           = 2 * HeartbeatInterval   // a turn that comes so late says that this door stood still
	leaves            = 3                       // beats in which a door says that it leaves
	answersEach       = HeartbeatInterval       // pause between answers to beats of an earlier self
	freshest          = 600 * time.Millisecond  // a bit of Alive is worth this much less than its coming
	others            = 2                       // doors beside the hubs that a beat goes to, where doors are many
	changedFor        = 2 * time.Second         // a new process of a door is told of first for so long
)

// ID tells one process of a door from its earlier and from its false selves.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint32   // grows with each start, and outlives it
	Nonce       uint32   // by chance; tells two processes that have one disk's state apart
}

// Before says that another process's word goes before this one's.
func (a ID) Before(b ID) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Nonce, b.Nonce)) < 0
}

// Phase is what a door says of itself.
type Phase uint8

const (
	Starting Phase = iota // it does not yet know whether it is the only one of its name
	Serving
	Leaving // it goes for good, until it is started again
	phases
)

// Entry is the news of one door.
type Entry struct {
	_         struct{} `cbor:",toarray"`
	Index     uint16
	ID        ID
	Counter   uint32
	Phase     Phase
	AgeMillis uint16 // milliseconds since its sender heard of the count, by its clock
}

// Heartbeat is one message: its sender's own entry first.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Entries []Entry
	// AliveBits has a bit for each door of which its sender has heard within freshest, where doors are too many for an entry each. Empty: not told.
	AliveBits []byte
}

// State is how a door is seen from here.
type State uint8

const (
	Absent   State = iota // never heard of since this door has started
	Joining               // there, not yet serving
	Alive                 //
	Returned              // alive again, after it was dead or had left
	Suspect               // not heard of for a while
	Dead                  // not heard of for too long
	Left                  // it has said so, or an operator has
	states
)

var stateNames = [states]string{"absent", "joining", "alive", "returned", "suspect", "dead", "left"}

func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent says whether a door in the state is taken to be there.
func (s State) IsPresent() bool { return s == Joining || s == Alive || s == Returned || s == Suspect }

// Member is one door as seen from here.
type Member struct {
	Index     int
	State     State
	Cause     string
	Since     time.Duration // on this door's clock
	ID        ID
	LastHeard time.Duration // when its count last grew here; 0: never
}

// Transition is a transition, for a line of the log.
type Transition struct {
	Index    int
	From, To State
	Cause    string
	ID       ID
}

// Outgoing is a beat to a door.
type Outgoing struct {
	To            int
	Heartbeat     Heartbeat
	ReplyToSender bool // to where the beat that it answers came from as well: that may be a second process of one name, at an address in no file
}

// Config says which door this is, of how many.
type Config struct {
	Index, Gateways int // ranks are from 0; at most 65,536 doors
	Hubs            int // the first so many doors hear of all and tell all, where doors are many
	ID              ID
}

type member struct {
	Member
	count  uint32
	phase  Phase
	came   time.Duration // when its process was first heard of
	forgot bool          // an operator says that it is gone for good
}

// rival is another process with this door's name.
type rival struct {
	id     ID
	count  uint32
	grewAt time.Duration
}

// Detector is what one door knows.
type Detector struct {
	cfg      Config
	rng      *rand.Rand
	all      []member
	begun    time.Duration
	lastAt   time.Duration
	beatAt   time.Duration
	answerAt time.Duration
	phase    Phase
	left     int // beats that have said so
	beats    int
	next     int // rank from which on entries are told next, where doors are many
	rival    *rival
	changes  []Transition
	adopted  bool
}

// New makes a table that knows nothing yet.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Detector {
	t := &Detector{cfg: cfg, rng: rng, all: make([]member, cfg.Gateways), begun: now, lastAt: now, beatAt: now}
	for i := range t.all {
		t.all[i].Member = Member{Index: i, Since: now, Cause: "not heard of yet"}
	}
	own := &t.all[cfg.Index]
	own.ID, own.State, own.LastHeard, own.Cause = cfg.ID, Joining, now, "started"
	return t
}

// ID is this process.
func (t *Detector) ID() ID { return t.cfg.ID }

// StartServing says that this door serves.
func (t *Detector) StartServing(now time.Duration) {
	if t.phase == Starting {
		t.phase = Serving
		t.set(now, &t.all[t.cfg.Index], Alive, "serves")
	}
}

// Leave says that this door goes: further beats tell the others, until Gone.
func (t *Detector) Leave(now time.Duration) {
	if t.phase != Leaving {
		t.phase, t.beatAt = Leaving, now
		t.set(now, &t.all[t.cfg.Index], Left, "leaves")
	}
}

// HasLeft says that what Leave had to tell has been told.
func (t *Detector) HasLeft() bool { return t.left >= leaves }

// Forget takes a door as gone for good until it is heard of as a new process. It returns an error while the door is there.
func (t *Detector) Forget(now time.Duration, rank int) error {
	m := &t.all[rank]
	if m.State.IsPresent() || rank == t.cfg.Index {
		return fmt.Errorf("door %d is %v", rank, m.State)
	}
	m.forgot = true
	t.set(now, m, Left, "forgotten by an operator")
	return nil
}

// Duplicate is another process that has this door's name and goes before this one, while it lives: this door then takes part in nothing.
func (t *Detector) Duplicate(now time.Duration) (ID, bool) {
	if t.rival == nil || now-t.rival.grewAt >= DeadTimeout {
		return ID{}, false
	}
	return t.rival.id, true
}

// TakeIncarnationChange says, once, that this door has taken a higher incarnation than it was started with, as an earlier self had that: what is
// kept of it on disk must follow before anything is sent.
func (t *Detector) TakeIncarnationChange() bool {
	a := t.adopted
	t.adopted = false
	return a
}

// TakeTransitions returns the transitions since it was last called.
func (t *Detector) TakeTransitions() []Transition {
	c := t.changes
	t.changes = nil
	return c
}

// State is how a door is seen now.
func (t *Detector) State(rank int) State { return t.all[rank].State }

// Members tells of all doors, by rank.
func (t *Detector) Members() []Member {
	out := make([]Member, len(t.all))
	for i := range t.all {
		out[i] = t.all[i].Member
	}
	return out
}

// set makes a transition.
func (t *Detector) set(now time.Duration, m *member, to State, cause string) {
	if m.State == to {
		return
	}
	if len(t.changes) < 4*len(t.all) {
		t.changes = append(t.changes, Transition{m.Index, m.State, to, cause, m.ID})
	}
	m.State, m.Cause, m.Since = to, cause, now
}

// turn moves the clock on. A door that stood still has heard nothing meanwhile, and concludes nothing from that.
func (t *Detector) turn(now time.Duration) {
	if missed := now - t.lastAt; missed > stalled {
		for i := range t.all {
			if m := &t.all[i]; m.LastHeard > 0 {
				m.LastHeard = min(now, m.LastHeard+missed)
			}
		}
		if t.rival != nil {
			t.rival.grewAt = min(now, t.rival.grewAt+missed)
		}
		t.begun = min(now, t.begun+missed)
	}
	t.lastAt = max(t.lastAt, now)
}

// Tick does what the time brings: judges, and returns the beats that are due. It is to be called some times in BeatEvery.
func (t *Detector) Tick(now time.Duration) []Outgoing {
	t.turn(now)
	if r := t.rival; r != nil && now-r.grewAt >= DeadTimeout { // it was an earlier self, or is gone
		t.adopt(r.id)
	}
	for i := range t.all {
		m := &t.all[i]
		if i == t.cfg.Index || m.State == Left || m.State == Dead || m.State == Absent {
			continue
		}
		switch quiet := now - m.LastHeard; {
		case quiet >= DeadTimeout:
			t.set(now, m, Dead, fmt.Sprintf("no sign of life for %v", DeadTimeout))
		case quiet >= SuspectTimeout:
			t.set(now, m, Suspect, fmt.Sprintf("no sign of life for %v", SuspectTimeout))
		case m.State == Returned && now-m.Since >= settles:
			m.State = Alive // no transition that anybody needs to hear of
		}
	}
	if now < t.beatAt || t.rival != nil || t.HasLeft() {
		return nil
	}
	t.beatAt = max(t.beatAt+HeartbeatInterval, now+HeartbeatInterval/2)
	own := &t.all[t.cfg.Index]
	own.count++
	own.LastHeard, own.phase = now, t.phase
	t.beats++
	beat, small := t.Heartbeat(now), Heartbeat{}
	if t.many() {
		small = Heartbeat{Entries: beat.Entries[:1]}
	}
	var out []Outgoing
	for _, to := range t.targets() {
		if t.many() && to < t.cfg.Hubs && t.cfg.Index >= t.cfg.Hubs { // hubs have it from each door itself
			out = append(out, Outgoing{To: to, Heartbeat: small})
		} else {
			out = append(out, Outgoing{To: to, Heartbeat: beat})
		}
	}
	if t.phase == Leaving {
		t.left++
	}
	return out
}

// many says that doors are too many for an entry each in a beat.
func (t *Detector) many() bool { return t.cfg.Gateways > MaxEntries }

// targets are the doors that a beat goes to: all where they are few or this door leaves, else some by chance. Where they are many the
// hubs hear of each from itself, and each hub tells half of all doors in turns.
func (t *Detector) targets() []int {
	if t.many() && t.phase != Leaving {
		var to []int
		for i := range t.all {
			if i != t.cfg.Index && (i < t.cfg.Hubs || t.cfg.Index < t.cfg.Hubs && (i+t.beats)%2 == 0) {
				to = append(to, i)
			}
		}
		for range others {
			if i := t.rng.IntN(t.cfg.Gateways); i != t.cfg.Index {
				to = append(to, i)
			}
		}
		return to
	}
	var there, gone []int
	for i := range t.all {
		switch m := &t.all[i]; {
		case i == t.cfg.Index:
		case m.State.IsPresent():
			there = append(there, i)
		default:
			gone = append(gone, i)
		}
	}
	if t.phase == Leaving || len(there)+len(gone) <= fanout {
		return append(there, gone...)
	}
	pick := func(from []int, n int) []int {
		t.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		return from[:min(n, len(from))]
	}
	few := fanout / 4 // of those that are not there: a joiner, or the other half of a fleet that was cut, is found by them
	if len(there) < fanout-few {
		few = fanout - len(there)
	}
	return append(pick(there, fanout-min(few, len(gone))), pick(gone, few)...)
}

// Heartbeat is what this door tells: itself, then news of others. What is older than a life is no news. Where doors are many, new processes
// go first, then a part of the others in turns, and a bit each for who is there.
func (t *Detector) Heartbeat(now time.Duration) Heartbeat {
	b := Heartbeat{Entries: []Entry{t.all[t.cfg.Index].entry(now)}}
	if !t.many() {
		for i := range t.all {
			if m := &t.all[i]; m.news(now) && i != t.cfg.Index {
				b.Entries = append(b.Entries, m.entry(now))
			}
		}
		return b
	}
	b.AliveBits = make([]byte, (len(t.all)+7)/8)
	for i := range t.all {
		m := &t.all[i]
		if !m.news(now) {
			continue
		}
		if m.phase != Leaving && now-m.LastHeard < freshest {
			b.AliveBits[i/8] |= 1 << (i % 8)
		}
		if i != t.cfg.Index && now-m.came < changedFor && len(b.Entries) < MaxEntries/2 {
			b.Entries = append(b.Entries, m.entry(now))
		}
	}
	for range t.all {
		t.next = (t.next + 1) % len(t.all)
		if m := &t.all[t.next]; len(b.Entries) < MaxEntries && m.news(now) && now-m.came >= changedFor && t.next != t.cfg.Index {
			b.Entries = append(b.Entries, m.entry(now))
		}
		if len(b.Entries) == MaxEntries {
			break
		}
	}
	return b
}

func (m *member) news(now time.Duration) bool {
	return m.LastHeard > 0 && now-m.LastHeard < DeadTimeout && !m.forgot
}

func (m *member) entry(now time.Duration) Entry {
	return Entry{Index: uint16(m.Index), ID: m.ID, Counter: m.count, Phase: m.phase, AgeMillis: uint16(min(max(0, now-m.LastHeard).Milliseconds(), math.MaxUint16))}
}

// Validate says what is wrong with a beat that came.
func (t *Detector) Validate(from int, b *Heartbeat) error {
	if len(b.Entries) == 0 || len(b.Entries) > MaxEntries || int(b.Entries[0].Index) != from {
		return fmt.Errorf("beat of %d entries", len(b.Entries))
	}
	if n := len(b.AliveBits); n > 0 && n != (len(t.all)+7)/8 {
		return fmt.Errorf("beat with bits of %d bytes", n)
	}
	for _, e := range b.Entries {
		if int(e.Index) >= len(t.all) || e.Phase >= phases || e.Counter == 0 {
			return fmt.Errorf("beat with an entry of rank %d, phase %d, count %d", e.Index, e.Phase, e.Counter)
		}
	}
	return nil
}

// Receive takes a beat from a door and returns one to send back, if that door speaks as an earlier self. The beat has passed Check.
func (t *Detector) Receive(now time.Duration, from int, b Heartbeat) []Outgoing {
	t.turn(now)
	stale := from != t.cfg.Index && b.Entries[0].ID.Before(t.all[from].ID)
	for _, e := range b.Entries {
		if int(e.Index) == t.cfg.Index {
			t.heardOfSelf(now, e)
		} else {
			t.heardOf(now, e)
		}
	}
	for i := range t.all {
		if m := &t.all[i]; len(b.AliveBits) > 0 && b.AliveBits[i/8]&(1<<(i%8)) != 0 && i != t.cfg.Index && m.LastHeard > 0 && m.phase != Leaving && !m.forgot {
			t.heardAt(now, m, max(m.LastHeard, now-freshest))
		}
	}
	if !stale || now < t.answerAt || t.rival != nil {
		return nil
	}
	t.answerAt = now + answersEach
	return []Outgoing{{To: from, Heartbeat: Heartbeat{Entries: []Entry{t.all[t.cfg.Index].entry(now), t.all[from].entry(now)}}, ReplyToSender: true}}
}

func (t *Detector) heardOf(now time.Duration, e Entry) {
	m := &t.all[e.Index]
	fresh := m.LastHeard == 0 || m.ID.Before(e.ID)
	if e.ID.Before(m.ID) || !fresh && (e.Counter <= m.count || m.phase == Leaving) || m.forgot && !fresh {
		return
	}
	at := max(1, now-time.Duration(e.AgeMillis)*time.Millisecond)
	if fresh {
		m.came = now
	} else {
		at = max(at, m.LastHeard)
	}
	m.ID, m.count, m.phase, m.forgot = e.ID, e.Counter, e.Phase, false
	if m.LastHeard == 0 || e.Phase == Leaving {
		m.LastHeard = at
	}
	switch {
	case e.Phase == Leaving:
		t.set(now, m, Left, "has said that it leaves")
	case e.Phase == Starting && now-at < DeadTimeout:
		m.LastHeard = at
		t.set(now, m, Joining, fmt.Sprintf("started as incarnation %d", e.ID.Incarnation))
	default:
		if fresh && now-at < DeadTimeout && m.State.IsPresent() && m.State != Joining {
			t.set(now, m, Returned, fmt.Sprintf("started again as incarnation %d", e.ID.Incarnation))
		}
		t.heardAt(now, m, at)
	}
}

// heardAt takes a sign of life.
func (t *Detector) heardAt(now time.Duration, m *member, at time.Duration) {
	m.LastHeard = max(m.LastHeard, at)
	if now-m.LastHeard >= SuspectTimeout {
		return // Tick judges it
	}
	switch m.State {
	case Suspect:
		t.set(now, m, Alive, "heard of again")
	case Dead, Left:
		t.set(now, m, Returned, "heard of again")
	case Absent, Joining:
		t.set(now, m, Alive, "serves")
	}
}

// heardOfSelf looks for another process of this door's name that goes before this one.
func (t *Detector) heardOfSelf(now time.Duration, e Entry) {
	if !t.cfg.ID.Before(e.ID) {
		return
	}
	switch r := t.rival; {
	case e.Phase == Leaving && (r == nil || !e.ID.Before(r.id)): // it is no more
		t.adopt(e.ID)
	case r == nil || r.id.Before(e.ID):
		t.rival = &rival{id: e.ID, count: e.Counter, grewAt: now}
	case r.id == e.ID && e.Counter > r.count:
		r.count, r.grewAt = e.Counter, now
	}
}

// adopt goes on as the process after one that is no more: this door's disk has lost what it knew.
func (t *Detector) adopt(id ID) {
	t.cfg.ID.Incarnation = id.Incarnation + 1
	t.all[t.cfg.Index].ID = t.cfg.ID
	t.rival, t.adopted = nil, true
}

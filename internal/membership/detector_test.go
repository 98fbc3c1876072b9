package membership

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// testStart is the time at which each test starts.
const testStart = time.Hour

func newTestDetector(index, gateways int, incarnation uint32) *Detector {
	config := Config{
		Index:    index,
		Gateways: gateways,
		Hubs:     min(7, gateways),
		ID:       ID{Incarnation: incarnation, Nonce: uint32(index)},
	}
	return New(config, testStart, rand.New(rand.NewPCG(1, 1)))
}

// run calls Tick at regular intervals for a length of time.
func run(d *Detector, from, length time.Duration) {
	for now := from; now <= from+length; now += HeartbeatInterval / 4 {
		d.Tick(now)
	}
}

// TestIDOrder verifies that IDs are ordered by incarnation, then by nonce.
func TestIDOrder(t *testing.T) {
	cases := []struct {
		name string
		a, b ID
		want bool
	}{
		{"lower incarnation", ID{Incarnation: 1, Nonce: 9}, ID{Incarnation: 2, Nonce: 1}, true},
		{"higher incarnation", ID{Incarnation: 2, Nonce: 1}, ID{Incarnation: 1, Nonce: 9}, false},
		{"lower nonce", ID{Incarnation: 1, Nonce: 1}, ID{Incarnation: 1, Nonce: 2}, true},
		{"equal", ID{Incarnation: 1, Nonce: 1}, ID{Incarnation: 1, Nonce: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.a.Before(c.b); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestSilenceMakesSuspectThenDead verifies that a gateway becomes suspect and then dead exactly at the timeouts, and
// returns with the next heartbeat.
func TestSilenceMakesSuspectThenDead(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	entry := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 1, Phase: Serving}
	d.Receive(testStart, 1, Heartbeat{Entries: []Entry{entry}})
	steps := []struct {
		silence time.Duration
		want    State
	}{
		{0, Alive},
		{SuspectTimeout - time.Millisecond, Alive},
		{SuspectTimeout, Suspect},
		{DeadTimeout - time.Millisecond, Suspect},
		{DeadTimeout, Dead},
	}
	now := testStart
	for _, step := range steps {
		for ; now < testStart+step.silence; now += HeartbeatInterval {
			d.Tick(now)
		}
		d.Tick(testStart + step.silence)
		now = testStart + step.silence
		if got := d.State(1); got != step.want {
			t.Errorf("after %v: %v, want %v", step.silence, got, step.want)
		}
	}
	entry.Counter++
	d.Receive(now, 1, Heartbeat{Entries: []Entry{entry}})
	if got := d.State(1); got != Returned {
		t.Errorf("after a new heartbeat: %v, want %v", got, Returned)
	}
	if transitions := d.TakeTransitions(); len(transitions) != 4 {
		t.Errorf("%d transitions, want 4: %+v", len(transitions), transitions)
	}
}

// TestSuspendedProcessFindsNobodyDead verifies that a process that was suspended does not mark other gateways dead for
// the time in which it could not receive.
func TestSuspendedProcessFindsNobodyDead(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	entry := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 1, Phase: Serving}
	d.Receive(testStart, 1, Heartbeat{Entries: []Entry{entry}})
	d.Tick(testStart + time.Minute)
	if got := d.State(1); got != Alive {
		t.Errorf("%v after a suspension of a minute, want %v", got, Alive)
	}
}

// TestMalformedHeartbeatsAreRejected verifies that Validate accepts valid heartbeats only.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	valid := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 1, Phase: Serving}
	changed := func(change func(*Entry)) Entry {
		entry := valid
		change(&entry)
		return entry
	}
	cases := []struct {
		name      string
		heartbeat Heartbeat
		isValid   bool
	}{
		{"valid", Heartbeat{Entries: []Entry{valid}}, true},
		{"alive bits", Heartbeat{Entries: []Entry{valid}, AliveBits: []byte{7}}, true},
		{"no entries", Heartbeat{}, false},
		{"too many entries", Heartbeat{Entries: make([]Entry, MaxEntries+1)}, false},
		{"first entry of another gateway", Heartbeat{Entries: []Entry{changed(func(e *Entry) { e.Index = 2 })}}, false},
		{"unknown index", Heartbeat{Entries: []Entry{valid, changed(func(e *Entry) { e.Index = 3 })}}, false},
		{"unknown phase", Heartbeat{Entries: []Entry{changed(func(e *Entry) { e.Phase = phaseCount })}}, false},
		{"no counter", Heartbeat{Entries: []Entry{changed(func(e *Entry) { e.Counter = 0 })}}, false},
		{"too many alive bits", Heartbeat{Entries: []Entry{valid}, AliveBits: []byte{7, 0}}, false},
	}
	d := newTestDetector(0, 3, 1)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := d.Validate(1, &c.heartbeat)
			if c.isValid && err != nil || !c.isValid && !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestPresentGatewaysAreNotForgotten verifies that Forget refuses this gateway and present ones, and accepts absent
// ones.
func TestPresentGatewaysAreNotForgotten(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	entry := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 1, Phase: Serving}
	d.Receive(testStart, 1, Heartbeat{Entries: []Entry{entry}})
	for index, want := range []State{Joining, Alive} {
		var present *PresentError
		if err := d.Forget(testStart, index); !errors.As(err, &present) || present.State != want {
			t.Errorf("index %d: %v", index, err)
		}
	}
	if err := d.Forget(testStart, 2); err != nil || d.State(2) != Left {
		t.Errorf("absent gateway: %v, %v", err, d.State(2))
	}
}

// TestLostIncarnationIsTakenAfterDuplicateIsSilent verifies that a process whose stored incarnation was lost sends
// nothing while others gossip a higher one, and adopts the next incarnation after DeadTimeout.
func TestLostIncarnationIsTakenAfterDuplicateIsSilent(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	own := Entry{Index: 0, ID: ID{Incarnation: 5}, Counter: 7, Phase: Serving}
	peer := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 1, Phase: Serving}
	d.Receive(testStart, 1, Heartbeat{Entries: []Entry{peer, own}})
	if id, ok := d.Duplicate(testStart); !ok || id != own.ID {
		t.Fatalf("duplicate %v, %v", id, ok)
	}
	if out := d.Tick(testStart + HeartbeatInterval); len(out) > 0 {
		t.Errorf("%d heartbeats while a duplicate is alive", len(out))
	}
	run(d, testStart+HeartbeatInterval, DeadTimeout)
	if d.ID().Incarnation != own.ID.Incarnation+1 {
		t.Errorf("incarnation %d, want %d", d.ID().Incarnation, own.ID.Incarnation+1)
	}
	if !d.TakeIncarnationChange() || d.TakeIncarnationChange() {
		t.Error("the change is not reported exactly once")
	}
}

// TestOutdatedProcessGetsReply verifies that an outdated process is told of the newer one, at most once per
// replyInterval.
func TestOutdatedProcessGetsReply(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	current := Entry{Index: 1, ID: ID{Incarnation: 2}, Counter: 1, Phase: Serving}
	outdated := Entry{Index: 1, ID: ID{Incarnation: 1}, Counter: 9, Phase: Serving}
	d.Receive(testStart, 1, Heartbeat{Entries: []Entry{current}})
	replies := d.Receive(testStart, 1, Heartbeat{Entries: []Entry{outdated}})
	if len(replies) != 1 || replies[0].To != 1 || !replies[0].ReplyToSender {
		t.Fatalf("replies %+v", replies)
	}
	if entries := replies[0].Heartbeat.Entries; len(entries) != 2 || entries[1].ID != current.ID {
		t.Errorf("entries %+v", entries)
	}
	if replies := d.Receive(testStart, 1, Heartbeat{Entries: []Entry{outdated}}); len(replies) > 0 {
		t.Error("second reply within replyInterval")
	}
}

// TestLeaveIsAnnounced verifies that a leaving gateway announces it to all others in leaveHeartbeats rounds and then
// sends nothing.
func TestLeaveIsAnnounced(t *testing.T) {
	d := newTestDetector(0, 3, 1)
	d.StartServing(testStart)
	d.Leave(testStart)
	announced := 0
	for now := testStart; !d.HasLeft() && now < testStart+time.Minute; now += HeartbeatInterval / 4 {
		for _, out := range d.Tick(now) {
			if out.Heartbeat.Entries[0].Phase != Leaving {
				t.Errorf("announced phase %d", out.Heartbeat.Entries[0].Phase)
			}
			announced++
		}
	}
	if announced != 2*leaveHeartbeats {
		t.Errorf("%d heartbeats, want %d to each of 2 gateways", announced, leaveHeartbeats)
	}
	if out := d.Tick(testStart + 2*time.Minute); len(out) > 0 {
		t.Errorf("%d heartbeats after leaving", len(out))
	}
}

package counter

import (
	"gapgap/internal/eventloop"
	"gapgap/internal/fake/peer"

	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// rig is a counter on a loop that the test plays.
type rig struct {
	*eventloop.Loop
	counter *Counter
	events  []balancer.CounterResult
}

func idle(t *testing.T) *rig {
	t.Helper()
	f := &rig{Loop: eventloop.New()}
	f.counter = New(f.Loop, Config{Addr: "127.0.0.1:1", Enabled: true, Timeout: 50 * time.Millisecond,
		DialTimeout: 5 * time.Second}, func(ev balancer.CounterResult) { f.events = append(f.events, ev) })
	t.Cleanup(f.Close)
	return f
}

// count makes a call and returns nothing: the answer comes as an event.
func count(f *rig, name uint64, amount float64) {
	f.counter.Add(balancer.CounterAdd{Name: name, Amount: amount, TTL: 4 * time.Second})
}

// counted returns the answers told so far.
func counted(f *rig) []balancer.CounterResult { return f.events }

// giveUpCalls lets the time of all calls that are out run out.
func giveUpCalls(f *rig) { f.RunDue(f.Now() + f.counter.cfg.Timeout) }

// Answers belong to calls in their order, also to calls that were given up on: their places are kept.
func TestCounterKeepsPlaces(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t)
	f.counter.Move(ln.Addr().String())
	count(f, 8, -2.5)
	p := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 8 -2.5 4000\r\n")
	giveUpCalls(f)
	if got := counted(f); len(got) != 1 || got[0].Status != balancer.Timeout {
		t.Fatalf("a written call without an answer: %+v", got)
	}
	f.events = nil
	count(f, 4, 1)
	count(f, 12, 1)
	count(f, 16, 1)
	p.Reads("add 4 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	p.Write("ok 1\r\nok 22.5\r\nbusy\r\nerror\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(counted(f)) == 3 })
	want := []balancer.CounterResult{{Name: 4, Status: balancer.OK, Total: 22.5}, {Name: 12, Status: balancer.Rejected},
		{Name: 16, Status: balancer.Rejected}}
	if got := counted(f); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v", got)
	}
}

// What was not written was not added, and must not be written once its caller was told so.
func TestCounterCallGivenUpBeforeItIsWritten(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t)
	f.counter.Move(ln.Addr().String())
	count(f, 8, 1)
	p := peer.Accept(t, ln) // the connection is up, but the loop has not heard of it
	giveUpCalls(f)
	if got := counted(f); len(got) != 1 || got[0].Status != balancer.ConnectFailed {
		t.Fatalf("got %+v", got)
	}
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	count(f, 4, 1)
	p.Reads("add 4 1 4000\r\n")
}

// A connection that breaks, or an answer that makes no sense, ends the calls on it; the next call has a new one.
func TestCounterConnectionLost(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t)
	f.counter.Move(ln.Addr().String())
	for _, odd := range []string{"", "what\r\n", "ok x\r\n", "ok nan\r\n", strings.Repeat("o", 2*maxAnswerBytes)} {
		f.events = nil
		want := []balancer.Status{balancer.Failed, balancer.Timeout} // its turn is over; the next one's may be, too
		if odd == "" {
			want[0] = balancer.Timeout
		}
		count(f, 8, 1)
		count(f, 12, 2) // by the same connection
		p := peer.Accept(t, ln)
		peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
		p.Reads("add 8 1 4000\r\nadd 12 2 4000\r\n")
		p.Write(odd)
		if odd == "" {
			_ = p.NC.Close()
		}
		peer.Pump(t, f.Loop, func() bool { return len(counted(f)) > 1 })
		if got := counted(f); len(got) != 2 || got[0].Status != want[0] || got[1].Status != want[1] {
			t.Errorf("%.20q: %+v, want %v", odd, got, want)
		}
	}
	f.counter.Move(peer.FreeAddr(t))
	f.events = nil
	count(f, 8, 1)
	peer.Pump(t, f.Loop, func() bool { return len(counted(f)) > 0 })
	if got := counted(f); len(got) != 1 || got[0].Status != balancer.ConnectFailed {
		t.Errorf("refused: %+v", got)
	}
}

func TestCounterSweep(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t)
	f.counter.Move(ln.Addr().String())
	count(f, 8, 1)
	p := peer.Accept(t, ln)
	l := f.counter.connections[0]
	peer.Pump(t, f.Loop, func() bool { return l.netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	giveUpCalls(f)
	l.owedSince -= maxSilence // as if so long had passed
	f.counter.Sweep()
	p.WantsEnd()
	count(f, 8, 1)
	p = peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return l.netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	p.Write("ok 1\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(l.calls) == 0 })
	l.usedAt -= maxIdle
	f.counter.Sweep()
	p.WantsEnd()
}

// A new configuration moves the counter: calls not yet written go to the new address, answers owed by the old one
// still count, and those of one name are told of in the order of the calls.
func TestCounterMoves(t *testing.T) {
	first, second := peer.Listen(t), peer.Listen(t)
	f := idle(t)
	f.counter.cfg.Timeout = peer.Patient
	f.counter.Move(first.Addr().String())
	count(f, 8, 1)
	p := peer.Accept(t, first)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	count(f, 9, 1) // its connection is not up yet
	f.counter.Move(second.Addr().String())
	count(f, 8, 2)
	for range 2 {
		q := peer.Accept(t, second)
		go func() {
			for line, err := q.In.ReadString('\n'); err == nil; line, err = q.In.ReadString('\n') {
				q.Write("ok 1" + line[4:5] + "\r\n") // 18 and 19
			}
		}()
	}
	peer.Pump(t, f.Loop, func() bool { return len(counted(f)) == 1 }) // that of 9
	peer.Pump(t, f.Loop, func() bool { return len(f.counter.connections[0].calls) == 0 })
	if got := counted(f); len(got) != 1 || got[0].Name != 9 || got[0].Total != 19 {
		t.Fatalf("before the old counter has answered: %+v", got)
	}
	p.Write("ok 7\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(counted(f)) == 3 })
	if got := counted(f)[1:]; got[0].Total != 7 || got[1].Total != 18 {
		t.Errorf("got %+v", got)
	}
	p.WantsEnd()
}

// An answer that comes after its call was given up is told of by the call's ticket, if it says that something was
// added.
func TestCounterTellsOfLateAnswers(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t)
	var late []uint64
	f.counter.cfg.Late = func(ev balancer.LateCounterResult) { late = append(late, ev.Ticket) }
	f.counter.Move(ln.Addr().String())
	for i, name := range []uint64{4, 8, 12, 16} { // all by one connection
		f.counter.Add(balancer.CounterAdd{Name: name, Amount: 1, TTL: 4 * time.Second, Ticket: uint64(i + 1)})
	}
	p := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 4 1 4000\r\nadd 8 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	giveUpCalls(f)
	if got := counted(f); len(got) != 4 || len(late) != 0 {
		t.Fatalf("%+v, late %v before any answer", got, late)
	}
	p.Write("ok 1\r\nbusy\r\nok 7\r\nwhat\r\n")
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn == nil })
	if want := []uint64{1, 3, 4}; !slices.Equal(late, want) { // what can't be read was added too
		t.Errorf("late: %v, want %v", late, want)
	}
	if got := counted(f); len(got) != 4 {
		t.Errorf("%d answers for four calls", len(got))
	}
}

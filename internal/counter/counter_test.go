package counter

import (
	"gapgap/internal/eventloop"
	"gapgap/internal/fake/peer"

	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// fixture is a counter client on an event loop that the test runs.
type fixture struct {
	*eventloop.Loop
	counter *Counter
	events  []balancer.CounterResult
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{Loop: eventloop.New()}
	f.counter = New(f.Loop, Config{Addr: "127.0.0.1:1", Enabled: true, Timeout: 50 * time.Millisecond,
		DialTimeout: 5 * time.Second}, func(ev balancer.CounterResult) { f.events = append(f.events, ev) })
	t.Cleanup(f.Close)
	return f
}

// addCall makes a call. Its result appears in results.
func addCall(f *fixture, name uint64, amount float64) {
	f.counter.Add(balancer.CounterAdd{Name: name, Amount: amount, TTL: 4 * time.Second})
}

// results returns the results reported so far.
func results(f *fixture) []balancer.CounterResult { return f.events }

// expireCalls runs the timers of all outstanding calls so that they time out.
func expireCalls(f *fixture) { f.RunDue(f.Now() + f.counter.cfg.Timeout) }

// TestCounterKeepsPlaces verifies that answers are matched to calls in order even after an earlier call timed out,
// whose answer still arrives first.
func TestCounterKeepsPlaces(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	f.counter.Move(ln.Addr().String())
	addCall(f, 8, -2.5)
	p := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 8 -2.5 4000\r\n")
	expireCalls(f)
	if got := results(f); len(got) != 1 || got[0].Status != balancer.Timeout {
		t.Fatalf("written call without an answer: %+v", got)
	}
	f.events = nil
	addCall(f, 4, 1)
	addCall(f, 12, 1)
	addCall(f, 16, 1)
	p.Reads("add 4 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	p.Write("ok 1\r\nok 22.5\r\nbusy\r\nerror\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) == 3 })
	want := []balancer.CounterResult{{Name: 4, Status: balancer.OK, Total: 22.5}, {Name: 12, Status: balancer.Rejected},
		{Name: 16, Status: balancer.Rejected}}
	if got := results(f); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v", got)
	}
}

// TestCounterCallGivenUpBeforeItIsWritten verifies that a call that times out before it is written ends as
// ConnectFailed and is not written afterwards: its caller relies on the amount not being added.
func TestCounterCallGivenUpBeforeItIsWritten(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	f.counter.Move(ln.Addr().String())
	addCall(f, 8, 1)
	p := peer.Accept(t, ln) // the connection is established, but the loop has not processed that yet
	expireCalls(f)
	if got := results(f); len(got) != 1 || got[0].Status != balancer.ConnectFailed {
		t.Fatalf("got %+v", got)
	}
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	addCall(f, 4, 1)
	p.Reads("add 4 1 4000\r\n")
}

// TestCounterConnectionLost verifies that a closed connection or a malformed answer ends all calls on the connection,
// that the next call uses a new one, and that a refused connection ends a call as ConnectFailed.
func TestCounterConnectionLost(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	f.counter.Move(ln.Addr().String())
	for _, answer := range []string{"", "what\r\n", "ok x\r\n", "ok nan\r\n", strings.Repeat("o", 2*maxAnswerBytes)} {
		f.events = nil
		// The counter has executed the first call and may have executed the second.
		want := []balancer.Status{balancer.Failed, balancer.Timeout}
		if answer == "" { // the connection is closed without an answer
			want[0] = balancer.Timeout
		}
		addCall(f, 8, 1)
		addCall(f, 12, 2) // on the same connection
		p := peer.Accept(t, ln)
		peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
		p.Reads("add 8 1 4000\r\nadd 12 2 4000\r\n")
		p.Write(answer)
		if answer == "" {
			_ = p.NC.Close()
		}
		peer.Pump(t, f.Loop, func() bool { return len(results(f)) > 1 })
		if got := results(f); len(got) != 2 || got[0].Status != want[0] || got[1].Status != want[1] {
			t.Errorf("%.20q: %+v, want %v", answer, got, want)
		}
	}
	f.counter.Move(peer.FreeAddr(t))
	f.events = nil
	addCall(f, 8, 1)
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) > 0 })
	if got := results(f); len(got) != 1 || got[0].Status != balancer.ConnectFailed {
		t.Errorf("refused connection: %+v", got)
	}
}

// TestNewCounterAtItsAddress guards against a new counter process that is taken for the one that was at its address: it
// is not sent the calls of that one again, and its answers belong to later calls only.
func TestNewCounterAtItsAddress(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	f.counter.cfg.Timeout = peer.Patient
	f.counter.Move(ln.Addr().String())
	addCall(f, 8, 1)
	before := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	before.Reads("add 8 1 4000\r\n")
	if err := before.NC.(*net.TCPConn).SetLinger(0); err != nil { // a process that dies resets its connections
		t.Fatal(err)
	}
	_ = before.NC.Close()
	_ = ln.Close()
	after, err := net.Listen("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = after.Close() })
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) == 1 })
	addCall(f, 8, 2)
	addCall(f, 12, 4) // on the same connection
	p := peer.Accept(t, after)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 8 2 4000\r\nadd 12 4 4000\r\n")
	p.Write("ok 2\r\nok 4\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) == 3 })
	want := []balancer.CounterResult{
		{Name: 8, Status: balancer.Timeout},
		{Name: 8, Status: balancer.OK, Total: 2},
		{Name: 12, Status: balancer.OK, Total: 4},
	}
	if got := results(f); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestCounterSweep verifies that Sweep closes a connection whose answer is overdue, and an idle one.
func TestCounterSweep(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	f.counter.Move(ln.Addr().String())
	addCall(f, 8, 1)
	p := peer.Accept(t, ln)
	conn := f.counter.connections[0]
	peer.Pump(t, f.Loop, func() bool { return conn.netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	expireCalls(f)
	conn.awaitingSince -= maxAnswerWait // simulates the passing of time
	f.counter.Sweep()
	p.WantsEnd()
	addCall(f, 8, 1)
	p = peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return conn.netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	p.Write("ok 1\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(conn.calls) == 0 })
	conn.lastUsedAt -= maxIdle
	f.counter.Sweep()
	p.WantsEnd()
}

// TestCounterMoves verifies that after Move unwritten calls go to the new address, that outstanding answers from the
// old address still count, and that the results for one name are reported in the order of the calls.
func TestCounterMoves(t *testing.T) {
	first, second := peer.Listen(t), peer.Listen(t)
	f := newFixture(t)
	f.counter.cfg.Timeout = peer.Patient
	f.counter.Move(first.Addr().String())
	addCall(f, 8, 1)
	p := peer.Accept(t, first)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 8 1 4000\r\n")
	addCall(f, 9, 1) // its connection is not established yet
	f.counter.Move(second.Addr().String())
	addCall(f, 8, 2)
	for range 2 {
		q := peer.Accept(t, second)
		go func() {
			for line, err := q.In.ReadString('\n'); err == nil; line, err = q.In.ReadString('\n') {
				q.Write("ok 1" + line[4:5] + "\r\n") // total 18 for name 8, 19 for name 9
			}
		}()
	}
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) == 1 }) // the result for name 9
	peer.Pump(t, f.Loop, func() bool { return len(f.counter.connections[0].calls) == 0 })
	if got := results(f); len(got) != 1 || got[0].Name != 9 || got[0].Total != 19 {
		t.Fatalf("before the answer from the old address: %+v", got)
	}
	p.Write("ok 7\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(results(f)) == 3 })
	if got := results(f)[1:]; got[0].Total != 7 || got[1].Total != 18 {
		t.Errorf("got %+v", got)
	}
	p.WantsEnd()
}

// TestCounterTellsOfLateAnswers verifies that an answer that arrives after its call timed out is reported with the
// call's ticket if it shows that the amount was added.
func TestCounterTellsOfLateAnswers(t *testing.T) {
	ln := peer.Listen(t)
	f := newFixture(t)
	var late []uint64
	f.counter.cfg.OnLateResult = func(ev balancer.LateCounterResult) { late = append(late, ev.Ticket) }
	f.counter.Move(ln.Addr().String())
	for i, name := range []uint64{4, 8, 12, 16} { // all on one connection
		f.counter.Add(balancer.CounterAdd{Name: name, Amount: 1, TTL: 4 * time.Second, Ticket: uint64(i + 1)})
	}
	p := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn != nil })
	p.Reads("add 4 1 4000\r\nadd 8 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	expireCalls(f)
	if got := results(f); len(got) != 4 || len(late) != 0 {
		t.Fatalf("before any answer: %+v, late %v", got, late)
	}
	p.Write("ok 1\r\nbusy\r\nok 7\r\nwhat\r\n")
	peer.Pump(t, f.Loop, func() bool { return f.counter.connections[0].netConn == nil })
	if want := []uint64{1, 3, 4}; !slices.Equal(late, want) { // a malformed answer also means that it was added
		t.Errorf("late: %v, want %v", late, want)
	}
	if got := results(f); len(got) != 4 {
		t.Errorf("%d results for four calls", len(got))
	}
}

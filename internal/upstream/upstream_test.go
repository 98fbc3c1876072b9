package upstream

import (
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/fake/peer"
	"gapgap/internal/socket"

	"fmt"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"gapgap/internal/balancer"
)

// TestReadReply verifies the parsing of answers and error lines, valid and malformed.
func TestReadReply(t *testing.T) {
	for text, want := range map[string]reply{
		"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$-1\r\n": {status: balancer.OK, value: []byte("$2\r\nhi\r\n"),
			quotaUsed: 38},
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":    {status: balancer.OK, value: []byte("$0\r\n\r\n")},
		"-ERR failed\r\n":                   {status: balancer.Failed},
		"-ERR failed used=0 inflight=7\r\n": {status: balancer.Failed, quotaUsed: 1},
		"-BUSY cost=1,used=120\r\n":         {status: balancer.Rejected, quotaUsed: 121},
		"-ER\x00 x used=3\r\n":              {status: balancer.Failed, malformed: true, quotaUsed: 4},
		"-BUSY\r\n":                         {status: balancer.Rejected},
		"+PONG\r\n":                         {status: balancer.OK, malformed: true, isPong: true},
		"*1\r\n$-1\r\n":                     {status: balancer.Failed, malformed: true},
		"*0\r\n":                            {status: balancer.Failed, malformed: true},
		"$2\r\nhi\r\n":                      {status: balancer.Failed, malformed: true},
		":1\r\n":                            {status: balancer.Failed, malformed: true},
	} {
		n, m := redcon.ReadNextRESP([]byte(text))
		if got := parseReply(m); n != len(text) || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// harness is a pool on an event loop that the test runs.
type harness struct {
	*eventloop.Loop
	pool         *Pool
	outcomes     []balancer.Status
	healthChecks []balancer.HealthCheckResult
	sink         *recordingSink // receives long values; nil: they are not wanted
	attempt      *Attempt       // the last one sent
	command      []byte         // what attempts write; nil: a short one
	delayed      int            // how often a command was reported as not written yet
	written      int            // how often a command was reported as written
	begun        int            // how often an answer was reported as begun
	completed    int            // how often a value was reported complete before its answer
	quotaUsed    int            // of the last result
}

// testOwner is the owner of the attempts of a harness.
type testOwner struct{ h *harness }

func (o testOwner) Command(time.Duration) []byte {
	if o.h.command != nil {
		return o.h.command
	}
	return []byte("*1\r\n$5\r\nQ.ASK\r\n")
}
func (o testOwner) StartLongValue(size int) Sink {
	if o.h.sink == nil {
		return nil
	}
	o.h.sink.size = size
	return o.h.sink
}
func (o testOwner) DelayWrite()          { o.h.delayed++ }
func (o testOwner) CompleteWrite()       { o.h.written++ }
func (o testOwner) BeginAnswer()         { o.h.begun++ }
func (o testOwner) CompleteValue([]byte) { o.h.completed++ }
func (o testOwner) HandleResult(r Result) {
	o.h.outcomes = append(o.h.outcomes, r.Status)
	o.h.quotaUsed = r.QuotaUsed
}

// newHarness returns a harness whose pool knows endpoints at the given addresses.
func newHarness(t *testing.T, addrs ...string) *harness {
	t.Helper()
	h := &harness{Loop: eventloop.New()}
	h.pool = New(h.Loop, Config{MaxConnections: 400, DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
		func(p balancer.HealthCheckResult) { h.healthChecks = append(h.healthChecks, p) })
	for _, e := range newEntries(addrs...) {
		h.pool.UpdateEndpoint(e.Endpoint, e.Address)
	}
	t.Cleanup(h.Close)
	return h
}

// newEntries returns the entries of endpoints s-0, s-1 and so on at the given addresses.
func newEntries(addrs ...string) (all []endpoint.Entry) {
	for i, a := range addrs {
		all = append(all, endpoint.Entry{Endpoint: balancer.Endpoint{Name: fmt.Sprint("s-", i), Weight: 1}, Address: a})
	}
	return all
}

// applySnapshot applies a complete endpoint list to the pool.
func (h *harness) applySnapshot(addrs ...string) {
	list := newEntries(addrs...)
	for _, e := range list {
		h.pool.UpdateEndpoint(e.Endpoint, e.Address)
	}
	h.pool.KeepOnly(list)
}

// sendAttempt sends an attempt to the first endpoint.
func sendAttempt(t *testing.T, h *harness) *Attempt {
	t.Helper()
	h.outcomes = nil
	a := &Attempt{Endpoint: "s-0", SentAt: h.Now(), Deadline: h.Now() + 10*time.Second, Owner: testOwner{h}}
	h.attempt = a
	h.pool.Send(a)
	return a
}

// wantOutcome verifies that exactly one result has arrived, with the given status.
func wantOutcome(t *testing.T, h *harness, want balancer.Status) {
	t.Helper()
	if got := h.outcomes; len(got) != 1 || got[0] != want {
		t.Errorf("outcomes %+v, want one %v", got, want)
	}
}

// TestOneOutcomeForEachSend verifies that each attempt has exactly one result, whichever way it ends.
func TestOneOutcomeForEachSend(t *testing.T) {
	ends := map[string]struct {
		want balancer.Status
		do   func(h *harness, a *Attempt, b *peer.Peer)
	}{
		"cancel":  {balancer.Cancelled, func(h *harness, a *Attempt, b *peer.Peer) { h.pool.Cancel(a) }},
		"timeout": {balancer.Timeout, func(h *harness, a *Attempt, b *peer.Peer) { h.RunDue(a.Deadline) }},
		"reset":   {balancer.Reset, func(h *harness, a *Attempt, b *peer.Peer) { _ = b.NC.Close() }},
		"gone":    {balancer.Cancelled, func(h *harness, a *Attempt, b *peer.Peer) { h.pool.Cancel(a) }},
		"noise":   {balancer.Failed, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("\x00\x01\x02\r\n") }},
		"length":  {balancer.Failed, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$3000000000\r\nx") }},
		// the announced length is wrong and nothing follows, which looks like an endpoint that goes on later
		"short": {balancer.Timeout, func(h *harness, a *Attempt, b *peer.Peer) {
			b.Write("*1\r\n$20\r\nx\r\n")
			peer.Pump(t, h.Loop, func() bool { return h.begun == 1 })
			h.RunDue(a.Deadline)
		}},
		"line":   {balancer.Failed, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("-OOPS\r\n") }},
		"full":   {balancer.Rejected, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("-BUSY\r\n") }},
		"served": {balancer.OK, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$1\r\nx\r\n") }},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			a := sendAttempt(t, h)
			b := peer.Accept(t, ln)
			peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
			b.Message()
			conn := a.connection
			for conn.writeState.Load() != writeComplete {
				time.Sleep(time.Millisecond)
			}
			end.do(h, a, b)
			peer.Pump(t, h.Loop, func() bool { return a.ended })
			wantOutcome(t, h, end.want)
			h.pool.Cancel(a) // later events change nothing
			h.RunDue(a.Deadline)
			conn.handleEnd()
			wantOutcome(t, h, end.want)
			if end.want != balancer.Rejected && end.want != balancer.OK {
				b.WantsEnd()
			}
		})
	}
}

// TestPendingDialIsNotWritten verifies that an attempt whose connection is still being dialled when its endpoint drains
// or is removed, or when the attempt is cancelled, is not written afterwards.
func TestPendingDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(h *harness, a *Attempt){
		"drain": func(h *harness, a *Attempt) {
			b := newEntries("")[0].Endpoint
			b.State = balancer.Draining
			h.pool.UpdateEndpoint(b, h.pool.endpoints["s-0"].address)
		},
		"left out": func(h *harness, a *Attempt) { h.applySnapshot() },
		"cancel":   func(h *harness, a *Attempt) { h.pool.Cancel(a) },
		"gone":     func(h *harness, a *Attempt) { h.pool.Cancel(a) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			a := sendAttempt(t, h)
			b := peer.Accept(t, ln) // established, but the loop has not been notified
			end(h, a)
			wantOutcome(t, h, balancer.NotSent)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				b.WantsEnd()
			}()
			peer.Pump(t, h.Loop, func() bool { // runs the tasks that the dial still posts
				select {
				case <-ended:
					return true
				default:
					return false
				}
			})
		})
	}
}

// TestConnectionsAreBounded verifies that at the connection limit the longest idle connection is closed to make room,
// and that the attempt is not sent if none is idle.
func TestConnectionsAreBounded(t *testing.T) {
	first, second := peer.Listen(t), peer.Listen(t)
	h := newHarness(t, first.Addr().String(), second.Addr().String())
	h.pool.cfg.MaxConnections = 1
	a := sendAttempt(t, h)
	p := peer.Accept(t, first)
	peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
	p.Message()
	other := &Attempt{Endpoint: "s-1", Deadline: a.Deadline, Owner: testOwner{h}}
	h.pool.Send(other)
	wantOutcome(t, h, balancer.NotSent)
	for conn := a.connection; conn.writeState.Load() != writeComplete; {
		time.Sleep(time.Millisecond)
	}
	p.Write("*1\r\n$1\r\nx\r\n")
	peer.Pump(t, h.Loop, func() bool { return a.ended })
	h.outcomes = nil
	h.pool.Send(&Attempt{Endpoint: "s-1", Deadline: a.Deadline, Owner: testOwner{h}})
	p.WantsEnd()
	peer.Accept(t, second)
}

// TestConnectFailed verifies that an attempt to an address on which nothing listens ends as ConnectFailed.
func TestConnectFailed(t *testing.T) {
	h := newHarness(t, peer.FreeAddr(t))
	a := sendAttempt(t, h)
	peer.Pump(t, h.Loop, func() bool { return a.ended })
	wantOutcome(t, h, balancer.ConnectFailed)
}

// TestSilentAndRestartedBackendsLoseIdleConnections verifies that idle connections are closed when an endpoint stops
// answering, since its machine may be down, and when it was restarted.
func TestSilentAndRestartedBackendsLoseIdleConnections(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	ep := h.pool.endpoints["s-0"]
	for _, end := range []func(){
		func() { h.pool.closeIdleIfUnresponsive(ep, h.Now()) },
		func() {
			e := newEntries(ep.address)[0]
			e.StartedAt = 5 * time.Millisecond
			h.pool.UpdateEndpoint(e.Endpoint, e.Address)
		},
	} {
		a := sendAttempt(t, h)
		p := peer.Accept(t, ln)
		peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
		p.Message()
		for conn := a.connection; conn.writeState.Load() != writeComplete; {
			time.Sleep(time.Millisecond)
		}
		p.Write("*1\r\n$1\r\nx\r\n")
		peer.Pump(t, h.Loop, func() bool { return len(ep.idle) == 1 })
		end()
		if len(ep.idle) != 0 || h.pool.connections != 0 {
			t.Errorf("%d idle connections and %d in total, want 0", len(ep.idle), h.pool.connections)
		}
		p.WantsEnd()
	}
}

// startAttempt sends an attempt on the only connection to an endpoint and waits until the endpoint has received it.
func startAttempt(t *testing.T, h *harness, ln net.Listener) (*Attempt, *peer.Peer) {
	t.Helper()
	a := sendAttempt(t, h)
	p := peer.Accept(t, ln)
	peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	p.Message()
	return a, p
}

// TestLateSurplusSpoilsTheConnection verifies that bytes received on an idle connection are never taken for the next
// answer or the start of it: the connection is not reused, whether or not its reader has seen the bytes.
func TestLateSurplusSpoilsTheConnection(t *testing.T) {
	for _, surplus := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := peer.Listen(t)
		h := newHarness(t, ln.Addr().String())
		a, p := startAttempt(t, h, ln)
		p.Write("*1\r\n$1\r\nx\r\n")
		peer.Pump(t, h.Loop, func() bool { return a.ended })
		conn := h.pool.endpoints["s-0"].idle[0]
		p.Write(surplus)
		peer.Pump(t, h.Loop, func() bool { return conn.closed })
		p.WantsEnd()
		if !conn.malformed.Load() || len(h.pool.endpoints["s-0"].idle) != 0 {
			t.Errorf("after unrequested %q the connection is kept", surplus)
		}
	}
}

// TestQuiet verifies the check of the socket itself before an idle connection is reused, as its reader may not have run
// since the last bytes arrived.
func TestQuiet(t *testing.T) {
	ln := peer.Listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	p := peer.Accept(t, ln)
	if !socket.IsQuiet(nc) {
		t.Error("the socket is not quiet, but nothing was sent")
	}
	p.Write("x")
	for end := time.Now().Add(peer.Patient); socket.IsQuiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the socket stays quiet, but a byte was sent")
		}
	}
}

// TestBusyConnectionOfAnOldAddressIsNotKept verifies that a connection in use while its endpoint moves to another
// address is closed after its answer, as it leads to the old process.
func TestBusyConnectionOfAnOldAddressIsNotKept(t *testing.T) {
	ln, next := peer.Listen(t), peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	a, p := startAttempt(t, h, ln)
	h.applySnapshot(next.Addr().String())
	p.Write("*1\r\n$1\r\nx\r\n")
	peer.Pump(t, h.Loop, func() bool { return a.ended })
	wantOutcome(t, h, balancer.OK)
	p.WantsEnd()
	h.outcomes = nil
	a = sendAttempt(t, h)
	dialling := a.connection
	h.applySnapshot(ln.Addr().String()) // the endpoint moves while the connection is being dialled
	wantOutcome(t, h, balancer.NotSent)
	if !dialling.closed {
		t.Error("the dial to the old address goes on")
	}
}

// TestGoneBackendIsForgotten verifies that a removed endpoint is forgotten when its last attempt ends, however it ends.
func TestGoneBackendIsForgotten(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	a, _ := startAttempt(t, h, ln)
	h.applySnapshot()
	h.RunDue(a.Deadline)
	wantOutcome(t, h, balancer.Timeout)
	if len(h.pool.endpoints) != 0 || h.pool.connections != 0 {
		t.Errorf("%d endpoints and %d connections are kept, want 0", len(h.pool.endpoints), h.pool.connections)
	}
}

// TestProbe verifies that a health check has one result that matches the answer.
func TestProbe(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	for text, want := range map[string]balancer.Status{"+PONG\r\n": balancer.OK, "-ERR no\r\n": balancer.Failed} {
		h.healthChecks = nil
		h.pool.HealthCheck("s-0")
		p := peer.Accept(t, ln)
		peer.Pump(t, h.Loop, func() bool { return h.pool.connections == 1 && h.pool.allDialled("s-0") })
		if m := p.Message(); m[0] != "PING" {
			t.Fatalf("got %q", m)
		}
		p.Write(text)
		peer.Pump(t, h.Loop, func() bool { return len(h.healthChecks) > 0 })
		if got := h.healthChecks[0]; got.Status != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// allDialled reports whether no connection to an endpoint is still being dialled.
func (p *Pool) allDialled(name string) bool {
	for conn := range p.endpoints[name].connections {
		if conn.netConn == nil {
			return false
		}
	}
	return true
}

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

// harness is a pool on a loop that the test plays.
type harness struct {
	*eventloop.Loop
	pool         *Pool
	outcomes     []balancer.Status // outcomes
	healthChecks []balancer.HealthCheckResult
	sink         *recordingSink // of long values; nil: nobody wants them
}

// testOwner is what the attempts of a rig are made for.
type testOwner struct{ h *harness }

func (o testOwner) Command(time.Duration) []byte { return []byte("*1\r\n$5\r\nQ.ASK\r\n") }
func (o testOwner) StartLongValue(size int) Sink {
	if o.h.sink == nil {
		return nil
	}
	o.h.sink.size = size
	return o.h.sink
}
func (o testOwner) HandleResult(r Result) { o.h.outcomes = append(o.h.outcomes, r.Status) }

// newHarness is a pool that knows the given backends.
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

func newEntries(addrs ...string) (all []endpoint.Entry) {
	for i, a := range addrs {
		all = append(all, endpoint.Entry{Endpoint: balancer.Endpoint{Name: fmt.Sprint("s-", i), Weight: 1}, Address: a})
	}
	return all
}

// applySnapshot gives the pool a applySnapshot list.
func (h *harness) applySnapshot(addrs ...string) {
	list := newEntries(addrs...)
	for _, e := range list {
		h.pool.UpdateEndpoint(e.Endpoint, e.Address)
	}
	h.pool.KeepOnly(list)
}

// sendAttempt makes an attempt.
func sendAttempt(t *testing.T, h *harness) *Attempt {
	t.Helper()
	h.outcomes = nil
	a := &Attempt{Endpoint: "s-0", SentAt: h.Now(), Deadline: h.Now() + 10*time.Second, Owner: testOwner{h}}
	h.pool.Send(a)
	return a
}

func wantOutcome(t *testing.T, h *harness, want balancer.Status) {
	t.Helper()
	if got := h.outcomes; len(got) != 1 || got[0] != want {
		t.Errorf("outcomes %+v, want one %v", got, want)
	}
}

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
		// and no more
		"short":  {balancer.Failed, func(h *harness, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$20\r\nx\r\n") }},
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
			h.pool.Cancel(a) // what comes later changes nothing
			h.RunDue(a.Deadline)
			conn.handleEnd()
			wantOutcome(t, h, end.want)
			if end.want != balancer.Rejected && end.want != balancer.OK {
				b.WantsEnd()
			}
		})
	}
}

// A request whose connection is still being made when its backend drains, the attempt is called off or the client
// leaves must not be written afterwards.
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
			b := peer.Accept(t, ln) // the connection is up, but the loop has not heard of it
			end(h, a)
			wantOutcome(t, h, balancer.NotSent)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				b.WantsEnd()
			}()
			peer.Pump(t, h.Loop, func() bool { // whatever the dial still reports
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

// With no socket left the connection that was idle longest makes room; with none idle the attempt is not sent.
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

func TestConnectFailed(t *testing.T) {
	h := newHarness(t, peer.FreeAddr(t))
	a := sendAttempt(t, h)
	peer.Pump(t, h.Loop, func() bool { return a.ended })
	wantOutcome(t, h, balancer.ConnectFailed)
}

// A backend that has fallen silent may be a machine that is gone: connections that were idle since then are not
// used again. One that was started anew has none of its old ones.
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
			t.Errorf("%d idle connections, %d in all", len(ep.idle), h.pool.connections)
		}
		p.WantsEnd()
	}
}

// startAttempt makes an attempt on the one connection to a backend and waits until it has come there.
func startAttempt(t *testing.T, h *harness, ln net.Listener) (*Attempt, *peer.Peer) {
	t.Helper()
	a := sendAttempt(t, h)
	p := peer.Accept(t, ln)
	peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	p.Message()
	return a, p
}

// What comes on a connection while nothing is asked must not stand before the next answer, nor a whole second
// copy be taken for it: the connection is not used again, whether its reader has seen it or not.
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
			t.Errorf("%q: the connection is kept", surplus)
		}
	}
}

// Before an idle connection is used the socket itself is asked, as its reader may not have run since.
func TestQuiet(t *testing.T) {
	ln := peer.Listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	p := peer.Accept(t, ln)
	if !socket.IsQuiet(nc) {
		t.Error("nothing has come, and it is not quiet")
	}
	p.Write("x")
	for end := time.Now().Add(peer.Patient); socket.IsQuiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what has come is not seen")
		}
	}
}

// A connection that was busy when its backend moved leads to the old process: it ends with its answer.
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
	h.applySnapshot(ln.Addr().String()) // it moves while it is being dialled
	wantOutcome(t, h, balancer.NotSent)
	if !dialling.closed {
		t.Error("the dial to the old address goes on")
	}
}

// A backend that is gone must be forgotten with its last attempt, however that ends.
func TestGoneBackendIsForgotten(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	a, _ := startAttempt(t, h, ln)
	h.applySnapshot()
	h.RunDue(a.Deadline)
	wantOutcome(t, h, balancer.Timeout)
	if len(h.pool.endpoints) != 0 || h.pool.connections != 0 {
		t.Errorf("%d backends and %d connections are kept", len(h.pool.endpoints), h.pool.connections)
	}
}

// Probes end once, whatever comes back.
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

func (p *Pool) allDialled(name string) bool {
	for conn := range p.endpoints[name].connections {
		if conn.netConn == nil {
			return false
		}
	}
	return true
}

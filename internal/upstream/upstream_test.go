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
		"+PONG\r\n":                         {status: balancer.OK, malformed: true, pong: true},
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

// rig is a pool on a loop that the test plays.
type rig struct {
	*eventloop.Loop
	pool   *Pool
	events []balancer.Status // outcomes
	probed []balancer.HealthCheckResult
	sink   *sink // of long values; nil: nobody wants them
}

// owner is what the attempts of a rig are made for.
type owner struct{ f *rig }

func (o owner) Command(time.Duration) []byte { return []byte("*1\r\n$5\r\nQ.ASK\r\n") }
func (o owner) Begun(size int) Sink {
	if o.f.sink == nil {
		return nil
	}
	o.f.sink.size = size
	return o.f.sink
}
func (o owner) Ended(r Result) { o.f.events = append(o.f.events, r.Status) }

// idle is a pool that knows the given backends.
func idle(t *testing.T, addrs ...string) *rig {
	t.Helper()
	f := &rig{Loop: eventloop.New()}
	f.pool = New(f.Loop, Config{MaxConnections: 400, DialTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
		func(p balancer.HealthCheckResult) { f.probed = append(f.probed, p) })
	for _, e := range entries(addrs...) {
		f.pool.UpdateEndpoint(e.Endpoint, e.Address)
	}
	t.Cleanup(f.Close)
	return f
}

func entries(addrs ...string) (all []endpoint.Entry) {
	for i, a := range addrs {
		all = append(all, endpoint.Entry{Endpoint: balancer.Endpoint{Name: fmt.Sprint("s-", i), Weight: 1}, Address: a})
	}
	return all
}

// whole gives the pool a whole list.
func (f *rig) whole(addrs ...string) {
	list := entries(addrs...)
	for _, e := range list {
		f.pool.UpdateEndpoint(e.Endpoint, e.Address)
	}
	f.pool.KeepOnly(list)
}

// try makes an attempt.
func try(t *testing.T, f *rig) *Attempt {
	t.Helper()
	f.events = nil
	a := &Attempt{Endpoint: "s-0", SentAt: f.Now(), Deadline: f.Now() + 10*time.Second, Owner: owner{f}}
	f.pool.Send(a)
	return a
}

func wantOutcome(t *testing.T, f *rig, want balancer.Status) {
	t.Helper()
	if got := f.events; len(got) != 1 || got[0] != want {
		t.Errorf("outcomes %+v, want one %v", got, want)
	}
}

func TestOneOutcomeForEachSend(t *testing.T) {
	ends := map[string]struct {
		want balancer.Status
		do   func(f *rig, a *Attempt, b *peer.Peer)
	}{
		"cancel":  {balancer.Cancelled, func(f *rig, a *Attempt, b *peer.Peer) { f.pool.Cancel(a) }},
		"timeout": {balancer.Timeout, func(f *rig, a *Attempt, b *peer.Peer) { f.RunDue(a.Deadline) }},
		"reset":   {balancer.Reset, func(f *rig, a *Attempt, b *peer.Peer) { _ = b.NC.Close() }},
		"gone":    {balancer.Cancelled, func(f *rig, a *Attempt, b *peer.Peer) { f.pool.Cancel(a) }},
		"noise":   {balancer.Failed, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("\x00\x01\x02\r\n") }},
		"length":  {balancer.Failed, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$3000000000\r\nx") }},
		// and no more
		"short":  {balancer.Failed, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$20\r\nx\r\n") }},
		"line":   {balancer.Failed, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("-OOPS\r\n") }},
		"full":   {balancer.Rejected, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("-BUSY\r\n") }},
		"served": {balancer.OK, func(f *rig, a *Attempt, b *peer.Peer) { b.Write("*1\r\n$1\r\nx\r\n") }},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			f := idle(t, ln.Addr().String())
			a := try(t, f)
			b := peer.Accept(t, ln)
			peer.Pump(t, f.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
			b.Message()
			conn := a.connection
			for conn.writeState.Load() != writeComplete {
				time.Sleep(time.Millisecond)
			}
			end.do(f, a, b)
			peer.Pump(t, f.Loop, func() bool { return a.ended })
			wantOutcome(t, f, end.want)
			f.pool.Cancel(a) // what comes later changes nothing
			f.RunDue(a.Deadline)
			conn.handleEnd()
			wantOutcome(t, f, end.want)
			if end.want != balancer.Rejected && end.want != balancer.OK {
				b.WantsEnd()
			}
		})
	}
}

// A request whose connection is still being made when its backend drains, the attempt is called off or the client
// leaves must not be written afterwards.
func TestPendingDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(f *rig, a *Attempt){
		"drain": func(f *rig, a *Attempt) {
			b := entries("")[0].Endpoint
			b.State = balancer.Draining
			f.pool.UpdateEndpoint(b, f.pool.endpoints["s-0"].address)
		},
		"left out": func(f *rig, a *Attempt) { f.whole() },
		"cancel":   func(f *rig, a *Attempt) { f.pool.Cancel(a) },
		"gone":     func(f *rig, a *Attempt) { f.pool.Cancel(a) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			f := idle(t, ln.Addr().String())
			a := try(t, f)
			b := peer.Accept(t, ln) // the connection is up, but the loop has not heard of it
			end(f, a)
			wantOutcome(t, f, balancer.NotSent)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				b.WantsEnd()
			}()
			peer.Pump(t, f.Loop, func() bool { // whatever the dial still reports
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
	f := idle(t, first.Addr().String(), second.Addr().String())
	f.pool.cfg.MaxConnections = 1
	a := try(t, f)
	p := peer.Accept(t, first)
	peer.Pump(t, f.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
	p.Message()
	other := &Attempt{Endpoint: "s-1", Deadline: a.Deadline, Owner: owner{f}}
	f.pool.Send(other)
	wantOutcome(t, f, balancer.NotSent)
	for conn := a.connection; conn.writeState.Load() != writeComplete; {
		time.Sleep(time.Millisecond)
	}
	p.Write("*1\r\n$1\r\nx\r\n")
	peer.Pump(t, f.Loop, func() bool { return a.ended })
	f.events = nil
	f.pool.Send(&Attempt{Endpoint: "s-1", Deadline: a.Deadline, Owner: owner{f}})
	p.WantsEnd()
	peer.Accept(t, second)
}

func TestConnectFailed(t *testing.T) {
	f := idle(t, peer.FreeAddr(t))
	a := try(t, f)
	peer.Pump(t, f.Loop, func() bool { return a.ended })
	wantOutcome(t, f, balancer.ConnectFailed)
}

// A backend that has fallen silent may be a machine that is gone: connections that were idle since then are not
// used again. One that was started anew has none of its old ones.
func TestSilentAndRestartedBackendsLoseIdleConnections(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t, ln.Addr().String())
	ep := f.pool.endpoints["s-0"]
	for _, end := range []func(){
		func() { f.pool.handleSilence(ep, f.Now()) },
		func() {
			e := entries(ep.address)[0]
			e.StartedAt = 5 * time.Millisecond
			f.pool.UpdateEndpoint(e.Endpoint, e.Address)
		},
	} {
		a := try(t, f)
		p := peer.Accept(t, ln)
		peer.Pump(t, f.Loop, func() bool { return a.connection.writeState.Load() != writeNone })
		p.Message()
		for conn := a.connection; conn.writeState.Load() != writeComplete; {
			time.Sleep(time.Millisecond)
		}
		p.Write("*1\r\n$1\r\nx\r\n")
		peer.Pump(t, f.Loop, func() bool { return len(ep.idle) == 1 })
		end()
		if len(ep.idle) != 0 || f.pool.connections != 0 {
			t.Errorf("%d idle connections, %d in all", len(ep.idle), f.pool.connections)
		}
		p.WantsEnd()
	}
}

// inUse makes an attempt on the one connection to a backend and waits until it has come there.
func inUse(t *testing.T, f *rig, ln net.Listener) (*Attempt, *peer.Peer) {
	t.Helper()
	a := try(t, f)
	p := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	p.Message()
	return a, p
}

// What comes on a connection while nothing is asked must not stand before the next answer, nor a whole second
// copy be taken for it: the connection is not used again, whether its reader has seen it or not.
func TestLateSurplusSpoilsTheConnection(t *testing.T) {
	for _, surplus := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := peer.Listen(t)
		f := idle(t, ln.Addr().String())
		a, p := inUse(t, f, ln)
		p.Write("*1\r\n$1\r\nx\r\n")
		peer.Pump(t, f.Loop, func() bool { return a.ended })
		conn := f.pool.endpoints["s-0"].idle[0]
		p.Write(surplus)
		peer.Pump(t, f.Loop, func() bool { return conn.closed })
		p.WantsEnd()
		if !conn.malformed.Load() || len(f.pool.endpoints["s-0"].idle) != 0 {
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
	f := idle(t, ln.Addr().String())
	a, p := inUse(t, f, ln)
	f.whole(next.Addr().String())
	p.Write("*1\r\n$1\r\nx\r\n")
	peer.Pump(t, f.Loop, func() bool { return a.ended })
	wantOutcome(t, f, balancer.OK)
	p.WantsEnd()
	f.events = nil
	a = try(t, f)
	dialling := a.connection
	f.whole(ln.Addr().String()) // it moves while it is being dialled
	wantOutcome(t, f, balancer.NotSent)
	if !dialling.closed {
		t.Error("the dial to the old address goes on")
	}
}

// A backend that is gone must be forgotten with its last attempt, however that ends.
func TestGoneBackendIsForgotten(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t, ln.Addr().String())
	a, _ := inUse(t, f, ln)
	f.whole()
	f.RunDue(a.Deadline)
	wantOutcome(t, f, balancer.Timeout)
	if len(f.pool.endpoints) != 0 || f.pool.connections != 0 {
		t.Errorf("%d backends and %d connections are kept", len(f.pool.endpoints), f.pool.connections)
	}
}

// Probes end once, whatever comes back.
func TestProbe(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t, ln.Addr().String())
	for text, want := range map[string]balancer.Status{"+PONG\r\n": balancer.OK, "-ERR no\r\n": balancer.Failed} {
		f.probed = nil
		f.pool.HealthCheck("s-0")
		p := peer.Accept(t, ln)
		peer.Pump(t, f.Loop, func() bool { return f.pool.connections == 1 && f.pool.dialled("s-0") })
		if m := p.Message(); m[0] != "PING" {
			t.Fatalf("got %q", m)
		}
		p.Write(text)
		peer.Pump(t, f.Loop, func() bool { return len(f.probed) > 0 })
		if got := f.probed[0]; got.Status != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

func (p *Pool) dialled(name string) bool {
	for conn := range p.endpoints[name].connections {
		if conn.netConn == nil {
			return false
		}
	}
	return true
}

package front

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"snowhall"
)

func TestReadReply(t *testing.T) {
	for text, want := range map[string]reply{
		"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$-1\r\n": {status: snowhall.OK, value: []byte("$2\r\nhi\r\n"), used: 38},
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":                     {status: snowhall.OK, value: []byte("$0\r\n\r\n")},
		"-ERR failed\r\n":                                    {status: snowhall.Failed},
		"-ERR failed used=0 inflight=7\r\n":                  {status: snowhall.Failed, used: 1},
		"-BUSY cost=1,used=120\r\n":                          {status: snowhall.Full, used: 121},
		"-ER\x00 x used=3\r\n":                               {status: snowhall.Failed, odd: true, used: 4},
		"-BUSY\r\n":                                          {status: snowhall.Full},
		"+PONG\r\n":                                          {status: snowhall.OK, odd: true, pong: true},
		"*1\r\n$-1\r\n":                                      {status: snowhall.Failed, odd: true},
		"*0\r\n":                                             {status: snowhall.Failed, odd: true},
		"$2\r\nhi\r\n":                                       {status: snowhall.Failed, odd: true},
		":1\r\n":                                             {status: snowhall.Failed, odd: true},
	} {
		n, m := redcon.ReadNextRESP([]byte(text))
		if got := readReply(m); n != len(text) || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// An error from one backend leads to another attempt; its connection is good for more. After a break the value
// of a keyed request still comes from a backend.
func TestFurtherAttempt(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.DO", customer, "1", keyed, "body")
	b := accept(t, ln)
	b.message()
	b.write("-ERR failed used=12\r\n")
	b.message() // the second attempt
	b.nc.Close()
	b = accept(t, ln)
	b.message()
	b.write("*3\r\n" + bulk("done") + "$-1\r\n$-1\r\n")
	c.wants("done")
}

// An unsafe request that may have run is neither sent again nor refused, only failed.
func TestUnsafeRequestIsNotRepeated(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.DO", customer, "1", unsafe, "body")
	b := accept(t, ln)
	b.message()
	b.nc.Close()
	c.wants("-ERR failed")
}

// Odd answers cost the connection, not the front door, and are served to nobody.
func TestOddAnswers(t *testing.T) {
	for _, odd := range []string{"+OK\r\n", "*1\r\n$-1\r\n", "nonsense\r\n", "$999999999\r\n", ":1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n"} {
		ln := listen(t) // the module no longer uses a backend that fails twice
		w := start(t, []string{ln.Addr().String()})
		c := w.dial()
		c.command("Q.DO", customer, "1", unsafe, "body")
		b := accept(t, ln)
		b.message()
		b.write(odd)
		c.wants("-ERR failed")
		b.wantsEnd()
	}
}

// An answer that nobody asked for must not be taken for that of the next request.
func TestUnaskedAnswer(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	b.write("*3\r\n" + bulk("one") + "$-1\r\n$-1\r\n*3\r\n" + bulk("stray") + "$-1\r\n$-1\r\n")
	c.wants("one")
	b.wantsEnd()
	c.command("Q.ASK", customer, "2", list)
	b = accept(t, ln)
	b.message()
	b.write("*3\r\n" + bulk("two") + "$-1\r\n$-1\r\n")
	c.wants("two")
}

// idle is a front door that is not running, so that a test can play its loop.
func idle(t *testing.T, addrs ...string) *Front {
	t.Helper()
	f, err := New(config(t, true, 5_000_000), discard)
	if err != nil {
		t.Fatal(err)
	}
	f.take(members(1, addrs...), snowhall.Cached)
	f.events = nil
	t.Cleanup(func() { close(f.done) })
	return f
}

// try makes a request with one attempt.
func try(t *testing.T, f *Front) *attempt {
	t.Helper()
	a, err := f.parse("Q.ASK", [][]byte{[]byte("Q.ASK"), []byte(customer), []byte("1"), []byte(list)})
	if err != nil {
		t.Fatal(err)
	}
	a.conn = &client{}
	f.arrived(a)
	r := f.requests[a.id]
	f.events = nil
	f.send(r, snowhall.Send{ID: r.id, Backend: "s-0", Timeout: 10 * time.Second})
	return r.attempts[0]
}

// pump runs the loop's tasks until something holds.
func pump(t *testing.T, f *Front, until func() bool) {
	t.Helper()
	end := time.After(patient)
	for !until() {
		select {
		case task := <-f.tasks:
			task()
		case <-end:
			t.Fatal("it never came to that")
		}
	}
}

// outcomes returns the outcomes told so far.
func outcomes(f *Front) (all []snowhall.Outcome) {
	for _, ev := range f.events {
		if o, ok := ev.(snowhall.Outcome); ok {
			all = append(all, o)
		}
	}
	return all
}

func wantOutcome(t *testing.T, f *Front, want snowhall.Status) {
	t.Helper()
	if got := outcomes(f); len(got) != 1 || got[0].Status != want {
		t.Errorf("outcomes %+v, want one %v", got, want)
	}
}

func TestOneOutcomeForEachSend(t *testing.T) {
	ends := map[string]struct {
		want snowhall.Status
		do   func(f *Front, a *attempt, b *peer)
	}{
		"cancel":  {snowhall.Cancelled, func(f *Front, a *attempt, b *peer) { f.act(snowhall.Cancel{ID: a.r.id}) }},
		"timeout": {snowhall.Timeout, func(f *Front, a *attempt, b *peer) { f.timers.run(a.until) }},
		"reset":   {snowhall.Reset, func(f *Front, a *attempt, b *peer) { b.nc.Close() }},
		"gone":    {snowhall.Cancelled, func(f *Front, a *attempt, b *peer) { f.gone(a.r.ask) }},
		"noise":   {snowhall.Failed, func(f *Front, a *attempt, b *peer) { b.write("\x00\x01\x02\r\n") }},
		"length":  {snowhall.Failed, func(f *Front, a *attempt, b *peer) { b.write("*1\r\n$3000000000\r\nx") }},
		"short":   {snowhall.Failed, func(f *Front, a *attempt, b *peer) { b.write("*1\r\n$20\r\nx\r\n") }}, // and no more
		"line":    {snowhall.Failed, func(f *Front, a *attempt, b *peer) { b.write("-OOPS\r\n") }},
		"full":    {snowhall.Full, func(f *Front, a *attempt, b *peer) { b.write("-BUSY\r\n") }},
		"served":  {snowhall.OK, func(f *Front, a *attempt, b *peer) { b.write("*1\r\n$1\r\nx\r\n") }},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			f := idle(t, ln.Addr().String())
			a := try(t, f)
			b := accept(t, ln)
			pump(t, f, func() bool { return a.conn.sent.Load() != unsent })
			b.message()
			conn := a.conn
			for conn.sent.Load() != whole {
				time.Sleep(time.Millisecond)
			}
			end.do(f, a, b)
			pump(t, f, func() bool { return a.ended })
			wantOutcome(t, f, end.want)
			f.act(snowhall.Cancel{ID: a.r.id}) // what comes later changes nothing
			f.timers.run(a.until)
			conn.ended()
			wantOutcome(t, f, end.want)
			if end.want != snowhall.Full && end.want != snowhall.OK {
				b.wantsEnd()
			}
		})
	}
}

// A request whose connection is still being made when its backend drains, the attempt is called off or the client
// leaves must not be written afterwards.
func TestPendingDialIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(f *Front, a *attempt){
		"drain": func(f *Front, a *attempt) {
			m := members(2, f.backends.all["s-0"].addr)
			m.Endpoints[0].Status = "DRAINING"
			f.take(m, snowhall.Delta)
		},
		"left out": func(f *Front, a *attempt) { f.take(members(2), snowhall.Whole) },
		"cancel":   func(f *Front, a *attempt) { f.act(snowhall.Cancel{ID: a.r.id}) },
		"gone":     func(f *Front, a *attempt) { f.gone(a.r.ask) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			f := idle(t, ln.Addr().String())
			a := try(t, f)
			b := accept(t, ln) // the connection is up, but the loop has not heard of it
			end(f, a)
			wantOutcome(t, f, snowhall.Moot)
			for len(f.tasks) > 0 {
				(<-f.tasks)()
			}
			go func() { // whatever the dial still reports
				for {
					select {
					case task := <-f.tasks:
						task()
					case <-f.done:
						return
					}
				}
			}()
			b.wantsEnd()
		})
	}
}

// With no socket left the connection that was idle longest makes room; with none idle the attempt is not sent.
func TestConnectionsAreBounded(t *testing.T) {
	first, second := listen(t), listen(t)
	f := idle(t, first.Addr().String(), second.Addr().String())
	f.backends.most = 1
	a := try(t, f)
	p := accept(t, first)
	pump(t, f, func() bool { return a.conn.sent.Load() != unsent })
	p.message()
	other := &attempt{r: a.r, no: 1, backend: "s-1", until: a.until}
	f.backends.send(other)
	wantOutcome(t, f, snowhall.Moot)
	for c := a.conn; c.sent.Load() != whole; {
		time.Sleep(time.Millisecond)
	}
	p.write("*1\r\n$1\r\nx\r\n")
	pump(t, f, func() bool { return a.ended })
	f.events = nil
	f.backends.send(&attempt{r: a.r, no: 2, backend: "s-1", until: a.until})
	p.wantsEnd()
	accept(t, second)
}

func TestConnectFailed(t *testing.T) {
	f := idle(t, freeAddr(t))
	a := try(t, f)
	pump(t, f, func() bool { return a.ended })
	wantOutcome(t, f, snowhall.ConnectFailed)
}

// A backend that has fallen silent may be a machine that is gone: connections that were idle since then are not
// used again. One that was started anew has none of its old ones.
func TestSilentAndRestartedBackendsLoseIdleConnections(t *testing.T) {
	ln := listen(t)
	f := idle(t, ln.Addr().String())
	b := f.backends.all["s-0"]
	for _, end := range []func(){
		func() { f.backends.silent(b, f.now()) },
		func() {
			m := members(2, b.addr)
			m.Endpoints[0].SinceMS = 5
			f.take(m, snowhall.Delta)
		},
	} {
		a := try(t, f)
		p := accept(t, ln)
		pump(t, f, func() bool { return a.conn.sent.Load() != unsent })
		p.message()
		for c := a.conn; c.sent.Load() != whole; {
			time.Sleep(time.Millisecond)
		}
		p.write("*1\r\n$1\r\nx\r\n")
		pump(t, f, func() bool { return len(b.idle) == 1 })
		end()
		if len(b.idle) != 0 || f.backends.count != 0 {
			t.Errorf("%d idle connections, %d in all", len(b.idle), f.backends.count)
		}
		p.wantsEnd()
	}
}

// inUse makes an attempt on the one connection to a backend and waits until it has come there.
func inUse(t *testing.T, f *Front, ln net.Listener) (*attempt, *peer) {
	t.Helper()
	a := try(t, f)
	p := accept(t, ln)
	pump(t, f, func() bool { return a.conn.sent.Load() == whole })
	p.message()
	return a, p
}

// What comes on a connection while nothing is asked must not stand before the next answer, nor a whole second
// copy be taken for it: the connection is not used again, whether its reader has seen it or not.
func TestLateSurplusSpoilsTheConnection(t *testing.T) {
	for _, surplus := range []string{"*1\r\n$5\r\nstray\r\n", "*1\r\n$5\r\nst", "x"} {
		ln := listen(t)
		f := idle(t, ln.Addr().String())
		a, p := inUse(t, f, ln)
		p.write("*1\r\n$1\r\nx\r\n")
		pump(t, f, func() bool { return a.ended })
		c := f.backends.all["s-0"].idle[0]
		p.write(surplus)
		pump(t, f, func() bool { return c.closed })
		p.wantsEnd()
		if !c.spoilt.Load() || len(f.backends.all["s-0"].idle) != 0 {
			t.Errorf("%q: the connection is kept", surplus)
		}
	}
}

// Before an idle connection is used the socket itself is asked, as its reader may not have run since.
func TestQuiet(t *testing.T) {
	ln := listen(t)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	p := accept(t, ln)
	if !quiet(nc) {
		t.Error("nothing has come, and it is not quiet")
	}
	p.write("x")
	for end := time.Now().Add(patient); quiet(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what has come is not seen")
		}
	}
}

// A connection that was busy when its backend moved leads to the old process: it ends with its answer.
func TestBusyConnectionOfAnOldAddressIsNotKept(t *testing.T) {
	ln, next := listen(t), listen(t)
	f := idle(t, ln.Addr().String())
	a, p := inUse(t, f, ln)
	f.take(members(2, next.Addr().String()), snowhall.Whole)
	p.write("*1\r\n$1\r\nx\r\n")
	pump(t, f, func() bool { return a.ended })
	wantOutcome(t, f, snowhall.OK)
	p.wantsEnd()
	f.events = nil
	a = try(t, f)
	dialling := a.conn
	f.take(members(3, ln.Addr().String()), snowhall.Whole) // it moves while it is being dialled
	wantOutcome(t, f, snowhall.Moot)
	if !dialling.closed {
		t.Error("the dial to the old address goes on")
	}
}

// A backend that is gone must be forgotten with its last attempt, however that ends.
func TestGoneBackendIsForgotten(t *testing.T) {
	ln := listen(t)
	f := idle(t, ln.Addr().String())
	a, _ := inUse(t, f, ln)
	f.take(members(2), snowhall.Whole)
	f.timers.run(a.until)
	wantOutcome(t, f, snowhall.Timeout)
	if len(f.backends.all) != 0 || f.backends.count != 0 {
		t.Errorf("%d backends and %d connections are kept", len(f.backends.all), f.backends.count)
	}
}

// Probes end once, whatever comes back.
func TestProbe(t *testing.T) {
	ln := listen(t)
	f := idle(t, ln.Addr().String())
	for text, want := range map[string]snowhall.Status{"+PONG\r\n": snowhall.OK, "-ERR no\r\n": snowhall.Failed} {
		f.events = nil
		f.backends.probe("s-0")
		p := accept(t, ln)
		pump(t, f, func() bool { return f.backends.count == 1 && len(f.tasks) == 0 && f.backends.dialled("s-0") })
		if m := p.message(); m[0] != "PING" {
			t.Fatalf("got %q", m)
		}
		p.write(text)
		pump(t, f, func() bool { return len(f.events) > 0 })
		if got := f.events[0].(snowhall.Probed); got.Status != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

func (bs *backends) dialled(name string) bool {
	for c := range bs.all[name].conns {
		if c.nc == nil {
			return false
		}
	}
	return true
}

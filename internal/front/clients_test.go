package front

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// A value goes to the client alone and whole, a command to the backend unchanged but for d, and a warm connection
// is used again.
func TestPassesCommandAndValueOn(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("PING")
	c.wants("+PONG")
	value, body := strings.Repeat("v\r\n-", mostValue/4), strings.Repeat("b", mostValue)
	var b *peer
	for range 2 {
		c.command("q.do", customer, "9b1f03aa5c7e2d41", keyed, body)
		if b == nil {
			b = accept(t, ln)
		}
		m := b.message()
		if len(m) != 5 || m[0] != "q.do" || m[1] != customer || m[2] != "9b1f03aa5c7e2d41" || m[4] != body {
			t.Fatalf("the backend got %.100q", m)
		}
		d := 0
		for i, item := range strings.Split(m[3], ",") {
			if was := strings.Split(keyed, ",")[i]; strings.HasPrefix(item, "d=") {
				for _, r := range item[2:] {
					d = 10*d + int(r-'0')
				}
			} else if item != was {
				t.Errorf("%s went on as %s", was, item)
			}
		}
		if d < 1 || d > 6000 { // the module waits no longer than the aim
			t.Errorf("d=%d", d)
		}
		b.write("*3\r\n" + bulk(value) + bulk("used=37,cost=4") + "$-1\r\n")
		if m := c.message(); len(m) != 1 || m[0] != value {
			t.Fatalf("the client got %.60q", m)
		}
	}
}

func TestAnswersInCommandOrder(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	first := accept(t, ln)
	first.message()
	c.command("Q.ASK", customer, "2", list)
	c.command("PING")
	second := accept(t, ln) // not queued behind the first
	second.message()
	second.write("*3\r\n" + bulk("two") + "$-1\r\n$-1\r\n")
	first.write("*3\r\n" + bulk("one") + "$-1\r\n$-1\r\n")
	c.wants("one")
	c.wants("two")
	c.wants("+PONG")
}

func TestBadInput(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	for _, bad := range [][]string{
		{"Q.ASK"}, {"Q.ASK", customer, "1"}, {"Q.ASK", customer, "1", list, "body", "more"},
		{"Q.ASK", "b4d65521", "1", list}, {"Q.ASK", "zzzzzzzzzzzzzzzz", "1", list}, {"Q.ASK", "ffffffffffffffff", "1", list},
		{"Q.ASK", customer, "", list}, {"Q.ASK", customer, "1", ""},
		{"Q.ASK", customer, "1", strings.Replace(list, "evaluate", "other", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "t=open", "t=other", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "d=20000", "d=-1", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "d=20000,", "", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=nan", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "spread=1", "spread=x", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, ",first=0", "", 1)},
		{"Q.ASK", customer, "1", keyed}, {"Q.DO", customer, "1", list, "body"},
		{"Q.DO", customer, "1", strings.Replace(keyed, "k=5c0f6e1a2b3d4c59,", "", 1), "body"},
		{"GET", "x\r\ny"}, {""},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=1.5", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=+1", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=0x1p0", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=1e0", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "units=1", "units=0", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "spread=1", "spread=2", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "spread=1", "spread=+1", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "first=0", "first=1", 1)},
		{"Q.ASK", customer, "1", strings.Replace(list, "d=20000", "d=90000000", 1)},
		{"Q.ASK", customer, "1", list + ",units=1"}, {"Q.ASK", customer, "1", list + ",t=open"},
	} {
		c := w.dial()
		c.command(bad...)
		c.wantsPrefix("-ERR ")
		c.command("PING") // the connection is kept
		c.wants("+PONG")
	}
	for _, bad := range []string{"PING\r\n", "*1\r\n:1\r\n", "*1\r\n$-1\r\n", "*999999999\r\n", "*1\r\n$70000\r\n", "*x\r\n",
		"*0\r\n", "*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		c := w.dial()
		c.write(bad)
		c.wantsPrefix("-ERR ")
		c.wantsEnd()
	}
	ln.Close()
	if nc, err := ln.Accept(); err == nil {
		nc.Close()
		t.Error("something was sent on")
	}
}

// A client that leaves takes its request along: the backend's connection is closed and nothing more goes out.
func TestClientGone(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	c.nc.Close()
	b.wantsEnd()
}

// A client that takes no answers must not hold up the others.
func TestSlowClientHoldsNobodyUp(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	slow := w.dial()
	value := bulk(strings.Repeat("v", mostValue))
	go func() {
		nc, err := ln.Accept()
		for err == nil { // a backend that serves all that comes
			go func(nc net.Conn) {
				in := &respReader{from: nc}
				for {
					if _, err := in.next(); err != nil {
						return
					}
					if _, err := nc.Write([]byte("*3\r\n" + value + "$-1\r\n$-1\r\n")); err != nil {
						return
					}
				}
			}(nc)
			nc, err = ln.Accept()
		}
	}()
	for range 200 {
		slow.command("Q.ASK", customer, "1", list)
	}
	c := w.dial()
	for served := false; !served; { // the module may refuse some meanwhile
		c.command("Q.ASK", customer, "2", list)
		served = len(c.message()[0]) == mostValue
	}
}

func TestBusyAnswer(t *testing.T) {
	for pause, want := range map[time.Duration]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 250 * time.Millisecond: "-BUSY 250\r\n"} {
		if got := string(busyAnswer(pause)); got != want {
			t.Errorf("%v: %q", pause, got)
		}
	}
}

// Nobody to serve by: the request is held and refused when its time is up, here by the loop for a Door that
// would forget it.
func TestOverdueRequestIsAnswered(t *testing.T) {
	w := start(t, nil)
	c := w.dial()
	c.command("Q.ASK", customer, "1", strings.Replace(list, "d=20000", "d=60", 1))
	if m := c.message(); !strings.HasPrefix(m[0], "-") {
		t.Errorf("got %q", m)
	}
}

// A client that says nothing, or drips a command, must not hold a connection: one deadline holds for all of it.
func TestSlowCommandsEnd(t *testing.T) {
	w := start(t, nil)
	silent, dripping, later := w.dial(), w.dial(), w.dial()
	later.command("PING")
	later.wantsPrefix("-LOADING")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(commandWithin / 20):
				dripping.nc.Write([]byte(command("PING", strings.Repeat("x", 1000))[i : i+1]))
				later.nc.Write([]byte(command("PING", strings.Repeat("x", 1000))[i : i+1]))
			}
		}
	}()
	silent.wantsEnd()
	dripping.wantsPrefix("-ERR ")
	later.wantsPrefix("-ERR ")
}

// A client that is turned away while it still sends must be able to read why.
func TestErrorOutlivesWhatIsSent(t *testing.T) {
	w := start(t, nil)
	c := w.dial()
	c.write("*2\r\n$4\r\nPING\r\n$60000000\r\n")
	c.write(strings.Repeat("x", 8<<20))
	c.wantsPrefix("-ERR ")
	c.wantsEnd()
}

// The id of a request that is open belongs to that request: another one gets an error and not its value.
func TestOpenIDIsRefused(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	c, other := w.dial(), w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	other.command("Q.ASK", customer, "1", list)
	other.wantsPrefix("-ERR ")
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
	other.command("Q.ASK", customer, "1", list) // it is over, so the id is free
	b.message()
	b.write("*1\r\n" + bulk("again"))
	other.wants("again")
}

// Connections that are kept for nothing give way to new clients, those that are idle longest first.
func TestIdleClientsGiveWay(t *testing.T) {
	w := start(t, nil, func(c *Config, t *testing.T) { c.Sockets = 8 }) // 4 of them for clients
	var all []*peer
	for range 4 {
		c := w.dial()
		c.command("PING")
		c.wantsPrefix("-LOADING")
		all = append(all, c)
	}
	// since sets for how long a client's connection has been idle; below 0 it is never long enough.
	since := func(ages map[int]time.Duration) {
		w.f.clients.mu.Lock()
		defer w.f.clients.mu.Unlock()
		for c := range w.f.clients.all {
			for i, age := range ages {
				if c.nc.RemoteAddr().String() == all[i].nc.LocalAddr().String() {
					c.idle.Store(int64(w.f.now() - age))
				}
			}
		}
	}
	since(map[int]time.Duration{0: -time.Hour, 1: -time.Hour, 2: -time.Hour, 3: -time.Hour})
	refused := w.dial()
	refused.wantsPrefix("-BUSY")
	since(map[int]time.Duration{1: idleAfter, 2: 2 * idleAfter})
	c := w.dial()
	c.command("PING")
	c.wantsPrefix("-LOADING")
	all[2].wantsEnd()
	all[2] = c
	since(map[int]time.Duration{0: crowdAfter, 1: -time.Hour, 2: -time.Hour})
	w.dial().command("PING") // with no place left the threshold is lower
	all[0].wantsEnd()
	all[1].command("PING")
	all[1].wantsPrefix("-LOADING")
}

// All clients together can't make the front door hold more than its share of memory.
func TestClientMemoryIsBounded(t *testing.T) {
	w := start(t, nil, func(c *Config, t *testing.T) { c.MemoryMB = 1 })
	body := strings.Repeat("b", mostValue)
	var last *peer
	for i := range 8 { // none of these requests ends soon, as no backend is known
		last = w.dial()
		last.command("Q.DO", customer, fmt.Sprint(i), keyed, body)
		p := w.dial()
		p.command("PING") // it is read meanwhile
		p.wantsPrefix("-LOADING")
	}
	if m := last.message(); m[0] != strings.TrimSpace(string(busyAnswer(comeBack))) && !strings.HasPrefix(m[0], "-ERR no memory") {
		t.Errorf("got %q", m)
	}
	if held := w.f.clients.memory.held.Load(); held > 1<<18 {
		t.Errorf("%d bytes are held", held)
	}
}

func bulk(s string) string { return command(s)[len("*1\r\n"):] }

package service

import (
	"gapgap/internal/fake/peer"
	"gapgap/internal/resp"

	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// A value goes to the client alone and whole, a command to the backend unchanged but for d, and a warm connection
// is used again.
func TestPassesCommandAndValueOn(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("PING")
	c.Wants("+PONG")
	value, body := strings.Repeat("v\r\n-", 75<<10), strings.Repeat("b", resp.MaxValueBytes) // longer than a value is said to be
	var b *peer.Peer
	for range 2 {
		c.Command("q.do", peer.Customer, "9b1f03aa5c7e2d41", peer.Keyed, body)
		if b == nil {
			b = peer.Accept(t, ln)
		}
		m := b.Message()
		if len(m) != 5 || m[0] != "q.do" || m[1] != peer.Customer || m[2] != "9b1f03aa5c7e2d41" || m[4] != body {
			t.Fatalf("the backend got %.100q", m)
		}
		d := 0
		for i, item := range strings.Split(m[3], ",") {
			if was := strings.Split(peer.Keyed, ",")[i]; strings.HasPrefix(item, "d=") {
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
		b.Write("*3\r\n" + peer.Bulk(value) + peer.Bulk("used=37,cost=4") + "$-1\r\n")
		if m := c.Message(); len(m) != 1 || m[0] != value {
			t.Fatalf("the client got %.60q", m)
		}
	}
}

func TestAnswersInCommandOrder(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	first := peer.Accept(t, ln)
	first.Message()
	c.Command("Q.ASK", peer.Customer, "2", peer.List)
	c.Command("PING")
	second := peer.Accept(t, ln) // not queued behind the first
	second.Message()
	second.Write("*3\r\n" + peer.Bulk("two") + "$-1\r\n$-1\r\n")
	first.Write("*3\r\n" + peer.Bulk("one") + "$-1\r\n$-1\r\n")
	c.Wants("one")
	c.Wants("two")
	c.Wants("+PONG")
}

func TestBadInput(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	for _, bad := range [][]string{
		{"Q.ASK"}, {"Q.ASK", peer.Customer, "1"}, {"Q.ASK", peer.Customer, "1", peer.List, "body", "more"},
		{"Q.ASK", "b4d65521", "1", peer.List}, {"Q.ASK", "zzzzzzzzzzzzzzzz", "1", peer.List}, {"Q.ASK", "ffffffffffffffff", "1", peer.List},
		{"Q.ASK", peer.Customer, "", peer.List}, {"Q.ASK", peer.Customer, "1", ""},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "evaluate", "other", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "t=open", "t=other", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=-1", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000,", "", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=nan", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "spread=1", "spread=x", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, ",first=0", "", 1)},
		{"Q.ASK", peer.Customer, "1", peer.Keyed}, {"Q.DO", peer.Customer, "1", peer.List, "body"},
		{"Q.DO", peer.Customer, "1", strings.Replace(peer.Keyed, "k=5c0f6e1a2b3d4c59,", "", 1), "body"},
		{"GET", "x\r\ny"}, {""},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=1.5", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=+1", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=0x1p0", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=1e0", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "units=1", "units=0", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "spread=1", "spread=2", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "spread=1", "spread=+1", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "first=0", "first=1", 1)},
		{"Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=90000000", 1)},
		{"Q.ASK", peer.Customer, "1", peer.List + ",units=1"}, {"Q.ASK", peer.Customer, "1", peer.List + ",t=open"},
	} {
		c := env.dial()
		c.Command(bad...)
		c.WantsPrefix("-ERR ")
		c.Command("PING") // the connection is kept
		c.Wants("+PONG")
	}
	for _, bad := range []string{"PING\r\n", "*1\r\n:1\r\n", "*1\r\n$-1\r\n", "*999999999\r\n", "*1\r\n$70000\r\n", "*x\r\n",
		"*0\r\n", "*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		c := env.dial()
		c.Write(bad)
		c.WantsPrefix("-ERR ")
		c.WantsEnd()
	}
	ln.Close()
	if nc, err := ln.Accept(); err == nil {
		nc.Close()
		t.Error("something was sent on")
	}
}

// A client that leaves takes its request along: the backend's connection is closed and nothing more goes out.
func TestClientGone(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	c.NC.Close()
	b.WantsEnd()
}

// A client that takes no answers must not hold up the others.
func TestSlowClientHoldsNobodyUp(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	slow := env.dial()
	value := peer.Bulk(strings.Repeat("v", resp.MaxValueBytes))
	go func() {
		nc, err := ln.Accept()
		for err == nil { // a backend that serves all that comes
			go func(nc net.Conn) {
				in := &resp.Reader{Source: nc}
				for {
					if _, err := in.Next(); err != nil {
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
		slow.Command("Q.ASK", peer.Customer, "1", peer.List)
	}
	c := env.dial()
	for served := false; !served; { // the module may refuse some meanwhile
		c.Command("Q.ASK", peer.Customer, "2", peer.List)
		served = len(c.Message()[0]) == resp.MaxValueBytes
	}
}

// Nobody to serve by: the request is held and refused when its time is up, here by the loop for a Door that
// would forget it.
func TestOverdueRequestIsAnswered(t *testing.T) {
	env := start(t, nil)
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=60", 1))
	if m := c.Message(); !strings.HasPrefix(m[0], "-") {
		t.Errorf("got %q", m)
	}
}

// A client that says nothing, or drips a command, must not hold a connection: one deadline holds for all of it.
func TestSlowCommandsEnd(t *testing.T) {
	env := start(t, nil)
	silent, dripping, later := env.dial(), env.dial(), env.dial()
	later.Command("PING")
	later.WantsPrefix("-LOADING")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(2500 * time.Millisecond / 20):
				dripping.NC.Write([]byte(peer.Command("PING", strings.Repeat("x", 1000))[i : i+1]))
				later.NC.Write([]byte(peer.Command("PING", strings.Repeat("x", 1000))[i : i+1]))
			}
		}
	}()
	silent.WantsEnd()
	dripping.WantsPrefix("-ERR ")
	later.WantsPrefix("-ERR ")
}

// A client that is turned away while it still sends must be able to read why.
func TestErrorOutlivesWhatIsSent(t *testing.T) {
	env := start(t, nil)
	c := env.dial()
	c.Write("*2\r\n$4\r\nPING\r\n$60000000\r\n")
	c.Write(strings.Repeat("x", 8<<20))
	c.WantsPrefix("-ERR ")
	c.WantsEnd()
}

// The id of a request that is open belongs to that request: another one gets an error and not its value.
func TestOpenIDIsRefused(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c, other := env.dial(), env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	other.Command("Q.ASK", peer.Customer, "1", peer.List)
	other.WantsPrefix("-ERR ")
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
	other.Command("Q.ASK", peer.Customer, "1", peer.List) // it is over, so the id is free
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("again"))
	other.Wants("again")
}

// All clients together can't make the front door hold more than its share of memory.
func TestClientMemoryIsBounded(t *testing.T) {
	env := start(t, nil, func(c *Config, t *testing.T) { c.MemoryMB = 1 })
	body := strings.Repeat("b", resp.MaxValueBytes)
	var last *peer.Peer
	for i := range 8 { // none of these requests ends soon, as no backend is known
		last = env.dial()
		last.Command("Q.DO", peer.Customer, fmt.Sprint(i), peer.Keyed, body)
		p := env.dial()
		p.Command("PING") // it is read meanwhile
		p.WantsPrefix("-LOADING")
	}
	if m := last.Message(); m[0] != "-BUSY 100" && !strings.HasPrefix(m[0], "-ERR no memory") {
		t.Errorf("got %q", m)
	}
	if held := env.gateway.env.Memory.Held(); held > 1<<18 {
		t.Errorf("%d bytes are held", held)
	}
}

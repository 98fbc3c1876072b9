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

// TestPassesCommandAndValueOn verifies that a command reaches the backend with only its deadline d changed, that the
// client gets the whole value and nothing else, and that the backend's connection is used again.
func TestPassesCommandAndValueOn(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("PING")
	c.Wants("+PONG")
	// The value is longer than the advertised maximum.
	value, body := strings.Repeat("v\r\n-", 75<<10), strings.Repeat("b", resp.MaxValueBytes)
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
				t.Errorf("%s was forwarded as %s", was, item)
			}
		}
		if d < 1 || d > 6000 { // the proxy waits no longer than the latency objective
			t.Errorf("d=%d", d)
		}
		b.Write("*3\r\n" + peer.Bulk(value) + peer.Bulk("used=37,cost=4") + "$-1\r\n")
		if m := c.Message(); len(m) != 1 || m[0] != value {
			t.Fatalf("the client got %.60q", m)
		}
	}
}

// TestAnswersInCommandOrder verifies that a client gets its answers in the order of its commands, whatever the order in
// which backends answer.
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
	second.Write(peer.Answer("two"))
	first.Write(peer.Answer("one"))
	c.Wants("one")
	c.Wants("two")
	c.Wants("+PONG")
}

// TestBadInput verifies that an invalid command gets an error, that a protocol error also closes the connection, and
// that neither is forwarded.
func TestBadInput(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	for _, bad := range [][]string{
		{"Q.ASK"}, {"Q.ASK", peer.Customer, "1"}, {"Q.ASK", peer.Customer, "1", peer.List, "body", "more"},
		{"Q.ASK", "b4d65521", "1", peer.List}, {"Q.ASK", "zzzzzzzzzzzzzzzz", "1", peer.List},
		{"Q.ASK", "ffffffffffffffff", "1", peer.List},
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
	for _, bad := range []string{"PING\r\n", "*1\r\n:1\r\n", "*1\r\n$-1\r\n", "*999999999\r\n", "*1\r\n$70000\r\n",
		"*x\r\n", "*0\r\n", "*2\r\n$4\r\nPING\r\n*1\r\n$1\r\nx\r\n", "*1\r\n$4\r\nPINGxx"} {
		c := env.dial()
		c.Write(bad)
		c.WantsPrefix("-ERR ")
		c.WantsEnd()
	}
	ln.Close()
	if nc, err := ln.Accept(); err == nil {
		nc.Close()
		t.Error("a request was forwarded")
	}
}

// TestClientGone verifies that a client's disconnect cancels its request and closes the backend's connection.
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

// TestSlowClientHoldsNobodyUp verifies that a client that reads no answers does not delay other clients.
func TestSlowClientHoldsNobodyUp(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	slow := env.dial()
	value := peer.Bulk(strings.Repeat("v", resp.MaxValueBytes))
	go func() {
		nc, err := ln.Accept()
		for err == nil { // a backend that answers every request
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
	for served := false; !served; { // some may be rejected meanwhile
		c.Command("Q.ASK", peer.Customer, "2", peer.List)
		served = len(c.Message()[0]) == resp.MaxValueBytes
	}
}

// TestOverdueRequestIsAnswered verifies that a request is held while no backend is known, and is rejected at its
// deadline. The event loop enforces the deadline even if the balancer should miss it.
func TestOverdueRequestIsAnswered(t *testing.T) {
	env := start(t, nil)
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=60", 1))
	if m := c.Message(); !strings.HasPrefix(m[0], "-") {
		t.Errorf("got %q", m)
	}
}

// TestSlowCommandsEnd verifies that a client that sends nothing, or sends a command byte by byte, loses its connection:
// one deadline applies to the whole command.
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

// TestErrorOutlivesWhatIsSent verifies that a client that is rejected while it still sends can read the error.
func TestErrorOutlivesWhatIsSent(t *testing.T) {
	env := start(t, nil)
	c := env.dial()
	c.Write("*2\r\n$4\r\nPING\r\n$60000000\r\n")
	c.Write(strings.Repeat("x", 8<<20))
	c.WantsPrefix("-ERR ")
	c.WantsEnd()
}

// TestOpenIDIsRefused verifies that a request with the id of one in flight gets an error, not that request's value.
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
	other.Command("Q.ASK", peer.Customer, "1", peer.List) // the first request has ended, so the id is free
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("again"))
	other.Wants("again")
}

// TestClientMemoryIsBounded verifies that all clients together can't make the gateway hold more than its limit of
// memory for them.
func TestClientMemoryIsBounded(t *testing.T) {
	env := start(t, nil, func(c *Config, t *testing.T) { c.MemoryMB = 1 })
	body := strings.Repeat("b", resp.MaxValueBytes)
	var last *peer.Peer
	for i := range 8 { // none of these requests ends soon, as no backend is known
		last = env.dial()
		last.Command("Q.DO", peer.Customer, fmt.Sprint(i), peer.Keyed, body)
		p := env.dial()
		p.Command("PING") // commands are still read
		p.WantsPrefix("-LOADING")
	}
	if m := last.Message(); m[0] != "-BUSY 100" && !strings.HasPrefix(m[0], "-ERR no memory") {
		t.Errorf("got %q", m)
	}
	if held := env.gateway.env.Memory.Held(); held > 1<<18 {
		t.Errorf("%d bytes are held for clients", held)
	}
}

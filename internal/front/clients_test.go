package front

import (
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
	c := w.dial()
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
	} {
		c.command(bad...)
		c.wantsPrefix("-ERR ")
	}
	c.command("PING") // the connection is kept
	c.wants("+PONG")
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

func bulk(s string) string { return command(s)[len("*1\r\n"):] }

package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["term-long"] = termLong }

// termLong: a long value is being passed on when a planned restart begins.
func termLong(r *rig) {
	const (
		size   = 2 << 20
		pieces = 50
		every  = 100 * time.Millisecond
	)
	full := strings.Repeat("v", size)
	sent := make(chan bool, 16)
	b := startBackend("s-00000001", func(_ *backend, c *backendConn, words []string) {
		r.note("the backend has request %s", words[2])
		out := value(full)
		for i := range pieces {
			if err := c.send(out[i*len(out)/pieces : (i+1)*len(out)/pieces]); err != nil {
				r.note("the backend could not go on after %d of %d bytes: %v", i*len(out)/pieces, len(out), err)
				sent <- false
				return
			}
			time.Sleep(every)
		}
		r.note("the backend has sent the whole value")
		sent <- true
	})
	disco := startAgent(b.entry("SERVING"))
	listen := freeAddr()
	set := settings(1, []object{class("evaluate", "safe", 3000, 1200)}, []object{plan("starter")})
	g := r.startGateway("gateway", r.writeConfig("config.json", config(listen, "", disco.addr, freeAddr(), disco.whole(), set)), r.tmp("t1"))
	r.waitReady(listen, 10*time.Second)
	c, err := dial(listen)
	if err != nil {
		fail("%v", err)
	}
	if err := c.write(command("Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", list("evaluate", "starter", 3*time.Second, "spread=1", "first=0"))); err != nil {
		fail("%v", err)
	}
	r.note("request 9b1f03aa5c7e2d41 sent")
	if _, err := c.in.Peek(1000); err != nil {
		fail("no value begins: %v", err)
	}
	r.note("the client has the first bytes of its value")
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		g.signal(r, syscall.SIGTERM)
		after(12*time.Second, func() { g.signal(r, syscall.SIGKILL) })
	}
	a, err := c.readAnswer(20 * time.Second)
	switch {
	case err != nil:
		r.note("the client's connection ended within the value: %v", err)
		r.violation("the gateway ended the connection before the value was whole, while the backend went on")
	case a.served() && a.text == full:
		r.note("the client has its whole value")
	default:
		r.violation("the client got %c and %d bytes", a.kind, len(a.text))
	}
	<-sent
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term-slow-request"] = termSlowRequest }

// termSlowRequest: a planned restart begins while some clients are writing a request in pieces, on connections that
// they have used before.
func termSlowRequest(r *rig) {
	b := startBackend("s-00000001", func(_ *backend, c *backendConn, words []string) {
		r.note("the backend has request %s", words[2])
		c.send(value("value of " + words[2]))
	})
	disco := startAgent(b.entry("SERVING"))
	listen := freeAddr()
	set := settings(1, []object{class("evaluate", "safe", 3000, 1200), class("change", "keyed", 2000, 1200)}, []object{plan("starter")})
	g := r.startGateway("gateway", r.writeConfig("config.json", config(listen, "", disco.addr, freeAddr(), disco.whole(), set)), r.tmp("t1"))
	r.waitReady(listen, 10*time.Second)

	// Times of the first and last piece of each client's second request, from SIGTERM on.
	writes := []struct{ first, last time.Duration }{
		{-300 * time.Millisecond, 600 * time.Millisecond},
		{-100 * time.Millisecond, 650 * time.Millisecond},
		{100 * time.Millisecond, 600 * time.Millisecond},
		{-300 * time.Millisecond, 300 * time.Millisecond},
	}
	const pieces = 6
	term := time.Now().Add(time.Second)
	var wg sync.WaitGroup
	for n, w := range writes {
		wg.Go(func() {
			c, err := dial(listen)
			if err != nil {
				fail("%v", err)
			}
			defer c.close()
			customer := fmt.Sprintf("%016x", 0xb4d65521+n)
			l := list("evaluate", "starter", 3*time.Second, "spread=1", "first=0")
			c.write(command("Q.ASK", customer, fmt.Sprintf("%08x00000001", n+1), l))
			if a, err := c.readAnswer(3 * time.Second); err != nil || !a.served() {
				fail("client %d: the first request is answered %v, %v", n, a, err)
			}
			id := fmt.Sprintf("%08x00000002", n+1)
			b := command("Q.DO", customer, id, list("change", "starter", 2*time.Second, "spread=1", "first=0", "k="+id), "BODY")
			for i := range pieces {
				time.Sleep(time.Until(term.Add(w.first + (w.last-w.first)*time.Duration(i)/(pieces-1))))
				if err := c.write(b[i*len(b)/pieces : (i+1)*len(b)/pieces]); err != nil {
					r.note("client %d: the connection was closed within request %s, before its last byte: %v", n, id, err)
					return
				}
			}
			r.note("client %d: the last byte of request %s is written", n, id)
			a, err := c.readAnswer(4 * time.Second)
			if err != nil {
				r.note("client %d: request %s: %v", n, id, err)
				r.violation("the gateway ended the connection with no answer to request %s, whose last byte came %v after SIGTERM", id, w.last)
				return
			}
			r.note("client %d: request %s: %s", n, id, a.outcome())
		})
	}
	time.Sleep(time.Until(term))
	if r.trouble {
		g.signal(r, syscall.SIGTERM)
		after(5*time.Second, func() { g.signal(r, syscall.SIGKILL) })
	}
	wg.Wait()
}

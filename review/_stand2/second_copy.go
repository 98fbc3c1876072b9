package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-copy"] = secondCopy }

// secondCopy: some good answers of the backends are followed by a second copy some milliseconds later, when nothing
// else waits on the connection. Each value holds the id of its request.
func secondCopy(r *rig) {
	const (
		backends  = 10
		clients   = 20
		most      = 2000 // requests of one client
		duration  = 25 * time.Second
		work      = 100 * time.Millisecond // 77 to 130 ms, exponential
		oneWay    = 300 * time.Microsecond // within a zone: 0.093 to 0.32 ms
		late      = 3 * time.Millisecond
		share     = 0.02 // of the answers
		thinkTime = 50 * time.Millisecond
	)
	var copies atomic.Int64
	handle := func(b *backend, c *backendConn, words []string) {
		id := words[2]
		r.note("%s runs request %s", b.name, id)
		time.Sleep(time.Duration(float64(work) * rand.ExpFloat64()))
		answer := value("value of " + id)
		if c.send(answer) != nil || !r.trouble || rand.Float64() >= share {
			return
		}
		// The copy is sent only if nothing has come on the connection by then.
		c.SetReadDeadline(time.Now().Add(late))
		_, err := c.in.Peek(1)
		c.SetReadDeadline(time.Time{})
		if err == nil {
			return
		}
		if c.send(answer) == nil {
			copies.Add(1)
			r.note("%s has sent a second copy of the answer to %s", b.name, id)
		}
	}
	var entries []object
	for i := range backends {
		b := startBackend(fmt.Sprintf("s-%08x", i+1), handle)
		b.addr = startLink(b.addr, oneWay).addr
		entries = append(entries, b.entry("SERVING"))
	}
	disco := startAgent(entries...)
	listen := freeAddr()
	set := settings(1, []object{class("evaluate", "safe", 3000, 1200)}, []object{plan("starter")})
	r.startGateway("gateway", r.writeConfig("config.json",
		config(listen, "", disco.addr, freeAddr(), disco.whole(), set)), r.tmp("t1"))
	r.waitReady(listen, 10*time.Second)
	var wg sync.WaitGroup
	var answered, served atomic.Int64
	end := time.Now().Add(duration)
	for n := range clients {
		wg.Go(func() {
			c, err := dial(listen)
			if err != nil {
				fail("%v", err)
			}
			defer c.close()
			for i := 0; i < most && time.Now().Before(end); i++ {
				id := fmt.Sprintf("%08x%08x", n+1, i)
				customer := fmt.Sprintf("%016x", 0xb4d65521+n)
				r.note("client %d: request %s sent", n, id)
				if c.write(command("Q.ASK", customer, id,
					list("evaluate", "starter", 3*time.Second, "spread=1", "first=0"))) != nil {
					fail("the connection of client %d has ended", n)
				}
				a, err := c.readAnswer(4 * time.Second)
				if err != nil {
					fail("client %d: request %s: %v", n, id, err)
				}
				answered.Add(1)
				r.note("client %d: request %s, %s: %s", n, id, a.outcome(), a.text)
				if a.served() {
					served.Add(1)
					if a.text != "value of "+id {
						r.violation("request %s was served the %s", id, a.text)
					}
				}
				time.Sleep(time.Duration(float64(thinkTime) * rand.ExpFloat64()))
			}
		})
	}
	wg.Wait()
	r.note("%d answers, %d served, %d second copies", answered.Load(), served.Load(), copies.Load())
}

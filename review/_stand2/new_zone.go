package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["new-zone"] = newZone }

// newZone: a new configuration names one more zone, and backends are added there. Some connections are reset under
// requests that have run. The keys of a class are known to the backends of one zone.
func newZone(r *rig) {
	const (
		window = 5 * time.Second
		most   = 1000 // requests of one client
	)
	var mu sync.Mutex
	seen := map[string]map[string]time.Time{} // by zone and key: when it first ran there
	ranIn := map[string]string{}              // by key: the zones in which it ran
	var resets, repeats atomic.Int64
	start := func(i int, zone string) *backend {
		b := startBackend(fmt.Sprintf("s-%08x", i), func(b *backend, c *backendConn, words []string) {
			key := field(words[3], "k")
			mu.Lock()
			if seen[zone] == nil {
				seen[zone] = map[string]time.Time{}
			}
			first, known := seen[zone][key]
			if known && time.Since(first) < window+50*time.Millisecond {
				repeats.Add(1)
				r.note("%s in %s drops a repeat of key %s (request %s)", b.name, zone, key, words[2])
			} else {
				seen[zone][key] = time.Now()
				if before := ranIn[key]; before != "" {
					r.violation("key %s of request %s ran in %s and again in %s, at %s", key, words[2], before, zone, b.name)
				}
				ranIn[key] += zone
				r.note("%s in %s runs key %s (request %s)", b.name, zone, key, words[2])
			}
			mu.Unlock()
			time.Sleep(time.Duration(100 * rand.ExpFloat64() * float64(time.Millisecond)))
			if !known && rand.Float64() < 0.05 {
				resets.Add(1)
				r.note("%s resets the connection under request %s", b.name, words[2])
				c.Conn.(interface{ SetLinger(int) error }).SetLinger(0)
				c.Close()
				return
			}
			c.send(value("done " + words[2]))
		})
		return b
	}
	in := func(b *backend, zone string, group int) object {
		e := b.entry("SERVING")
		e["zone"], e["group"] = zone, group
		return e
	}
	disco := startAgent()
	disco.entries["s-00000001"] = in(start(1, "north"), "north", 1)
	disco.entries["s-00000002"] = in(start(2, "north"), "north", 1)
	c1 := class("sell", "keyed", 8000, int(window/time.Millisecond))
	c1["group"] = "zone"
	set := settings(1, []object{c1}, []object{plan("guest")})
	set["areas"] = []string{"north"}
	listen, counter := freeAddr(), freeAddr()
	if !r.trouble { // the same deployment, known from the start
		set["areas"] = []string{"north", "east"}
	}
	known := disco.whole()
	path := r.writeConfig("config.json", config(listen, "", disco.addr, counter, known, set))
	g := r.startGateway("gateway", path, r.tmp("t1"))
	r.waitReady(listen, 10*time.Second)
	end := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	var served, refused, failed atomic.Int64
	for n := range 12 {
		wg.Go(func() {
			c, err := dial(listen)
			if err != nil {
				fail("%v", err)
			}
			defer c.close()
			for i := 0; i < most && time.Now().Before(end); i++ {
				id := fmt.Sprintf("%08x%08x", n+1, i)
				l := list("sell", "guest", 8*time.Second, "spread=1", "first=0", "k="+id)
				r.note("client %d: request %s sent", n, id)
				c.write(command("Q.DO", fmt.Sprintf("%016x", 0xb4d65521+n), id, l, "BODY"))
				a, err := c.readAnswer(10 * time.Second)
				if err != nil {
					fail("client %d: request %s: %v", n, id, err)
				}
				switch a.outcome() {
				case "served":
					served.Add(1)
				case "refused":
					refused.Add(1)
				default:
					failed.Add(1)
				}
				r.note("client %d: request %s: %s", n, id, a.outcome())
				time.Sleep(time.Duration(rand.ExpFloat64() * 60 * float64(time.Millisecond)))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		set["areas"] = []string{"north", "east"}
		r.writeConfig("config.json", config(listen, "", disco.addr, counter, known, set))
		g.signal(r, syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	disco.set(in(start(3, "east"), "east", 2))
	disco.set(in(start(4, "east"), "east", 2))
	r.note("two backends are added in east")
	wg.Wait()
	r.note("%d served, %d refused, %d failed; %d resets, %d repeats dropped", served.Load(), refused.Load(), failed.Load(), resets.Load(), repeats.Load())
}

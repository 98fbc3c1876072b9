package hosted

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// What one pool finds out about a shared server reaches the other under its own name for it: after the first has left
// out a server whose connections break, one broken connection is enough for the second.
func TestPoolsFindingsReachTheOtherPool(t *testing.T) {
	ln := peer.Listen(t)
	var came atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			came.Add(1)
			_ = nc.Close()
		}
	}()
	w := &poolsWorld{world: start(t, 0), agents: map[string]*catalog.Agent{}, servers: map[string]*flagserver.Server{}}
	text := w.config("a", to("b", "b", `host = "b.org"`), "a", "b")
	w.gateway = w.run(strings.ReplaceAll(text, "probe = true", "probe = false"))
	p := peer.Dial(t, w.gateway.resp)
	w.agents["a"].Set(catalog.Serving("s-a", w.servers["a"].Addr()), catalog.Serving("x", ln.Addr().String()))
	w.agents["b"].Set(catalog.Serving("s-b", w.servers["b"].Addr()), catalog.Serving("y", ln.Addr().String()))
	n := 0
	until := func(host string, from, most int64) int64 {
		t.Helper()
		for end := time.Now().Add(peer.Patient); ; {
			n++
			// all its attempts broke
			if got := w.resp(p, fmt.Sprint(n), ",host="+host); !strings.HasPrefix(got, "from") && got != "-BUSY" {
				t.Fatalf("%s: %q", host, got)
			}
			if at := came.Load() - from; at >= most {
				return at
			}
			if time.Now().After(end) {
				t.Fatalf("%s tried the broken server %d times", host, came.Load()-from)
			}
		}
	}
	until("a.org", 0, 3) // the module leaves it out with the third
	from := came.Load()
	until("b.org", from, 1)
	for range 30 { // b asks on, and does not come back within its first pause
		n++
		w.resp(p, fmt.Sprint(n), ",host=b.org")
	}
	if at := came.Load() - from; at != 1 {
		t.Errorf("the second pool tried the broken server %d times", at)
	}
}

// A server that stands in two pools, under two names: a drain or a removal told to one pool stops both within the 250
// ms, also if the other pool's source goes on listing it; told in service again by its own source, a pool takes it up.
func TestPoolsSharedServerDrains(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	shared, err := flagserver.Start(flagserver.Config{Value: "shared", Keep: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(shared.Close)
	own := func(pool string) catalog.Endpoint { return catalog.Serving("s-"+pool, w.servers[pool].Addr()) }
	at := func(name, status string) catalog.Endpoint {
		e := catalog.Serving(name, shared.Addr())
		e.Status = status
		return e
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			p := peer.Dial(t, w.gateway.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				w.resp(p, fmt.Sprint(i, "-", n), []string{"", ",host=b.org"}[i%2])
			}
		})
	}
	// sends counts what comes to the shared server while something is looked at, a grace after it is told.
	sends := func(grace, while time.Duration) int {
		time.Sleep(grace)
		before := len(shared.Sent())
		time.Sleep(while)
		return len(shared.Sent()) - before
	}
	both := func() {
		t.Helper()
		for end := time.Now().Add(peer.Patient); sends(0, 100*time.Millisecond) == 0; {
			if time.Now().After(end) {
				t.Fatal("the server is never used")
			}
		}
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both()
	w.agents["a"].Set(own("a"), at("x", "DRAINING"))
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a drain told to one pool", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING")) // it goes on listing it
	if n := sends(250*time.Millisecond, 200*time.Millisecond); n > 0 {
		t.Errorf("%d sends to a server that drains for another pool", n)
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	both()
	w.agents["a"].Set(own("a")) // removed from one
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a removal told to one pool", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both() // its own source insists
	close(stop)
	wg.Wait()
}

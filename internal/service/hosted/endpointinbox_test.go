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

// TestPoolsFindingsReachTheOtherPool verifies that a pool's health report on a shared endpoint reaches the other pool,
// which has the endpoint under another name: once the first pool has ejected an endpoint whose connections break, the
// second pool ejects it after a single broken connection.
func TestPoolsFindingsReachTheOtherPool(t *testing.T) {
	ln := peer.Listen(t)
	var accepted atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = nc.Close()
		}
	}()
	w := &poolsEnv{
		testEnv: startEnv(t, 0),
		agents:  map[string]*catalog.Agent{},
		servers: map[string]*flagserver.Server{},
	}
	text := w.configText("a", routeTo("b", "b", `host = "b.org"`), "a", "b")
	w.gateway = w.startService(strings.ReplaceAll(text, "probe = true", "probe = false"))
	p := peer.Dial(t, w.gateway.resp)
	w.agents["a"].Set(catalog.Serving("s-a", w.servers["a"].Addr()), catalog.Serving("x", ln.Addr().String()))
	w.agents["b"].Set(catalog.Serving("s-b", w.servers["b"].Addr()), catalog.Serving("y", ln.Addr().String()))
	n := 0
	until := func(host string, from, most int64) int64 {
		t.Helper()
		for end := time.Now().Add(peer.Patient); ; {
			n++
			// -BUSY: all attempts failed
			if got := w.askRESP2(p, fmt.Sprint(n), ",host="+host); !strings.HasPrefix(got, "from") && got != "-BUSY" {
				t.Fatalf("%s: %q", host, got)
			}
			if at := accepted.Load() - from; at >= most {
				return at
			}
			if time.Now().After(end) {
				t.Fatalf("%s tried the failing endpoint %d times", host, accepted.Load()-from)
			}
		}
	}
	until("a.org", 0, 3) // the balancer ejects it after the third
	from := accepted.Load()
	until("b.org", from, 1)
	for range 30 { // pool b does not retry the endpoint within the first ejection
		n++
		w.askRESP2(p, fmt.Sprint(n), ",host=b.org")
	}
	if at := accepted.Load() - from; at != 1 {
		t.Errorf("the second pool tried the failing endpoint %d times", at)
	}
}

// TestPoolsSharedServerDrains verifies that two pools which share an endpoint under two names both stop using it within
// 250 ms of a drain or a removal in one pool's endpoint list, even if the other list still has it as serving. A pool
// uses the endpoint again once its own list reports it as serving again.
func TestPoolsSharedServerDrains(t *testing.T) {
	w := startPools(t, "a", routeTo("b", "b", `host = "b.org"`), "a", "b")
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
				w.askRESP2(p, fmt.Sprint(i, "-", n), []string{"", ",host=b.org"}[i%2])
			}
		})
	}
	// sends waits for a grace period and then counts the requests to the shared endpoint during some time.
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
				t.Fatal("the endpoint is never used")
			}
		}
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both()
	w.agents["a"].Set(own("a"), at("x", "DRAINING"))
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a drain in one pool's list", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING")) // the other list still has it
	if n := sends(250*time.Millisecond, 200*time.Millisecond); n > 0 {
		t.Errorf("%d sends to an endpoint that is draining in another pool's list", n)
	}
	w.agents["a"].Set(own("a"), at("x", "SERVING"))
	both()
	w.agents["a"].Set(own("a")) // removed from one list
	if n := sends(250*time.Millisecond, 300*time.Millisecond); n > 0 {
		t.Errorf("%d sends after a removal from one pool's list", n)
	}
	w.agents["b"].Set(own("b"), at("y", "SERVING"))
	both() // its own list reports it again
	close(stop)
	wg.Wait()
}

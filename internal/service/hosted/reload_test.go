package hosted

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// TestPoolsSwapsUnderLoad verifies that replacing the routing table hundreds of times under load loses no request, that
// no request goes to a pool which neither the old nor the new table selects, and that invalid tables are rejected.
func TestPoolsSwapsUnderLoad(t *testing.T) {
	const swaps = 200
	w := startPools(t, "a", "", "a", "b")
	texts := []string{
		w.configText("a", "", "a", "b", "c"),
		w.configText("b", routeTo("x", "b", `host = "h"`), "a", "b"),
		w.configText("a", routeTo("x", "b", `host = "h"`), "a", "b", "c"),
	}
	bad := []string{
		w.configText("c", "", "a", "b"),
		w.configText("a", routeTo("x", "c", ""), "a", "b"),
		w.configText("a", "wrong = 1", "a", "b"),
	}
	var cfgs []*Config
	for _, text := range texts {
		cfg, err := Parse("x", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		cfgs = append(cfgs, cfg)
	}
	for _, text := range bad {
		var e *Error
		if _, err := Parse("x", []byte(text)); !errors.As(err, &e) || e.Line == 0 {
			t.Errorf("an invalid table: %v", err)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, unexpected atomic.Int64
	for i := range 4 {
		wg.Go(func() {
			c, p := newClient(), peer.Dial(t, w.gateway.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := w.askRESP2(p, fmt.Sprint(i, "-", n), "")
				if got != "from a" && got != "from b" { // no table routes to c
					unexpected.Add(1)
					t.Errorf("answered %q", got)
					return
				}
				if code, _, _, err := tryCheck(c, w.gateway.http+"/check", bearer("free")...); err != nil ||
					code != 200 {
					unexpected.Add(1)
					t.Errorf("a check: %d %v", code, err)
					return
				}
				answered.Add(2)
			}
		})
	}
	for range swaps {
		if err := w.gateway.Reload(cfgs[rand.IntN(len(cfgs))]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if unexpected.Load() > 0 || answered.Load() < swaps {
		t.Errorf("%d answered, %d unexpected answers", answered.Load(), unexpected.Load())
	}
}

// TestPoolsRemovalAnswersWhatWasTaken verifies that a removed pool still answers the requests that it had accepted.
func TestPoolsRemovalAnswersWhatWasTaken(t *testing.T) {
	w := startPools(t, "a", routeTo("b", "b", `host = "b.org"`), "a", "b")
	w.servers["b"].Set(flagserver.Config{Value: "from b", Delay: 400 * time.Millisecond})
	p := peer.Dial(t, w.gateway.resp)
	p.Command("Q.ASK", customers["small"], "1", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	for w.gateway.Pools()["b"] == 0 {
		time.Sleep(time.Millisecond)
	}
	cfg, err := Parse("x", []byte(w.configText("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.gateway.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	if _, exists := w.gateway.Pools()["b"]; exists {
		t.Error("the pool is still there")
	}
	p.Command("Q.ASK", customers["small"], "2", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	p.Wants("from b")
	p.Wants("from a")
}

// TestPoolsComeAndGo verifies that repeatedly adding and removing pools leaks no goroutines, file descriptors or
// memory.
func TestPoolsComeAndGo(t *testing.T) {
	const times = 1000
	w := startPools(t, "a", "", "a", "b")
	one, err := Parse("x", []byte(w.configText("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	two, err := Parse("x", []byte(w.configText("a", routeTo("b", "b", `host = "b.org"`), "a", "b")))
	if err != nil {
		t.Fatal(err)
	}
	round := func() {
		for _, cfg := range []*Config{one, two} {
			if err := w.gateway.Reload(cfg); err != nil {
				t.Fatal(err)
			}
		}
	}
	settled := func() (goroutines, files int, heap uint64) {
		w.gateway.removals.Wait()
		http.DefaultClient.CloseIdleConnections()
		for last := -1; ; time.Sleep(20 * time.Millisecond) {
			if goroutines = runtime.NumGoroutine(); goroutines == last {
				break
			}
			last = goroutines
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		fds, _ := os.ReadDir("/proc/self/fd") // empty on systems without /proc
		return goroutines, len(fds), m.HeapAlloc
	}
	for range 20 {
		round()
	}
	before, files, heap := settled()
	for range times {
		round()
	}
	goroutinesNow, filesNow, heapNow := settled()
	if goroutinesNow > before+20 || filesNow > files+20 || heapNow > heap+4<<20 {
		t.Errorf("%d goroutines, %d descriptors and %d KB before, %d, %d and %d after %d rounds", before, files,
			heap>>10, goroutinesNow, filesNow, heapNow>>10, times)
	}
	// memory has one more allotment, for bytes whose pool is not yet known
	if s := w.gateway.limits; s.memory.Len() != 3 || s.sockets.Len() != 2 || s.memory.Held() != 0 {
		t.Errorf("%d memory and %d socket allotments remain", s.memory.Len(), s.sockets.Len())
	}
	if n := w.gateway.Shared.Len(); n != 2 {
		t.Errorf("%d pools remain", n)
	}
}

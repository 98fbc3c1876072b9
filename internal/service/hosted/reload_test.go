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

// A table that is swapped under load, hundreds of times and also for bad ones, loses no request, and none is answered
// by a pool that neither the old nor the new table names.
func TestPoolsSwapsUnderLoad(t *testing.T) {
	const swaps = 200
	w := startPools(t, "a", "", "a", "b")
	texts := []string{w.config("a", "", "a", "b", "c"), w.config("b", to("x", "b", `host = "h"`), "a", "b"),
		w.config("a", to("x", "b", `host = "h"`), "a", "b", "c")}
	bad := []string{
		w.config("c", "", "a", "b"),
		w.config("a", to("x", "c", ""), "a", "b"),
		w.config("a", "wrong = 1", "a", "b"),
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
			t.Errorf("a bad table: %v", err)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, odd atomic.Int64
	for i := range 4 {
		wg.Go(func() {
			c, p := client(), peer.Dial(t, w.gateway.resp)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := w.resp(p, fmt.Sprint(i, "-", n), "")
				if got != "from a" && got != "from b" { // no table sends here to c
					odd.Add(1)
					t.Errorf("answered %q", got)
					return
				}
				if code, _, _, err := try(c, w.gateway.http+"/check", bearer("free")...); err != nil || code != 200 {
					odd.Add(1)
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
	if odd.Load() > 0 || answered.Load() < swaps {
		t.Errorf("%d answered, %d odd", answered.Load(), odd.Load())
	}
}

// A pool that is removed answers what it took, though no route leads to it any more.
func TestPoolsRemovalAnswersWhatWasTaken(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	w.servers["b"].Set(flagserver.Config{Value: "from b", Delay: 400 * time.Millisecond})
	p := peer.Dial(t, w.gateway.resp)
	p.Command("Q.ASK", customers["small"], "1", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	for w.gateway.Pools()["b"] == 0 {
		time.Sleep(time.Millisecond)
	}
	cfg, err := Parse("x", []byte(w.config("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.gateway.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	if _, there := w.gateway.Pools()["b"]; there {
		t.Error("the pool is still there")
	}
	p.Command("Q.ASK", customers["small"], "2", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0,host=b.org")
	p.Wants("from b")
	p.Wants("from a")
}

// Adding and removing pools again and again leaves nothing behind: goroutines, descriptors and memory stay flat.
func TestPoolsComeAndGo(t *testing.T) {
	const times = 1000
	w := startPools(t, "a", "", "a", "b")
	one, err := Parse("x", []byte(w.config("a", "", "a")))
	if err != nil {
		t.Fatal(err)
	}
	two, err := Parse("x", []byte(w.config("a", to("b", "b", `host = "b.org"`), "a", "b")))
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
		fds, _ := os.ReadDir("/proc/self/fd") // where there is one
		return goroutines, len(fds), m.HeapAlloc
	}
	for range 20 {
		round()
	}
	before, files, heap := settled()
	for range times {
		round()
	}
	after, filesNow, now := settled()
	if after > before+20 || filesNow > files+20 || now > heap+4<<20 {
		t.Errorf("%d goroutines, %d descriptors and %d KB before, %d, %d and %d after %d rounds", before, files,
			heap>>10, after, filesNow, now>>10, times)
	}
	// the unread bytes' too
	if s := w.gateway.limits; s.memory.Len() != 3 || s.sockets.Len() != 2 || s.memory.Held() != 0 {
		t.Errorf("%d and %d allotments are kept", s.memory.Len(), s.sockets.Len())
	}
	if n := w.gateway.Shared.Len(); n != 2 {
		t.Errorf("%d pools are kept", n)
	}
}

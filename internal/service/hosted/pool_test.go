package hosted

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/flagserver"
)

// TestPoolsKeepCountsApart verifies that pools count an account's use of its plan and ceiling separately: what the
// account spends in one pool does not reduce what it has in another.
func TestPoolsKeepCountsApart(t *testing.T) {
	w := startPools(t, "a", routeTo("b", "b", `host = "b.org"`), "a", "b")
	count := func(host string, lasts time.Duration) (n int) {
		c := newClient()
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			code, _, _ := mustCheck(t, c, w.gateway.http+"/check", append(bearer("big"), "X-Forwarded-Host", host)...)
			if code == 200 {
				n++
			}
		}
		return n
	}
	a := count("a.org", 1500*time.Millisecond)
	b := count("b.org", 1500*time.Millisecond)
	// Both refill at 40 per second from the start; b's had the time to fill up to its burst.
	if a < 40 || a > 75 || b < 75 || b > 115 {
		t.Errorf("%d and %d allowed; the second must not depend on the first", a, b)
	}
}

// TestPoolsQuietBesideOverwhelmed verifies that a pool with little load is served as well as without other load while
// another pool is overwhelmed: by a flood, by a flood that changes pools, by endpoints that do not answer, by values of
// 60 MB, and by an account over its ceiling. The flood's clients use the CPU of the same machine, so a tenth of the
// requests may fail. cmd/benchmark measures latencies, and the same load with the flood in a process of its own.
func TestPoolsQuietBesideOverwhelmed(t *testing.T) {
	const times = 100
	two := routeTo("loud", "loud", `host = "loud.org"`) + routeTo("quiet", "quiet", `host = "quiet.org"`)
	for name, trouble := range map[string]func(w *poolsEnv, stop chan struct{}, wg *sync.WaitGroup){
		"flood": func(w *poolsEnv, stop chan struct{}, wg *sync.WaitGroup) { w.flood(stop, wg, 16, "loud.org") },
		"silent servers": func(w *poolsEnv, stop chan struct{}, wg *sync.WaitGroup) {
			w.servers["loud"].Set(flagserver.Config{Silent: true})
			w.flood(stop, wg, 16, "loud.org")
		},
		"60 MB": func(w *poolsEnv, stop chan struct{}, wg *sync.WaitGroup) {
			for range 8 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						nc, err := net.Dial("tcp", w.gateway.resp)
						if err != nil {
							continue
						}
						_, _ = fmt.Fprintf(nc, "*2\r\n$4\r\nPING\r\n$60000000\r\n%s", strings.Repeat("x", 1<<20))
						_ = nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
						_, _ = nc.Read(make([]byte, 100))
						_ = nc.Close()
					}
				})
			}
		},
		"flood and silent and 60 MB": nil, // set below
	} {
		t.Run(name, func(t *testing.T) {
			w := startPools(t, "quiet", two, "quiet", "loud")
			alone := w.measureClient("quiet.org", "a", "from quiet", times)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			if trouble == nil {
				w.servers["loud"].Set(flagserver.Config{Silent: true})
				w.flood(stop, &wg, 8, "loud.org")
				w.flood(stop, &wg, 8, "loud.org", strings.Repeat("y", 60<<10))
			} else {
				trouble(w, stop, &wg)
			}
			beside := w.measureClient("quiet.org", "b", "from quiet", times)
			close(stop)
			wg.Wait()
			t.Logf("served %d of %d without and %d of %d with the other load", alone.served, alone.asked, beside.served,
				beside.asked)
			if alone.served != alone.asked || beside.served*100 < alone.served*90 {
				t.Errorf("served %d of %d without and %d of %d with the other load, the slowest in %v", alone.served,
					alone.asked, beside.served, beside.asked, beside.longest)
			}
		})
	}
	t.Run("limits of each pool", func(t *testing.T) {
		w := startPools(t, "quiet", two, "quiet", "loud")
		stop := make(chan struct{})
		var wg sync.WaitGroup
		start := time.Now()
		for range 4 { // one account exceeds its ceiling in one pool ...
			wg.Go(func() {
				c := newClient()
				for {
					select {
					case <-stop:
						return
					default:
					}
					_, _, _, _ = tryCheck(c, w.gateway.http+"/check", append(bearer("big"), "X-Forwarded-Host",
						"loud.org")...)
				}
			})
		}
		allowed, asked := 0, 0
		c := newClient()
		time.Sleep(time.Second) // a new ceiling starts empty
		for range 30 {          // ... and has its whole quota in the other
			asked++
			code, _, _ := mustCheck(t, c, w.gateway.http+"/check",
				append(bearer("big"), "X-Forwarded-Host", "quiet.org")...)
			if code == 200 {
				allowed++
			}
			time.Sleep(60 * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		passed := w.gateway.Shared.Stats.Allowed.Load() - uint64(allowed)
		if limit := 40 + 40*time.Since(start).Seconds() + 10; float64(passed) > limit || float64(passed) < limit/4 {
			t.Errorf("%d requests of the loud pool admitted; its ceiling is %.0f", passed, limit)
		}
		if allowed < asked-1 {
			t.Errorf("%d of %d allowed within the quota of the quiet pool", allowed, asked)
		}
	})
	t.Run("flood that changes pool", func(t *testing.T) {
		w := startPools(t, "quiet", two, "quiet", "loud")
		for i, at := range []string{"loud", "quiet", "loud"} {
			other := map[string]string{"loud": "quiet", "quiet": "loud"}[at]
			stop := make(chan struct{})
			var wg sync.WaitGroup
			w.flood(stop, &wg, 16, at+".org")
			f := w.measureClient(other+".org", fmt.Sprint("p", i, "-"), "from "+other, times/2)
			t.Logf("the flood at %s: served %d of %d", at, f.served, f.asked)
			if f.served*100 < f.asked*90 {
				t.Errorf("the flood is at %s: %d of %d of %s served, the slowest in %v", at, f.served, f.asked, other,
					f.longest)
			}
			close(stop)
			wg.Wait()
		}
	})
}

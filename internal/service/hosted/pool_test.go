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

// Two pools with one account share no number: what one spends of its plan and ceiling there is not missing here.
func TestPoolsKeepCountsApart(t *testing.T) {
	w := startPools(t, "a", to("b", "b", `host = "b.org"`), "a", "b")
	count := func(host string, lasts time.Duration) (n int) {
		c := client()
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			code, _, _ := ask(t, c, w.gateway.http+"/check", append(bearer("big"), "X-Forwarded-Host", host)...)
			if code == 200 {
				n++
			}
		}
		return n
	}
	a := count("a.org", 1500*time.Millisecond)
	b := count("b.org", 1500*time.Millisecond)
	// Both fill at 40 a second from their start; b's had time to fill to its depth.
	if a < 40 || a > 75 || b < 75 || b > 115 {
		t.Errorf("%d and %d allowed; the second is not to feel the first", a, b)
	}
}

// One pool is overwhelmed while another is quiet: by a flood, by a flood that changes pool in the middle, by servers
// that all fall silent, by values of 60 MB, and by clients that take every connection. The quiet one's service figure
// is that of a run alone; the flood's own clients take the processor too here, so a loaded machine has a tenth to
// spare. How long answers take, and the figure with the flood in a process of its own, is measured by cmd/benchmark.
func TestPoolsQuietBesideOverwhelmed(t *testing.T) {
	const times = 100
	two := to("loud", "loud", `host = "loud.org"`) + to("quiet", "quiet", `host = "quiet.org"`)
	for name, trouble := range map[string]func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup){
		"flood": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) { w.flood(stop, wg, 16, "loud.org") },
		"silent servers": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) {
			w.servers["loud"].Set(flagserver.Config{Silent: true})
			w.flood(stop, wg, 16, "loud.org")
		},
		"60 MB": func(w *poolsWorld, stop chan struct{}, wg *sync.WaitGroup) {
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
			alone := w.quiet("quiet.org", "a", "from quiet", times)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			if trouble == nil {
				w.servers["loud"].Set(flagserver.Config{Silent: true})
				w.flood(stop, &wg, 8, "loud.org")
				w.flood(stop, &wg, 8, "loud.org", strings.Repeat("y", 60<<10))
			} else {
				trouble(w, stop, &wg)
			}
			beside := w.quiet("quiet.org", "b", "from quiet", times)
			close(stop)
			wg.Wait()
			t.Logf("served %d of %d alone, %d of %d beside it", alone.served, alone.asked, beside.served, beside.asked)
			if alone.served != alone.asked || beside.served*100 < alone.served*90 {
				t.Errorf("served %d of %d alone and %d of %d beside it, the longest in %v", alone.served, alone.asked,
					beside.served, beside.asked, beside.longest)
			}
		})
	}
	t.Run("limits of each pool", func(t *testing.T) {
		w := startPools(t, "quiet", two, "quiet", "loud")
		stop := make(chan struct{})
		var wg sync.WaitGroup
		begun := time.Now()
		for range 4 { // one account over its ceiling in one pool ...
			wg.Go(func() {
				c := client()
				for {
					select {
					case <-stop:
						return
					default:
					}
					_, _, _, _ = try(c, w.gateway.http+"/check", append(bearer("big"), "X-Forwarded-Host",
						"loud.org")...)
				}
			})
		}
		allowed, asked := 0, 0
		c := client()
		time.Sleep(time.Second) // a fresh ceiling starts empty
		for range 30 {          // ... has all of its quota in the other
			asked++
			code, _, _ := ask(t, c, w.gateway.http+"/check", append(bearer("big"), "X-Forwarded-Host", "quiet.org")...)
			if code == 200 {
				allowed++
			}
			time.Sleep(60 * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		passed := w.gateway.Shared.Stats.Allowed.Load() - uint64(allowed)
		if most := 40 + 40*time.Since(begun).Seconds() + 10; float64(passed) > most || float64(passed) < most/4 {
			t.Errorf("%d of the loud pool's let through; its ceiling is %.0f", passed, most)
		}
		if allowed < asked-1 {
			t.Errorf("%d of %d inside the quota of the quiet pool", allowed, asked)
		}
	})
	t.Run("flood that changes pool", func(t *testing.T) {
		w := startPools(t, "quiet", two, "quiet", "loud")
		for i, at := range []string{"loud", "quiet", "loud"} {
			other := map[string]string{"loud": "quiet", "quiet": "loud"}[at]
			stop := make(chan struct{})
			var wg sync.WaitGroup
			w.flood(stop, &wg, 16, at+".org")
			f := w.quiet(other+".org", fmt.Sprint("p", i, "-"), "from "+other, times/2)
			t.Logf("the flood at %s: served %d of %d", at, f.served, f.asked)
			if f.served*100 < f.asked*90 {
				t.Errorf("the flood is at %s: %d of %d of %s served, the longest in %v", at, f.served, f.asked, other,
					f.longest)
			}
			close(stop)
			wg.Wait()
		}
	})
}

package hosted

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/frontend/extauthz"
)

// flood sends requests of one account through all gateways from many concurrent clients, over RESP2, HTTP or both, and
// returns the times at which requests were admitted, in order.
func flood(t *testing.T, w *testEnv, account, plan string, resp, http bool, lasts time.Duration) []time.Time {
	t.Helper()
	const clients, pause = 8, 8 * time.Millisecond // each gateway gets 1,000 per second: 25 times the ceiling
	var mu sync.Mutex
	var admittedAt []time.Time
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for i, d := range w.gateways {
		for j := range clients {
			if useHTTP := http && (!resp || j%2 == 0); useHTTP {
				wg.Go(func() {
					c := newClient()
					defer c.CloseIdleConnections()
					for time.Now().Before(end) {
						code, h, _, err := tryCheck(c, d.http+"/traefik", bearer(account)...)
						if err != nil || code != 200 && code != 429 {
							t.Errorf("code %d, undecided %q, %v", code, h.Get(extauthz.HeaderUndecided), err)
							return
						}
						if code == 200 {
							mu.Lock()
							admittedAt = append(admittedAt, time.Now())
							mu.Unlock()
						}
						time.Sleep(pause)
					}
				})
				continue
			}
			wg.Go(func() {
				p := peer.Dial(t, d.resp)
				for n := 0; time.Now().Before(end); n++ {
					p.Command("Q.ASK", customers[account], fmt.Sprint("q", i, "-", j, "-", n),
						fmt.Sprintf("c=evaluate,t=%s,d=1000,units=1,spread=%d,first=0", plan, len(w.gateways)))
					if _, err := p.Try(); err != nil {
						t.Error(err)
						return
					}
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond) // for requests on their way to a flag server
	for _, s := range w.servers {
		for _, sent := range s.Sent() {
			if sent.Customer == customers[account] {
				admittedAt = append(admittedAt, sent.At)
			}
		}
	}
	slices.SortFunc(admittedAt, time.Time.Compare)
	return admittedAt
}

// TestForwardAuthCeilingOverBothProtocols verifies that an account far over its ceiling, over RESP2, HTTP or both,
// through one or three gateways, gets no more admitted in any time window than the ceiling plus its tolerance allows,
// and that the split between the protocols does not change the total.
func TestForwardAuthCeilingOverBothProtocols(t *testing.T) {
	const lasts, rate, depth = 3 * time.Second, 40.0, 40.0
	const slack = rate*0.15 + 0.1*depth // the platform allows 150 ms of the rate and a tenth of the burst
	for _, gateways := range []int{1, 3} {
		totals := map[string]float64{}
		var mu sync.Mutex
		t.Run(fmt.Sprint(gateways, " doors"), func(t *testing.T) {
			for name, use := range map[string][2]bool{
				"RESP2": {true, false},
				"HTTP":  {false, true},
				"mixed": {true, true},
			} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					admittedAt := flood(t, startEnv(t, gateways), "big", "business", use[0], use[1], lasts)
					for i, from := range admittedAt {
						for j := i; j < len(admittedAt); j++ {
							if limit := depth + rate*admittedAt[j].Sub(from).Seconds() + slack; float64(j-i+1) > limit {
								t.Fatalf("%d admitted within %v; the ceiling with its tolerance is %.1f", j-i+1,
									admittedAt[j].Sub(from), limit)
							}
						}
					}
					mu.Lock()
					totals[name] = float64(len(admittedAt))
					mu.Unlock()
					t.Logf("%d admitted in %v", len(admittedAt), lasts)
				})
			}
		})
		lowest, highest := math.Inf(1), 0.0
		for _, n := range totals {
			lowest, highest = min(lowest, n), max(highest, n)
		}
		if highest-lowest > slack+0.1*highest {
			t.Errorf("%d gateways: the total depends on the protocol: %v", gateways, totals)
		}
		if lowest < 0.6*rate*lasts.Seconds() {
			t.Errorf("%d gateways: too few requests were admitted: %v", gateways, totals)
		}
	}
}

// TestForwardAuthFloodHoldsNobodyUp verifies that during a flood of one account its checks get their final answer
// without delay, and the checks of another account are allowed without delay.
func TestForwardAuthFloodHoldsNobodyUp(t *testing.T) {
	w := startEnv(t, 1)
	d := w.gateways[0]
	w.waitForCeiling(d, "other")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { flood(t, w, "big", "business", true, true, 2*time.Second); close(stop) })
	c := newClient()
	var flooding, unaffected []time.Duration
	for done := false; !done; {
		select {
		case <-stop:
			done = true
		case <-time.After(60 * time.Millisecond):
		}
		for _, account := range []string{"big", "other"} {
			from := time.Now()
			code, _, _ := mustCheck(t, c, d.http+"/traefik", bearer(account)...)
			if account == "other" {
				unaffected = append(unaffected, time.Since(from))
				if code != 200 {
					t.Errorf("the other account: %d", code)
				}
			} else {
				flooding = append(flooding, time.Since(from))
			}
		}
	}
	wg.Wait()
	slices.Sort(flooding)
	slices.Sort(unaffected)
	// RESP2 requests over the ceiling are held for hundreds of milliseconds here; checks must not be.
	if l, q := flooding[len(flooding)/2], unaffected[len(unaffected)/2]; l > 100*time.Millisecond ||
		q > 100*time.Millisecond {
		t.Errorf("median latency of checks: %v, of the other account's %v", l, q)
	}
}

// TestForwardAuthSpreadIsTheAccounts verifies that the plan and the number of gateways of an account apply on all
// frontends: RESP2 requests with another spread do not get a larger share of the account's ceiling.
func TestForwardAuthSpreadIsTheAccounts(t *testing.T) {
	w := startEnv(t, 3)
	d := w.gateways[0]
	p := peer.Dial(t, d.resp)
	n := 0
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); n++ {
		p.Command("Q.ASK", customers["big"], fmt.Sprint(n), "c=evaluate,t=business,d=500,units=1,spread=1,first=0")
		p.Message()
		time.Sleep(2 * time.Millisecond)
	}
	sent := 0
	for _, s := range w.servers {
		sent += len(s.Sent())
	}
	if limit := (40+40*1.6)/3 + 4; float64(sent) > limit {
		t.Errorf("%d admitted through one of three gateways; its share is %.0f", sent, limit)
	}
}

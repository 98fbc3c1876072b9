package service

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// The ceiling of these tests, and what the operators' rule allows beyond it.
const (
	arrivalCeilingRate  = 10.0
	arrivalCeilingBurst = 10.0
	arrivalCeilingSlack = 1 + arrivalCeilingRate*0.15
)

// withArrivalCeiling gives the first plan a ceiling and a soft quota.
func withArrivalCeiling(c *Config, _ *testing.T) {
	plan := &c.Settings.Plans[0]
	plan.CeilingRate = arrivalCeilingRate
	plan.CeilingBurst = arrivalCeilingBurst
	plan.OverQuotaWeight = 0.2
}

// arrivals records when requests come whole to their endpoints.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// answer records an arrival and returns the answer of the endpoint.
func (a *arrivals) answer(string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	return peer.Answer("value")
}

// lowestLevel returns the lowest level of a bucket with the ceiling's terms that is charged at each arrival.
func (a *arrivals) lowestLevel() (lowest float64, count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.times, time.Time.Compare)
	level := arrivalCeilingBurst
	lowest = level
	for i, at := range a.times {
		if i > 0 {
			level = min(arrivalCeilingBurst, level+arrivalCeilingRate*at.Sub(a.times[i-1]).Seconds())
		}
		level--
		lowest = min(lowest, level)
	}
	return lowest, len(a.times)
}

// flood sends requests at a rate for a time, each on its own connection, and waits for their answers.
func (env *testEnv) flood(rate int, duration time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Second / time.Duration(rate)
	for i := range int(duration / interval) {
		c := env.dial()
		wg.Go(func() {
			list := strings.Replace(peer.List, "d=20000", "d=3000", 1)
			if _, err := c.NC.Write([]byte(peer.Command("Q.ASK", peer.Customer, fmt.Sprint(i), list))); err != nil {
				env.t.Error(err)
				return
			}
			if _, err := c.Try(); err != nil {
				env.t.Error(err)
			}
		})
		time.Sleep(interval)
	}
}

// TestCeilingHoldsWhereRequestsArrive guards against a ceiling that is passed at the endpoints: requests whose
// connections come up late arrive together with those that were dispatched meanwhile.
func TestCeilingHoldsWhereRequestsArrive(t *testing.T) {
	for name, lateFor := range map[string]time.Duration{"late connections": 800 * time.Millisecond, "none late": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var arrived arrivals
			var addrs []string
			var admits []func()
			for range 6 {
				ln, admit := peer.ListenFull(t)
				addrs = append(addrs, ln.Addr().String())
				admits = append(admits, func() {
					admit()
					peer.Serve(t, ln, arrived.answer)
				})
			}
			env := start(t, addrs, withArrivalCeiling)
			time.Sleep(1200 * time.Millisecond) // the ceiling has filled
			for _, admit := range admits {
				time.AfterFunc(lateFor, admit)
			}
			env.flood(40, 4*time.Second)
			lowest, count := arrived.lowestLevel()
			t.Logf("%d arrivals, the bucket falls to %.2f", count, lowest)
			if lowest < -arrivalCeilingSlack {
				t.Errorf("the bucket falls to %.2f, allowed is %.2f", lowest, -arrivalCeilingSlack)
			}
			if count < 30 {
				t.Errorf("only %d requests arrived", count)
			}
		})
	}
}

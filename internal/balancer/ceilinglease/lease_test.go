package ceilinglease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeasesStayWithinTheBucket verifies that, with random demands, late and lost answers and gateway crashes, the
// units spent stay within a bucket of rate X and depth Dx at every instant, and that one loss of the counter's totals
// adds at most one window's units.
func TestLeasesStayWithinTheBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rate * rapid.Float64Range(0.5, 3).Draw(t, "burst")
		factor := rapid.Float64Range(1.5, 4).Draw(t, "factor")
		terms, ok := NewTerms(rate, burst, rate*factor, burst*factor, 1)
		if !ok {
			t.Skip("nothing to lease")
		}
		losses := rapid.IntRange(0, 1).Draw(t, "losses")
		gateways := make([]Lease, rapid.IntRange(1, 8).Draw(t, "gateways"))
		totals := map[int64]float64{}
		type answer struct {
			gateway int
			at      time.Duration
			window  int64
			block   float64
			total   float64
			lost    bool
		}
		var pending []answer
		depth := 2 * terms.UnitsPerWindow
		level, lowest := depth, 0.0
		lossStep := rapid.IntRange(1, 400).Draw(t, "loss step")
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		for step := range 500 {
			gap := time.Duration(rapid.Int64Range(0, int64(terms.Window/7)).Draw(t, "gap"))
			now += gap
			level = min(depth, level+terms.Rate*gap.Seconds())
			if losses == 1 && step == lossStep {
				clear(totals)
			}
			remaining := pending[:0]
			for _, a := range pending {
				if now < a.at {
					remaining = append(remaining, a)
				} else if a.lost {
					gateways[a.gateway].RecordFailure(now, time.Millisecond)
				} else {
					gateways[a.gateway].Grant(terms, now, a.window, a.block, a.total)
				}
			}
			pending = remaining
			i := rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")
			lease := &gateways[i]
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				*lease = Lease{} // the gateway crashes and loses its pending answers
				kept := pending[:0]
				for _, a := range pending {
					if a.gateway != i {
						kept = append(kept, a)
					}
				}
				pending = kept
			case 1, 2, 3:
				if block := lease.RequestSize(terms, now, 1, rapid.Float64Range(0, 1000).Draw(t, "demand")); block > 0 {
					window := terms.WindowIndex(now)
					totals[window] += block
					pending = append(
						pending,
						answer{
							gateway: i,
							at:      now + time.Duration(rapid.Int64Range(0, int64(terms.Window)).Draw(t, "delay")),
							window:  window,
							block:   block,
							total:   totals[window],
							lost:    rapid.IntRange(0, 9).Draw(t, "lost") == 0,
						},
					)
				}
			default:
				use := ImmediateUse
				if rapid.Bool().Draw(t, "queued") {
					use = QueuedUse
				}
				for lease.Available(terms, now, use, 0.3) >= 1 {
					window := lease.Spend(terms, now, 1, use)
					if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
						lease.Return(terms, now, window, 1, use)
						break
					}
					level--
					lowest = min(lowest, level)
				}
			}
		}
		if lowest < -float64(losses)*terms.UnitsPerWindow-1e-6 {
			t.Fatalf("bucket level fell to %.3f below 0 with %d losses; terms %+v", -lowest, losses, terms)
		}
	})
}

// TestForgetfulCounterIsFound verifies that the check of TestLeasesStayWithinTheBucket detects a counter that keeps no
// totals and grants each block as if nothing had been granted before.
func TestForgetfulCounterIsFound(t *testing.T) {
	terms, _ := NewTerms(5, 10, 10, 20, 1)
	level, lowest := 2*terms.UnitsPerWindow, 0.0
	var lease Lease
	for now := time.Duration(0); now < 20*terms.Window; now += terms.Window / 10 {
		if block := lease.RequestSize(terms, now, 1, 1000); block > 0 {
			lease.Grant(terms, now, terms.WindowIndex(now), block, block) // the counter's total is ignored
		}
		for lease.Available(terms, now, ImmediateUse, 0) >= 1 {
			lease.Spend(terms, now, 1, ImmediateUse)
			level--
		}
		lowest = min(lowest, level)
		level = min(2*terms.UnitsPerWindow, level+terms.Rate*(terms.Window/10).Seconds())
	}
	if lowest > -1 {
		t.Errorf("bucket level fell only to %.2f with a counter that keeps no totals", lowest)
	}
}

// TestLeaseRequests verifies when units may be requested: not while a request is pending, not from an exhausted window,
// and not during the pause after a failed call.
func TestLeaseRequests(t *testing.T) {
	terms, ok := NewTerms(5, 10, 10, 20, 1)
	if !ok {
		t.Fatal("nothing to lease")
	}
	var lease Lease
	block := lease.RequestSize(terms, 0, 1, 1000)
	if block <= 0 || lease.RequestSize(terms, 0, 1, 1000) != 0 || !lease.IsRequestPending() {
		t.Error("first lease request must ask for units and a second must wait for its answer")
	}
	got := lease.Grant(terms, 0, 0, block, terms.UnitsPerWindow+block)
	if got != 0 || lease.WaitTime(terms, 0) != terms.Window || lease.RequestSize(terms, 0, 1, 1) != 0 {
		t.Errorf("an exhausted window granted %v units or does not wait for the next window", got)
	}
	if lease.WaitTime(terms, terms.Window) != 0 || lease.RequestSize(terms, terms.Window, 1, 0.1) != 1 {
		t.Error("next window is exhausted as well")
	}
	lease.RecordFailure(terms.Window, time.Millisecond)
	if lease.RequestSize(terms, terms.Window, 1, 1) != 0 ||
		lease.RequestSize(terms, terms.Window+time.Millisecond, 1, 1) == 0 {
		t.Error("no pause after a failed call")
	}
}

package simulator

import (
	"fmt"
	"testing"
	"time"
)

// TestCeilingsAllGatewaysMeetAnAccountAtOnce verifies that three gateways which receive the first request of an account
// at the same time, late in a counter window, do not each apply the correction to its bucket. That would leave it empty
// for the rest of the window.
func TestCeilingsAllGatewaysMeetAnAccountAtOnce(t *testing.T) {
	t.Parallel()
	for _, from := range []time.Duration{0, 2500 * time.Millisecond, 2999 * time.Millisecond, 9 * time.Second} {
		t.Run(fmt.Sprint("after ", from), func(t *testing.T) {
			w := newCeilingWorld(t, 1, 3, true, businessPlan)
			for i := range 3 { // clients of each gateway start 0.7 ms apart
				begin := from + time.Duration(i)*700*time.Microsecond
				w.sendRequests(begin, from+12*time.Second, 33, true, func(time.Duration, int) int { return i })
			}
			w.Run(Start + from + 12*time.Second)
			if lowest := w.bucket.lowest; lowest < -2 {
				t.Errorf("%.2f beyond the ceiling", -lowest)
			}
			least := 0.9 * 140
			if from == 0 {
				least = 0.9 * 120 // gateways that have just started do not get the initial units of the bucket
			}
			if got := w.bucket.taken; got < least {
				t.Errorf("%.0f of 140 units in 12 s; by second %v", got, w.unitsBySecond)
			}
		})
	}
}

// TestCeilingsCalmAccountAtAllGatewaysAtOnce verifies that an account within its quota is not rejected when it sends
// requests to all gateways at the same time, as a page does that needs several flags. All gateways then see that its
// bucket has overflowed. If each of them added the overflow to the counter, the account would be rejected for as long
// again.
func TestCeilingsCalmAccountAtAllGatewaysAtOnce(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{2, 3, 5, 8} {
		for _, interval := range []time.Duration{1650 * time.Millisecond, 2700 * time.Millisecond, 5 * time.Second} {
			w := newCeilingWorld(t, 1, gateways, true, businessPlan)
			if float64(gateways)/interval.Seconds() > 0.9*businessPlan.Rate {
				continue
			}
			const first, last = 3 * time.Second, 60 * time.Second // by then a gateway's share of the ceiling has filled
			requests := 0
			rejected := 0
			for i, g := range w.Gateways {
				g.Done = func(_ *Request, outcome Outcome) {
					if outcome != Served {
						rejected++
					}
				}
				var next func()
				next = func() {
					requests++
					g.Submit(&Request{Customer: "calm", Units: 1, AdmitOnly: true, TimeLeft: 2 * time.Second})
					if w.Now < Start+last {
						w.After(interval, next)
					}
				}
				w.At(Start+first+time.Duration(i)*300*time.Microsecond, next)
			}
			w.Run(Start + last + 5*time.Second)
			if rejected > 0 || requests < 10*gateways {
				t.Errorf("%d gateways, interval %v: %d of %d rejected within the quota",
					gateways, interval, rejected, requests)
			}
		}
	}
}

// TestCeilingsNoPartOfAUnitIsLost verifies that clients which send requests to three gateways at random times, some for
// admission only and some that may wait, get nearly the whole ceiling. Fractions of a unit that a gateway gets from the
// quota's bucket must not stay unused until they are lost.
func TestCeilingsNoPartOfAUnitIsLost(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		w := newCeilingWorld(t, seed, 3, true, businessPlan)
		const first, last = 3 * time.Second, 33 * time.Second
		rng := w.Rand("clients")
		thinkTime := func(draw float64) time.Duration {
			return time.Duration(draw * 5 * float64(time.Millisecond))
		}
		for _, g := range w.Gateways {
			g.Done = func(r *Request, _ Outcome) {
				w.After(thinkTime(rng.ExpFloat64()), r.Owner.(func()))
			}
			for _, admitOnly := range []bool{true, false} {
				var send func()
				send = func() {
					if w.Now < Start+last {
						g.Submit(&Request{
							Customer:  "c",
							Units:     1,
							AdmitOnly: admitOnly,
							TimeLeft:  time.Second,
							Owner:     send,
						})
					}
				}
				w.At(Start+first+thinkTime(rng.Float64()), send)
			}
		}
		w.Run(Start + last)
		if got := w.unitsBetween(8, 33); got < 0.96*250 {
			t.Errorf("seed %d: %.0f of 250 units from the fifth second of the load on", seed, got)
		}
		if w.bucket.lowest < -2 {
			t.Errorf("seed %d: %.2f beyond the ceiling", seed, -w.bucket.lowest)
		}
	}
}

package ceilinglease

import (
	"math"
	"testing"
	"time"
)

// TestTurnsStayWithinTheBucket verifies that gateways that use all of their turns spend no more than the bucket allows
// in any period, and nearly all of it.
func TestTurnsStayWithinTheBucket(t *testing.T) {
	for _, c := range []struct{ rate, depth, gateways float64 }{{8, 19, 23}, {18, 1, 80}, {0.5, 3, 40}, {30, 29, 31}} {
		turns, ok := NewTurns(c.rate, c.depth, c.gateways)
		if !ok {
			t.Fatalf("%+v: no turns", c)
		}
		lastTurns := make([]int64, int(c.gateways))
		for i := range lastTurns {
			lastTurns[i] = -1
		}
		level, lastUseAt, units := c.depth, time.Duration(0), 0
		start := 20 * time.Second // all turns that are open when the load starts are used at once
		end := start + 200*time.Second
		for now := start; now < end; now += 10 * time.Millisecond {
			for i := range lastTurns {
				if turn, open := turns.At(now, i); open && lastTurns[i] != turn {
					lastTurns[i] = turn
					units++
					level = min(c.depth, level+c.rate*(now-lastUseAt).Seconds()) - 1
					lastUseAt = now
					if level < -1.5 {
						t.Fatalf("%+v: bucket level fell to %.2f at %v", c, level, now)
					}
				}
			}
		}
		if want := c.rate * (end - start).Seconds(); float64(units) < 0.95*want {
			t.Errorf("%+v: used %d units in 200 s, available %.0f", c, units, want)
		}
	}
}

// TestTurnsOfBucketsThatHaveNone verifies that there are no turns if each gateway holds a unit, or if the parameters
// are invalid.
func TestTurnsOfBucketsThatHaveNone(t *testing.T) {
	cases := []struct {
		name                  string
		rate, depth, gateways float64
	}{
		{"no rate", 0, 1, 5},
		{"no depth", 1, 0, 5},
		{"one unit per gateway", 1, 5, 5},
		{"more than one unit per gateway", 1, 6, 5},
		{"no gateway", 1, 1, 0},
		{"negative rate", -1, 1, 3},
		{"rate is not a number", math.NaN(), 1, 3},
		{"infinitely many gateways", 1, 1, math.Inf(1)},
		{"interval is too long", 1e-12, 1, 1e9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, ok := NewTurns(c.rate, c.depth, c.gateways); ok {
				t.Error("got turns, want none")
			}
		})
	}
}

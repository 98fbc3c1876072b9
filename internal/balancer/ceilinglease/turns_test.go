package ceilinglease

import (
	"math"
	"testing"
	"time"
)

// Gateways that use each turn they have take no more than the bucket gives, in any time, and nearly all of it.
func TestTurnsStayWithinTheBucket(t *testing.T) {
	for _, c := range []struct{ rate, depth, gateways float64 }{{8, 19, 23}, {18, 1, 80}, {0.5, 3, 40}, {30, 29, 31}} {
		turns, ok := TurnsOf(c.rate, c.depth, c.gateways)
		if !ok {
			t.Fatalf("%+v: none", c)
		}
		used := make([]int64, int(c.gateways))
		for i := range used {
			used[i] = -1
		}
		bucket, last, n := c.depth, time.Duration(0), 0
		idle := 20 * time.Second // all turns that are open when a flood begins go at once
		end := idle + 200*time.Second
		for now := idle; now < end; now += 10 * time.Millisecond {
			for i := range used {
				if turn, open := turns.At(now, i); open && used[i] != turn {
					used[i] = turn
					n++
					bucket = min(c.depth, bucket+c.rate*(now-last).Seconds()) - 1
					last = now
					if bucket < -1.5 {
						t.Fatalf("%+v: the bucket fell to %.2f at %v", c, bucket, now)
					}
				}
			}
		}
		if want := c.rate * (end - idle).Seconds(); float64(n) < 0.95*want {
			t.Errorf("%+v: %d units in 200 s, want %.0f", c, n, want)
		}
	}
}

func TestTurnsOfBucketsThatHaveNone(t *testing.T) {
	cases := []struct {
		name                  string
		rate, depth, gateways float64
	}{
		{"no rate", 0, 1, 5},
		{"no depth", 1, 0, 5},
		{"a unit each", 1, 5, 5},
		{"more than a unit each", 1, 6, 5},
		{"no gateway", 1, 1, 0},
		{"negative rate", -1, 1, 3},
		{"rate is not a number", math.NaN(), 1, 3},
		{"infinitely many gateways", 1, 1, math.Inf(1)},
		{"interval is too long", 1e-12, 1, 1e9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, ok := TurnsOf(c.rate, c.depth, c.gateways); ok {
				t.Error("there are turns")
			}
		})
	}
}

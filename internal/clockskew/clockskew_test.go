package clockskew

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// epoch is the Unix time at which the tests start.
const epoch = 1_000_000 * time.Hour

// reportInterval is the time between two reports of a gateway.
const reportInterval = 100 * time.Millisecond

// clockCluster is a set of gateways with wrong clocks that report their time to each other over a slow network.
type clockCluster struct {
	offsets   []time.Duration
	drifts    []float64
	detectors []*Detector
	rng       *rand.Rand
	loss      float64
	maxDelay  time.Duration
	isDown    map[int]bool
}

func newClockCluster(seed uint64, offsets ...time.Duration) *clockCluster {
	c := &clockCluster{
		offsets:  offsets,
		drifts:   make([]float64, len(offsets)),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		maxDelay: 20 * time.Millisecond,
		isDown:   map[int]bool{},
	}
	for range offsets {
		c.detectors = append(c.detectors, New(len(offsets)))
	}
	return c
}

// clock returns the reading of a gateway's clock.
func (c *clockCluster) clock(gateway int, at time.Duration) time.Duration {
	return epoch + at + c.offsets[gateway] + time.Duration(c.drifts[gateway]*float64(at))
}

// run lets all gateways report to each other for a length of time.
func (c *clockCluster) run(from, length time.Duration) {
	for at := from; at < from+length; at += reportInterval {
		for sender := range c.detectors {
			for receiver := range c.detectors {
				c.report(at, sender, receiver)
			}
		}
	}
}

// report sends one report from sender to receiver, which may be lost.
func (c *clockCluster) report(at time.Duration, sender, receiver int) {
	c.detectors[receiver].Skew(c.clock(receiver, at))
	if sender == receiver || c.isDown[sender] || c.isDown[receiver] || c.rng.Float64() < c.loss {
		return
	}
	arrival := at + time.Duration(c.rng.Int64N(int64(c.maxDelay)))
	c.detectors[receiver].Observe(c.clock(receiver, arrival), sender, c.clock(sender, at))
}

// checkWrong fails the test unless exactly the wanted gateways consider their clocks wrong.
func (c *clockCluster) checkWrong(t *testing.T, at time.Duration, want ...int) {
	t.Helper()
	for gateway, detector := range c.detectors {
		if c.isDown[gateway] {
			continue
		}
		if behind, isWrong := detector.Skew(c.clock(gateway, at)); isWrong != slices.Contains(want, gateway) {
			t.Errorf("after %v gateway %d of %d, off by %v: wrong %v, behind by %v",
				at, gateway, len(c.detectors), c.offsets[gateway], isWrong, behind)
		}
	}
}

// TestWrongClocksOfMinorityAreFound verifies that a gateway whose clock is off by 2.5 s or more, including an hour
// behind and a day ahead, detects this, and that the others do not consider their clocks wrong, over a network with 30
// % loss and delays of up to 400 ms. Clocks that are off by 300 ms never count as wrong.
func TestWrongClocksOfMinorityAreFound(t *testing.T) {
	choices := []time.Duration{
		2500 * time.Millisecond, -2500 * time.Millisecond,
		-time.Hour, 24 * time.Hour,
		300 * time.Millisecond, -300 * time.Millisecond,
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		gateways := 3 + rng.IntN(10)
		offsets := make([]time.Duration, gateways)
		var wrong []int
		for _, gateway := range rng.Perm(gateways)[:(gateways-1)/2] {
			offsets[gateway] = choices[rng.IntN(len(choices))]
			if offsets[gateway].Abs() > time.Second {
				wrong = append(wrong, gateway)
			}
		}
		c := newClockCluster(seed, offsets...)
		c.loss, c.maxDelay = 0.3, 400*time.Millisecond
		for gateway := range c.drifts { // at most 100 ms over the 10 s of the run
			c.drifts[gateway] = 0.01 * (2*rng.Float64() - 1)
		}
		c.run(0, 3*time.Second)
		c.checkWrong(t, 3*time.Second, wrong...)
		c.run(3*time.Second, 7*time.Second)
		c.checkWrong(t, 10*time.Second, wrong...)
	}
}

// TestNoMajorityProvesNothing verifies that no clock counts as wrong without a majority of gateways that agree.
func TestNoMajorityProvesNothing(t *testing.T) {
	cases := []struct {
		name    string
		offsets []time.Duration
		down    []int
	}{
		{"two gateways", []time.Duration{0, time.Hour}, nil},
		{"three clocks", []time.Duration{0, time.Hour, 2 * time.Hour}, nil},
		{"one of two that agree is down", []time.Duration{0, 0, time.Hour}, []int{1}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newClockCluster(uint64(i+1), tc.offsets...)
			for _, gateway := range tc.down {
				c.isDown[gateway] = true
			}
			c.run(0, 5*time.Second)
			c.checkWrong(t, 5*time.Second)
		})
	}
}

// TestFindingStaysUntilMajoritySaysOtherwise verifies that a clock that counts as wrong does so until a majority agrees
// with it, and that after a restart with another clock only that clock counts.
func TestFindingStaysUntilMajoritySaysOtherwise(t *testing.T) {
	c := newClockCluster(3, 0, 0, time.Hour)
	c.isDown[1] = true
	c.run(0, 5*time.Second)
	c.checkWrong(t, 5*time.Second)
	c.isDown[1] = false
	c.run(5*time.Second, 2*time.Second)
	c.checkWrong(t, 7*time.Second, 2)

	c.isDown[0] = true
	c.run(7*time.Second, 20*time.Second)
	c.checkWrong(t, 27*time.Second, 2) // a single other gateway is no majority

	c.isDown[0] = false
	c.offsets[2], c.detectors[2] = 0, New(3) // restarted with a correct clock
	c.run(27*time.Second, 3*time.Second)
	c.checkWrong(t, 30*time.Second)

	c.offsets[0], c.detectors[0] = -time.Hour, New(3)
	c.run(30*time.Second, 3*time.Second)
	c.checkWrong(t, 33*time.Second, 0)
}

// TestUnknownGatewayIsIgnored verifies that a report with an index outside the list has no effect.
func TestUnknownGatewayIsIgnored(t *testing.T) {
	d := New(3)
	for _, from := range []int{-1, 3, 99} {
		d.Observe(epoch, from, 0)
	}
	if behind, isWrong := d.Skew(epoch); behind != 0 || isWrong {
		t.Errorf("behind by %v, wrong %v", behind, isWrong)
	}
}

// TestSuspendedProcessDoesNotBlameItsClock verifies that a process that is resumed after ten seconds, and first
// receives the reports sent in the meantime, does not consider its clock wrong because of them.
func TestSuspendedProcessDoesNotBlameItsClock(t *testing.T) {
	c := newClockCluster(4, 0, 0, 0)
	c.run(0, 5*time.Second)
	const resumedAt = 15 * time.Second
	for at := 5 * time.Second; at < resumedAt; at += reportInterval {
		for from := 1; from < 3; from++ {
			c.detectors[0].Observe(c.clock(0, resumedAt), from, c.clock(from, at))
			c.checkWrong(t, resumedAt)
		}
	}
	c.run(resumedAt, 5*time.Second)
	c.checkWrong(t, 20*time.Second)
}

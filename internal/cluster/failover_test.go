package cluster

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// isSeenAs returns a check that all active gateways see the gateway in one of the wanted states.
func (c *simulatedCluster) isSeenAs(index int, want ...membership.State) func() error {
	return func() error {
		for _, gateway := range c.gateways {
			if gateway.index == index || !gateway.isActive() {
				continue
			}
			if state := gateway.node.detector.State(index); !slices.Contains(want, state) {
				return fmt.Errorf("gateway %d is %v at gateway %d", index, state, gateway.index)
			}
		}
		return nil
	}
}

// failoverTimes has the detection time of each death, and the longest time of each other step.
type failoverTimes struct {
	deaths   []time.Duration
	left     time.Duration
	joined   time.Duration
	takeover time.Duration
}

// failOver kills a gateway, restarts it, lets it leave and restarts it again. It fails the test if a step takes longer
// than its bound.
func (f *failoverTimes) failOver(t *testing.T, c *simulatedCluster, gateway *simulatedGateway) {
	t.Helper()
	gateway.kill()
	killedAt := c.now
	f.deaths = append(f.deaths, c.waitFor(t, 2*time.Second, "death", c.isSeenAs(gateway.index, membership.Dead)))
	c.waitFor(t, 5*time.Second, "takeover", c.checkAllUsed)
	f.takeover = max(f.takeover, c.now-killedAt)

	gateway.start()
	hasJoined := c.isSeenAs(gateway.index, membership.Joining, membership.Alive, membership.Returned)
	f.joined = max(f.joined, c.waitFor(t, time.Second, "join", hasJoined))
	c.waitFor(t, 5*time.Second, "return of the slots", func() error {
		if held, _ := gateway.node.Slots(gateway.clock()); held != quotalease.SlotsPerGateway(len(c.gateways)) {
			return fmt.Errorf("%d slots held", held)
		}
		return c.checkAllUsed()
	})

	gateway.node.Leave()
	gateway.applyLease()
	hasLeft := c.isSeenAs(gateway.index, membership.Left)
	f.left = max(f.left, c.waitFor(t, 500*time.Millisecond, "leave", hasLeft))
	c.waitFor(t, 5*time.Second, "takeover after leaving", c.checkAllUsed)

	gateway.kill()
	gateway.start()
	c.waitFor(t, 5*time.Second, "agreement after the restart", c.checkViewsAgree)
	c.waitFor(t, 5*time.Second, "use of all slots", c.checkAllUsed)
}

// TestFailoverTimes verifies that all gateways detect a killed gateway within 2 s, one that leaves within 0.5 s and one
// that joins within 1 s, and that the slots of a dead gateway are in use again within 5 s.
func TestFailoverTimes(t *testing.T) {
	skipUnderRaceDetector(t)
	cases := []struct{ gateways, kills int }{{3, 200}, {20, 3}, {300, 3}}
	for _, size := range cases {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			c := newSimulatedCluster(uint64(size.gateways), size.gateways).startAll()
			c.waitFor(t, 5*time.Second, "use of all slots", c.checkAllUsed)
			c.waitFor(t, 3*time.Second, "agreement of all views", c.checkViewsAgree)
			var times failoverTimes
			for i := range size.kills {
				c.run(time.Duration(c.rng.IntN(1500))*time.Millisecond, 50*time.Millisecond)
				times.failOver(t, c, c.gateways[(i*7+1)%size.gateways])
			}
			slices.Sort(times.deaths)
			t.Logf("%d kills, median dead %v; worst: dead %v, left %v, joined %v, takeover %v", size.kills,
				times.deaths[size.kills/2], times.deaths[size.kills-1], times.left, times.joined, times.takeover)
			c.checkSound(t)
		})
	}
}

// checkSound fails the test if two gateways used one slot at the same time or an active gateway was declared dead.
func (c *simulatedCluster) checkSound(t *testing.T) {
	t.Helper()
	if c.violation != "" {
		t.Error(c.violation)
	}
	if c.falseDeaths > 0 {
		t.Errorf("%d gateways: active ones were declared dead %d times", len(c.gateways), c.falseDeaths)
	}
}

// TestNoFalseDeaths verifies that no active gateway is declared dead because of 30 % loss and a delay of 200 ms, 1 %
// loss for hours, gateways that are starved of CPU, or a suspended process.
func TestNoFalseDeaths(t *testing.T) {
	skipUnderRaceDetector(t)
	t.Run("30% loss, 200 ms late", func(t *testing.T) {
		for _, n := range []int{5, 60} {
			c := newSimulatedCluster(7, n).startAll()
			c.run(5*time.Second, time.Second)
			c.network = func(int, int) (bool, time.Duration) {
				return c.rng.Float64() < 0.3, 200*time.Millisecond + time.Duration(c.rng.IntN(20))*time.Millisecond
			}
			c.run(60*time.Second, 100*time.Millisecond)
			c.checkSound(t)
		}
	})
	t.Run("1% loss for hours", func(t *testing.T) {
		c := newSimulatedCluster(8, 12).startAll()
		c.network = func(int, int) (bool, time.Duration) { return c.rng.Float64() < 0.01, time.Millisecond }
		length := 20 * time.Minute // 4 hours of gateway time in total
		if os.Getenv("GAPGAP_LONG") != "" {
			length = 20 * time.Hour // ten days of gateway time
		}
		c.run(length, time.Minute)
		c.checkSound(t)
	})
	t.Run("a tenth of a core", func(t *testing.T) { // runs 20 ms of every 200 ms, then less often at random
		c := newSimulatedCluster(9, 5).startAll()
		c.gateways[0].extraTickDelay = 180 * time.Millisecond
		c.run(5*time.Second, time.Second)
		for range 100 {
			c.gateways[0].extraTickDelay = time.Duration(180+c.rng.IntN(400)) * time.Millisecond
			c.run(time.Second, 100*time.Millisecond)
		}
		c.checkSound(t)
	})
	t.Run("suspended for 10 s", func(t *testing.T) { // it must not declare others dead
		c := newSimulatedCluster(10, 5).startAll()
		c.run(5*time.Second, time.Second)
		c.gateways[0].suspend()
		c.run(10*time.Second, time.Second)
		c.gateways[0].resume()
		if err := c.checkAllUsed(); err != nil {
			t.Error(err)
		}
		c.waitFor(t, 3*time.Second, "agreement of all views", c.checkViewsAgree)
		c.checkSound(t)
	})
}

// TestPartitionsHeal verifies that after each kind of partition the views of all gateways agree within 3 s and all
// slots are in use within another 3 s.
func TestPartitionsHeal(t *testing.T) {
	partitions := map[string]func(from, to int) bool{
		"2 from 3":  func(from, to int) bool { return (from < 2) != (to < 2) },
		"one way":   func(from, to int) bool { return from == 0 },
		"star":      func(from, to int) bool { return from != 2 && to != 2 },
		"all":       func(from, to int) bool { return true },
		"one alone": func(from, to int) bool { return (from == 4) != (to == 4) },
	}
	for name, isCut := range partitions {
		t.Run(name, func(t *testing.T) {
			c := newSimulatedCluster(3, 5).startAll()
			c.run(5*time.Second, 20*time.Millisecond)
			isPartitioned := true
			c.network = func(from, to int) (bool, time.Duration) {
				return isPartitioned && isCut(from, to), time.Millisecond
			}
			c.run(10*time.Second, 20*time.Millisecond)
			t.Logf("fraction of slots in use during the partition: %.2f", c.usedFraction())
			isPartitioned = false
			c.waitFor(t, 3*time.Second, "agreement of all views", c.checkViewsAgree)
			c.waitFor(t, 3*time.Second, "use of all slots", c.checkAllUsed)
			if c.violation != "" {
				t.Error(c.violation)
			}
		})
	}
}

// TestDuplicateProcesses verifies that of two processes of the same name only one takes part: the other uses no share
// and takes part again when the first has ended.
func TestDuplicateProcesses(t *testing.T) {
	c := newSimulatedCluster(4, 5).startAll()
	c.run(5*time.Second, 20*time.Millisecond)
	// The duplicate has the later ID and takes precedence. It is not in c.gateways, so messages to index 1 do not reach
	// it.
	first := c.gateways[1]
	duplicate := &simulatedGateway{cluster: c, index: 1, drift: 1}
	duplicate.startAs(membership.ID{Incarnation: 1, Nonce: ^uint32(0)})
	begin := c.now
	var relay func()
	relay = func() { // both processes receive the heartbeats of gateway 0
		other := c.gateways[0]
		for _, process := range []*simulatedGateway{duplicate, first} {
			heartbeat := other.node.detector.Heartbeat(other.clock())
			process.receive(0, Message{Heartbeat: &heartbeat})
		}
		c.schedule(200*time.Millisecond, relay)
	}
	relay()
	c.waitFor(t, 2*time.Second, "exclusion of the first process", func() error {
		_, hasDuplicate := first.node.Duplicate(first.clock())
		if !hasDuplicate || !first.node.ShareLease(first.clock()).Excluded {
			return errors.New("it still takes part")
		}
		return nil
	})
	t.Logf("excluded after %v", c.now-begin)
	if _, hasDuplicate := duplicate.node.Duplicate(duplicate.clock()); hasDuplicate {
		t.Error("both processes are excluded")
	}
	c.run(3*time.Second, 20*time.Millisecond)
	if held, _ := first.node.Slots(first.clock()); held != 0 || first.node.ID().Nonce == ^uint32(0) {
		t.Errorf("the excluded process holds %d slots", held)
	}
	duplicate.kill()
	c.waitFor(t, 5*time.Second, "return of the first process", func() error {
		if first.node.ShareLease(first.clock()).Excluded {
			return errors.New("it is still excluded")
		}
		return nil
	})
}

// TestTrafficIsBounded verifies that the rates of heartbeats and requests per gateway stay bounded as the cluster
// grows.
func TestTrafficIsBounded(t *testing.T) {
	skipUnderRaceDetector(t)
	const (
		seconds       = 2
		maxHeartbeats = 70
		maxRequests   = quotalease.MaxVoters * 5.1
	)
	sizes := []int{3, 20, 80, 300}
	if os.Getenv("GAPGAP_LONG") != "" {
		sizes = append(sizes, 1000)
	}
	for _, gateways := range sizes {
		c := newSimulatedCluster(5, gateways).startAll()
		c.run(4*time.Second, time.Second)
		c.traffic = traffic{countBytes: true}
		c.run(seconds*time.Second, time.Second)
		sent := c.traffic
		rate := func(count int) float64 { return float64(count) / float64(gateways*seconds) }
		t.Logf("%d gateways: per gateway and second %.0f bytes in %.1f messages, %.1f heartbeats of %.1f entries, "+
			"%.1f requests, %.1f grants", gateways, rate(sent.bytes), rate(sent.messages), rate(sent.heartbeats),
			float64(sent.entries)/float64(sent.heartbeats), rate(sent.requests), rate(sent.grants))
		if heartbeats := rate(sent.heartbeats); heartbeats > maxHeartbeats {
			t.Errorf("%d gateways: %.1f heartbeats per gateway and second", gateways, heartbeats)
		}
		if requests := rate(sent.requests); requests > maxRequests {
			t.Errorf("%d gateways: %.1f requests per gateway and second", gateways, requests)
		}
	}
}

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

// isSeenAs returns a check that all running gateways see another one in one of some states.
func (c *simulatedCluster) isSeenAs(index int, want ...membership.State) func() error {
	return func() error {
		for _, gateway := range c.gateways {
			if gateway.index == index || !gateway.isActive() {
				continue
			}
			if state := gateway.node.detector.State(index); !slices.Contains(want, state) {
				return fmt.Errorf("%d is %v at %d", index, state, gateway.index)
			}
		}
		return nil
	}
}

// failoverTimes are the longest times that something took.
type failoverTimes struct {
	deaths   []time.Duration
	left     time.Duration
	joined   time.Duration
	takeover time.Duration
}

// failOver kills a gateway, starts it again, has it leave and starts it again, each within its bound.
func (f *failoverTimes) failOver(t *testing.T, c *simulatedCluster, gateway *simulatedGateway) {
	t.Helper()
	gateway.kill()
	killedAt := c.now
	f.deaths = append(f.deaths, c.waitFor(t, 2*time.Second, "death", c.isSeenAs(gateway.index, membership.Dead)))
	c.waitFor(t, 5*time.Second, "takeover", c.checkAllUsed)
	f.takeover = max(f.takeover, c.now-killedAt)

	gateway.start()
	isBack := c.isSeenAs(gateway.index, membership.Joining, membership.Alive, membership.Returned)
	f.joined = max(f.joined, c.waitFor(t, time.Second, "join", isBack))
	c.waitFor(t, 5*time.Second, "slots back", func() error {
		if held, _ := gateway.node.Slots(gateway.clock()); held != quotalease.SlotsPerGateway(len(c.gateways)) {
			return fmt.Errorf("%d slots held", held)
		}
		return c.checkAllUsed()
	})

	gateway.node.Leave()
	gateway.applyLease()
	hasLeft := c.isSeenAs(gateway.index, membership.Left)
	f.left = max(f.left, c.waitFor(t, 500*time.Millisecond, "leave", hasLeft))
	c.waitFor(t, 5*time.Second, "takeover after a leave", c.checkAllUsed)

	gateway.kill()
	gateway.start()
	c.waitFor(t, 5*time.Second, "back", c.checkViewsAgree)
	c.waitFor(t, 5*time.Second, "all slots", c.checkAllUsed)
}

// TestFailoverTimes holds that a killed gateway is known dead by all within 2 s, one that leaves within 0.5 s, one that
// joins within 1 s, and that the slots of a dead gateway are used again within 5 s.
func TestFailoverTimes(t *testing.T) {
	skipUnderRaceDetector(t)
	cases := []struct{ gateways, kills int }{{3, 200}, {20, 3}, {300, 3}}
	for _, size := range cases {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			c := newSimulatedCluster(uint64(size.gateways), size.gateways).startAll()
			c.waitFor(t, 5*time.Second, "all slots", c.checkAllUsed)
			c.waitFor(t, 3*time.Second, "views agree", c.checkViewsAgree)
			var times failoverTimes
			for i := range size.kills {
				c.run(time.Duration(c.rng.IntN(1500))*time.Millisecond, 50*time.Millisecond)
				times.failOver(t, c, c.gateways[(i*7+1)%size.gateways])
			}
			slices.Sort(times.deaths)
			t.Logf("%d times, median dead %v; worst: dead %v, left %v, joined %v, takeover %v", size.kills,
				times.deaths[size.kills/2], times.deaths[size.kills-1], times.left, times.joined, times.takeover)
			c.checkSound(t)
		})
	}
}

// checkSound fails the test if a slot was used twice or a running gateway was found dead.
func (c *simulatedCluster) checkSound(t *testing.T) {
	t.Helper()
	if c.violation != "" {
		t.Error(c.violation)
	}
	if c.falseDeaths > 0 {
		t.Errorf("%d gateways: %d false deaths", len(c.gateways), c.falseDeaths)
	}
}

// TestNoFalseDeaths holds that loss and delay, and gateways that are short of processor, lead to no false death; loss
// of 1 % to none in some hours.
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
		length := 20 * time.Minute // 4 hours of a gateway
		if os.Getenv("GAPGAP_LONG") != "" {
			length = 20 * time.Hour // ten days
		}
		c.run(length, time.Minute)
		c.checkSound(t)
	})
	t.Run("a tenth of a core", func(t *testing.T) { // 20 ms of each 200, and later now and then
		c := newSimulatedCluster(9, 5).startAll()
		c.gateways[0].extraTickDelay = 180 * time.Millisecond
		c.run(5*time.Second, time.Second)
		for range 100 {
			c.gateways[0].extraTickDelay = time.Duration(180+c.rng.IntN(400)) * time.Millisecond
			c.run(time.Second, 100*time.Millisecond)
		}
		c.checkSound(t)
	})
	t.Run("suspended for 10 s", func(t *testing.T) { // it finds nobody dead that is not
		c := newSimulatedCluster(10, 5).startAll()
		c.run(5*time.Second, time.Second)
		c.gateways[0].suspend()
		c.run(10*time.Second, time.Second)
		c.gateways[0].resume()
		if err := c.checkAllUsed(); err != nil {
			t.Error(err)
		}
		c.waitFor(t, 3*time.Second, "views agree", c.checkViewsAgree)
		c.checkSound(t)
	})
}

// TestPartitionsHeal holds that after each kind of partition all gateways see the same within 3 s, and all slots are
// used again.
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
			t.Logf("used while partitioned: %.2f", c.usedFraction())
			isPartitioned = false
			c.waitFor(t, 3*time.Second, "views agree", c.checkViewsAgree)
			c.waitFor(t, 3*time.Second, "all slots", c.checkAllUsed)
			if c.violation != "" {
				t.Error(c.violation)
			}
		})
	}
}

// TestDuplicateProcesses holds that of two processes of one name one takes part and the other takes nothing, and goes
// on when the first has ended.
func TestDuplicateProcesses(t *testing.T) {
	c := newSimulatedCluster(4, 5).startAll()
	c.run(5*time.Second, 20*time.Millisecond)
	// The duplicate's ID is the later one. It is not in the list of gateways, so messages to index 1 do not reach it.
	first := c.gateways[1]
	duplicate := &simulatedGateway{cluster: c, index: 1, drift: 1}
	duplicate.startAs(membership.ID{Incarnation: 1, Nonce: ^uint32(0)})
	begin := c.now
	var relay func()
	relay = func() { // both hear what another gateway sends
		other := c.gateways[0]
		for _, process := range []*simulatedGateway{duplicate, first} {
			heartbeat := other.node.detector.Heartbeat(other.clock())
			process.receive(0, Message{Heartbeat: &heartbeat})
		}
		c.schedule(200*time.Millisecond, relay)
	}
	relay()
	c.waitFor(t, 2*time.Second, "the first process yields", func() error {
		_, hasDuplicate := first.node.Duplicate(first.clock())
		if !hasDuplicate || !first.node.ShareLease(first.clock()).Excluded {
			return errors.New("it does not")
		}
		return nil
	})
	t.Logf("after %v", c.now-begin)
	if _, hasDuplicate := duplicate.node.Duplicate(duplicate.clock()); hasDuplicate {
		t.Error("both yield")
	}
	c.run(3*time.Second, 20*time.Millisecond)
	if held, _ := first.node.Slots(first.clock()); held != 0 || first.node.ID().Nonce == ^uint32(0) {
		t.Errorf("the process that yields holds %d slots", held)
	}
	duplicate.kill()
	c.waitFor(t, 5*time.Second, "the first process goes on", func() error {
		if first.node.ShareLease(first.clock()).Excluded {
			return errors.New("it does not")
		}
		return nil
	})
}

// TestTrafficIsBounded holds that what a gateway sends is bounded whatever the size of the cluster.
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
		t.Logf("%d gateways: a second and gateway %.0f bytes in %.1f messages, %.1f heartbeats of %.1f entries, "+
			"%.1f requests, %.1f grants", gateways, rate(sent.bytes), rate(sent.messages), rate(sent.heartbeats),
			float64(sent.entries)/float64(sent.heartbeats), rate(sent.requests), rate(sent.grants))
		if heartbeats := rate(sent.heartbeats); heartbeats > maxHeartbeats {
			t.Errorf("%d gateways: %.1f heartbeats a second and gateway", gateways, heartbeats)
		}
		if requests := rate(sent.requests); requests > maxRequests {
			t.Errorf("%d gateways: %.1f requests a second and gateway", gateways, requests)
		}
	}
}

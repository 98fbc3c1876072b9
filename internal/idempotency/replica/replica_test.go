package replica

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gapgap/internal/idempotency"
	"gapgap/internal/vfs"
)

// quorumTimeout is how long tests wait for all replicas to have a quorum.
const quorumTimeout = 10 * time.Second

// clusterConfig configures a cluster.
type clusterConfig struct {
	// gateways is the number of gateways; the first three are voters.
	gateways int
	// loss is the probability that a message is delivered zero, one or two times instead of once.
	loss      float64
	retention time.Duration
	maxKeys   int
	// now is the clock. If it is nil, the clock reads the time since the start of the cluster.
	now func() time.Duration
}

// cluster is a set of replicas whose messages may be lost, duplicated and delayed.
type cluster struct {
	t      *testing.T
	config clusterConfig
	dirs   []string

	mu           sync.RWMutex
	replicas     []*Replica
	incarnations []uint32

	// inFlight tracks the messages in transit.
	inFlight sync.WaitGroup
}

// startCluster starts a cluster and waits until all replicas have a quorum. The replicas are stopped at the end of the
// test.
func startCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	if config.now == nil {
		startedAt := time.Now()
		config.now = func() time.Duration { return time.Since(startedAt) }
	}
	c := &cluster{
		t:            t,
		config:       config,
		replicas:     make([]*Replica, config.gateways),
		incarnations: make([]uint32, config.gateways),
	}
	for range config.gateways {
		c.dirs = append(c.dirs, t.TempDir())
	}
	t.Cleanup(func() {
		for i := range c.replicas {
			c.stop(i)
		}
		c.inFlight.Wait()
	})
	for i := range config.gateways {
		if err := c.start(i); err != nil {
			t.Fatal(err)
		}
	}
	c.waitForQuorum()
	return c
}

// testConfig returns the configuration of a gateway's replica for tests.
func testConfig(index, gateways int, dir string) Config {
	return Config{
		Index:       index,
		Gateways:    gateways,
		Voters:      []int{0, 1, 2},
		FS:          vfs.OS{},
		Dir:         dir,
		Incarnation: 1,
		Retention:   time.Minute,
		MaxKeys:     100,
		Now:         func() time.Duration { return 0 },
		Log:         slog.New(slog.DiscardHandler),
		Send:        func(int, []byte) {},
	}
}

// start starts a replica with its state directory and a new incarnation.
func (c *cluster) start(i int) error {
	c.incarnations[i]++
	config := testConfig(i, c.config.gateways, c.dirs[i])
	config.Incarnation = c.incarnations[i]
	config.Retention = c.config.retention
	config.MaxKeys = c.config.maxKeys
	config.Now = c.config.now
	config.Send = func(to int, datagram []byte) { c.send(i, to, datagram) }
	r, err := New(config)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.replicas[i] = r
	c.mu.Unlock()
	r.Start()
	return nil
}

// stop stops a replica.
func (c *cluster) stop(i int) {
	c.mu.Lock()
	r := c.replicas[i]
	c.replicas[i] = nil
	c.mu.Unlock()
	if r != nil {
		r.Close()
	}
}

// replica returns the replica of a gateway, or nil if it is not running.
func (c *cluster) replica(i int) *Replica {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.replicas[i]
}

// send delivers a message after a random delay. The message may be lost or duplicated.
func (c *cluster) send(from, to int, datagram []byte) {
	copies := 1
	if rand.Float64() < c.config.loss {
		copies = rand.IntN(3)
	}
	for range copies {
		c.inFlight.Add(1)
		time.AfterFunc(time.Duration(rand.Int64N(int64(3*time.Millisecond))), func() {
			defer c.inFlight.Done()
			if r := c.replica(to); r != nil {
				r.HandleMessage(from, datagram)
			}
		})
	}
}

// waitForQuorum waits until all running replicas have a quorum.
func (c *cluster) waitForQuorum() {
	c.t.Helper()
	for deadline := time.Now().Add(quorumTimeout); !c.hasQuorum(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatal("not all replicas have a quorum")
		}
	}
}

// hasQuorum reports whether all running replicas have a quorum.
func (c *cluster) hasQuorum() bool {
	for i := range c.config.gateways {
		if r := c.replica(i); r != nil && !r.HasQuorum() {
			return false
		}
	}
	return true
}

// reserve reserves a key at a gateway and waits for the outcome. ok is false if there is no outcome.
func (c *cluster) reserve(gateway int, key string) (id uint64, outcome idempotency.Outcome, ok bool) {
	r := c.replica(gateway)
	if r == nil {
		return 0, 0, false
	}
	outcomes := make(chan idempotency.Outcome, 1)
	id = r.Reserve(idempotency.KeyOf(key), func(outcome idempotency.Outcome) { outcomes <- outcome })
	if id == 0 {
		return 0, 0, false
	}
	select {
	case outcome = <-outcomes:
		return id, outcome, true
	case <-time.After(3 * time.Second):
		r.Finish(id, false)
		return 0, 0, false
	}
}

// finish finishes a reservation whose request may have run.
func (c *cluster) finish(gateway int, id uint64) {
	if r := c.replica(gateway); r != nil {
		r.Finish(id, true)
	}
}

// reservationCounts counts the outcomes of concurrent reservations.
type reservationCounts struct {
	mu sync.Mutex
	// granted counts how often each key was granted.
	granted map[string]int
	// answered counts the reservations with an outcome.
	answered int
}

func (n *reservationCounts) add(key string, outcome idempotency.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered++
	if outcome == idempotency.Reserved {
		n.granted[key]++
	}
}

// TestPowerReplicasGrantOnce verifies that no key is granted twice and that a released key can be granted again. Four
// gateways reserve the same keys concurrently, over a network that loses, duplicates and reorders messages, while
// voters restart.
func TestPowerReplicasGrantOnce(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // registered first, so it runs last
	const gateways, keys, restarts = 4, 150, 4
	c := startCluster(t, clusterConfig{gateways: gateways, loss: 0.2, retention: time.Minute, maxKeys: 10_000})
	counts := reservationCounts{granted: map[string]int{}}
	var workers sync.WaitGroup
	for gateway := range gateways {
		workers.Go(func() {
			for k := range keys {
				key := fmt.Sprint("key ", k)
				id, outcome, ok := c.reserve(gateway, key)
				if !ok {
					continue
				}
				counts.add(key, outcome)
				c.finish(gateway, id)
			}
		})
	}
	workers.Go(func() {
		for n := range restarts {
			time.Sleep(60 * time.Millisecond)
			c.stop(n % 3)
			if err := c.start(n % 3); err != nil {
				t.Error(err)
				return
			}
		}
	})
	workers.Wait()
	for key, n := range counts.granted {
		if n > 1 {
			t.Errorf("%s was granted %d times, want at most once", key, n)
		}
	}
	if len(counts.granted) < keys/3 || counts.answered < keys {
		t.Errorf("%d of %d keys were granted, %d reservations answered", len(counts.granted), keys, counts.answered)
	}
	c.waitForQuorum()
	for round := range 3 {
		id, outcome, ok := c.reserve(3, "released")
		if !ok || outcome != idempotency.Reserved {
			t.Fatalf("round %d: %v, %v", round, outcome, ok)
		}
		c.replica(3).Finish(id, false)
		time.Sleep(100 * time.Millisecond)
	}
}

// testClock is a clock that tests advance.
type testClock struct{ nanoseconds atomic.Int64 }

func (c *testClock) now() time.Duration { return time.Duration(c.nanoseconds.Load()) }

// advance advances the clock and returns the new time.
func (c *testClock) advance(d time.Duration) time.Duration {
	return time.Duration(c.nanoseconds.Add(int64(d)))
}

// TestPowerReplicasAreBounded verifies that the retained keys are limited in number and time, that the log is limited
// in size, and that reservations are rejected without a quorum.
func TestPowerReplicasAreBounded(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // registered first, so it runs last
	const maxKeys, workerCount, maxLogSegments = 400, 12, 8
	// The clock advances with each reservation, 500 times in a retention period, so that the voters become full on a
	// slow machine too.
	const retention, perReservation, length = 300 * time.Millisecond, 600 * time.Microsecond, 4 * time.Second
	clock := &testClock{}
	c := startCluster(t, clusterConfig{gateways: 3, retention: retention, maxKeys: maxKeys, now: clock.now})
	var rejected, mostKeys atomic.Int64
	var workers sync.WaitGroup
	for worker := range workerCount {
		workers.Go(func() {
			gateway := worker % 3
			for n := 0; clock.advance(perReservation) < length; n++ {
				id, outcome, ok := c.reserve(gateway, fmt.Sprint("key ", worker, " ", n))
				if ok {
					if outcome == idempotency.NoCapacity {
						rejected.Add(1)
					}
					c.finish(gateway, id)
				}
				mostKeys.Store(max(mostKeys.Load(), int64(c.replica(0).View().Keys)))
			}
		})
	}
	workers.Wait()
	if n := mostKeys.Load(); n > maxKeys {
		t.Fatalf("too many keys are retained: %d", n)
	}
	if rejected.Load() == 0 {
		t.Error("no reservation was rejected for lack of capacity")
	}
	if view := c.replica(0).View(); view.Segments > maxLogSegments {
		t.Errorf("the log has %d segments after 13 retention periods", view.Segments)
	}
	c.stop(1)
	c.stop(2)
	checkRejectsWithoutQuorum(t, c, clock)
}

// checkRejectsWithoutQuorum checks that a gateway detects the loss of its quorum and then rejects reservations
// immediately.
func checkRejectsWithoutQuorum(t *testing.T, c *cluster, clock *testClock) {
	t.Helper()
	stop := make(chan struct{})
	var ticker sync.WaitGroup
	ticker.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				clock.advance(time.Millisecond)
			}
		}
	})
	defer ticker.Wait()
	defer close(stop)
	for deadline := time.Now().Add(20 * time.Second); c.replica(0).HasQuorum(); time.Sleep(5 * time.Millisecond) {
		c.reserve(0, "no quorum")
		if time.Now().After(deadline) {
			t.Fatal("the gateway did not detect the loss of its quorum")
		}
	}
	if id := c.replica(0).Reserve(idempotency.KeyOf("no quorum"), func(idempotency.Outcome) {}); id != 0 {
		t.Error("a reservation without a quorum was not rejected immediately")
	}
}

// TestInvalidMessagesAreDropped verifies that messages that are malformed or have an invalid sender are dropped and
// counted.
func TestInvalidMessagesAreDropped(t *testing.T) {
	r, err := New(testConfig(0, 3, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.HandleMessage(1, []byte("malformed"))
	r.HandleMessage(-1, []byte{0xa0})
	r.HandleMessage(3, []byte{0xa0})
	if n := r.Stats.DroppedMessages.Load(); n != 3 {
		t.Errorf("%d messages were dropped, want 3", n)
	}
	r.HandleMessage(1, []byte{0xa0})
	if n := r.Stats.DroppedMessages.Load(); n != 3 {
		t.Errorf("a valid message was dropped")
	}
}

// FuzzPowerMessages verifies that arbitrary messages are handled without a panic or a failure of the log.
func FuzzPowerMessages(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa2, 0x01, 0x05, 0x07, 0xf5})
	r, err := New(testConfig(0, 3, f.TempDir()))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		r.HandleMessage(1, datagram)
		for len(r.voter.inbox) > 0 {
			var collected answerBatch
			if err := r.voter.handleMessage(<-r.voter.inbox, &collected); err != nil {
				t.Fatal(err)
			}
		}
		for len(r.coordinator.inbox) > 0 {
			r.coordinator.handleMessage(<-r.coordinator.inbox)
		}
	})
}

package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/membership"
	"gapgap/internal/priorityqueue"
	"gapgap/internal/quotalease"
)

// datagramOverhead is the number of bytes that the datagram header and encryption add to a message.
const datagramOverhead = 56

// simulatedCluster is a cluster in virtual time. Each gateway has its own clock, and pools that apply a new share lease
// after a delay.
type simulatedCluster struct {
	rng       *rand.Rand
	now       time.Duration
	events    *priorityqueue.Queue[event]
	lastEvent int
	gateways  []*simulatedGateway
	// network decides for each message whether it is lost, and its delay.
	network func(from, to int) (isLost bool, delay time.Duration)
	// maxApplyDelay is the maximum time until the pools apply a new share lease.
	maxApplyDelay time.Duration
	// violation describes the first slot that two gateways used at the same time; empty means none.
	violation string
	traffic   traffic
	flaws     flaws
	// falseDeaths counts how often an active gateway was declared dead.
	falseDeaths int

	// onSend and onShareLease, if set, are called with each message, and with each share lease and the transitions
	// before it.
	onSend       func(from int, out Outgoing)
	onShareLease func(gateway *simulatedGateway, lease ShareLease, transitions []membership.Transition)
}

// traffic counts the messages sent by all gateways.
type traffic struct {
	messages   int
	heartbeats int
	entries    int
	requests   int
	grants     int
	// bytes is counted only if countBytes is set.
	bytes      int
	countBytes bool
}

// count counts a message.
func (t *traffic) count(message Message) {
	t.messages++
	switch {
	case message.Heartbeat != nil:
		t.heartbeats++
		t.entries += len(message.Heartbeat.Entries)
	case message.Request != nil:
		t.requests++
	default:
		t.grants++
	}
	if !t.countBytes {
		return
	}
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	t.bytes += len(encoded) + datagramOverhead
}

// flaws selects protocol violations that are injected to check that checkSlots detects them.
type flaws struct {
	// votersForget: every second, voters forget their grants and grant again at once.
	votersForget bool
	// slowClocks: the clocks of some gateways run at half the rate.
	slowClocks bool
	// keepsOldGrants: every grant counts for the last request, whichever it answers.
	keepsOldGrants bool
	// acceptsOldRequests: voters answer requests in the order of their arrival, ignoring sequence numbers.
	acceptsOldRequests bool
	// releasesAtOnce: slots are given up before the pools have stopped using them.
	releasesAtOnce bool
	// ignoresExpiry: pools keep using slots after the lease has ended.
	ignoresExpiry bool
	// oneGrantSuffices: the grant of a single voter counts as a majority.
	oneGrantSuffices bool
}

// event is an action at a time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at     time.Duration
	number int
	action func()
}

// simulatedGateway is one gateway with its pools.
type simulatedGateway struct {
	cluster *simulatedCluster
	index   int
	node    *Node
	// process counts starts and kills. Actions scheduled for an earlier process are skipped.
	process     int
	isRunning   bool
	isSuspended bool
	// pending has the actions that fell due while the process was suspended.
	pending []func()
	offset  time.Duration
	drift   float64
	// incarnation is the incarnation stored on disk.
	incarnation uint32
	// usedSlots has the slots that the pools use before until, and isExcluded reports whether the applied lease
	// excludes the gateway.
	usedSlots  []int
	until      time.Duration
	isExcluded bool
	// extraTickDelay is added to the delay between two calls of Tick.
	extraTickDelay time.Duration
	// lastSequences has the last sequence number received from each gateway, for flaws.acceptsOldRequests.
	lastSequences map[int]uint32
	// lastSequence is the sequence number of the last request sent, for flaws.keepsOldGrants.
	lastSequence uint32
	// leasesSeen counts share leases; leaseApplied is the number of the one that the pools have applied.
	leasesSeen   int
	leaseApplied int
}

func newSimulatedCluster(seed uint64, gateways int) *simulatedCluster {
	isBefore := func(a, b event) bool { return a.at < b.at || a.at == b.at && a.number < b.number }
	c := &simulatedCluster{
		rng:           rand.New(rand.NewPCG(seed, 9)),
		now:           time.Hour,
		events:        priorityqueue.New(isBefore),
		network:       func(int, int) (bool, time.Duration) { return false, time.Millisecond },
		maxApplyDelay: 5 * time.Millisecond,
	}
	for i := range gateways {
		offset := c.randomDuration(time.Hour)
		drift := 1 + 0.01*(2*c.rng.Float64()-1)
		c.gateways = append(c.gateways, &simulatedGateway{cluster: c, index: i, offset: offset, drift: drift})
	}
	return c
}

func (c *simulatedCluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

func (c *simulatedCluster) slotCount() int {
	return len(c.gateways) * quotalease.SlotsPerGateway(len(c.gateways))
}

func (c *simulatedCluster) schedule(delay time.Duration, action func()) {
	c.lastEvent++
	c.events.Push(event{c.now + max(0, delay), c.lastEvent, action})
}

// run advances the simulation by a length of time, and calls checkSlots at intervals.
func (c *simulatedCluster) run(length, checkInterval time.Duration) {
	end := c.now + length
	for check := c.now; c.now < end; {
		check = min(check+checkInterval, end)
		for c.events.Len() > 0 && c.events.First().Value.at <= check {
			next := c.events.Pop().Value
			c.now = max(c.now, next.at)
			next.action()
		}
		c.now = check
		c.checkSlots()
	}
}

// checkSlots records the first slot that two gateways use at the same time.
func (c *simulatedCluster) checkSlots() {
	const nobody = -1
	users := make([]int, c.slotCount())
	for slot := range users {
		users[slot] = nobody
	}
	for _, gateway := range c.gateways {
		if !gateway.isActive() || gateway.clock() >= gateway.until && !c.flaws.ignoresExpiry {
			continue
		}
		for _, slot := range gateway.usedSlots {
			if users[slot] != nobody && c.violation == "" {
				at := c.now - time.Hour
				c.violation = fmt.Sprintf("at %v slot %d is used by gateways %d and %d", at, slot, users[slot],
					gateway.index)
			}
			users[slot] = gateway.index
		}
	}
}

// usedFraction returns the fraction of all slots that is in use.
func (c *simulatedCluster) usedFraction() float64 {
	used := 0
	for _, gateway := range c.gateways {
		if gateway.isActive() && gateway.clock() < gateway.until {
			used += len(gateway.usedSlots)
		}
	}
	return float64(used) / float64(c.slotCount())
}

// checkAllUsed returns an error if a slot is not in use.
func (c *simulatedCluster) checkAllUsed() error {
	if fraction := c.usedFraction(); fraction < 0.999 {
		return fmt.Errorf("fraction of slots in use is %.3f", fraction)
	}
	return nil
}

// checkViewsAgree returns an error if an active gateway has a wrong view of whether a gateway is active.
func (c *simulatedCluster) checkViewsAgree() error {
	for _, gateway := range c.gateways {
		if !gateway.isActive() {
			continue
		}
		for _, m := range gateway.node.Members() {
			isActive := c.gateways[m.Index].isActive()
			if isActive != (m.State == membership.Alive || m.State == membership.Returned) {
				return fmt.Errorf("gateway %d, active %v, is %v at gateway %d: %s", m.Index, isActive, m.State,
					gateway.index, m.Cause)
			}
		}
	}
	return nil
}

// waitFor advances the simulation until check returns nil, and returns how long that took. It fails the test if that
// takes longer than limit.
func (c *simulatedCluster) waitFor(t testing.TB, limit time.Duration, goal string, check func() error) time.Duration {
	t.Helper()
	begin := c.now
	var err error
	for c.now-begin <= limit {
		if err = check(); err == nil {
			return c.now - begin
		}
		c.run(10*time.Millisecond, 10*time.Millisecond)
	}
	t.Errorf("no %s within %v: %v", goal, limit, err)
	return limit
}

// startAll starts all gateways and returns the cluster.
func (c *simulatedCluster) startAll() *simulatedCluster {
	for _, gateway := range c.gateways {
		gateway.start()
	}
	return c
}

// isActive reports whether the gateway is running and not suspended.
func (g *simulatedGateway) isActive() bool { return g.isRunning && !g.isSuspended }

func (g *simulatedGateway) clock() time.Duration {
	return g.offset + time.Duration(float64(g.cluster.now)*g.drift)
}

// start starts a new process with the incarnation after the one on disk.
func (g *simulatedGateway) start() {
	g.incarnation++
	g.startAs(membership.ID{Incarnation: g.incarnation, Nonce: g.cluster.rng.Uint32()})
}

func (g *simulatedGateway) startAs(id membership.ID) {
	g.process++
	g.isRunning, g.isSuspended = true, false
	g.usedSlots, g.until, g.pending = nil, 0, nil
	config := Config{Index: g.index, Gateways: len(g.cluster.gateways), ID: id}
	g.node = New(config, g.clock(), rand.New(rand.NewPCG(uint64(g.index), uint64(g.process))))
	g.lastSequences = map[int]uint32{}
	g.tick()
	if g.cluster.flaws.votersForget && g.node.voter != nil {
		g.forgetGrants()
	}
}

// forgetGrants replaces the voter every second with a new one that grants at once.
func (g *simulatedGateway) forgetGrants() {
	g.node.voter = quotalease.NewVoter(len(g.cluster.gateways), g.clock()-time.Hour)
	g.cluster.schedule(time.Second, g.whileRunning(g.forgetGrants))
}

func (g *simulatedGateway) kill() {
	g.isRunning = false
	g.process++
}

func (g *simulatedGateway) suspend() { g.isSuspended = true }

func (g *simulatedGateway) resume() {
	g.isSuspended = false
	pending := g.pending
	g.pending = nil
	for _, action := range pending {
		action()
	}
}

// whileRunning returns an action that runs only if the current process is still running, and is deferred while the
// process is suspended.
func (g *simulatedGateway) whileRunning(action func()) func() {
	const maxPending = 1000
	process := g.process
	var guarded func()
	guarded = func() {
		switch {
		case process != g.process || !g.isRunning:
		case g.isSuspended:
			if len(g.pending) < maxPending {
				g.pending = append(g.pending, guarded)
			}
		default:
			action()
		}
	}
	return guarded
}

func (g *simulatedGateway) tick() {
	g.send(g.node.Tick(g.clock()))
	g.applyLease()
	delay := TickInterval + g.extraTickDelay + g.cluster.randomDuration(TickInterval)
	g.cluster.schedule(delay, g.whileRunning(g.tick))
}

// applyLease lets the pools apply the node's share lease after a random delay.
func (g *simulatedGateway) applyLease() {
	transitions := g.node.TakeTransitions()
	for _, transition := range transitions {
		if transition.To == membership.Dead && g.cluster.gateways[transition.Index].isActive() {
			g.cluster.falseDeaths++
		}
	}
	now := g.clock()
	lease := g.node.ShareLease(now)
	if g.cluster.onShareLease != nil {
		g.cluster.onShareLease(g, lease, transitions)
	}
	if g.cluster.flaws.releasesAtOnce {
		g.node.ConfirmApplied(lease.Epoch)
	}
	var held []int
	for slot := range g.cluster.slotCount() {
		if !lease.Excluded && g.node.holder.IsHeld(slot, now) {
			held = append(held, slot)
		}
	}
	g.leasesSeen++
	number := g.leasesSeen
	g.cluster.schedule(g.cluster.randomDuration(g.cluster.maxApplyDelay), g.whileRunning(func() {
		if number < g.leaseApplied {
			return // the pools have applied a newer lease
		}
		g.leaseApplied = number
		g.usedSlots, g.until, g.isExcluded = held, lease.Until, lease.Excluded
		g.node.ConfirmApplied(lease.Epoch)
	}))
}

// send sends messages over the simulated network.
func (g *simulatedGateway) send(outgoing []Outgoing) {
	for _, out := range outgoing {
		if g.cluster.onSend != nil {
			g.cluster.onSend(g.index, out)
		}
		if out.Message.Request != nil {
			g.lastSequence = out.Message.Request.Sequence
		}
		g.cluster.traffic.count(out.Message)
		isLost, delay := g.cluster.network(g.index, out.To)
		to := g.cluster.gateways[out.To]
		if isLost || !to.isRunning {
			continue
		}
		g.cluster.schedule(delay, to.whileRunning(func() { to.receive(g.index, out.Message) }))
	}
}

// receive passes a message to the node, modified by the injected flaws.
func (g *simulatedGateway) receive(from int, message Message) {
	flaws := g.cluster.flaws
	if message.Request != nil && flaws.acceptsOldRequests {
		request := *message.Request
		g.lastSequences[from] = max(g.lastSequences[from]+1, request.Sequence)
		request.Sequence = g.lastSequences[from]
		message.Request = &request
	}
	if message.Grant != nil && flaws.keepsOldGrants {
		grant := *message.Grant
		grant.Sequence = g.lastSequence
		message.Grant = &grant
	}
	senders := []int{from}
	if message.Grant != nil && flaws.oneGrantSuffices {
		senders = nil
		for voter := range quotalease.VoterCount(len(g.cluster.gateways)) {
			senders = append(senders, voter)
		}
	}
	for _, sender := range senders {
		outgoing, err := g.node.Receive(g.clock(), sender, message)
		if err != nil {
			panic(err)
		}
		g.send(outgoing)
	}
	if message.Grant != nil {
		g.applyLease()
	}
}

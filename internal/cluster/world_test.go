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

// world is a fleet in virtual time. Each door has a clock of its own, and pools that go by its standing some time after it changed.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	queue *priorityqueue.Queue[event]
	no    int
	doors []*door
	line  func(from, to int) (lost bool, late time.Duration)
	lag   time.Duration // the most that a pool takes to go by a new standing
	clash string        // the first seat that was used twice
	sent  map[string]int
	flaws flaws
	weigh bool // bytes are counted
	false int  // doors found dead that were not

	// onSend and onStanding, if set, see each message and each standing with the changes before it.
	onSend     func(from int, out Outgoing)
	onStanding func(d *door, standing ShareLease, changes []membership.Transition)
}

// flaws break the rules on purpose, for tests of the check.
type flaws struct {
	forgets     bool // voters forget each second what they said yes to, and say yes again at once
	clocks      bool // the clocks of some doors go at half the pace
	keepsOld    bool // a yes counts for the last claim, whichever it was said to
	oldClaims   bool // voters heed claims in the order in which they come
	givesAtOnce bool // seats are given up before the pools have ceased to use them
	noExpiry    bool // pools go on when the lease is over
	anyIsEnough bool // one voter's yes is enough
}

type event struct {
	at time.Duration
	no int
	do func()
}

type door struct {
	w       *world
	rank    int
	node    *Node
	life    int
	alive   bool
	stopped bool
	held    []func() // what came while it was stopped
	offset  time.Duration
	drift   float64
	inc     uint32
	uses    []int // seats that the pools use ...
	until   time.Duration
	gone    bool // they use not even what is kept
	slow    time.Duration
	claims  map[int]uint32 // with flaws.oldClaims
	lastSeq uint32
	stood   int // standings so far, and which the pools have
	took    int
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, sent: map[string]int{},
		queue: priorityqueue.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.no < b.no })}
	w.line = func(int, int) (bool, time.Duration) { return false, time.Millisecond }
	w.lag = 5 * time.Millisecond
	for i := range n {
		w.doors = append(w.doors, &door{w: w, rank: i, offset: time.Duration(w.rng.Int64N(int64(time.Hour))), drift: 1 + 0.01*(2*w.rng.Float64()-1)})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.no++
	w.queue.Push(event{w.now + max(0, d), w.no, do})
}

// run goes on to a time and looks at each of so many points whether a seat is used twice.
func (w *world) run(to, each time.Duration) {
	for check := w.now; w.now < to; {
		if check += each; check > to {
			check = to
		}
		for w.queue.Len() > 0 && w.queue.First().Value.at <= check {
			e := w.queue.Pop().Value
			w.now = max(w.now, e.at)
			e.do()
		}
		w.now = check
		w.check()
	}
}

func (w *world) check() {
	users := make([]int, len(w.doors)*quotalease.SlotsPerGateway(len(w.doors)))
	for _, d := range w.doors {
		if !d.alive || d.stopped || d.clock() >= d.until && !w.flaws.noExpiry {
			continue
		}
		for _, s := range d.uses {
			if users[s] > 0 && w.clash == "" {
				w.clash = fmt.Sprintf("at %v seat %d is used by %d and %d", w.now-time.Hour, s, users[s]-1, d.rank)
			}
			users[s] = d.rank + 1
		}
	}
}

// part is what all doors use together.
func (w *world) part() (sum float64) {
	for _, d := range w.doors {
		if d.alive && !d.stopped && d.clock() < d.until {
			sum += float64(len(d.uses))
		}
	}
	return sum / float64(len(w.doors)*quotalease.SlotsPerGateway(len(w.doors)))
}

func (d *door) clock() time.Duration { return d.offset + time.Duration(float64(d.w.now)*d.drift) }

func (d *door) start() {
	d.inc++
	d.startAs(membership.ID{Incarnation: d.inc, Nonce: d.w.rng.Uint32()})
}

func (d *door) startAs(id membership.ID) {
	d.life++
	d.alive, d.stopped, d.uses, d.until, d.held = true, false, nil, 0, nil
	d.node = New(Config{Index: d.rank, Gateways: len(d.w.doors), ID: id}, d.clock(), rand.New(rand.NewPCG(uint64(d.rank), uint64(d.life))))
	d.claims = map[int]uint32{}
	d.tick(d.life)
	if d.w.flaws.forgets && d.node.voter != nil {
		d.forget()
	}
}

func (d *door) forget() {
	d.node.voter = quotalease.NewVoter(len(d.w.doors), d.clock()-time.Hour)
	d.w.after(time.Second, d.here(d.forget))
}

func (d *door) kill() { d.alive, d.life = false, d.life+1 }

func (d *door) stop() { d.stopped = true }

func (d *door) resume() {
	d.stopped = false
	held := d.held
	d.held = nil
	for _, do := range held {
		do()
	}
}

// here does something at the door, if that is still the same process; later, if it is stopped.
func (d *door) here(do func()) func() {
	life := d.life
	var f func()
	f = func() {
		switch {
		case life != d.life || !d.alive:
		case d.stopped:
			if len(d.held) < 1000 {
				d.held = append(d.held, f)
			}
		default:
			do()
		}
	}
	return f
}

func (d *door) tick(life int) {
	d.send(d.node.Tick(d.clock()))
	d.stand()
	d.w.after(TickInterval+d.slow+time.Duration(d.w.rng.Int64N(int64(TickInterval))), d.here(func() { d.tick(life) }))
}

// stand has the pools go by what the node says, a little later.
func (d *door) stand() {
	changes := d.node.TakeTransitions()
	for _, c := range changes {
		if c.To == membership.Dead && d.w.doors[c.Index].alive && !d.w.doors[c.Index].stopped {
			d.w.false++
		}
	}
	now := d.clock()
	st := d.node.ShareLease(now)
	if d.w.onStanding != nil {
		d.w.onStanding(d, st, changes)
	}
	if d.w.flaws.givesAtOnce {
		d.node.ConfirmApplied(st.Epoch)
	}
	var uses []int
	for i := range len(d.w.doors) * quotalease.SlotsPerGateway(len(d.w.doors)) {
		if !st.Excluded && d.node.holder.IsHeld(i, now) {
			uses = append(uses, i)
		}
	}
	d.stood++
	no := d.stood
	d.w.after(time.Duration(d.w.rng.Int64N(int64(d.w.lag))), d.here(func() {
		if no < d.took {
			return // they have a newer one
		}
		d.took = no
		d.uses, d.until, d.gone = uses, st.Until, st.Excluded
		d.node.ConfirmApplied(st.Epoch)
	}))
}

func (d *door) send(outs []Outgoing) {
	for _, o := range outs {
		if d.w.onSend != nil {
			d.w.onSend(d.rank, o)
		}
		to := d.w.doors[o.To]
		switch {
		case o.Message.Heartbeat != nil:
			d.w.sent["beat"]++
			d.w.sent["entries"] += len(o.Message.Heartbeat.Entries)
		case o.Message.Request != nil:
			d.w.sent["claim"]++
			d.lastSeq = o.Message.Request.Sequence
		default:
			d.w.sent["grant"]++
		}
		d.w.sent["messages"]++
		if d.w.weigh {
			b, err := cbor.Marshal(o.Message)
			if err != nil {
				panic(err)
			}
			d.w.sent["bytes"] += len(b) + 56 // the envelope of a datagram
		}
		lost, late := d.w.line(d.rank, o.To)
		if lost || !to.alive {
			continue
		}
		d.w.after(late, to.here(func() { to.heard(d.rank, o.Message) }))
	}
}

func (d *door) heard(from int, m Message) {
	f := d.w.flaws
	if m.Request != nil && f.oldClaims {
		c := *m.Request
		d.claims[from] = max(d.claims[from]+1, c.Sequence)
		c.Sequence = d.claims[from]
		m.Request = &c
	}
	voters := []int{from}
	if m.Grant != nil && f.keepsOld {
		g := *m.Grant
		g.Sequence = d.lastSeq
		m.Grant = &g
	}
	if m.Grant != nil && f.anyIsEnough {
		voters = nil
		for v := range quotalease.VoterCount(len(d.w.doors)) {
			voters = append(voters, v)
		}
	}
	for _, from := range voters {
		outs, err := d.node.Receive(d.clock(), from, m)
		if err != nil {
			panic(err)
		}
		d.send(outs)
	}
	if m.Grant != nil {
		d.stand()
	}
}

// alike says whether all doors that live see all others the same, and that all is used.
func (w *world) alike() error {
	for _, d := range w.doors {
		if !d.alive || d.stopped {
			continue
		}
		for _, m := range d.node.Members() {
			o := w.doors[m.Index]
			if live := o.alive && !o.stopped; live != (m.State == membership.Alive || m.State == membership.Returned) {
				return fmt.Errorf("door %d, alive %v, is %v at %d: %s", m.Index, live, m.State, d.rank, m.Cause)
			}
		}
	}
	return nil
}

// within runs until a condition holds and returns how long that took; it fails the test after a time.
func (w *world) within(t testing.TB, most time.Duration, what string, done func() error) time.Duration {
	t.Helper()
	begun := w.now
	var err error
	for w.now-begun <= most {
		if err = done(); err == nil {
			return w.now - begun
		}
		w.run(w.now+10*time.Millisecond, 10*time.Millisecond)
	}
	t.Errorf("%s: not within %v: %v", what, most, err)
	return most
}

func (w *world) startAll() *world {
	for _, d := range w.doors {
		d.start()
	}
	return w
}

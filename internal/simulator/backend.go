package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Clock is what a Backend lives by: a world's virtual time, or a driver's real one. All its functions are called by the one
// goroutine that owns the Backend.
type Clock interface {
	Time() time.Duration
	// Later calls a function after a time, unless the function that it returns is called first.
	Later(d time.Duration, do func()) (cancel func())
}

// Time implements [Clock].
func (w *World) Time() time.Duration { return w.Now }

// Later implements [Clock].
func (w *World) Later(d time.Duration, do func()) (cancel func()) {
	e := w.At(w.Now+d, do)
	return func() { w.queue.Remove(e) }
}

// Dist is a distribution of service times.
type Dist struct {
	Kind string        // "exponential", "fixed", or "lognormal"
	Mean time.Duration // of the work on one core, warm and alone
	CV   float64       // lognormal: standard deviation over the mean
}

// Check says what is wrong with a Dist.
func (d Dist) Check() error {
	switch {
	case d.Mean <= 0:
		return fmt.Errorf("the mean %v is not above 0", d.Mean)
	case d.Kind == "lognormal" && !(d.CV > 0):
		return fmt.Errorf("a lognormal work wants a cv above 0, not %v", d.CV)
	case d.Kind != "exponential" && d.Kind != "fixed" && d.Kind != "lognormal":
		return fmt.Errorf("%q is not exponential, fixed or lognormal", d.Kind)
	}
	return nil
}

// Draw draws one.
func (d Dist) Draw(r *rand.Rand) time.Duration {
	switch d.Kind {
	case "exponential":
		return time.Duration(float64(d.Mean) * r.ExpFloat64())
	case "lognormal":
		s2 := math.Log1p(d.CV * d.CV)
		return time.Duration(float64(d.Mean) * math.Exp(math.Sqrt(s2)*r.NormFloat64()-s2/2))
	}
	return d.Mean
}

// BackendConfig describes a flag server.
type BackendConfig struct {
	Cores      float64         // work done at once, in cores
	Slots      int             // requests in work; they share the cores
	Room       int             // requests that may wait for a slot; beyond that they are turned away unseen
	Work       []Dist          // by class
	HeldFrom   int             // from so many requests held (in work and waiting) it gets less efficient; 0: never
	HeldEach   float64         // part of its speed that each one held beyond that costs
	LeastSpeed float64         // which never falls under this part
	ColdFrom   float64         // part of its capacity right after a start; 0 or 1: it is never cold
	WarmWithin time.Duration   // the time in which it rises evenly to the whole
	FallAt     float64         // cold, it falls over when sent this multiple of what it can do ...
	FallWindow time.Duration   // ... within this; 0: it never falls
	Window     []time.Duration // by class: for which a repeat of a key is dropped; 0: it is not
}

// Check says what is wrong, naming the field.
func (c *BackendConfig) Check() error {
	switch {
	case !(c.Cores > 0):
		return fmt.Errorf("cores: %v is not above 0", c.Cores)
	case c.Slots < 1:
		return fmt.Errorf("slots: %d is under 1", c.Slots)
	case c.Room < 0:
		return fmt.Errorf("room: %d is negative", c.Room)
	case len(c.Work) == 0:
		return fmt.Errorf("work: there is none")
	case c.HeldFrom < 0 || c.HeldEach < 0 || c.LeastSpeed < 0 || c.LeastSpeed > 1:
		return fmt.Errorf("held: a figure is negative, or the least speed is over 1")
	case c.ColdFrom < 0 || c.ColdFrom > 1 || c.ColdFrom > 0 && c.ColdFrom < 1 && c.WarmWithin <= 0:
		return fmt.Errorf("cold_from: %v is not from 0 to 1, or warm_within is missing", c.ColdFrom)
	case c.FallAt < 0 || c.FallAt > 0 && c.FallWindow <= 0:
		return fmt.Errorf("fall_at: %v is negative, or fall_window is missing", c.FallAt)
	}
	for i, d := range c.Work {
		if err := d.Check(); err != nil {
			return fmt.Errorf("work[%d]: %w", i, err)
		}
	}
	return nil
}

// Reply is what a Backend answers.
type Reply int

const (
	Answered   Reply = iota
	Repeated         // Answered, a repeat whose effect was dropped
	TurnedAway       // unseen: no slot and no room, or it drains
	Broken           // the process died: the connection breaks
)

// Job is one request at a Backend.
type Job struct {
	Class   int
	Key     string // of a keyed class; empty: it has none
	ID      string
	came    time.Duration
	begun   time.Duration
	left    float64 // work, in seconds of one core
	answer  func(Reply)
	working bool
	over    bool
}

// Waited is how long the job waited for a slot.
func (j *Job) Waited() time.Duration { return j.begun - j.came }

// BackendFigures count what a Backend did.
type BackendFigures struct {
	Came, Answered, TurnedAway, Effects, Dropped, Twice uint64
	Fallen                                              bool
}

// Backend is a flag server with real queues: requests in work share its cores, others wait in their order, and what it can do
// falls when it holds too many, rises after a start, and stops in a pause. It does no input or output.
type Backend struct {
	Name    string
	Figures BackendFigures
	cfg     BackendConfig
	clock   Clock
	rand    func(parts ...any) *rand.Rand
	working []*Job
	waiting []*Job
	at      time.Duration // until when the work in hand is counted
	started time.Duration
	slow    float64       // factor on the time that work takes; 1: as configured
	paused  time.Duration // until then nothing is done
	down    bool
	drains  bool
	silent  bool
	cancel  func()
	done    map[string]time.Duration // by key: when its effect was done
	group   bool                     // done is that of a group of servers, which outlives a process
	sent    []sentWork
}

type sentWork struct {
	at   time.Duration
	work float64
}

// NewBackend makes one that is warm. The random source is by the identity of what it is for.
func NewBackend(name string, cfg BackendConfig, c Clock, source func(parts ...any) *rand.Rand) (*Backend, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("backend %s: %w", name, err)
	}
	return &Backend{Name: name, cfg: cfg, clock: c, rand: source, at: c.Time(), started: -cfg.WarmWithin, slow: 1, done: map[string]time.Duration{}}, nil
}

// Warmth is the part of its capacity that it has now.
func (b *Backend) Warmth() float64 {
	age := b.clock.Time() - b.started
	if b.cfg.ColdFrom == 0 || b.cfg.ColdFrom == 1 || age >= b.cfg.WarmWithin {
		return 1
	}
	return b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*age.Seconds()/b.cfg.WarmWithin.Seconds()
}

// speed is the work done in a second by each job in work, in seconds of one core.
func (b *Backend) speed() float64 {
	if len(b.working) == 0 || b.clock.Time() < b.paused {
		return 0
	}
	s := min(1, b.cfg.Cores/float64(len(b.working))) * b.Warmth() / b.slow
	if over := b.Held() - b.cfg.HeldFrom; b.cfg.HeldFrom > 0 && over > 0 {
		s *= max(b.cfg.LeastSpeed, 1-b.cfg.HeldEach*float64(over))
	}
	return s
}

// Held is how many requests it holds.
func (b *Backend) Held() int { return len(b.working) + len(b.waiting) }

// Queue is how many wait for a slot.
func (b *Backend) Queue() int { return len(b.waiting) }

// coldStep is how often a cold server's speed is looked at.
const coldStep = 100 * time.Millisecond

// advance counts the work done since it was last counted, at the speed since then. Whatever changes the speed calls it first.
func (b *Backend) advance() {
	now := b.clock.Time()
	if gap := now - b.at; gap > 0 {
		from := b.at
		if b.paused > from { // the part of it that was no pause
			gap = max(0, now-b.paused)
		}
		if gap > 0 {
			s := b.speed()
			for _, j := range b.working {
				j.left -= s * gap.Seconds()
			}
		}
	}
	b.at = now
}

// settle answers what is done, takes what waits into work, and sets the time at which it must look again.
func (b *Backend) settle() {
	const done = 1e-9
	for i := 0; i < len(b.working); {
		j := b.working[i]
		if j.left > done {
			i++
			continue
		}
		b.working = slices.Delete(b.working, i, i+1)
		b.finish(j)
	}
	for len(b.waiting) > 0 && len(b.working) < b.cfg.Slots {
		j := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		b.begin(j)
	}
	if b.cancel != nil {
		b.cancel()
		b.cancel = nil
	}
	if len(b.working) == 0 || b.down {
		return
	}
	now := b.clock.Time()
	if now < b.paused {
		b.cancel = b.clock.Later(b.paused-now, b.look)
		return
	}
	least := math.Inf(1)
	for _, j := range b.working {
		least = min(least, j.left)
	}
	next := time.Duration(math.Ceil(least / b.speed() * float64(time.Second)))
	if b.Warmth() < 1 {
		next = min(next, coldStep)
	}
	b.cancel = b.clock.Later(max(next, 1), b.look)
}

func (b *Backend) look() {
	b.cancel = nil
	b.advance()
	b.settle()
}

func (b *Backend) begin(j *Job) {
	j.begun, j.working = b.clock.Time(), true
	b.working = append(b.working, j)
}

// finish answers a job whose work is done. An effect is done once: a repeat of its key within the window is dropped.
func (b *Backend) finish(j *Job) {
	j.over = true
	reply := Answered
	if j.Key != "" {
		now := b.clock.Time()
		b.expire(now)
		at, was := b.done[j.Key]
		switch {
		case was && now-at < b.window(j.Class):
			reply = Repeated
			b.Figures.Dropped++
		default:
			if was {
				b.Figures.Twice++
			}
			b.Figures.Effects++
			b.done[j.Key] = now
		}
	}
	b.Figures.Answered++
	if b.silent {
		return
	}
	j.answer(reply)
}

// keysKept is for how long a key is remembered beyond any window, so that an effect done twice late is seen.
const keysKept = 30 * time.Second

// expire forgets old keys now and then.
func (b *Backend) expire(now time.Duration) {
	if len(b.done) < 1<<14 || len(b.done)%(1<<12) != 0 {
		return
	}
	for k, at := range b.done {
		if now-at > keysKept {
			delete(b.done, k)
		}
	}
}

func (b *Backend) window(class int) time.Duration {
	if class < len(b.cfg.Window) {
		return b.cfg.Window[class]
	}
	return 0
}

// Arrive brings a request, whose reply is given to the function unless the server is silent by then, or the job is cancelled.
func (b *Backend) Arrive(j *Job, answer func(Reply)) {
	b.Figures.Came++
	j.came, j.answer = b.clock.Time(), answer
	if b.down {
		j.over = true
		answer(Broken)
		return
	}
	b.advance()
	j.left = b.cfg.Work[j.Class].Draw(b.rand("work", j.ID, b.Name)).Seconds()
	if b.pushed(j.left) { // what is turned away pushes too
		b.Figures.Fallen = true
		b.Die()
		j.over = true
		answer(Broken)
		return
	}
	if b.drains || len(b.working) >= b.cfg.Slots && len(b.waiting) >= b.cfg.Room {
		j.over = true
		b.Figures.TurnedAway++
		b.settle()
		if !b.silent {
			answer(TurnedAway)
		}
		return
	}
	if len(b.working) < b.cfg.Slots {
		b.begin(j)
	} else {
		b.waiting = append(b.waiting, j)
	}
	b.settle()
}

// pushed says that a cold server is sent more than it bears.
func (b *Backend) pushed(work float64) bool {
	w := b.Warmth()
	if b.cfg.FallAt == 0 || w >= 1 {
		b.sent = nil
		return false
	}
	now := b.clock.Time()
	b.sent = append(b.sent, sentWork{now, work})
	sum := 0.0
	for len(b.sent) > 0 && now-b.sent[0].at >= b.cfg.FallWindow {
		b.sent = b.sent[1:]
	}
	for _, s := range b.sent {
		sum += s.work
	}
	return sum > b.cfg.FallAt*w*b.cfg.Cores*b.cfg.FallWindow.Seconds()+1e-9
}

// Cancel gives a job up: what waits is dropped, what is in work goes on and is answered to nobody.
func (b *Backend) Cancel(j *Job) {
	if j.over {
		return
	}
	j.answer = func(Reply) {}
	if !j.working {
		j.over = true
		b.advance()
		b.waiting = slices.DeleteFunc(b.waiting, func(o *Job) bool { return o == j })
		b.settle()
	}
}

// Slow makes all work take so many times as long; 1: as configured.
func (b *Backend) Slow(factor float64) { b.change(func() { b.slow = max(1e-3, factor) }) }

// Pause stops all work for a time, as a collection of garbage does.
func (b *Backend) Pause(d time.Duration) {
	b.change(func() { b.paused = max(b.paused, b.clock.Time()+d) })
}

// Silence makes it answer nothing any more, or again. What it owed while it was silent it never answers.
func (b *Backend) Silence(on bool) { b.change(func() { b.silent = on }) }

// Drain makes it turn new work away, or not.
func (b *Backend) Drain(on bool) { b.change(func() { b.drains = on }) }

func (b *Backend) change(do func()) {
	b.advance()
	do()
	b.settle()
}

// Die ends the process: all that it held breaks.
func (b *Backend) Die() {
	b.advance()
	all := append(b.working, b.waiting...)
	b.working, b.waiting, b.down = nil, nil, true
	b.settle()
	for _, j := range all {
		if j.over = true; !b.silent {
			j.answer(Broken)
		}
	}
}

// Start starts the process anew: cold, and with no memory of the keys that it has seen.
func (b *Backend) Start() {
	b.at = b.clock.Time()
	b.down, b.drains, b.silent, b.slow, b.paused, b.sent = false, false, false, 1, 0, nil
	b.started = b.clock.Time()
	if !b.group {
		clear(b.done)
	}
}

// DropsWith makes it drop repeats of keys that another one has seen, and the other way round.
func (b *Backend) DropsWith(o *Backend) { b.done, b.group, o.group = o.done, true, true }

// Down says that no process runs.
func (b *Backend) Down() bool { return b.down }

// Started is when the process started; below 0: long ago.
func (b *Backend) Started() time.Duration { return b.started }

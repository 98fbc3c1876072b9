// Package simulator plays front doors, the counter, flag servers and clients in virtual time: the decision module itself, as a
// front door drives it, in a world of which every instant is decided by events in a queue. It does no input or output and
// reads no clock. Randomness comes from the identity of what it is for, never from the order of events, so one delayed
// message does not change all that follows, and a seed gives the same run.
//
// One goroutine owns a World and all in it.
package simulator

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/priorityqueue"
)

// World holds the clock and what is to come.
type World struct {
	Seed    uint64
	Now     time.Duration
	Events  int // so far
	queue   *priorityqueue.Queue[event]
	last    uint64
	Counter *Counter
	Doors   []*Door
	Servers []*Server
	// Backends are flag servers with real queues, by name, in place of Servers.
	Backends map[string]*Backend
}

type event struct {
	at time.Duration
	no uint64 // of events at one instant the one set first goes first
	do func()
}

// Start is the virtual time at which worlds begin: long after 0, as a Unix clock is, and at no round one.
const Start = 1000*time.Hour + 17*time.Second

// New makes a world of so many flag servers.
func New(seed uint64, servers int) *World {
	w := &World{Seed: seed, Now: Start, queue: priorityqueue.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.no < b.no })}
	w.Counter = &Counter{w: w, names: map[uint64]*number{}, Takes: time.Millisecond}
	for i := range servers {
		w.Servers = append(w.Servers, &Server{w: w, Name: fmt.Sprint("s-", i), Takes: 20 * time.Millisecond})
	}
	return w
}

// At does something at a time; what lies in the past is done now.
func (w *World) At(at time.Duration, do func()) *priorityqueue.Item[event] {
	w.last++
	return w.queue.Push(event{max(at, w.Now), w.last, do})
}

// After does something later.
func (w *World) After(d time.Duration, do func()) { w.At(w.Now+d, do) }

// Run plays until a time.
func (w *World) Run(until time.Duration) {
	for {
		next := w.queue.First()
		if next == nil || next.Value.at > until {
			break
		}
		w.queue.Pop()
		w.Now = next.Value.at
		w.Events++
		next.Value.do()
	}
	w.Now = until
}

// Rand is a random source for one thing, told by its parts: the same for the same seed and parts, whatever else happens.
func (w *World) Rand(parts ...any) *rand.Rand {
	const prime = 1099511628211
	h := uint64(14695981039346656037) ^ w.Seed
	for _, c := range fmt.Append(nil, parts...) {
		h = (h ^ uint64(c)) * prime
	}
	return rand.New(rand.NewPCG(h, w.Seed))
}

// Counter is the quota counter.
type Counter struct {
	w     *World
	names map[uint64]*number
	Takes time.Duration // for a call, there and back
	Gone  bool          // calls are refused
	Mute  bool          // calls get no answer, though they are added
	Calls int
}

type number struct {
	total float64
	until time.Duration
}

// Empty forgets all numbers.
func (c *Counter) Empty() { clear(c.names) }

// add takes one call and hands the answer to a function.
func (c *Counter) add(a balancer.CounterAdd, timeout time.Duration, answer func(balancer.Event)) {
	w := c.w
	c.Calls++
	if c.Gone {
		w.After(time.Millisecond, func() { answer(balancer.CounterResult{Name: a.Name, Status: balancer.ConnectFailed}) })
		return
	}
	half := c.Takes / 2
	w.After(half, func() {
		n := c.names[a.Name]
		if n == nil || n.until <= w.Now {
			n = &number{until: w.Now + a.TTL}
			c.names[a.Name] = n
		}
		n.total += a.Amount
		total := n.total
		if c.Mute || c.Takes >= timeout {
			w.After(max(0, timeout-half), func() { answer(balancer.CounterResult{Name: a.Name, Status: balancer.Timeout}) })
			if !c.Mute && a.Ticket != 0 {
				w.After(c.Takes-half, func() { answer(balancer.LateCounterResult{Ticket: a.Ticket, Status: balancer.OK, Total: total}) })
			}
			return
		}
		w.After(c.Takes-half, func() { answer(balancer.CounterResult{Name: a.Name, Status: balancer.OK, Total: total}) })
	})
}

// Server is a flag server that answers each attempt after a time, with no queue.
type Server struct {
	w     *World
	Name  string
	Takes time.Duration
	Came  int
}

// Door is one front door: the module and what drives it.
type Door struct {
	w        *World
	Rank     int
	door     *balancer.Balancer
	set      balancer.Settings
	life     int // goes up with each death: what was under way for a former one is void
	events   []balancer.Event
	stepping bool
	lastID   uint64
	open     map[uint64]*Request
	Alive    bool
	Skew     time.Duration // how far the door's clock is ahead
	// Sent is called when a request's first attempt goes out, or its leave is given; Done with its final answer.
	Sent func(*Request)
	Done func(*Request, Answer)
	// Break takes each action before it is carried out and gives what is done in its place: for tests of what a rig finds.
	Break func(balancer.Action) []balancer.Action
	// Attempted is called when an attempt goes out to a Backend.
	Attempted func(r *Request, backend string)
}

// Answer is how a request ended.
type Answer int

const (
	Served Answer = iota
	Refused
	Failed
)

// Request is one try of a client.
type Request struct {
	Door     int
	Customer string
	Name     string // its identity: what is drawn for it hangs on that
	Key      string // of a keyed class
	Doors    int    // through which the customer's requests come; 0: all
	Retry    bool
	Class    int
	Plan     int
	Units    float64
	Grant    bool
	Left     time.Duration
	At       time.Duration // when it came
	Pause    time.Duration // with Refused
	Of       any           // what the caller keeps of it
	Life     int           // of the door when it came
	attempts int
	ends     map[int]*priorityqueue.Item[event] // attempts out
	cancels  map[int]func()
	left     bool
}

// AddDoor makes a front door. It is started by Start.
func (w *World) AddDoor(set balancer.Settings) *Door {
	set.Index = len(w.Doors)
	d := &Door{w: w, Rank: set.Index, set: set}
	w.Doors = append(w.Doors, d)
	return d
}

// Start starts the door anew: it knows nothing but the list of servers.
func (d *Door) Start() error {
	set := d.set
	set.Classes, set.Plans = append([]balancer.Class(nil), set.Classes...), append([]balancer.Plan(nil), set.Plans...)
	d.life++
	var err error
	if d.door, err = balancer.New(set, d.w.Rand("door", d.Rank, d.life).Uint64()); err != nil {
		return fmt.Errorf("door %d: %w", d.Rank, err)
	}
	d.open, d.events, d.Alive = map[uint64]*Request{}, nil, true
	var list []balancer.Endpoint
	for _, s := range d.w.Servers {
		list = append(list, balancer.Endpoint{Name: s.Name, Weight: 1})
	}
	for _, name := range slices.Sorted(maps.Keys(d.w.Backends)) {
		if b := d.w.Backends[name]; !b.drains {
			list = append(list, balancer.Endpoint{Name: name, Weight: 1, StartedAt: max(0, b.started)})
		}
	}
	d.tell(balancer.EndpointUpdate{Kind: balancer.Snapshot, Entries: list})
	return nil
}

// Life is the number of the door's life: it goes up with each death and each start.
func (d *Door) Life() int { return d.life }

// Kill ends the door as SIGKILL does: nobody is told.
func (d *Door) Kill() { d.Alive, d.life = false, d.life+1 }

// Ask brings a request; false: the door is dead.
func (d *Door) Ask(r *Request) bool {
	if !d.Alive {
		return false
	}
	d.lastID++
	r.Life = d.life
	r.Door, r.At, r.ends, r.cancels = d.Rank, d.w.Now, map[int]*priorityqueue.Item[event]{}, map[int]func(){}
	d.open[d.lastID] = r
	d.tell(balancer.Request{ID: d.lastID, Class: r.Class, Plan: r.Plan, Customer: r.Customer, TimeLeft: r.Left, Units: r.Units, Gateways: r.Doors, ClientRetry: r.Retry, AdmitOnly: r.Grant})
	return true
}

// Told tells the door of backends, as discovery does.
func (d *Door) Told(list ...balancer.Endpoint) {
	if d.Alive {
		d.tell(balancer.EndpointUpdate{Kind: balancer.Delta, Entries: list})
	}
}

// here wraps what is to happen to this life of the door.
func (d *Door) here(do func()) func() {
	life := d.life
	return func() {
		if d.life == life {
			do()
		}
	}
}

// tell hands the module an event, and carries out what it wants until it wants no more.
func (d *Door) tell(ev balancer.Event) {
	d.events = append(d.events, ev)
	if d.stepping {
		return
	}
	d.stepping = true
	for len(d.events) > 0 {
		evs := d.events
		d.events = nil
		for _, a := range d.door.Step(d.w.Now+d.Skew, evs) {
			if d.Break == nil {
				d.act(a)
				continue
			}
			for _, b := range d.Break(a) {
				d.act(b)
			}
		}
	}
	d.stepping = false
}

func (d *Door) act(a balancer.Action) {
	w := d.w
	switch a := a.(type) {
	case balancer.Dispatch:
		r := d.open[a.ID]
		if r == nil { // for what is over; a front door does the same
			d.tell(balancer.AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Status: balancer.NotSent, RequestClosed: true})
			return
		}
		no := r.attempts
		r.attempts++
		if no == 0 && d.Sent != nil {
			d.Sent(r)
		}
		if b := w.Backends[a.Endpoint]; b != nil {
			d.send(a, r, no, b)
			return
		}
		takes := time.Duration(math.MaxInt64)
		for _, s := range w.Servers {
			if s.Name == a.Endpoint {
				s.Came++
				takes = s.Takes
			}
		}
		o := balancer.AttemptResult{ID: a.ID, Attempt: no, Endpoint: a.Endpoint, Status: balancer.OK, Latency: takes, RequestClosed: true}
		if takes > a.Timeout {
			o.Status, o.Latency, o.RequestClosed = balancer.Timeout, a.Timeout, false
		}
		r.ends[no] = w.At(w.Now+o.Latency, d.here(func() {
			delete(r.ends, no)
			if o.Status == balancer.OK {
				d.end(a.ID, r, Served)
			}
			d.tell(o)
			d.forget(a.ID, r)
		}))
	case balancer.CancelAttempt:
		if r := d.open[a.ID]; r != nil && r.ends[a.Attempt].In() {
			w.queue.Remove(r.ends[a.Attempt])
			delete(r.ends, a.Attempt)
			if c := r.cancels[a.Attempt]; c != nil {
				c()
			}
			d.tell(balancer.AttemptResult{ID: a.ID, Attempt: a.Attempt, Status: balancer.Cancelled, RequestClosed: r.left})
			d.forget(a.ID, r)
		}
	case balancer.Admit:
		if d.Sent != nil {
			d.Sent(d.open[a.ID])
		}
		d.end(a.ID, d.open[a.ID], Served)
		d.forget(a.ID, d.open[a.ID])
	case balancer.Reject:
		if r := d.open[a.ID]; r != nil {
			r.Pause = a.RetryAfter
		}
		d.end(a.ID, d.open[a.ID], Refused)
		d.forget(a.ID, d.open[a.ID])
	case balancer.Fail:
		d.end(a.ID, d.open[a.ID], Failed)
		d.forget(a.ID, d.open[a.ID])
	case balancer.HealthCheck:
		status, takes := balancer.OK, time.Millisecond
		if b := w.Backends[a.Endpoint]; b != nil {
			if status, takes = b.probed(); status == balancer.Timeout {
				takes = probeTimeout
			}
		}
		w.After(takes, d.here(func() { d.tell(balancer.HealthCheckResult{Endpoint: a.Endpoint, Status: status}) }))
	case balancer.CounterAdd:
		life := d.life
		w.Counter.add(a, d.set.CounterTimeout, func(c balancer.Event) {
			if d.life == life {
				d.tell(c)
			}
		})
	case balancer.SetTimer:
		w.At(a.At-d.Skew, d.here(func() { d.tell(balancer.TimerFired{Cookie: a.Cookie}) }))
	}
}

const (
	hop          = 500 * time.Microsecond // to a backend or back
	probeTimeout = 500 * time.Millisecond
)

// send carries an attempt to a Backend and its reply back.
func (d *Door) send(a balancer.Dispatch, r *Request, no int, b *Backend) {
	w := d.w
	if d.Attempted != nil {
		d.Attempted(r, b.Name)
	}
	at := w.Now
	job := &Job{Class: r.Class, Key: r.Key, ID: r.Name}
	if no > 0 { // another attempt is other work
		job.ID += "/" + strconv.Itoa(no)
	}
	ended := false
	end := func(status balancer.Status) {
		if ended {
			return
		}
		ended = true
		delete(r.ends, no)
		o := balancer.AttemptResult{ID: a.ID, Attempt: no, Endpoint: b.Name, Status: status, Latency: w.Now - at, RequestClosed: status == balancer.OK || r.left}
		if status == balancer.OK {
			d.end(a.ID, r, Served)
		}
		d.tell(o)
		d.forget(a.ID, r)
	}
	sent := false
	limit := w.At(at+a.Timeout, d.here(func() {
		b.Cancel(job)
		end(balancer.Timeout)
	}))
	r.ends[no] = limit // Cancel takes it out, and the job with it
	r.cancels[no] = func() {
		ended = true
		if sent {
			b.Cancel(job)
		}
	}
	w.After(hop, d.here(func() {
		if ended {
			return
		}
		sent = true
		down, life := b.Down(), d.life
		b.Arrive(job, func(reply Reply) {
			if d.life != life { // who asked is dead: nobody hears it
				return
			}
			w.After(hop, d.here(func() {
				w.queue.Remove(limit)
				switch {
				case reply == TurnedAway:
					end(balancer.Rejected)
				case reply == Broken && down:
					end(balancer.ConnectFailed)
				case reply == Broken:
					end(balancer.Reset)
				default:
					end(balancer.OK)
				}
			}))
		})
	}))
}

// probed is what a probe of the server is answered.
func (b *Backend) probed() (balancer.Status, time.Duration) {
	switch {
	case b.silent || b.clock.Time() < b.paused:
		return balancer.Timeout, 0
	case b.down:
		return balancer.ConnectFailed, time.Millisecond
	}
	return balancer.OK, time.Millisecond
}

func (d *Door) end(id uint64, r *Request, a Answer) {
	if r != nil && !r.left {
		r.left = true
		if d.Done != nil {
			d.Done(r, a)
		}
	}
}

func (d *Door) forget(id uint64, r *Request) {
	if r != nil && r.left && len(r.ends) == 0 {
		delete(d.open, id)
	}
}

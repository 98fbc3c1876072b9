// Package front is the real front door round the decision module: it carries events from sockets to a
// snowhall.Door and the Door's actions back to sockets. It decides nothing itself.
package front

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"snowhall"
)

const (
	acceptAfterTerm = 500 * time.Millisecond // new connections are still taken this long after SIGTERM
	answerMargin    = 100 * time.Millisecond // beyond the longest deadline, for the last answers on their way
	sweepEvery      = time.Second
)

// Front is one front door. Its loop goroutine alone owns the Door, the requests, the attempts and the timers;
// the goroutines that read and write sockets hand it tasks.
type Front struct {
	cfg    *Config
	log    *slog.Logger
	door   *snowhall.Door
	begun  time.Time
	tasks  chan func()
	done   chan struct{}
	events []snowhall.Event // for the next Step
	ready  atomic.Bool      // a backend in service has been known, so requests can be served
	timers timers

	requests  map[uint64]*request
	open      map[string]bool // the clients' ids of requests without a final answer
	lastID    uint64
	clients   *clients
	backends  *backends
	counter   *counter
	discovery *discovery
}

// request is a client's request until its final answer is given and its attempts have ended.
type request struct {
	id       uint64
	ask      *ask
	due      time.Duration // when the client gives up
	overdue  *timer
	attempts []*attempt
	open     int // attempts without an outcome
	ended    bool
}

// New makes a front door. It takes no connection before Run.
func New(cfg *Config, log *slog.Logger) (*Front, error) {
	door, err := snowhall.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f := &Front{cfg: cfg, log: log, door: door, begun: time.Now(), tasks: make(chan func(), 1024),
		done: make(chan struct{}), requests: map[uint64]*request{}, open: map[string]bool{}}
	f.backends = newBackends(f)
	f.counter = newCounter(f)
	f.discovery = newDiscovery(f)
	f.clients = newClients(f)
	return f, nil
}

// now is the module's clock: the Unix time at the start and what has passed since. All front doors must read
// about the same, as they name the counter's numbers by it; and it must not go back.
func (f *Front) now() time.Duration {
	return time.Duration(f.begun.UnixNano()) + time.Since(f.begun)
}

// post hands the loop a task.
func (f *Front) post(task func()) {
	select {
	case f.tasks <- task:
	case <-f.done:
	}
}

// tell keeps an event for the next Step.
func (f *Front) tell(ev snowhall.Event) { f.events = append(f.events, ev) }

// Run serves what connects to the listener until the context ends, then answers what was taken and returns.
func (f *Front) Run(ctx context.Context, ln net.Listener) {
	defer close(f.done)
	defer ln.Close()
	f.take(f.cfg.Known, snowhall.Cached)
	f.step() // from here on it is able to serve
	f.discovery.follow(f.discovery.addr)
	defer func() { f.discovery.stop() }()
	go f.clients.accept(ln)
	f.log.Info("serving", "listen", ln.Addr(), "backends", len(f.cfg.Known.Endpoints))
	f.every(sweepEvery, func() {
		f.backends.sweep()
		f.counter.sweep()
	})
	f.loop(ctx, ln)
}

// Reload moves to other addresses of discovery and the counter, from any goroutine.
func (f *Front) Reload(discovery, counter string) {
	f.post(func() {
		if discovery != f.discovery.addr {
			f.discovery.follow(discovery)
		}
		if counter != f.counter.addr {
			f.counter.move(counter)
		}
		f.log.Info("configuration read again", "discovery", discovery, "counter", counter)
	})
}

// loop runs tasks, due timers and Steps until a shutdown is complete.
func (f *Front) loop(ctx context.Context, ln net.Listener) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	term := ctx.Done()
	var finish, give time.Duration // on the loop's clock; 0: not shutting down
	for {
		wait := f.timers.next(f.now())
		if finish > 0 {
			wait = min(wait, 10*time.Millisecond)
		}
		alarm.Reset(wait)
		select {
		case task := <-f.tasks:
			task()
		case <-alarm.C:
		case <-term:
			term = nil
			f.log.Info("ending")
			finish = f.now() + acceptAfterTerm
			give = finish + f.longest() + answerMargin
		}
		for range len(f.tasks) { // all that is there goes into one Step
			(<-f.tasks)()
		}
		f.timers.run(f.now())
		f.step()
		if now := f.now(); finish > 0 && now >= finish {
			ln.Close()
			if f.clients.drain() || now >= give {
				f.log.Info("ended", "unanswered", len(f.requests))
				return
			}
		}
	}
}

// longest is the longest time that a client waits.
func (f *Front) longest() time.Duration {
	most := time.Duration(0)
	for _, c := range f.cfg.Settings.Classes {
		most = max(most, c.GiveUp)
	}
	return most
}

// step gives the Door what has happened and carries out what it wants, in order. An action may end at once and
// so bring the next event.
func (f *Front) step() {
	for len(f.events) > 0 {
		events := f.events
		f.events = nil
		for _, a := range f.door.Step(f.now(), events) {
			f.act(a)
		}
	}
}

func (f *Front) act(a snowhall.Action) {
	switch a := a.(type) {
	case snowhall.Send:
		if r := f.requests[a.ID]; r != nil {
			f.send(r, a)
		}
	case snowhall.Cancel:
		if r := f.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			f.backends.cancel(r.attempts[a.Attempt])
		}
	case snowhall.Refuse:
		f.answer(f.requests[a.ID], busyAnswer(a.Pause))
	case snowhall.Fail:
		f.answer(f.requests[a.ID], []byte("-ERR failed\r\n"))
	case snowhall.Probe:
		f.backends.probe(a.Backend)
	case snowhall.Count:
		f.counter.add(a)
	case snowhall.SetTimer:
		f.timers.add(a.At, func() { f.tell(snowhall.Timer{Cookie: a.Cookie}) })
	case snowhall.Watch, snowhall.Fetch:
		go f.discovery.fetch(f.discovery.addr)
	case snowhall.Log:
		f.log.Info(a.Text)
	}
}

// busyAnswer is a refusal, with the time to stay away in whole milliseconds.
func busyAnswer(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// arrived takes a request in.
func (f *Front) arrived(a *ask) {
	if most := f.cfg.Transport.MostOpen; most > 0 && len(f.requests) >= most {
		a.conn.answer(a.slot, busyAnswer(0))
		return
	}
	id := string(a.args[2])
	if f.open[id] { // not to be told what another request is answered
		a.conn.answer(a.slot, []byte("-ERR the id is that of an open request\r\n"))
		return
	}
	f.open[id] = true
	f.lastID++
	r := &request{id: f.lastID, ask: a, due: a.at + a.wait}
	a.id = r.id
	f.requests[r.id] = r
	// The module answers in time by its own timers. Should it not, the client still hears back in time.
	r.overdue = f.timers.add(r.due, func() {
		f.log.Error("the module left a request unanswered", "id", r.id)
		f.leave(r)
		f.tell(snowhall.Gone{ID: r.id})
		a.conn.answer(a.slot, []byte("-ERR no answer in time\r\n"))
	})
	f.tell(snowhall.Request{ID: r.id, Class: a.class, Plan: a.plan, Customer: a.customer,
		Left: max(0, r.due-f.now()), Units: a.units, Doors: a.spread, Retry: a.retry})
}

// gone ends the request of a client that has left.
func (f *Front) gone(a *ask) {
	if r := f.requests[a.id]; r != nil && !r.ended {
		f.leave(r)
		f.tell(snowhall.Gone{ID: r.id})
	}
}

// answer gives a request its final answer, once.
func (f *Front) answer(r *request, line []byte) {
	if r == nil || r.ended {
		return
	}
	f.leave(r)
	r.ask.conn.answer(r.ask.slot, line)
}

// leave ends a request. Nothing may go out for it any more, so attempts still out are called off.
func (f *Front) leave(r *request) {
	r.ended = true
	delete(f.open, string(r.ask.args[2]))
	f.timers.stop(r.overdue)
	for _, a := range r.attempts {
		f.backends.cancel(a)
	}
	f.forget(r)
}

func (f *Front) forget(r *request) {
	if r.ended && r.open == 0 {
		delete(f.requests, r.id)
	}
}

// send starts an attempt.
func (f *Front) send(r *request, s snowhall.Send) {
	now := f.now()
	a := &attempt{r: r, no: len(r.attempts), backend: s.Backend, at: now, until: r.due}
	if s.Timeout > 0 {
		a.until = min(a.until, now+s.Timeout)
	}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.ended || a.until <= now || r.open > 1 && !f.cfg.Settings.SecondCopies {
		f.ended(a, snowhall.Moot, 0)
		return
	}
	f.backends.send(a)
}

// ended gives the one outcome of an attempt.
func (f *Front) ended(a *attempt, status snowhall.Status, used int) {
	if a.ended {
		return
	}
	a.ended = true
	f.timers.stop(a.timeout)
	a.r.open--
	f.tell(snowhall.Outcome{ID: a.r.id, Attempt: a.no, Backend: a.backend, Status: status,
		Latency: f.now() - a.at, Closed: a.r.ended, Used: used})
	f.forget(a.r)
}

// timer is a task for later.
type timer struct {
	at   time.Duration
	do   func()
	spot int // in the heap; -1: no longer there
}

// timers is a heap of all that is due at some time.
type timers struct{ heap timerHeap }

func (t *timers) add(at time.Duration, do func()) *timer {
	e := &timer{at: at, do: do}
	heap.Push(&t.heap, e)
	return e
}

// stop takes a timer back; nil or one that has run is passed over.
func (t *timers) stop(e *timer) {
	if e != nil && e.spot >= 0 {
		heap.Remove(&t.heap, e.spot)
	}
}

// next is the time until the first timer.
func (t *timers) next(now time.Duration) time.Duration {
	if len(t.heap) == 0 {
		return time.Hour
	}
	return max(0, t.heap[0].at-now)
}

// run runs the timers that are due.
func (t *timers) run(now time.Duration) {
	for len(t.heap) > 0 && t.heap[0].at <= now {
		heap.Pop(&t.heap).(*timer).do()
	}
}

// every runs a task again and again.
func (f *Front) every(pause time.Duration, do func()) {
	f.timers.add(f.now()+pause, func() {
		do()
		f.every(pause, do)
	})
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].spot, h[j].spot = i, j
}
func (h *timerHeap) Push(e any) {
	e.(*timer).spot = len(*h)
	*h = append(*h, e.(*timer))
}
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.spot = -1
	return e
}

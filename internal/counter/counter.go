// Package counter calls the platform's quota counter, a service that adds to named numbers over lines of text.
package counter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/trace"
)

const (
	conns       = 4               // a name always goes by the same one: answers for a name come in order
	idleMost    = 3 * time.Second // the counter closes an idle connection after 10 s or less
	silenceMost = 2 * time.Second // a connection that owes answers for so long is given up
	owedMost    = 1024            // calls of one connection whose answers are still to come
	lineMost    = 256             // bytes of an answer
	movedMost   = 2 * time.Second // at an old address answers are awaited no longer
)

// Config says where the counter is.
type Config struct {
	Addr        string        // host:port
	Enabled     bool          // else every call ends at once as ConnectFailed
	Cut         func() bool   // as long as it says so every call ends likewise; nil: never
	Space       string        // names of one space are apart from those of another; empty: as the module makes them
	Timeout     time.Duration // a call with no answer by then ends as Timeout
	DialTimeout time.Duration
	// Late is told by the loop goroutine of calls that have ended as Timeout and were added after all; nil: nobody is.
	Late  func(balancer.LateCounterResult)
	Trace *trace.Log
}

// Counter calls the quota counter. The calls of one name go by one connection, one behind another. The loop owns it.
type Counter struct {
	l     *eventloop.Loop
	cfg   Config
	sink  func(balancer.CounterResult)
	addr  string
	lines [conns]*line
	space uint64
	open  map[uint64][]*call // not yet told of, by name in the order of the calls
}

// line is a place for a connection to the counter, and the calls that go by it. The loop owns it.
type line struct {
	c     *Counter
	l     *eventloop.Loop
	addr  string
	nc    net.Conn // nil: none yet
	dials bool
	left  bool    // the counter is at another address now
	epoch int     // of the connection: what an older one still reports is passed over
	calls []*call // in the order of their answers, those given up on too
	wire  chan []byte
	used  time.Duration // when a call or an answer last went by
	owed  time.Duration // since when an answer is owed
}

// call is one add whose answer is still to come.
type call struct {
	name    uint64
	ticket  uint64
	at      time.Duration
	line    *line
	text    []byte
	written bool // it may have reached the counter
	ended   bool
	result  balancer.CounterResult // once it has ended
	timeout *eventloop.Timer
}

// New makes a counter. The sink is told the one answer of each call, by the loop goroutine.
func New(l *eventloop.Loop, cfg Config, sink func(balancer.CounterResult)) *Counter {
	c := &Counter{l: l, cfg: cfg, sink: sink, open: map[uint64][]*call{}}
	if cfg.Space != "" {
		h := fnv.New64a()
		h.Write([]byte(cfg.Space))
		c.space = h.Sum64() >> 1 // within the 63 bits of the module's names
	}
	c.Move(cfg.Addr)
	return c
}

// Addr is where the calls go.
func (c *Counter) Addr() string { return c.addr }

// Close ends all connections.
func (c *Counter) Close() {
	for _, l := range c.lines {
		l.left = true
		l.close()
	}
}

// Move takes further calls, and those not yet written, to another address. What is owed by the old one may
// still come.
func (c *Counter) Move(addr string) {
	c.addr = addr
	now := c.l.Now()
	for i, old := range c.lines {
		l := &line{c: c, l: c.l, addr: addr, used: now, owed: now}
		c.lines[i] = l
		if old == nil {
			continue
		}
		kept := 0
		for kept < len(old.calls) && old.calls[kept].written { // those written come first
			kept++
		}
		l.calls, old.calls = slices.Clone(old.calls[kept:]), old.calls[:kept]
		for _, k := range l.calls {
			k.line = l
		}
		old.left = true
		if len(old.calls) == 0 {
			old.close()
		} else {
			c.l.At(now+movedMost, func() { old.broke(old.epoch) })
		}
		if len(l.calls) > 0 {
			l.flush()
		}
	}
}

// Add makes a call.
func (c *Counter) Add(a balancer.CounterAdd) {
	l := c.lines[a.Name%conns]
	k := &call{name: a.Name, ticket: a.Ticket, at: c.l.Now(), line: l}
	c.open[k.name] = append(c.open[k.name], k)
	if !c.cfg.Enabled || c.cfg.Cut != nil && c.cfg.Cut() || len(l.calls) >= owedMost {
		l.end(k, balancer.ConnectFailed, 0)
		return
	}
	k.text = fmt.Appendf(nil, "add %d %s %d\r\n", a.Name^c.space, strconv.FormatFloat(a.Amount, 'f', -1, 64),
		max(1, a.TTL.Milliseconds()))
	now := c.l.Now()
	if len(l.calls) == 0 {
		l.owed = now
	}
	l.calls = append(l.calls, k)
	l.used = now
	k.timeout = c.l.At(now+c.cfg.Timeout, func() { k.line.giveUp(k) })
	l.flush()
}

// giveUp ends a call with no answer. One that has not been written is taken out, as it must not be written
// any more; for the others the place among the answers is kept.
func (l *line) giveUp(k *call) {
	if k.written {
		l.end(k, balancer.Timeout, 0)
		return
	}
	for i, o := range l.calls {
		if o == k {
			l.calls = append(l.calls[:i], l.calls[i+1:]...)
			break
		}
	}
	l.end(k, balancer.ConnectFailed, 0)
}

// end gives the one answer to a call, once those for the calls of its name before it are given: after a move
// two connections may owe answers for one name.
func (l *line) end(k *call, status balancer.Status, total float64) {
	if k.ended {
		return
	}
	k.ended = true
	if l.c.cfg.Trace.On() {
		l.c.cfg.Trace.Line("count", "line=%d status=%d took=%.1f written=%t", k.name%conns, status, trace.MS(l.l.Now()-k.at), k.written)
	}
	k.result = balancer.CounterResult{Name: k.name, Status: status, Total: total}
	k.timeout.Stop()
	open := l.c.open
	all := open[k.name]
	for len(all) > 0 && all[0].ended {
		l.c.sink(all[0].result)
		all = all[1:]
	}
	if open[k.name] = all; len(all) == 0 {
		delete(open, k.name)
	}
}

// flush writes the calls that are not written yet, or dials first.
func (l *line) flush() {
	if l.nc == nil {
		if !l.dials && !l.left {
			l.dials = true
			go l.dial(l.addr)
		}
		return
	}
	var b []byte
	for _, k := range l.calls {
		if !k.written {
			b = append(b, k.text...)
			k.written = true
		}
	}
	if len(b) == 0 {
		return
	}
	select {
	case l.wire <- b:
	default: // the counter takes nothing any more
		l.broke(l.epoch)
	}
}

// dial connects. It gives up when the calls that wait for it have.
func (l *line) dial(addr string) {
	nc, err := net.DialTimeout("tcp", addr, l.c.cfg.DialTimeout)
	l.l.Post(func() {
		l.dials = false
		l.c.cfg.Trace.Line("countdial", "ok=%t", err == nil)
		if l.left { // the calls have moved
			if err == nil {
				nc.Close()
			}
			return
		}
		if err != nil {
			l.broke(l.epoch)
			return
		}
		l.epoch++
		l.nc, l.wire = nc, make(chan []byte, 64)
		go l.write(nc, l.wire, l.epoch)
		go l.read(nc, l.epoch)
		l.flush()
	})
}

// write writes calls until the channel is closed.
func (l *line) write(nc net.Conn, wire <-chan []byte, epoch int) {
	for b := range wire {
		nc.SetWriteDeadline(time.Now().Add(silenceMost))
		if _, err := nc.Write(b); err != nil {
			l.l.Post(func() { l.broke(epoch) })
			return
		}
	}
}

// read reads answers until the connection ends or one makes no sense.
func (l *line) read(nc net.Conn, epoch int) {
	in := bufio.NewReaderSize(nc, lineMost)
	for {
		text, err := in.ReadSlice('\n')
		if err == nil {
			var status balancer.Status
			var total float64
			if status, total, err = readCount(text); err == nil {
				l.l.Post(func() { l.answered(epoch, status, total) })
			}
		} else if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, io.EOF) && len(text) > 0 {
			err = errSpoilt // an answer without end, or half of one
		}
		if errors.Is(err, errSpoilt) { // the counter has had its turn with the first call, and says so unreadably
			l.l.Post(func() {
				l.answered(epoch, balancer.Failed, 0)
				l.broke(epoch)
			})
			return
		}
		if err != nil {
			l.l.Post(func() { l.broke(epoch) })
			return
		}
	}
}

var errSpoilt = errors.New("counter: an answer that can't be read")

// readCount reads one answer.
func readCount(text []byte) (balancer.Status, float64, error) {
	text = bytes.TrimRight(text, "\r\n")
	if v, ok := bytes.CutPrefix(text, []byte("ok ")); ok {
		total, err := strconv.ParseFloat(string(v), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return 0, 0, fmt.Errorf("%w: total %.40q", errSpoilt, v)
		}
		return balancer.OK, total, nil
	}
	switch string(text) {
	case "busy", "error":
		return balancer.Rejected, 0, nil
	}
	return 0, 0, fmt.Errorf("%w: %.40q", errSpoilt, text)
}

// answered takes the answer to the call that is first in line.
func (l *line) answered(epoch int, status balancer.Status, total float64) {
	if epoch != l.epoch || l.nc == nil {
		return
	}
	if len(l.calls) == 0 || !l.calls[0].written { // an answer to nothing
		l.broke(epoch)
		return
	}
	k := l.calls[0]
	l.calls[0] = nil
	l.calls = l.calls[1:]
	l.used = l.l.Now()
	l.owed = l.used
	if late := l.c.cfg.Late; k.ended && k.ticket != 0 && late != nil && (status == balancer.OK || status == balancer.Failed) {
		late(balancer.LateCounterResult{Ticket: k.ticket, Status: status, Total: total})
	}
	l.end(k, status, total)
	if l.left && len(l.calls) == 0 {
		l.close()
	}
}

// broke ends a connection, or the try to get one, and what waits for it.
func (l *line) broke(epoch int) {
	if epoch != l.epoch {
		return
	}
	l.close()
	calls := l.calls
	l.calls = nil
	for _, k := range calls {
		if k.written {
			l.end(k, balancer.Timeout, 0)
		} else {
			l.end(k, balancer.ConnectFailed, 0)
		}
	}
}

func (l *line) close() {
	l.epoch++
	if l.nc != nil {
		l.nc.Close()
		close(l.wire)
		l.nc, l.wire = nil, nil
	}
}

// Sweep closes connections that are idle, before the counter does, and those that have fallen silent.
func (c *Counter) Sweep() {
	now := c.l.Now()
	for _, l := range c.lines {
		switch {
		case l.nc == nil:
		case len(l.calls) == 0 && now-l.used >= idleMost:
			l.close()
		case len(l.calls) > 0 && l.calls[0].written && now-l.owed >= silenceMost:
			l.broke(l.epoch)
		}
	}
}

// Package upstream holds the connections to backends and carries attempts and probes on them, one a connection at a
// time. It decides nothing: which backend, when and how often is the module's.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/resp"
	"gapgap/internal/socket"
	"gapgap/internal/trace"
)

const (
	idleShare    = 0.6                    // of the time after which a backend closes an idle connection: closed here before
	mostLong     = 4 << 20                // bytes of an answer's value; from resp.MostValue on it is passed on as it comes
	longBuffer   = 32 << 10               // ... by so many at most at a time,
	longLeast    = 4 << 10                // or so many, where the budget for them is used up
	longStalled  = 5 * time.Second        // a long value that has begun and then stops for so long is given up: the default
	stalledAfter = 250 * time.Millisecond // an answer that has begun and then stops for so long has a wrong length
)

// Attempt is one try of a request at a backend. The loop owns it.
type Attempt struct {
	Backend string
	At      time.Duration // when it was sent, on the loop's clock
	Until   time.Duration // when it ends as Timeout
	By      time.Duration // when its last byte is to be written, or it ends unsent; 0: there is no such time
	Owner   Owner
	timeout *eventloop.Timer
	late    *eventloop.Timer // at By
	conn    *conn
	ended   bool
	first   time.Duration // when a long value began to come; 0: none has
}

// Owner is what an attempt is made for. The loop goroutine calls it.
type Owner interface {
	// Command is the whole command for the backend, which tells it how long this side will wait; nil: nobody waits any more, and
	// the attempt has been cancelled.
	Command(wait time.Duration) []byte
	// Begun says that a long value of so many bytes comes, which is to be passed on piece by piece; nil: nobody wants it.
	Begun(size int) Sink
	// Ended takes the one outcome of the attempt.
	Ended(Result)
}

// Sink takes a long value, as a bulk string with its head and its end of line. Write waits until the piece is taken. One
// goroutine calls it, which is not the loop's.
type Sink interface{ Write([]byte) error }

// Result is the outcome of an attempt.
type Result struct {
	Status balancer.Status
	Value  []byte // with OK: the value as a RESP2 bulk string; nil: the Sink has it
	Used   int    // 1 + percent of the quota used; 0: not told
}

// End ends an attempt that Send has not been given.
func (a *Attempt) End(status balancer.Status) { a.end(Result{Status: status}) }

func (a *Attempt) end(r Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.timeout.Stop()
	a.late.Stop()
	a.Owner.Ended(r)
}

// Config bounds the connections.
type Config struct {
	Most        int           // connections at once
	DialTimeout time.Duration // for a connection to come up
	Idle        time.Duration // backends close a connection that has been idle for this long; 0: never

	Trace *trace.Log
	// Written is told of each attempt whose last byte is written, by any goroutine; nil: nobody asks.
	Written func(uint64) uint64
	Stall   time.Duration            // a long value that stops for so long is given up; 0: 5 s
	Values  *resourcelimit.Bytes     // for what long answers hold while they come in; nil: unbounded
	Places  *resourcelimit.Allotment // of the connections that a process with several pools may have; nil: Most alone holds
	// Cap joins a server's bound on connections, which pools share; nil: none is known.
	Cap func(addr string) *resourcelimit.EndpointLimit
}

// backend is what is known of one backend's address, and its connections.
type backend struct {
	name, addr string
	started    time.Duration
	era        int  // of its address and start
	listed     bool // in service, and not held
	told       bool // in service, by the list
	conns      map[*conn]bool
	idle       []*conn // the one used last at the end
	heard      time.Duration
	cap        *resourcelimit.EndpointLimit // nil: none is known
}

// conn is a connection to a backend. It carries one thing at a time, an attempt or a probe, and is closed when
// that is given up: so it never has an answer owed when it is used again. The loop owns it but for what is atomic.
type conn struct {
	p       *Pool
	b       *backend
	nc      net.Conn // nil while it is being dialled
	dial    context.CancelFunc
	attempt *Attempt
	probe   *probe
	closed  bool
	era     int // of the backend when it was dialled
	cap     *resourcelimit.EndpointLimit
	idleAt  time.Duration
	sent    atomic.Int32 // how far the command is that was last given to it
	broken  atomic.Bool  // its reader has ended
	spoilt  atomic.Bool  // ... since what came is no answer
	// unwanted: ... or since nobody takes what comes.
	unwanted atomic.Bool
	asked    atomic.Int32 // commands given to it
	in       *resp.Reader // the reader's
	got      int32        // the reader's: answers read
	timed    bool         // the reader's: a read deadline is set
	long     bool         // the reader's: a long value comes in
}

// States of conn.sent.
const (
	unsent  int32 = iota
	sending       // a part may have gone out
	whole         // all bytes are written
	cut           // the connection broke before
)

type probe struct {
	backend string
	timeout *eventloop.Timer
}

// Pool holds the connections to all backends. The loop owns it.
type Pool struct {
	l      *eventloop.Loop
	cfg    Config
	probes func(balancer.HealthCheckResult)
	all    map[string]*backend
	held   map[string]bool // backends that nothing may be sent to, whatever the list says
	count  int             // connections, those being dialled too
}

// New makes an empty pool. The results of probes go to the function, by the loop goroutine.
func New(l *eventloop.Loop, cfg Config, probes func(balancer.HealthCheckResult)) *Pool {
	return &Pool{l: l, cfg: cfg, probes: probes, all: map[string]*backend{}, held: map[string]bool{}}
}

// Close ends all connections.
func (bs *Pool) Close() {
	for _, b := range bs.all {
		for c := range b.conns {
			bs.close(c)
		}
		b.idle = nil
		if b.cap != nil {
			b.cap.Leave()
		}
	}
}

// UpdateEndpoint takes what the list says of one backend.
func (bs *Pool) UpdateEndpoint(e balancer.Endpoint, addr string) {
	b := bs.all[e.Name]
	if b == nil {
		b = &backend{name: e.Name, conns: map[*conn]bool{}}
		bs.all[e.Name] = b
	}
	if b.addr != addr || b.started != e.StartedAt { // another process: no old connection leads to it
		b.addr, b.started = addr, e.StartedAt
		b.era++ // what is busy is closed with its answer
		if b.cap != nil {
			b.cap.Leave()
		}
		if bs.cfg.Cap != nil {
			b.cap = bs.cfg.Cap(addr)
		}
		bs.closeIdle(b, bs.l.Now())
		bs.dropDialled(b)
	}
	b.told = e.State == balancer.Serving
	if b.listed = b.told && !bs.held[e.Name]; !b.listed {
		bs.retire(b)
	}
}

// SetMaxConnections bounds the connections from now on. Those that there are beyond it end as they are given up.
func (bs *Pool) SetMaxConnections(n int) { bs.cfg.Most = n }

// Hold keeps all from a backend that is not yet written, whatever the list says, or lets it through again. Nothing waits for a
// connection to it any more when Hold returns.
func (bs *Pool) Hold(name string, on bool) {
	b := bs.all[name]
	if !on {
		delete(bs.held, name)
		if b != nil {
			b.listed = b.told
		}
		return
	}
	bs.held[name] = true
	if b != nil {
		b.listed = false
		bs.retire(b)
	}
}

// KeepOnly retires the backends that a whole list leaves out.
func (bs *Pool) KeepOnly(list []endpoint.Entry) {
	named := map[string]bool{}
	for _, e := range list {
		named[e.Name] = true
	}
	for _, b := range bs.all {
		if !named[b.name] {
			b.listed, b.told = false, false
			bs.retire(b)
		}
	}
}

// retire sees to it that nothing new reaches a backend that drains or is gone. An attempt that still waits for
// its connection would be written when that comes up, perhaps after the grace: it is taken back unsent.
func (bs *Pool) retire(b *backend) {
	bs.closeIdle(b, bs.l.Now())
	bs.dropDialled(b)
	bs.forget(b)
}

// dropDialled takes back what waits for a connection.
func (bs *Pool) dropDialled(b *backend) {
	for c := range b.conns {
		if c.nc == nil {
			bs.drop(c, balancer.NotSent)
		}
	}
}

func (bs *Pool) forget(b *backend) {
	if !b.told && len(b.conns) == 0 {
		if bs.all[b.name] == b { // else it has come back, and what ends here is a connection of before
			delete(bs.all, b.name)
		}
		if b.cap != nil {
			b.cap.Leave()
			b.cap = nil
		}
	}
}

// notIdle takes a connection out of those that wait to be used.
func (b *backend) notIdle(c *conn) {
	b.idle = slices.DeleteFunc(b.idle, func(o *conn) bool { return o == c })
}

// closeIdle closes the idle connections of a backend that have not been used since a time.
func (bs *Pool) closeIdle(b *backend, since time.Duration) {
	kept := b.idle[:0]
	for _, c := range b.idle {
		if c.idleAt > since {
			kept = append(kept, c)
			continue
		}
		bs.close(c)
	}
	clear(b.idle[len(kept):])
	b.idle = kept
}

// Sweep closes what has been idle for long.
func (bs *Pool) Sweep() {
	if idle := bs.cfg.Idle; idle > 0 {
		since := bs.l.Now() - time.Duration(float64(idle)*idleShare)
		for _, b := range bs.all {
			bs.closeIdle(b, since)
		}
	}
}

// close ends a connection that carries nothing, or whose load has been taken off.
func (bs *Pool) close(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	bs.count--
	if bs.cfg.Places != nil {
		bs.cfg.Places.Give(1)
	}
	if c.cap != nil {
		c.cap.Give(1)
	}
	delete(c.b.conns, c)
	if c.nc != nil {
		c.nc.Close()
	}
	c.dial()
}

// drop closes a connection and ends what it carried.
func (bs *Pool) drop(c *conn, status balancer.Status) {
	a, p := c.attempt, c.probe
	c.attempt, c.probe = nil, nil
	bs.close(c) // first: the next attempt must not go out while this one still can be answered
	if a != nil {
		a.end(Result{Status: status})
	}
	if p != nil {
		bs.probed(p, status)
	}
	bs.forget(c.b)
}

// Send starts an attempt, on the warm connection used last if there is one: a new one costs the backend work.
func (bs *Pool) Send(a *Attempt) {
	b := bs.all[a.Backend]
	if b == nil || !b.listed {
		a.End(balancer.NotSent)
		return
	}
	c := bs.take(b)
	if c == nil {
		a.End(balancer.NotSent) // for want of sockets here, which is no fault of the backend
		return
	}
	c.attempt, a.conn = a, c
	a.timeout = bs.l.At(a.Until, func() {
		status := balancer.Timeout
		if c.sent.Load() == unsent { // still dialling: it never ran
			status = balancer.ConnectFailed
		}
		bs.silent(b, a.At)
		bs.drop(c, status)
	})
	if a.By > 0 {
		a.late = bs.l.At(a.By, func() { bs.tooLate(c) })
	}
	if c.nc != nil {
		c.start()
	}
}

// tooLate takes an attempt back that is not written whole when it should be. With a part of it out, the rest may be too.
func (bs *Pool) tooLate(c *conn) {
	switch c.sent.Load() {
	case unsent:
		bs.drop(c, balancer.NotSent)
	case sending:
		bs.drop(c, balancer.Reset)
	}
}

// silent is called when no answer came in time. If the backend has said nothing at all since the command was
// sent, its machine may be gone, and the connections that idle since then with it: they would stay open and
// silent, so the next attempts must find out by new ones.
func (bs *Pool) silent(b *backend, since time.Duration) {
	if b.heard < since {
		bs.closeIdle(b, since)
	}
}

// take returns an idle connection or starts to dial one; nil where no socket is left.
func (bs *Pool) take(b *backend) *conn {
	for n := len(b.idle); n > 0; n = len(b.idle) {
		c := b.idle[n-1]
		b.idle[n-1] = nil
		b.idle = b.idle[:n-1]
		// What came since the last answer would be taken for the next one, and a connection that has ended would
		// leave it open whether the command has run.
		if c.broken.Load() || !socket.IsQuiet(c.nc) {
			bs.close(c)
			continue
		}
		c.sent.Store(unsent)
		return c
	}
	if !bs.room(b) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), bs.cfg.DialTimeout)
	c := &conn{p: bs, b: b, era: b.era, dial: cancel, cap: b.cap}
	bs.count++
	b.conns[c] = true
	go c.run(ctx, b.addr)
	return c
}

// room takes a place for a new connection, closing idle ones of this pool for it where places are short.
func (bs *Pool) room(b *backend) bool {
	if bs.count >= bs.cfg.Most && !bs.closeOldest() {
		return false
	}
	if b.cap != nil && !b.cap.Take(1) {
		return false // no connection to it is idle here, or this one would be on that
	}
	for bs.cfg.Places != nil && !bs.cfg.Places.Take(1) {
		if !bs.closeOldest() {
			if b.cap != nil {
				b.cap.Give(1)
			}
			return false
		}
	}
	return true
}

// CloseIdle closes up to so many idle connections, those that have been idle longest, for other pools that want the places;
// with an address only those to that server.
func (bs *Pool) CloseIdle(n int64, addr string) {
	for ; n > 0; n-- {
		if addr == "" {
			if !bs.closeOldest() {
				return
			}
			continue
		}
		for _, b := range bs.all {
			if b.addr == addr && len(b.idle) > 0 {
				oldest := b.idle[0]
				b.idle = b.idle[1:]
				bs.close(oldest)
				break
			}
		}
	}
}

// closeOldest makes room for a new connection.
func (bs *Pool) closeOldest() bool {
	var oldest *conn
	for _, b := range bs.all {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt < oldest.idleAt) {
			oldest = b.idle[0]
		}
	}
	if oldest != nil {
		oldest.b.idle = oldest.b.idle[1:]
		bs.close(oldest)
	}
	return oldest != nil
}

// Cancel gives up an attempt.
func (bs *Pool) Cancel(a *Attempt) {
	if a.ended || a.conn == nil {
		return
	}
	status := balancer.Cancelled
	if a.conn.sent.Load() == unsent {
		status = balancer.NotSent
	}
	bs.drop(a.conn, status)
}

// HealthCheck asks a backend whether it answers.
func (bs *Pool) HealthCheck(name string) {
	p := &probe{backend: name}
	b := bs.all[name]
	if b == nil || !b.listed {
		bs.probed(p, balancer.NotSent)
		return
	}
	bs.closeIdle(b, bs.l.Now()) // a probe is to tell whether the backend can be reached anew
	c := bs.take(b)
	if c == nil {
		bs.probed(p, balancer.NotSent)
		return
	}
	c.probe = p
	p.timeout = bs.l.At(bs.l.Now()+2*bs.cfg.DialTimeout, func() { bs.drop(c, balancer.Timeout) })
}

func (bs *Pool) probed(p *probe, status balancer.Status) {
	p.timeout.Stop()
	bs.probes(balancer.HealthCheckResult{Endpoint: p.backend, Status: status})
}

// run dials and then reads answers until the connection ends.
func (c *conn) run(ctx context.Context, addr string) {
	began := c.p.l.Now()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if c.p.cfg.Trace.On() {
		c.p.l.Post(func() {
			c.p.cfg.Trace.Line("dial", "to=%s ok=%t took=%.1f held=%d closed=%t", c.b.name, err == nil, trace.MS(c.p.l.Now()-began), c.p.count, c.closed)
		})
	}
	if err != nil {
		c.p.l.Post(func() { c.p.drop(c, balancer.ConnectFailed) })
		return
	}
	c.p.l.Post(func() {
		if c.closed { // given up meanwhile: nothing may be written any more
			nc.Close()
			return
		}
		c.nc = nc
		c.start()
	})
	c.in = &resp.Reader{From: reader{c, nc}, Longer: mostLong, Memory: c.p.cfg.Values}
	defer c.in.Release()
	for {
		m, err := c.in.Next()
		var r reply
		switch {
		case errors.Is(err, resp.ErrLong):
			r, err = c.pass()
		case err == nil:
			r = readReply(m)
		}
		if err != nil {
			c.spoilt.Store(errors.Is(err, resp.ErrMalformed) || errors.Is(err, errUnasked) ||
				errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, resp.ErrNoMemory))
			nc.Close()
			if c.broken.Store(true); c.sent.Load() != sending { // else write posts it, knowing how far it got
				c.p.l.Post(c.ended)
			}
			return
		}
		c.got++
		r.surplus = r.surplus || c.in.Partial()
		c.p.l.Post(func() { c.p.answered(c, r) })
	}
}

var errUnasked = errors.New("an answer to no command")

// reader reads from a backend's socket for the resp.Reader. It takes nothing while no answer is owed: that would be
// found in front of the next answer. And an answer that has begun must go on.
type reader struct {
	c  *conn
	nc net.Conn
}

func (r reader) Read(b []byte) (int, error) {
	c := r.c
	if c.long {
		r.nc.SetReadDeadline(time.Now().Add(cmp.Or(c.p.cfg.Stall, longStalled)))
		c.timed = true
	} else if c.in.Partial() {
		r.nc.SetReadDeadline(time.Now().Add(stalledAfter))
		c.timed = true
	} else if c.timed {
		r.nc.SetReadDeadline(time.Time{})
		c.timed = false
	}
	n, err := r.nc.Read(b)
	if n > 0 && c.asked.Load() == c.got {
		return 0, errUnasked
	}
	return n, err
}

// start writes what the connection carries, by a goroutine of its own: a backend that takes nothing must not
// hold up the loop. The loop closes the connection when the time is up.
func (c *conn) start() {
	var b []byte
	attempt := c.attempt != nil
	switch {
	case attempt && c.attempt.By > 0 && c.p.l.Now() >= c.attempt.By:
		c.p.tooLate(c)
		return
	case attempt:
		if b = c.attempt.Owner.Command(c.attempt.Until - c.p.l.Now()); b == nil {
			return
		}
	case c.probe != nil:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	default:
		return
	}
	c.asked.Add(1)
	c.sent.Store(sending)
	n, err := socket.WriteNow(c.nc, b)
	if n == len(b) || err != nil {
		c.wrote(attempt, err)
		return
	}
	nc := c.nc
	go func() {
		_, err := nc.Write(b[n:])
		c.wrote(attempt, err)
	}()
}

// wrote notes how the writing of a command ended.
func (c *conn) wrote(attempt bool, err error) {
	if err == nil && attempt && c.p.cfg.Written != nil {
		c.p.cfg.Written(1)
	}
	if err != nil {
		c.sent.Store(cut)
		c.nc.Close() // so its reader ends, if it has not
	} else {
		c.sent.Store(whole)
	}
	if c.broken.Load() {
		go c.p.l.Post(c.ended)
	}
}

// ended takes the end of a connection. If it broke before the last byte was written, the command never ran; if what
// came is no answer, it has run, and the backend lives.
func (c *conn) ended() {
	bs := c.p
	c.b.notIdle(c)
	if c.attempt != nil && c.asked.Load() > 1 {
		bs.closeIdle(c.b, c.idleAt) // what has been idle for longer is no better
	}
	status := balancer.Reset
	if c.unwanted.Load() {
		status = balancer.Cancelled
	} else if c.spoilt.Load() {
		status = balancer.Failed
	} else if c.sent.Load() != whole {
		status = balancer.ConnectFailed
	}
	bs.drop(c, status)
}

// answered takes an answer. A connection on which more came than was asked for is not used again.
func (bs *Pool) answered(c *conn, r reply) {
	if c.closed {
		return
	}
	a, p := c.attempt, c.probe
	c.attempt, c.probe = nil, nil
	if a != nil {
		a.conn = nil
		if r.odd { // what no backend made for a request is no value to serve
			r.status = balancer.Failed
		}
	}
	now := bs.l.Now()
	c.b.heard = now
	if a == nil && p == nil || r.surplus || r.odd && (p == nil || !r.pong) || c.sent.Load() != whole || !c.b.listed ||
		c.era != c.b.era {
		c.b.notIdle(c)
		bs.close(c)
		bs.forget(c.b)
	} else {
		c.idleAt = now
		c.b.idle = append(c.b.idle, c)
	}
	if p != nil {
		bs.probed(p, r.status)
	}
	if a == nil {
		return
	}
	a.end(Result{Status: r.status, Value: r.value, Used: r.used})
}

// reply is an answer of a backend.
type reply struct {
	status  balancer.Status
	value   []byte // the value as a bulk string, to be passed on
	used    int    // 1 + percent of the quota used; 0: not told
	odd     bool   // it is no answer to a command ...
	pong    bool   // ... but one to a probe
	surplus bool   // more bytes came with it
}

// readReply reads an answer: an array of the value, the figures on use and the load report, or an error line
// behind whose first words the figures may stand.
func readReply(m redcon.RESP) reply {
	switch m.Type {
	case redcon.Error:
		r := reply{status: balancer.Failed}
		switch word, _, _ := bytes.Cut(m.Data, []byte{' '}); string(word) {
		case "BUSY":
			r.status = balancer.Rejected
		case "ERR":
		default:
			r.odd = true
		}
		for word := range bytes.SplitSeq(m.Data, []byte{' '}) {
			if n := used(word); n > 0 {
				r.used = n
			}
		}
		return r
	case redcon.String: // to a probe
		return reply{status: balancer.OK, odd: true, pong: true}
	case redcon.Array:
		r := reply{status: balancer.Failed, odd: true}
		i := 0
		m.ForEach(func(e redcon.RESP) bool {
			if i == 0 && e.Type == redcon.Bulk && e.Data != nil {
				r.status, r.odd, r.value = balancer.OK, false, bytes.Clone(e.Raw)
			} else if i == 1 && e.Type == redcon.Bulk {
				r.used = used(e.Data)
			}
			i++
			return true
		})
		return r
	}
	return reply{status: balancer.Failed, odd: true}
}

// used finds the figure in a list such as used=37,cost=4, as the module wants it: 1 more; 0 if there is none.
func used(list []byte) int {
	for item := range bytes.SplitSeq(list, []byte{','}) {
		if v, ok := bytes.CutPrefix(item, []byte("used=")); ok {
			if n, ok := resp.Decimal(string(v)); ok && n < 1e6 {
				return int(n) + 1
			}
		}
	}
	return 0
}

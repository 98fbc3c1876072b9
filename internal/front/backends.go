package front

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"snowhall"
)

const (
	backendShare = 0.28                   // of the sockets that may be held, for connections to backends
	idleShare    = 0.6                    // of the time after which a backend closes an idle connection: closed here before
	stalledAfter = 250 * time.Millisecond // an answer that has begun and then stops for so long has a wrong length
)

// attempt is one try of a request at a backend.
type attempt struct {
	r       *request
	no      int
	backend string
	at      time.Duration
	until   time.Duration
	timeout *timer
	conn    *conn
	ended   bool
}

// backend is what is known of one backend's address, and its connections.
type backend struct {
	name, addr string
	started    time.Duration
	era        int  // of its address and start
	listed     bool // in service
	conns      map[*conn]bool
	idle       []*conn // the one used last at the end
	heard      time.Duration
}

// conn is a connection to a backend. It carries one thing at a time, an attempt or a probe, and is closed when
// that is given up: so it never has an answer owed when it is used again. The loop owns it but for what is atomic.
type conn struct {
	f       *Front
	b       *backend
	nc      net.Conn // nil while it is being dialled
	dial    context.CancelFunc
	attempt *attempt
	probe   *probe
	closed  bool
	era     int // of the backend when it was dialled
	idleAt  time.Duration
	sent    atomic.Int32 // how far the command is that was last given to it
	broken  atomic.Bool  // its reader has ended
	spoilt  atomic.Bool  // ... since what came is no answer
	asked   atomic.Int32 // commands given to it
	in      *respReader  // the reader's
	got     int32        // the reader's: answers read
	timed   bool         // the reader's: a read deadline is set
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
	timeout *timer
}

// backends holds the pools of connections.
type backends struct {
	f     *Front
	all   map[string]*backend
	count int // connections, those being dialled too
	most  int
}

func newBackends(f *Front) *backends {
	most := int(float64(f.cfg.Sockets) * backendShare)
	if most <= 0 {
		most = 400
	}
	return &backends{f: f, all: map[string]*backend{}, most: most}
}

// listed takes what discovery says of one backend.
func (bs *backends) listed(e snowhall.Backend, addr string) {
	b := bs.all[e.Name]
	if b == nil {
		b = &backend{name: e.Name, conns: map[*conn]bool{}}
		bs.all[e.Name] = b
	}
	if b.addr != addr || b.started != e.Started { // another process: no old connection leads to it
		b.addr, b.started = addr, e.Started
		b.era++ // what is busy is closed with its answer
		bs.closeIdle(b, bs.f.now())
		bs.dropDialled(b)
	}
	if b.listed = e.State == snowhall.InService; !b.listed {
		bs.retire(b)
	}
}

// keepOnly retires the backends that a whole list leaves out.
func (bs *backends) keepOnly(list []snowhall.Backend) {
	named := map[string]bool{}
	for _, e := range list {
		named[e.Name] = true
	}
	for _, b := range bs.all {
		if !named[b.name] {
			b.listed = false
			bs.retire(b)
		}
	}
}

// retire sees to it that nothing new reaches a backend that drains or is gone. An attempt that still waits for
// its connection would be written when that comes up, perhaps after the grace: it is taken back unsent.
func (bs *backends) retire(b *backend) {
	bs.closeIdle(b, bs.f.now())
	bs.dropDialled(b)
	bs.forget(b)
}

// dropDialled takes back what waits for a connection.
func (bs *backends) dropDialled(b *backend) {
	for c := range b.conns {
		if c.nc == nil {
			bs.drop(c, snowhall.Moot)
		}
	}
}

func (bs *backends) forget(b *backend) {
	if !b.listed && len(b.conns) == 0 {
		delete(bs.all, b.name)
	}
}

// notIdle takes a connection out of those that wait to be used.
func (b *backend) notIdle(c *conn) {
	b.idle = slices.DeleteFunc(b.idle, func(o *conn) bool { return o == c })
}

// closeIdle closes the idle connections of a backend that have not been used since a time.
func (bs *backends) closeIdle(b *backend, since time.Duration) {
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

// sweep closes what has been idle for long.
func (bs *backends) sweep() {
	if idle := bs.f.cfg.Transport.ConnIdle; idle > 0 {
		since := bs.f.now() - time.Duration(float64(idle)*idleShare)
		for _, b := range bs.all {
			bs.closeIdle(b, since)
		}
	}
}

// close ends a connection that carries nothing, or whose load has been taken off.
func (bs *backends) close(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	bs.count--
	delete(c.b.conns, c)
	if c.nc != nil {
		c.nc.Close()
	}
	c.dial()
}

// drop closes a connection and ends what it carried.
func (bs *backends) drop(c *conn, status snowhall.Status) {
	a, p := c.attempt, c.probe
	c.attempt, c.probe = nil, nil
	bs.close(c) // first: the next attempt must not go out while this one still can be answered
	if a != nil {
		bs.f.ended(a, status, 0)
	}
	if p != nil {
		bs.probed(p, status)
	}
	bs.forget(c.b)
}

// send starts an attempt, on the warm connection used last if there is one: a new one costs the backend work.
func (bs *backends) send(a *attempt) {
	b := bs.all[a.backend]
	if b == nil || !b.listed {
		bs.f.ended(a, snowhall.Moot, 0)
		return
	}
	c := bs.take(b)
	if c == nil {
		bs.f.ended(a, snowhall.Moot, 0) // for want of sockets here, which is no fault of the backend
		return
	}
	c.attempt, a.conn = a, c
	a.timeout = bs.f.timers.add(a.until, func() {
		status := snowhall.Timeout
		if c.sent.Load() == unsent { // still dialling: it never ran
			status = snowhall.ConnectFailed
		}
		bs.silent(b, a.at)
		bs.drop(c, status)
	})
	if c.nc != nil {
		c.start()
	}
}

// silent is called when no answer came in time. If the backend has said nothing at all since the command was
// sent, its machine may be gone, and the connections that idle since then with it: they would stay open and
// silent, so the next attempts must find out by new ones.
func (bs *backends) silent(b *backend, since time.Duration) {
	if b.heard < since {
		bs.closeIdle(b, since)
	}
}

// take returns an idle connection or starts to dial one; nil where no socket is left.
func (bs *backends) take(b *backend) *conn {
	for n := len(b.idle); n > 0; n = len(b.idle) {
		c := b.idle[n-1]
		b.idle[n-1] = nil
		b.idle = b.idle[:n-1]
		// What came since the last answer would be taken for the next one, and a connection that has ended would
		// leave it open whether the command has run.
		if c.broken.Load() || !quiet(c.nc) {
			bs.close(c)
			continue
		}
		c.sent.Store(unsent)
		return c
	}
	if bs.count >= bs.most && !bs.closeOldest() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), bs.f.cfg.Transport.DialTimeout)
	c := &conn{f: bs.f, b: b, era: b.era, dial: cancel}
	bs.count++
	b.conns[c] = true
	go c.run(ctx, b.addr)
	return c
}

// closeOldest makes room for a new connection.
func (bs *backends) closeOldest() bool {
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

// cancel gives up an attempt.
func (bs *backends) cancel(a *attempt) {
	if a.ended || a.conn == nil {
		return
	}
	status := snowhall.Cancelled
	if a.conn.sent.Load() == unsent {
		status = snowhall.Moot
	}
	bs.drop(a.conn, status)
}

// probe asks a backend whether it answers.
func (bs *backends) probe(name string) {
	p := &probe{backend: name}
	b := bs.all[name]
	if b == nil || !b.listed {
		bs.probed(p, snowhall.Moot)
		return
	}
	bs.closeIdle(b, bs.f.now()) // a probe is to tell whether the backend can be reached anew
	c := bs.take(b)
	if c == nil {
		bs.probed(p, snowhall.Moot)
		return
	}
	c.probe = p
	p.timeout = bs.f.timers.add(bs.f.now()+2*bs.f.cfg.Transport.DialTimeout, func() { bs.drop(c, snowhall.Timeout) })
}

func (bs *backends) probed(p *probe, status snowhall.Status) {
	bs.f.timers.stop(p.timeout)
	bs.f.tell(snowhall.Probed{Backend: p.backend, Status: status})
}

// run dials and then reads answers until the connection ends.
func (c *conn) run(ctx context.Context, addr string) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		c.f.post(func() { c.f.backends.drop(c, snowhall.ConnectFailed) })
		return
	}
	c.f.post(func() {
		if c.closed { // given up meanwhile: nothing may be written any more
			nc.Close()
			return
		}
		c.nc = nc
		c.start()
	})
	c.in = &respReader{from: reader{c, nc}}
	for {
		m, err := c.in.next()
		if err != nil {
			c.spoilt.Store(errors.Is(err, errMalformed) || errors.Is(err, errUnasked) ||
				errors.Is(err, os.ErrDeadlineExceeded))
			nc.Close()
			if c.broken.Store(true); c.sent.Load() != sending { // else write posts it, knowing how far it got
				c.f.post(c.ended)
			}
			return
		}
		r := readReply(m)
		c.got++
		r.surplus = c.in.partial()
		c.f.post(func() { c.f.backends.answered(c, r) })
	}
}

var errUnasked = errors.New("an answer to no command")

// reader reads from a backend's socket for the respReader. It takes nothing while no answer is owed: that would be
// found in front of the next answer. And an answer that has begun must go on.
type reader struct {
	c  *conn
	nc net.Conn
}

func (r reader) Read(b []byte) (int, error) {
	c := r.c
	if c.in.partial() {
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
	switch {
	case c.attempt != nil:
		b = c.attempt.r.ask.forward(c.attempt.until - c.f.now())
	case c.probe != nil:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	default:
		return
	}
	c.asked.Add(1)
	c.sent.Store(sending)
	n, err := writeNow(c.nc, b)
	if n == len(b) || err != nil {
		c.wrote(err)
		return
	}
	nc := c.nc
	go func() {
		_, err := nc.Write(b[n:])
		c.wrote(err)
	}()
}

// wrote notes how the writing of a command ended.
func (c *conn) wrote(err error) {
	if err != nil {
		c.sent.Store(cut)
		c.nc.Close() // so its reader ends, if it has not
	} else {
		c.sent.Store(whole)
	}
	if c.broken.Load() {
		go c.f.post(c.ended)
	}
}

// ended takes the end of a connection. If it broke before the last byte was written, the command never ran; if what
// came is no answer, it has run, and the backend lives.
func (c *conn) ended() {
	bs := c.f.backends
	c.b.notIdle(c)
	if c.attempt != nil && c.asked.Load() > 1 {
		bs.closeIdle(c.b, c.idleAt) // what has been idle for longer is no better
	}
	status := snowhall.Reset
	if c.spoilt.Load() {
		status = snowhall.Failed
	} else if c.sent.Load() != whole {
		status = snowhall.ConnectFailed
	}
	bs.drop(c, status)
}

// answered takes an answer. A connection on which more came than was asked for is not used again.
func (bs *backends) answered(c *conn, r reply) {
	if c.closed {
		return
	}
	a, p := c.attempt, c.probe
	c.attempt, c.probe = nil, nil
	if a != nil {
		a.conn = nil
		if r.odd { // what no backend made for a request is no value to serve
			r.status = snowhall.Failed
		}
	}
	now := bs.f.now()
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
	if r.status == snowhall.OK {
		bs.f.answer(a.r, r.value) // this ends the request, and the outcome says so
	}
	bs.f.ended(a, r.status, r.used)
}

// reply is an answer of a backend.
type reply struct {
	status  snowhall.Status
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
		r := reply{status: snowhall.Failed}
		switch word, _, _ := bytes.Cut(m.Data, []byte{' '}); string(word) {
		case "BUSY":
			r.status = snowhall.Full
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
		return reply{status: snowhall.OK, odd: true, pong: true}
	case redcon.Array:
		r := reply{status: snowhall.Failed, odd: true}
		i := 0
		m.ForEach(func(e redcon.RESP) bool {
			if i == 0 && e.Type == redcon.Bulk && e.Data != nil {
				r.status, r.odd, r.value = snowhall.OK, false, bytes.Clone(e.Raw)
			} else if i == 1 && e.Type == redcon.Bulk {
				r.used = used(e.Data)
			}
			i++
			return true
		})
		return r
	}
	return reply{status: snowhall.Failed, odd: true}
}

// used finds the figure in a list such as used=37,cost=4, as the module wants it: 1 more; 0 if there is none.
func used(list []byte) int {
	for item := range bytes.SplitSeq(list, []byte{','}) {
		if v, ok := bytes.CutPrefix(item, []byte("used=")); ok {
			if n, ok := decimal(string(v)); ok && n < 1e6 {
				return int(n) + 1
			}
		}
	}
	return 0
}

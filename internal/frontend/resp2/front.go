// Package resp2 is the front that speaks RESP2: it reads requests from clients' connections, checks them, hands them
// to the core and writes each its one answer, in the order of the commands on a connection.
package resp2

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/route"
)

const emptyWithin = 10 * time.Millisecond // for the connections that wait in a listener's queue as it is closed

const comeBack = 100 * time.Millisecond // what a client is told for which there is no room

// Config is one listener.
type Config struct {
	Listener string        // its name, for routes
	Stall    time.Duration // a client that takes nothing of a long value for so long is given up; 0: 5 s
	// Routes says that requests are routed by what they name; else all go to one pool.
	Routes bool
	// Accounts finds what is configured for a customer; nil, or a nil result: nothing, and the request's own plan and
	// set of front doors hold. Any goroutine calls it.
	Accounts func(pool *proxy.Proxy, customer string) *account.Account
}

// Front takes connections and reads requests from them.
type Front struct {
	env   *proxy.Env
	cfg   Config
	log   *slog.Logger
	ln    net.Listener
	plain *route.Query // where requests are not told apart

	mu      sync.Mutex
	resumed *sync.Cond
	pause   bool // no connection is taken
	handing bool // ... since another process is about to take them, or not: nothing is closed until that is known
	closed  bool // ... nor will be, but for those that wait already
	ended   atomic.Bool

	mover     atomic.Pointer[func(c syscall.Conn, unread []byte) error] // hands connections to another process; nil: they stay
	lingering atomic.Int64                                              // connections on which only the rest of what was refused is awaited
}

// New makes a front on a listener, which it closes.
func New(env *proxy.Env, cfg Config, ln net.Listener, log *slog.Logger) *Front {
	fr := &Front{env: env, cfg: cfg, ln: ln, log: log, plain: &route.Query{Listener: cfg.Listener}}
	fr.resumed = sync.NewCond(&fr.mu)
	return fr
}

// Serve implements [proxy.Front].
func (fr *Front) Serve() { go fr.accept() }

// CloseListeners implements [proxy.Front]. It does nothing from Pause until Move or Resume.
func (fr *Front) CloseListeners() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.closed || fr.handing {
		return
	}
	fr.closed = true
	fr.resumed.Broadcast()
	if ln, ok := fr.ln.(deadliner); ok && !fr.pause {
		ln.SetDeadline(time.Now().Add(emptyWithin)) // what waits in its queue would be reset
		return
	}
	fr.ln.Close()
}

// accept takes connections until the listener is closed.
func (fr *Front) accept() {
	defer fr.ended.Store(true)
	for {
		nc, err := fr.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if fr.paused() {
				return
			}
			continue
		}
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			fr.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !fr.env.Conns.HasCapacity() {
			fr.turnAway(nc)
			continue
		}
		c := newClient(fr, nc)
		fr.env.Conns.Add(c)
		go c.read()
	}
}

// mostLingering is how many connections that were refused may wait for the client's own end: few against those that may be held,
// as some of them are not counted there.
func (fr *Front) mostLingering() int64 {
	return int64(max(1, min(mostLingering, fr.env.Conns.Max()/32)))
}

// turnAway refuses a connection for which there is no room. Nothing is taken of what comes on it, so nothing has run; it is read for
// a moment, as a close over it would reset the connection, and the answer would be lost.
func (fr *Front) turnAway(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(lingerWithin))
	nc.Write(busyAnswer(comeBack))
	half, ok := nc.(interface{ CloseWrite() error })
	if fr.lingering.Add(1) > fr.mostLingering() || !ok || half.CloseWrite() != nil {
		fr.lingering.Add(-1)
		nc.Close()
		return
	}
	go func() {
		io.Copy(io.Discard, io.LimitReader(nc, restMost))
		nc.Close()
		fr.lingering.Add(-1)
	}()
}

// deadliner is a listener that can be made to take nothing for a time, such as that of TCP.
type deadliner interface{ SetDeadline(time.Time) error }

// paused waits while no connection is to be taken; true: the listener was closed meanwhile.
func (fr *Front) paused() bool {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for fr.pause && !fr.closed {
		fr.resumed.Wait()
	}
	if fr.closed {
		fr.ln.Close()
	}
	return fr.closed
}

// Pause stops taking connections, which then wait in the listener's queue. One that is just being taken is handed over as others.
// Move or Resume must follow: until then a shutdown waits, as what it closed might be the other process's already.
func (fr *Front) Pause() {
	fr.mu.Lock()
	fr.pause, fr.handing = true, true
	fr.mu.Unlock()
	if ln, ok := fr.ln.(deadliner); ok {
		ln.SetDeadline(time.Unix(1, 0))
	}
}

// Resume takes connections again.
func (fr *Front) Resume() {
	if ln, ok := fr.ln.(deadliner); ok {
		ln.SetDeadline(time.Time{})
	}
	fr.mu.Lock()
	fr.pause, fr.handing = false, false
	fr.resumed.Broadcast()
	fr.mu.Unlock()
}

// Move hands all connections to another process, each as soon as nothing is owed on it, until Stay.
func (fr *Front) Move(to func(c syscall.Conn, unread []byte) error) {
	fr.mover.Store(&to)
	fr.mu.Lock()
	fr.handing = false
	fr.mu.Unlock()
	for _, c := range fr.clients() {
		c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes who reads
	}
}

// Stay keeps the connections that are not handed over yet.
func (fr *Front) Stay() { fr.mover.Store(nil) }

// Adopt takes over a connection from another process, which read from it what it did not use.
func (fr *Front) Adopt(nc net.Conn, unread []byte) {
	c := newClient(fr, nc)
	c.due = time.Time{}
	c.spoken.Store(true)
	if len(unread) > 0 {
		c.in.Prefill(unread)
	}
	fr.env.Conns.Add(c)
	go c.read()
}

// clients are this front's connections.
func (fr *Front) clients() (all []*client) {
	for _, c := range resourcelimit.ConnectionsOf[*client](fr.env.Conns) {
		if c.fr == fr {
			all = append(all, c)
		}
	}
	return all
}

// Drain implements [proxy.Front]: it closes the connections that stand between two requests, and the others with their
// last answer. It does nothing from Pause until Move or Resume.
func (fr *Front) Drain() bool {
	fr.mu.Lock()
	handing := fr.handing
	fr.mu.Unlock()
	if handing {
		return false
	}
	all := fr.clients()
	if fr.mover.Load() != nil { // they end by being handed over
		return len(all) == 0 && fr.ended.Load()
	}
	for _, c := range all { // all first, so that no client finds one closed and turns to another
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
	}
	for _, c := range all {
		c.mu.Lock()
		c.endIfIdle()
		c.mu.Unlock()
	}
	return len(all) == 0 && fr.ended.Load()
}

// busyAnswer is a refusal, with the time to stay away in whole milliseconds.
func busyAnswer(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// Answer implements [proxy.Caller].
func (a *ask) Answer(ans proxy.Answer) {
	var line []byte
	switch ans.Outcome {
	case proxy.Served:
		line = ans.Value
	case proxy.Rejected:
		line = busyAnswer(ans.RetryAfter)
	case proxy.TimedOut:
		line = []byte("-ERR no answer in time\r\n")
	case proxy.Duplicate:
		line = []byte("-ERR the id is that of an open request\r\n")
	default:
		line = []byte("-ERR failed\r\n")
	}
	a.conn.answer(a.slot, line)
}

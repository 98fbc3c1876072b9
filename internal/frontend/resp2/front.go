// Package resp2 is the frontend for RESP2. It reads requests from client connections, validates them, submits them to
// the proxy and writes one answer to each, in the order of the commands on a connection.
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

// acceptQueueDrainTime is how long connections are still accepted from the queue of a listener that is being closed.
const acceptQueueDrainTime = 10 * time.Millisecond

// defaultWriteTimeout is the default of Config.WriteTimeout.
const defaultWriteTimeout = 5 * time.Second

// capacityRetryAfter is the retry delay sent to a client that is rejected for lack of connections or memory.
const capacityRetryAfter = 100 * time.Millisecond

// Config configures the frontend of one listener.
type Config struct {
	// Listener is the listener's name in routes.
	Listener string
	// WriteTimeout is how long a client may accept no bytes of its answers before its connection is closed; 0: 5 s.
	WriteTimeout time.Duration
	// Routes tells that requests are routed by their class, customer and host; otherwise all go to one pool.
	Routes bool
	// Accounts returns the account of a customer. If it or its result is nil, the plan and the number of gateways of
	// the request apply. Any goroutine may call it.
	Accounts func(pool *proxy.Proxy, customer string) *account.Account
}

// Frontend accepts connections and reads requests from them.
type Frontend struct {
	env *proxy.Env
	cfg Config
	log *slog.Logger
	ln  net.Listener
	// defaultQuery is the route query of requests that are not routed by their content.
	defaultQuery *route.Query

	mu      sync.Mutex
	resumed *sync.Cond
	// paused tells that no connections are accepted.
	paused bool
	// handoverPending tells that another process may take over the connections. Nothing is closed until that is known.
	handoverPending bool
	// closed tells that no connections are accepted any more, beside those already in the listener's queue.
	closed      bool
	acceptEnded atomic.Bool

	// handOver hands a connection to another process; nil: connections stay.
	handOver atomic.Pointer[func(c syscall.Conn, unread []byte) error]
	// lingering counts connections on which only the rest of rejected input is read.
	lingering atomic.Int64
}

// New returns the frontend of a listener, which it closes.
func New(env *proxy.Env, cfg Config, ln net.Listener, log *slog.Logger) *Frontend {
	fr := &Frontend{env: env, cfg: cfg, ln: ln, log: log, defaultQuery: &route.Query{Listener: cfg.Listener}}
	fr.resumed = sync.NewCond(&fr.mu)
	return fr
}

// Serve implements [proxy.Frontend].
func (fr *Frontend) Serve() { go fr.accept() }

// CloseListeners implements [proxy.Frontend]. It does nothing from Pause until Move or Resume.
func (fr *Frontend) CloseListeners() {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.closed || fr.handoverPending {
		return
	}
	fr.closed = true
	fr.resumed.Broadcast()
	if ln, ok := fr.ln.(deadlineListener); ok && !fr.paused {
		ln.SetDeadline(time.Now().Add(acceptQueueDrainTime)) // closing at once would reset the queued connections
		return
	}
	fr.ln.Close()
}

// accept accepts connections until the listener is closed.
func (fr *Frontend) accept() {
	defer fr.acceptEnded.Store(true)
	for {
		nc, err := fr.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if fr.waitWhilePaused() {
				return
			}
			continue
		}
		if err != nil { // such as too many open files; existing connections go on
			fr.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !fr.env.Conns.HasCapacity() {
			fr.rejectConnection(nc)
			continue
		}
		c := newClient(fr, nc)
		fr.env.Conns.Add(c)
		go c.readCommands()
	}
}

// lingeringLimit returns how many rejected connections may wait for the client to close its side. It is small against
// the connection limit, which does not count all of them.
func (fr *Frontend) lingeringLimit() int64 {
	return int64(max(1, min(maxLingering, fr.env.Conns.Max()/32)))
}

// rejectConnection rejects a connection beyond the limit. No command on it is handled. Its input is read for a moment,
// as closing a socket with unread bytes would reset the connection, and the answer would be lost.
func (fr *Frontend) rejectConnection(nc net.Conn) {
	nc.SetDeadline(time.Now().Add(lingerTimeout))
	nc.Write(busyAnswer(capacityRetryAfter))
	half, ok := nc.(interface{ CloseWrite() error })
	if fr.lingering.Add(1) > fr.lingeringLimit() || !ok || half.CloseWrite() != nil {
		fr.lingering.Add(-1)
		nc.Close()
		return
	}
	go func() {
		io.Copy(io.Discard, io.LimitReader(nc, maxDiscardedBytes))
		nc.Close()
		fr.lingering.Add(-1)
	}()
}

// deadlineListener is a listener whose Accept can be interrupted by a deadline, such as that of TCP.
type deadlineListener interface{ SetDeadline(time.Time) error }

// waitWhilePaused waits while accepting is paused, and reports whether the frontend was closed.
func (fr *Frontend) waitWhilePaused() bool {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for fr.paused && !fr.closed {
		fr.resumed.Wait()
	}
	if fr.closed {
		fr.ln.Close()
	}
	return fr.closed
}

// Pause stops accepting connections, which then wait in the listener's queue. One that is being accepted is handed over
// like the others. Move or Resume must follow: until then a shutdown waits, as it might close connections that already
// belong to the other process.
func (fr *Frontend) Pause() {
	fr.mu.Lock()
	fr.paused, fr.handoverPending = true, true
	fr.mu.Unlock()
	if ln, ok := fr.ln.(deadlineListener); ok {
		ln.SetDeadline(time.Unix(1, 0))
	}
}

// Resume accepts connections again.
func (fr *Frontend) Resume() {
	if ln, ok := fr.ln.(deadlineListener); ok {
		ln.SetDeadline(time.Time{})
	}
	fr.mu.Lock()
	fr.paused, fr.handoverPending = false, false
	fr.resumed.Broadcast()
	fr.mu.Unlock()
}

// Move hands all connections to another process until Stay is called, each as soon as no answer is owed on it.
func (fr *Frontend) Move(to func(c syscall.Conn, unread []byte) error) {
	fr.handOver.Store(&to)
	fr.mu.Lock()
	fr.handoverPending = false
	fr.mu.Unlock()
	for _, c := range fr.clients() {
		c.conn.SetReadDeadline(interruptedDeadline) // wakes the reading goroutine
	}
}

// Stay ends handing over: the remaining connections stay in this process.
func (fr *Frontend) Stay() { fr.handOver.Store(nil) }

// Adopt takes over a connection from another process, with the bytes which that has read and not used.
func (fr *Frontend) Adopt(nc net.Conn, unread []byte) {
	c := newClient(fr, nc)
	c.readDeadline = time.Time{}
	c.hasSentCommand.Store(true)
	if len(unread) > 0 {
		c.reader.Prefill(unread)
	}
	fr.env.Conns.Add(c)
	go c.readCommands()
}

// clients returns this frontend's connections.
func (fr *Frontend) clients() (all []*client) {
	for _, c := range resourcelimit.ConnectionsOf[*client](fr.env.Conns) {
		if c.front == fr {
			all = append(all, c)
		}
	}
	return all
}

// Drain implements [proxy.Frontend]: it closes idle connections at once and the others after their last answer. From
// Pause until Move or Resume it closes nothing.
func (fr *Frontend) Drain() proxy.DrainStatus {
	fr.mu.Lock()
	handoverPending := fr.handoverPending
	fr.mu.Unlock()
	all := fr.clients()
	if !handoverPending && fr.handOver.Load() == nil { // otherwise connections end by being handed over
		endWhenAnswered(all)
	}
	status := proxy.Drained
	if handoverPending || !fr.acceptEnded.Load() {
		status = proxy.AwaitingAnswers
	}
	for _, c := range all {
		status = max(status, c.drainStatus())
	}
	return status
}

// endWhenAnswered ends connections as soon as nothing is owed on them. All are marked first: a client that finds one
// closed may use another one.
func endWhenAnswered(all []*client) {
	for _, c := range all {
		c.mu.Lock()
		c.closeWhenAnswered = true
		c.mu.Unlock()
	}
	for _, c := range all {
		c.mu.Lock()
		c.endIfIdle()
		c.mu.Unlock()
	}
}

// busyAnswer returns a rejection with the time until a retry in whole milliseconds, rounded up.
func busyAnswer(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// Answer implements [proxy.Client].
func (req *request) Answer(ans proxy.Answer) {
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
	case proxy.Repeated:
		line = []byte("-ERR the id is that of a request that may have run\r\n")
	default:
		line = []byte("-ERR failed\r\n")
	}
	req.client.completeSlot(req.slot, line)
}

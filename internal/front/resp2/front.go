// Package resp2 is the front that speaks RESP2: it reads requests from clients' connections, checks them, hands them
// to the core and writes each its one answer, in the order of the commands on a connection.
package resp2

import (
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"snowhall/internal/account"
	"snowhall/internal/budget"
	"snowhall/internal/core"
	"snowhall/internal/route"
)

const comeBack = 100 * time.Millisecond // what a client is told for which there is no room

// Config is one listener.
type Config struct {
	Listener string // its name, for routes
	// Routes says that requests are routed by what they name; else all go to one pool.
	Routes bool
	// Accounts finds what is configured for a customer; nil, or a nil result: nothing, and the request's own plan and
	// set of front doors hold. Any goroutine calls it.
	Accounts func(pool *core.Core, customer string) *account.Account
}

// Front takes connections and reads requests from them.
type Front struct {
	env       *core.Env
	cfg       Config
	log       *slog.Logger
	ln        net.Listener
	plain     *route.Query // where requests are not told apart
	lingering atomic.Int64 // connections on which only the rest of what was refused is awaited
}

// New makes a front on a listener, which it closes.
func New(env *core.Env, cfg Config, ln net.Listener, log *slog.Logger) *Front {
	return &Front{env: env, cfg: cfg, ln: ln, log: log, plain: &route.Query{Listener: cfg.Listener}}
}

// Serve implements [core.Front].
func (fr *Front) Serve() { go fr.accept() }

// CloseListeners implements [core.Front].
func (fr *Front) CloseListeners() { fr.ln.Close() }

// accept takes connections until the listener is closed.
func (fr *Front) accept() {
	for {
		nc, err := fr.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			fr.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !fr.env.Conns.Room() {
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write(busyAnswer(comeBack)) // nothing was read, so nothing has run
			nc.Close()
			continue
		}
		c := newClient(fr, nc)
		fr.env.Conns.Add(c)
		go c.read()
	}
}

// Drain implements [core.Front]: it closes the connections that stand between two requests, and the others with their
// last answer.
func (fr *Front) Drain() bool {
	var all []*client
	for _, c := range budget.Of[*client](fr.env.Conns) {
		if c.fr == fr {
			all = append(all, c)
		}
	}
	for _, c := range all { // all first, so that no client finds one closed and turns to another
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
	}
	for _, c := range all {
		c.mu.Lock()
		c.closeIfIdle()
		c.mu.Unlock()
	}
	return len(all) == 0
}

// busyAnswer is a refusal, with the time to stay away in whole milliseconds.
func busyAnswer(pause time.Duration) []byte {
	if pause <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := (pause + time.Millisecond - 1) / time.Millisecond
	return append(strconv.AppendInt([]byte("-BUSY "), int64(ms), 10), "\r\n"...)
}

// Answer implements [core.Caller].
func (a *ask) Answer(ans core.Answer) {
	var line []byte
	switch ans.Verdict {
	case core.Served:
		line = ans.Value
	case core.Refused:
		line = busyAnswer(ans.Pause)
	case core.Overdue:
		line = []byte("-ERR no answer in time\r\n")
	case core.Duplicate:
		line = []byte("-ERR the id is that of an open request\r\n")
	default:
		line = []byte("-ERR failed\r\n")
	}
	a.conn.answer(a.slot, line)
}

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
)

const comeBack = 100 * time.Millisecond // what a client is told for which there is no room

// Config names the classes and plans as clients do, in the order of the module's indices.
type Config struct {
	Classes, Plans []string
	// Accounts finds what is configured for a customer; nil, or a nil result: nothing, and the request's own plan and
	// set of front doors hold. Any goroutine calls it.
	Accounts func(customer string) *account.Account
}

// Front takes connections and reads requests from them.
type Front struct {
	core      *core.Core
	cfg       Config
	log       *slog.Logger
	ln        net.Listener
	lingering atomic.Int64 // connections on which only the rest of what was refused is awaited
}

// New makes a front on a listener, which it closes.
func New(c *core.Core, cfg Config, ln net.Listener, log *slog.Logger) *Front {
	return &Front{core: c, cfg: cfg, ln: ln, log: log}
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
		if !fr.core.Conns.Room() {
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write(busyAnswer(comeBack)) // nothing was read, so nothing has run
			nc.Close()
			continue
		}
		c := newClient(fr, nc)
		fr.core.Conns.Add(c)
		go c.read()
	}
}

// Drain implements [core.Front]: it closes the connections that stand between two requests, and the others with their
// last answer.
func (fr *Front) Drain() bool {
	var all []*client
	for _, c := range budget.Of[*client](fr.core.Conns) {
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

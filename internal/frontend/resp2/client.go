package resp2

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"gapgap/internal/cpuscheduler"
	"gapgap/internal/handover"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/resp"
	"gapgap/internal/socket"
)

const (
	mostPipelined = 256                     // commands of one connection that may wait for their answers
	mostUnread    = 256 << 10               // bytes of answers left unread at which no further command is read ...
	mostUnwritten = 1 << 20                 // ... and at which the client is given up
	writeWithin   = 5 * time.Second         // a client that takes nothing for so long has gone
	firstWithin   = 2500 * time.Millisecond // from connecting, for the first command
	commandWithin = 2500 * time.Millisecond // from its first bytes, for any later one
	askCost       = 1 << 10                 // bytes of a request beside its text
	usualRead     = 4 << 10                 // bytes of what is read and not used, at a time
	restWithin    = 1500 * time.Millisecond // for the rest of what was refused
	restMost      = 64 << 20                // bytes of it, and of what comes beside answers that are still owed
	lingerWithin  = 300 * time.Millisecond  // after the last answer, for the client to end the connection too
	mostLingering = 16
	badPause      = 50 * time.Millisecond // before the next command is read, from the second bad one in a row on
	badMost       = 16                    // bad commands in a row at which the connection is closed
)

// slot keeps the place of a command's answer.
type slot struct {
	answer []byte
	ready  bool
	ask    *ask  // nil for what the front door answers by itself
	cost   int64 // taken from the budget until it is answered
	mem    *resourcelimit.Bytes
	stream *stream // that passes a long value on; nil: there is none
}

// client is one connection of a client.
type client struct {
	fr    *Front
	nc    net.Conn
	in    resp.Reader
	due   time.Time // of the command that is being read; zero: none has begun
	timed bool      // a read deadline is set
	bad   int       // commands in a row that could not be used

	pool   *proxy.Proxy       // that it asked last; nil: none, or they are not told apart. The reader's
	gate   *cpuscheduler.Flow // the way to that pool's processor
	spoken atomic.Bool        // it has asked something
	idle   atomic.Int64       // since when no request is open, on the loop's clock; 0: one is

	mu      sync.Mutex
	room    *sync.Cond           // slots have become free, or the connection has ended
	slots   []*slot              // in the order of the commands
	out     []byte               // answers to be written
	mem     *resourcelimit.Bytes // bears out: that of the pool that it asked last
	writing bool                 // a goroutine writes
	behind  bool                 // bytes were read and not yet looked through for commands
	last    bool                 // to be ended once all is answered: what is read from now on is refused
	shut    bool                 // ... as it is: nothing more is written, and the client's own end is awaited
	refused bool                 // what comes is refused: its rest is awaited for longer
	lingers bool                 // counted in Front.lingering
	closed  bool

	readAt time.Duration // when the bytes were read in which the last command ended, on the loop's clock. The reader's
	held   bool          // commands were not read for a while, so the client may have left behind them. The reader's
}

func newClient(fr *Front, nc net.Conn) *client {
	c := &client{fr: fr, gate: fr.env.Scheduler, mem: fr.env.Memory, nc: nc, due: time.Now().Add(firstWithin), readAt: fr.env.Now()}
	c.room = sync.NewCond(&c.mu)
	c.in = resp.Reader{Source: c, Memory: fr.env.Memory}
	c.idle.Store(int64(fr.env.Now()))
	return c
}

// read takes commands until the connection ends.
func (c *client) read() {
	defer c.end()
	for {
		if c.mayMove() && c.move() {
			return
		}
		m, err := c.in.Next()
		switch {
		case errors.Is(err, errMoving):
			continue
		case errors.Is(err, errShut):
			c.discard()
			return
		case errors.Is(err, resp.ErrMalformed):
			c.turnAway("-ERR Protocol error\r\n")
			return
		case errors.Is(err, resp.ErrNoMemory):
			c.turnAway("-ERR no memory for a command as long as this\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && c.in.HasPartialMessage(): // else no line: it would cross a request
			c.turnAway("-ERR the command has not come in time\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.rest()
			return
		case err != nil:
			return
		}
		c.due = time.Time{}
		if c.held && socket.HasPeerClosed(c.nc) {
			return
		}
		c.held = false
		if !c.command(m) {
			return
		}
	}
}

// Read reads from the socket for the resp.Reader. A command has one deadline, however its bytes drip in, and so
// has a new client's first.
func (c *client) Read(b []byte) (int, error) {
	if c.due.IsZero() && c.in.HasPartialMessage() {
		c.due = time.Now().Add(commandWithin)
	}
	if !c.awaits() {
		return 0, errShut
	}
	if c.mayMove() { // after the deadline is set: Move sets another one after it has said so
		return 0, errMoving
	}
	n, err := c.nc.Read(b)
	if n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	if !c.came(n) {
		return 0, errShut
	}
	if n == 0 && (c.due.IsZero() || time.Now().Before(c.due)) {
		c.timed = true // Move's, to be taken off
		return 0, errMoving
	}
	return n, err
}

var errShut = errors.New("the connection is shut: what comes crosses that")

// awaits says that all commands that were read are taken up, and sets the deadline for the next. Now the connection may be shut, if it is to be; false: it is.
func (c *client) awaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind = false
	c.endIfIdle()
	if !c.shut && (!c.due.IsZero() || c.timed) {
		c.nc.SetReadDeadline(c.due)
		c.timed = !c.due.IsZero()
	}
	return !c.shut
}

// came says that bytes have been read: what commands they hold is answered before the connection is shut. false: it is shut.
func (c *client) came(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behind = n > 0; c.behind {
		c.readAt = c.fr.env.Now()
	}
	return !c.shut
}

var errMoving = errors.New("the connection is to be handed over")

// mayMove says that the connection is to be handed to another process before more is read from it. With much of a command
// read that goes on here first.
func (c *client) mayMove() bool {
	return c.fr.mover.Load() != nil && len(c.in.Unread()) <= handover.MaxUnreadBytes
}

// move waits until nothing is owed on the connection and hands it over. false: it stays, or has ended.
func (c *client) move() bool {
	c.mu.Lock()
	for (len(c.slots) > 0 || len(c.out) > 0 || c.writing) && !c.closed {
		c.room.Wait()
	}
	closed := c.closed
	c.mu.Unlock()
	to := c.fr.mover.Load()
	sc, ok := c.nc.(syscall.Conn)
	if closed || to == nil || !ok {
		return false
	}
	if err := (*to)(sc, c.in.Unread()); err != nil {
		if c.fr.mover.CompareAndSwap(to, nil) {
			c.fr.log.Error("a connection could not be handed over: they stay", "error", err)
		}
		return false
	}
	return true
}

// command handles one command and says whether to go on.
func (c *client) command(m redcon.RESP) bool {
	args, ok := arguments(m)
	if !ok {
		c.turnAway("-ERR Protocol error: expected an array of bulk strings\r\n")
		return false
	}
	c.spoken.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case "PING":
		if p := c.fr.env.Router.Route(c.fr.plain); !ready(p) {
			return c.reply("-LOADING no backend is known yet\r\n")
		}
		return c.reply("+PONG\r\n")
	case "Q.ASK", "Q.DO":
		if c.leaving() { // one that is always busy would never come to its end
			return c.reply("-BUSY\r\n")
		}
		pool, a, err := c.read1(name, args)
		if pool == nil {
			return c.unusable("-ERR no route leads anywhere\r\n")
		}
		if errors.Is(err, errCrowded) {
			pool.Release()
			c.fr.env.Conns.Remove(c) // its place is free at once
			c.turnAway(string(busyAnswer(comeBack)))
			return false
		}
		if err != nil {
			pool.Release()
			return c.unusable("-ERR " + err.Error() + "\r\n")
		}
		c.bad = 0
		a.conn = c
		cost := int64(len(m.Raw)) + askCost
		if !c.mem.TryReserve(cost) { // the reader alone changes mem
			pool.CountRejected(&a.Request)
			pool.Release()
			return c.reply(string(busyAnswer(comeBack)))
		}
		if a.slot = c.take(a, cost); a.slot == nil {
			pool.Release()
			return false
		}
		pool.CountRequest(&a.Request)
		pool.Post(func() { pool.Submit(&a.Request) })
		return true
	}
	return c.unusable(fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(args[0])))
}

// read1 finds a command's pool and reads it, in a turn of the pool that this connection asked last.
func (c *client) read1(name string, args [][]byte) (*proxy.Proxy, *ask, error) {
	gate := c.gate
	began := gate.Enter()
	defer gate.Leave(began)
	pool := c.fr.pool(args)
	if pool == nil {
		return nil, nil, nil
	}
	if !c.join(pool) {
		return pool, nil, errCrowded
	}
	a, err := c.fr.parse(pool, name, args, c.readAt)
	return pool, a, err
}

var errCrowded = errors.New("the pool has as many connections as it may have")

// join takes the connection to a pool: from here on its part of the processor, the memory and the connections bears it.
// false: the pool has no place for a newcomer.
func (c *client) join(pool *proxy.Proxy) bool {
	if c.pool == pool {
		return true
	}
	if pool.Clients != nil && !c.fr.env.Conns.Assign(c, pool.Clients) {
		return false
	}
	c.pool = pool
	if pool.Scheduler != nil {
		c.gate = pool.Scheduler
	}
	if pool.Memory == nil {
		return true
	}
	c.in.SetMemory(pool.Memory)
	c.mu.Lock()
	n := int64(len(c.out))
	c.mem.Release(n)
	pool.Memory.Adjust(n)
	c.mem = pool.Memory
	c.mu.Unlock()
	return true
}

// ready says whether a pool can serve, and gives it back. Where nothing is said of where a request would go, any may do.
func ready(p *proxy.Proxy) bool {
	if p == nil {
		return true // what is asked says more, and is told so if it leads nowhere
	}
	defer p.Release()
	return p.Ready()
}

// unusable answers a command that can't be used. The next one is read after a pause, as a client that sends the
// same again and again would else take the core from the others.
func (c *client) unusable(line string) bool {
	if c.bad++; c.bad >= badMost {
		c.turnAway(line)
		return false
	}
	ok := c.reply(line)
	if c.bad > 1 && ok {
		time.Sleep(badPause)
		c.held = true
	}
	return ok
}

func (c *client) reply(line string) bool {
	s := c.take(nil, 0)
	c.answer(s, []byte(line))
	return s != nil
}

// take keeps a place for the next answer. It waits while too many are kept already, or the answers before are not
// read; nil: the connection ends. What it costs has been taken from the budget.
func (c *client) take(a *ask, cost int64) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (len(c.slots) >= mostPipelined || len(c.out) > mostUnread) && !c.closed {
		c.held = true
		c.room.Wait()
		c.readAt = c.fr.env.Now() // the time for which a command waits for those before it does not count
	}
	if c.closed {
		c.mem.Release(cost)
		return nil
	}
	s := &slot{ask: a, cost: cost, mem: c.mem}
	c.slots = append(c.slots, s)
	c.idle.Store(0)
	return s
}

// answer fills a slot, once. What then stands at the head is written as far as the socket takes it, and the rest by
// a goroutine of its own: a slow client must not hold up the caller.
func (c *client) answer(s *slot, line []byte) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ready {
		return
	}
	s.answer, s.ready, s.ask = line, true, nil
	if s.stream != nil && s.stream.begun {
		if line != nil { // nothing else can be said in the middle of a value: the end of the connection says it
			c.close()
			return
		}
		c.writing = false
		c.nc.SetWriteDeadline(time.Time{}) // else the answers to come would meet it
	}
	c.room.Broadcast() // for a stream whose request is over
	for len(c.slots) > 0 && c.slots[0].ready {
		first := c.slots[0]
		c.out = append(c.out, first.answer...)
		first.mem.Release(first.cost)
		c.mem.Adjust(int64(len(first.answer)))
		c.slots[0] = nil
		c.slots = c.slots[1:]
		c.room.Broadcast()
	}
	if len(c.slots) == 0 {
		c.idle.Store(int64(c.fr.env.Now()))
	}
	if len(c.out) > mostUnwritten || len(c.out) > resp.MaxValueBytes && c.mem.IsExceeded() {
		c.close()
	} else if len(c.out) > 0 && !c.writing && !c.closed {
		c.writeSome()
	} else {
		c.endIfIdle()
	}
}

// writeSome writes what the socket takes at once. The caller holds mu.
func (c *client) writeSome() {
	n, err := socket.WriteNow(c.nc, c.out)
	c.mem.Release(int64(n))
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
	}
	switch {
	case err != nil:
		c.close()
	case c.out != nil:
		c.writing = true
		go c.write()
	default:
		c.endIfIdle()
	}
}

// write writes what is there.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) > 0 && !c.closed {
		out, mem := c.out, c.mem
		c.out = nil
		c.room.Broadcast()
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
		_, err := c.nc.Write(out)
		c.mu.Lock()
		mem.Release(int64(len(out)))
		if err != nil {
			c.close()
		}
	}
	c.writing = false
	c.nc.SetWriteDeadline(time.Time{})
	c.room.Broadcast()
	c.endIfIdle()
}

// turnAway answers what can't be read and ends the connection, after what was asked before is answered. Closing it while the
// client still sends would throw the error line away, so what comes is read for a while.
func (c *client) turnAway(line string) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	s := &slot{mem: c.mem} // no place is waited for: nothing follows it
	c.slots = append(c.slots, s)
	c.idle.Store(0)
	c.last, c.refused, c.behind = true, true, false
	c.mu.Unlock()
	c.answer(s, []byte(line))
	c.discard()
}

// rest ends a connection on which nothing is asked.
func (c *client) rest() {
	c.mu.Lock()
	c.last = true
	c.endIfIdle()
	c.mu.Unlock()
	c.discard()
}

// discard reads what comes and uses none of it, up to the end of the connection: else a client that leaves while answers are
// still owed would not be noticed.
func (c *client) discard() {
	c.in.Release()
	c.mu.Lock()
	if !c.shut {
		c.nc.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	b := make([]byte, usualRead)
	for left := restMost; left > 0; {
		n, err := c.nc.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.shut && !c.closed {
		c.room.Wait()
	}
}

// IdleSince implements [resourcelimit.ClientConnection].
func (c *client) IdleSince() (time.Duration, bool) {
	return time.Duration(c.idle.Load()), c.spoken.Load()
}

// CloseWhenIdle implements [resourcelimit.ClientConnection]. The place is wanted now: the client's own end is not waited for.
func (c *client) CloseWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	if c.shut || c.owesNothing() {
		c.close()
	}
}

// leaving says that the connection is to be ended after the answers that it owes.
func (c *client) leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// owesNothing says that all that was read is answered, and the answers are written. The caller holds mu.
func (c *client) owesNothing() bool {
	return len(c.slots) == 0 && len(c.out) == 0 && !c.writing && !c.behind
}

// endIfIdle ends a connection that is to go when nothing is owed on it. It ends its sending first and closes when the client has
// ended too, or has not for lingerWithin: a close over bytes that nobody has read resets the connection, and the reset may reach
// the client before the last answer does. The caller holds mu.
func (c *client) endIfIdle() {
	if !c.last || !c.owesNothing() || c.shut || c.closed {
		return
	}
	c.lingers = c.refused
	if half, ok := c.nc.(interface{ CloseWrite() error }); !ok ||
		c.refused && c.fr.lingering.Add(1) > c.fr.mostLingering() || half.CloseWrite() != nil {
		c.close()
		return
	}
	c.shut = true
	within := lingerWithin
	if c.refused {
		within = restWithin
	}
	c.nc.SetReadDeadline(time.Now().Add(within))
	c.room.Broadcast()
}

// close ends the connection. The caller holds mu.
func (c *client) close() {
	if !c.closed {
		c.closed = true
		c.nc.Close()
		if c.lingers {
			c.lingers = false
			c.fr.lingering.Add(-1)
		}
		c.room.Broadcast()
	}
}

// end tells the loop of the requests whose client has left.
func (c *client) end() {
	c.mu.Lock()
	c.close()
	var left []*ask // gathered under the lock, as the loop may be answering
	for _, s := range c.slots {
		if s.ask != nil {
			left = append(left, s.ask)
		}
		s.mem.Release(s.cost)
	}
	c.mem.Release(int64(len(c.out)))
	c.slots, c.out = nil, nil
	c.mu.Unlock()
	c.in.Release()
	c.fr.env.Conns.Remove(c)
	for _, a := range left {
		a.pool.Post(func() { a.pool.ClientGone(&a.Request) })
	}
}

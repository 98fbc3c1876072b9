package front

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"snowhall"
)

const (
	clientShare   = 0.55             // of the sockets that may be held, for clients
	mostPipelined = 256              // commands of one connection that may wait for their answers
	mostUnwritten = 4 << 20          // bytes of answers that a slow client may leave unread
	writeWithin   = 5 * time.Second  // a client that takes nothing for so long has gone
	commandWithin = 30 * time.Second // ... and one that does not end a command
)

// ask is a client's request as its connection read it.
type ask struct {
	conn        *client
	slot        *slot
	id          uint64        // the loop's
	at          time.Duration // when its last byte was read
	wait        time.Duration // how long the client waits from then on
	class, plan int
	customer    string
	units       float64
	spread      int
	retry       bool
	args        [][]byte // the command as it came
	list        int      // the argument that holds names and values
	waitFrom    int      // where the figure of d stands in it ...
	waitTo      int      // ... and ends
}

// slot keeps the place of a command's answer.
type slot struct {
	answer []byte
	ready  bool
	ask    *ask // nil for what the front door answers by itself
}

// clients takes connections and reads requests from them.
type clients struct {
	f     *Front
	most  int64
	count atomic.Int64

	mu  sync.Mutex
	all map[*client]bool
}

func newClients(f *Front) *clients {
	most := int64(float64(f.cfg.Sockets) * clientShare)
	if most <= 0 {
		most = 400
	}
	return &clients{f: f, most: most, all: map[*client]bool{}}
}

// accept takes connections until the listener is closed.
func (cs *clients) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			cs.f.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if cs.count.Load() >= cs.most {
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write([]byte("-ERR too many connections\r\n"))
			nc.Close()
			continue
		}
		c := &client{cs: cs, nc: nc}
		c.room = sync.NewCond(&c.mu)
		cs.count.Add(1)
		cs.mu.Lock()
		cs.all[c] = true
		cs.mu.Unlock()
		go c.read()
	}
}

// drain closes the connections that stand between two requests, and the others with their last answer. It
// says whether none is left.
func (cs *clients) drain() bool {
	cs.mu.Lock()
	all := make([]*client, 0, len(cs.all))
	for c := range cs.all {
		all = append(all, c)
	}
	cs.mu.Unlock()
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

// client is one connection of a client.
type client struct {
	cs    *clients
	nc    net.Conn
	in    respReader
	timed bool // a read deadline is set

	mu      sync.Mutex
	room    *sync.Cond // slots have become free, or the connection has ended
	slots   []*slot    // in the order of the commands
	out     []byte     // answers to be written
	writing bool       // a goroutine writes
	last    bool       // to be closed once all is answered
	closed  bool
}

// read takes commands until the connection ends.
func (c *client) read() {
	defer c.end()
	c.in.from = c
	for {
		m, err := c.in.next()
		if err != nil {
			if errors.Is(err, errMalformed) {
				c.answer(c.take(nil), []byte("-ERR Protocol error\r\n"))
				c.closeAfterAnswers()
			}
			return
		}
		// At a shutdown a connection that is always busy would never come to its end: what is read from then on
		// counts as crossing the close, and the client sends it elsewhere.
		if c.leaving() {
			c.closeAfterAnswers()
			return
		}
		if !c.command(m) {
			return
		}
	}
}

// Read reads from the socket for the respReader. Only a command that has begun has to go on in time.
func (c *client) Read(b []byte) (int, error) {
	if c.in.partial() {
		c.nc.SetReadDeadline(time.Now().Add(commandWithin))
		c.timed = true
	} else if c.timed {
		c.nc.SetReadDeadline(time.Time{})
		c.timed = false
	}
	return c.nc.Read(b)
}

// command handles one command and says whether to go on.
func (c *client) command(m redcon.RESP) bool {
	args, ok := arguments(m)
	if !ok {
		c.answer(c.take(nil), []byte("-ERR Protocol error: expected an array of bulk strings\r\n"))
		c.closeAfterAnswers()
		return false
	}
	name := strings.ToUpper(string(args[0]))
	switch name {
	case "PING":
		if !c.cs.f.ready.Load() {
			return c.reply("-LOADING no backend is known yet\r\n")
		}
		return c.reply("+PONG\r\n")
	case "Q.ASK", "Q.DO":
		a, err := c.cs.f.parse(name, args)
		if err != nil {
			return c.reply("-ERR " + err.Error() + "\r\n")
		}
		a.conn = c
		if a.slot = c.take(a); a.slot == nil {
			return false
		}
		c.cs.f.post(func() { c.cs.f.arrived(a) })
		return true
	}
	return c.reply(fmt.Sprintf("-ERR unknown command '%.40s'\r\n", printable(args[0])))
}

func (c *client) reply(line string) bool {
	s := c.take(nil)
	c.answer(s, []byte(line))
	return s != nil
}

// take keeps a place for the next answer. It waits while too many are kept already; nil: the connection ended.
func (c *client) take(a *ask) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.slots) >= mostPipelined && !c.closed {
		c.room.Wait()
	}
	if c.closed {
		return nil
	}
	s := &slot{ask: a}
	c.slots = append(c.slots, s)
	return s
}

// answer fills a slot, once. What then stands at the head is written by a goroutine of its own: a slow client
// must not hold up the caller.
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
	for len(c.slots) > 0 && c.slots[0].ready {
		c.out = append(c.out, c.slots[0].answer...)
		c.slots = c.slots[1:]
		c.room.Signal()
	}
	if len(c.out) > mostUnwritten {
		c.close()
	} else if len(c.out) > 0 && !c.writing && !c.closed {
		c.writing = true
		go c.write()
	}
}

// write writes what is there.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) > 0 && !c.closed {
		out := c.out
		c.out = nil
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
		_, err := c.nc.Write(out)
		c.mu.Lock()
		if err != nil {
			c.close()
		}
	}
	c.writing = false
	c.closeIfIdle()
}

// leaving says that the connection is to be closed after the answers that it owes.
func (c *client) leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// closeAfterAnswers closes the connection once all that it was asked is answered.
func (c *client) closeAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	c.closeIfIdle()
	for !c.closed {
		c.room.Wait()
	}
}

// closeIfIdle closes a connection that is to go when nothing is owed on it. The caller holds mu.
func (c *client) closeIfIdle() {
	if c.last && len(c.slots) == 0 && len(c.out) == 0 && !c.writing {
		c.close()
	}
}

// close ends the connection. The caller holds mu.
func (c *client) close() {
	if !c.closed {
		c.closed = true
		c.nc.Close()
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
	}
	c.slots = nil
	c.mu.Unlock()
	c.cs.mu.Lock()
	delete(c.cs.all, c)
	c.cs.mu.Unlock()
	c.cs.count.Add(-1)
	f := c.cs.f
	for _, a := range left {
		f.post(func() { f.gone(a) })
	}
}

// arguments returns a copy of the bulk strings of a command.
func arguments(m redcon.RESP) ([][]byte, bool) {
	if m.Type != redcon.Array || m.Count < 1 {
		return nil, false
	}
	raw := bytes.Clone(m.Data)
	args := make([][]byte, 0, m.Count)
	for range m.Count {
		n, e := redcon.ReadNextRESP(raw)
		if e.Type != redcon.Bulk || e.Data == nil {
			return nil, false
		}
		args = append(args, e.Data)
		raw = raw[n:]
	}
	return args, true
}

// printable makes what a client sent fit for an error line.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b))
}

// parse reads a request. What it can't read goes nowhere.
func (f *Front) parse(name string, args [][]byte) (*ask, error) {
	if len(args) != 4 && len(args) != 5 {
		return nil, fmt.Errorf("wrong number of arguments for '%s'", name)
	}
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil || len(args[1]) != 16 || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits")
	}
	if len(args[2]) == 0 {
		return nil, errors.New("the id is empty")
	}
	a := &ask{at: f.now(), args: args, list: 3, class: -1, plan: -1, customer: strings.ToLower(string(args[1]))}
	key, first := false, false
	for at, list := 0, args[3]; at <= len(list); {
		item, _, _ := bytes.Cut(list[at:], []byte{','})
		k, v, _ := strings.Cut(string(item), "=")
		ok := true
		switch k {
		case "c":
			a.class = index(f.cfg.Transport.Classes, v)
			ok = a.class >= 0
		case "t":
			a.plan = index(f.cfg.Transport.Plans, v)
			ok = a.plan >= 0
		case "d":
			ms, err := strconv.ParseUint(v, 10, 31)
			ok = err == nil && ms > 0
			a.wait = time.Duration(ms) * time.Millisecond
			a.waitFrom, a.waitTo = at+2, at+len(item)
		case "k":
			ok = v != ""
			key = true
		case "r":
			a.retry = v == "1"
			ok = v == "1" || v == "0"
		case "units":
			a.units, err = strconv.ParseFloat(v, 64)
			ok = err == nil && a.units > 0 && a.units <= 1e9
		case "spread":
			a.spread, err = strconv.Atoi(v)
			ok = err == nil && a.spread > 0
		case "first":
			n, err := strconv.Atoi(v)
			ok = err == nil && n >= 0
			first = true
		}
		if !ok {
			return nil, fmt.Errorf("ill-formed or unknown %s", printable([]byte(k)))
		}
		at += len(item) + 1
	}
	switch {
	case a.class < 0, a.plan < 0, a.wait == 0, a.units == 0, a.spread == 0, !first:
		return nil, errors.New("one of c, t, d, units, spread and first is missing")
	}
	switch effect := f.cfg.Settings.Classes[a.class].Effect; {
	case (effect == snowhall.Safe) != (name == "Q.ASK"):
		return nil, fmt.Errorf("class not served by %s", name)
	case effect == snowhall.Keyed && !key:
		return nil, errors.New("k is missing")
	}
	return a, nil
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// forward is the command for a backend: as it came but for d, which tells how long this front door will wait.
func (a *ask) forward(wait time.Duration) []byte {
	b := redcon.AppendArray(nil, len(a.args))
	for i, arg := range a.args {
		if i == a.list {
			list := append([]byte(nil), arg[:a.waitFrom]...)
			list = strconv.AppendInt(list, max(1, wait.Milliseconds()), 10)
			arg = append(list, arg[a.waitTo:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

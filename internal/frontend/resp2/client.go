package resp2

import (
	"cmp"
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
	// maxPipelinedCommands is how many commands of one connection may wait for their answers.
	maxPipelinedCommands = 256
	// pauseReadingBytes is the size of answers that wait for the client above which no further command is read.
	pauseReadingBytes = 256 << 10
	// writeBatchBytes is the size of unwritten answers at which no further answer is added to them before they are
	// written.
	writeBatchBytes = 64 << 10
	// firstCommandTimeout limits the time from connecting to the end of the first command.
	firstCommandTimeout = 2500 * time.Millisecond
	// commandTimeout limits the time from the first bytes of a later command to its end.
	commandTimeout = 2500 * time.Millisecond
	// requestOverheadBytes is the memory reserved for a request beside its text.
	requestOverheadBytes = 1 << 10
	// discardBufferBytes is the size of the buffer into which input is read that is not used.
	discardBufferBytes = 4 << 10
	// rejectedLingerTimeout is how long the rest of rejected input is read.
	rejectedLingerTimeout = 1500 * time.Millisecond
	// maxDiscardedBytes limits the rejected input that is read, and other input that is dropped while answers are owed.
	maxDiscardedBytes = 64 << 20
	// lingerTimeout is how long after the last answer the client may take to close its side of the connection.
	lingerTimeout = 300 * time.Millisecond
	// maxLingering is the upper bound of Frontend.lingeringLimit.
	maxLingering = 16
	// invalidCommandDelay is the pause before the next command is read, from the second invalid one in a row on.
	invalidCommandDelay = 50 * time.Millisecond
	// maxUnpacedReplies is how many commands in a row the gateway answers by itself before it pauses after each.
	maxUnpacedReplies = 16
	// replyDelay is that pause.
	replyDelay = 5 * time.Millisecond
	// maxInvalidCommands is the number of invalid commands in a row at which the connection is closed.
	maxInvalidCommands = 16
)

// slot holds the position of a command's answer among the answers on a connection.
type slot struct {
	answer []byte
	ready  bool
	// request is nil for a command that the gateway answers by itself.
	request *request
	// reservedBytes are reserved in memory: until the command is answered those of its text and, behind other commands,
	// those of the longest possible answer, from then on those of its answer.
	reservedBytes int64
	memory        *resourcelimit.Bytes
	// stream forwards a long value to the client; nil: the answer is not streamed.
	stream *stream
}

// client is one connection of a client.
type client struct {
	front  *Frontend
	conn   net.Conn
	reader resp.Reader
	// readDeadline is that of the command being read; zero: none has begun.
	readDeadline time.Time
	// hasReadDeadline tells that a read deadline is set on conn.
	hasReadDeadline bool
	// invalidCommands counts invalid commands in a row.
	invalidCommands int
	// replies counts commands in a row that the gateway has answered by itself.
	replies int

	// pool is that of the last request; nil: there was none. It is used by the reading goroutine only.
	pool *proxy.Proxy
	// scheduler gives access to the pool's share of the processor.
	scheduler *cpuscheduler.Flow
	// hasSentCommand tells that the client has sent a command.
	hasSentCommand atomic.Bool
	// idleSince is the event loop's time since which no request is open; 0: one is open.
	idleSince atomic.Int64

	mu sync.Mutex
	// changed is signalled when slots become free, answers are written or the connection ends.
	changed *sync.Cond
	// slots are in the order of the commands.
	slots []*slot
	// unwritten are answers that are being written, apart from those that writeRemaining holds.
	unwritten []byte
	// owedBytes is the size of all answers that are ready and not written, those in slots included.
	owedBytes int
	// memory is where unwritten is accounted: in that of the pool of the last request.
	memory *resourcelimit.Bytes
	// writing tells that a goroutine is writing to conn.
	writing bool
	// hasInput tells that bytes were read that are not yet answered: commands, or a part of one.
	hasInput bool
	// closeWhenAnswered tells that the connection ends once all is answered. What is read from now on is rejected.
	closeWhenAnswered bool
	// evicted tells that the connection's place is needed: it ends without waiting for the rest of a command.
	evicted bool
	// discarding tells that no command is handled any more: input is read and dropped.
	discarding bool
	// lastInput is what is still read on a connection that is to end; nil: that is not decided yet.
	lastInput *lastInput
	// writeClosed tells that the write side is closed and the client is expected to close its side.
	writeClosed bool
	// rejected tells that input was rejected: its rest is read for rejectedLingerTimeout.
	rejected bool
	// isCountedLingering tells that the connection is counted in Frontend.lingering.
	isCountedLingering bool
	closed             bool
	// ending is closed when the connection is evicted. It ends the reader's pauses.
	ending chan struct{}

	// commandsRead counts the commands read. It is used by the reading goroutine only.
	commandsRead int
	// lastReadAt is the event loop's time at which the bytes were read that complete the last command. It is used by
	// the reading goroutine only.
	lastReadAt time.Duration
	// wasPaused tells that reading has paused, so the client may have disconnected after the commands that it sent. It
	// is used by the reading goroutine only.
	wasPaused bool
	// hasReadAhead tells that no request was handled since the last read. It is used by the reading goroutine only.
	hasReadAhead bool
}

func newClient(fr *Frontend, nc net.Conn) *client {
	c := &client{
		front:        fr,
		scheduler:    fr.env.Scheduler,
		memory:       fr.env.Memory,
		conn:         nc,
		readDeadline: time.Now().Add(firstCommandTimeout),
		lastReadAt:   fr.env.Now(),
		ending:       make(chan struct{}),
	}
	c.changed = sync.NewCond(&c.mu)
	c.reader = resp.Reader{Source: c, Memory: fr.env.Memory}
	c.idleSince.Store(int64(fr.env.Now()))
	return c
}

// readCommands reads and handles commands until the connection ends.
func (c *client) readCommands() {
	defer c.cleanUp()
	for {
		if c.shouldHandOver() && c.handOver() {
			return
		}
		m, err := c.reader.Next()
		switch {
		case errors.Is(err, errInterrupted):
			continue
		case errors.Is(err, errWriteClosed):
			c.discard()
			return
		case errors.Is(err, errEndAmidCommand):
			c.refusePartialCommand()
			return
		case errors.Is(err, resp.ErrMalformed):
			c.rejectAndClose("-ERR Protocol error\r\n")
			return
		case errors.Is(err, resp.ErrNoMemory):
			c.rejectAndClose("-ERR no memory for a command as long as this\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && c.reader.HasPartialMessage():
			// Without a partial command no error line is sent: it could cross a request of the client.
			c.rejectAndClose("-ERR the command has not come in time\r\n")
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.endUnused()
			continue
		case err != nil:
			return
		}
		c.commandsRead++
		c.readDeadline = time.Time{}
		if c.wasPaused && socket.HasPeerClosed(c.conn) {
			return
		}
		c.wasPaused = false
		if !c.handleCommand(m) {
			return
		}
	}
}

// hasLeftBehind reports whether the client has disconnected after a request behind which more bytes were read: they may
// have come long ago, and the end is read only after them. It asks the socket once for each read.
func (c *client) hasLeftBehind() bool {
	mayHaveLeft := c.hasReadAhead && c.reader.HasPartialMessage()
	c.hasReadAhead = false
	return mayHaveLeft && socket.HasPeerClosed(c.conn)
}

// Read reads from the socket for the resp.Reader. A command has one deadline from its first bytes, however slowly the
// others arrive, and the first command of a new client has one from connecting.
func (c *client) Read(b []byte) (int, error) {
	if c.readDeadline.IsZero() && c.reader.HasPartialMessage() {
		c.readDeadline = time.Now().Add(commandTimeout)
	}
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	// This follows the deadline's setting, as Move stores its function first and sets its own deadline then.
	if c.shouldHandOver() {
		return 0, errInterrupted
	}
	n, err := c.conn.Read(b)
	if n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	c.finishRead(n)
	if n == 0 && (c.readDeadline.IsZero() || time.Now().Before(c.readDeadline)) {
		c.hasReadDeadline = true // another goroutine has set it; beginRead resets it
		return 0, errInterrupted
	}
	return n, err
}

var (
	// errInterrupted is returned by Read when another goroutine has ended a read: the connection is to be handed to
	// another process, or to end.
	errInterrupted = errors.New("reading was interrupted")
	// errWriteClosed is returned by Read once the write side is closed: the client may have sent more before it
	// noticed.
	errWriteClosed = errors.New("the connection is closed for writing")
)

// beginRead records that all whole commands that were read have been handled, and sets the deadline for the next one.
// It returns an error if the connection ends instead.
func (c *client) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasInput = c.reader.HasPartialMessage()
	if err := c.endIfDone(); err != nil {
		return err
	}
	if !c.readDeadline.IsZero() || c.hasReadDeadline {
		c.conn.SetReadDeadline(c.readDeadline)
		c.hasReadDeadline = !c.readDeadline.IsZero()
	}
	return nil
}

// finishRead records that n bytes were read.
func (c *client) finishRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return
	}
	c.hasInput, c.hasReadAhead = true, true
	c.lastReadAt = c.front.env.Now()
	if c.lastInput != nil {
		c.lastInput.unread -= n
	}
}

// shouldHandOver reports whether the connection is to be handed to another process before more is read from it. If more
// bytes of a command are buffered than a handover can carry, this process reads on first.
func (c *client) shouldHandOver() bool {
	return c.front.handOver.Load() != nil && len(c.reader.Unread()) <= handover.MaxUnreadBytes
}

// handOver waits until no answer is owed on the connection and hands it over. It returns false if the connection stays
// in this process or has ended.
func (c *client) handOver() bool {
	c.mu.Lock()
	for !c.owesNothing() && !c.closed {
		c.changed.Wait()
	}
	closed := c.closed
	c.mu.Unlock()
	to := c.front.handOver.Load()
	sc, ok := c.conn.(syscall.Conn)
	if closed || to == nil || !ok {
		return false
	}
	if err := (*to)(sc, c.reader.Unread()); err != nil {
		if c.front.handOver.CompareAndSwap(to, nil) {
			c.front.log.Error("handing over a connection failed, the remaining ones stay", "error", err)
		}
		return false
	}
	return true
}

// handleCommand handles one command and reports whether to read another one.
func (c *client) handleCommand(m redcon.RESP) bool {
	args, ok := commandArguments(m)
	if !ok {
		c.rejectAndClose("-ERR Protocol error: expected an array of bulk strings\r\n")
		return false
	}
	c.hasSentCommand.Store(true)
	name := strings.ToUpper(string(args[0]))
	switch name {
	case "PING":
		if p := c.front.env.Router.Route(c.front.defaultQuery); !isReady(p) {
			return c.reply("-LOADING no backend is known yet\r\n")
		}
		return c.reply("+PONG\r\n")
	case "Q.ASK", "Q.DO":
		if c.isClosing() { // a client that always has requests open would otherwise never be disconnected
			return c.reply("-BUSY\r\n")
		}
		if c.hasLeftBehind() {
			return false
		}
		pool, req, err := c.readRequest(name, args)
		if pool == nil {
			return c.rejectCommand("-ERR no route leads anywhere\r\n")
		}
		if errors.Is(err, errPoolFull) {
			pool.Release()
			c.front.env.Conns.Remove(c) // frees its place at once
			c.rejectAndClose(string(busyAnswer(capacityRetryAfter)))
			return false
		}
		if err != nil {
			pool.Release()
			return c.rejectCommand("-ERR " + err.Error() + "\r\n")
		}
		c.invalidCommands = 0
		req.client = c
		reservedBytes := int64(len(m.Raw)) + requestOverheadBytes
		if !c.memory.TryReserve(reservedBytes) { // only this goroutine changes the memory field
			pool.CountRejected(&req.Request)
			pool.Release()
			return c.reply(string(busyAnswer(capacityRetryAfter)))
		}
		if req.slot = c.reserveSlot(req, reservedBytes); req.slot == nil {
			pool.Release()
			return false
		}
		c.replies = 0
		pool.PostSubmit(&req.Request)
		return true
	}
	return c.rejectCommand(fmt.Sprintf("-ERR unknown command '%s'\r\n", printable(args[0])))
}

// readRequest finds the pool of a command and parses its request, on the processor share of the pool of the
// connection's last request.
func (c *client) readRequest(name string, args [][]byte) (*proxy.Proxy, *request, error) {
	scheduler := c.scheduler
	entered := scheduler.Enter()
	defer scheduler.Leave(entered)
	pool := c.front.route(args)
	if pool == nil {
		return nil, nil, nil
	}
	if !c.joinPool(pool) {
		return pool, nil, errPoolFull
	}
	req, err := c.front.parseRequest(pool, name, args, c.lastReadAt)
	return pool, req, err
}

// errPoolFull is returned for a request whose pool accepts no more connections.
var errPoolFull = errors.New("the pool has reached its connection limit")

// joinPool moves the connection to a pool, whose shares of the processor, the memory and the connections it uses from
// then on. It returns false if the pool has reached its connection limit.
func (c *client) joinPool(pool *proxy.Proxy) bool {
	if c.pool == pool {
		return true
	}
	if pool.Clients != nil && !c.front.env.Conns.Assign(c, pool.Clients) {
		return false
	}
	c.pool = pool
	if pool.Scheduler != nil {
		c.scheduler = pool.Scheduler
	}
	if pool.Memory == nil {
		return true
	}
	c.reader.SetMemory(pool.Memory)
	c.mu.Lock()
	n := int64(len(c.unwritten))
	c.memory.Release(n)
	pool.Memory.Adjust(n)
	c.memory = pool.Memory
	c.mu.Unlock()
	return true
}

// isReady reports whether a pool can serve requests, and releases it. Without a pool it returns true, as a PING names
// no destination.
func isReady(p *proxy.Proxy) bool {
	if p == nil {
		return true // a request names its destination and is rejected if no route fits
	}
	defer p.Release()
	return p.Ready()
}

// rejectCommand answers an invalid command with an error line and reports whether to read on. From the second one in a
// row on it pauses before that, as a client that repeats invalid commands would otherwise take the processor from the
// other clients.
func (c *client) rejectCommand(line string) bool {
	if c.invalidCommands++; c.invalidCommands >= maxInvalidCommands {
		c.rejectAndClose(line)
		return false
	}
	ok := c.reply(line)
	if c.invalidCommands > 1 && ok {
		c.pause(invalidCommandDelay)
	}
	return ok
}

// reply answers a command that is not submitted, and reports whether the connection goes on. After maxUnpacedReplies in
// a row it pauses, as a client that sends such commands at full speed would otherwise take the processor from the other
// clients. Behind an open request no pause is needed, since few answers may wait there.
func (c *client) reply(line string) bool {
	s := c.reserveSlot(nil, 0)
	c.completeSlot(s, []byte(line))
	if s == nil {
		return false
	}
	if c.replies++; c.replies > maxUnpacedReplies && c.idleSince.Load() != 0 {
		c.pause(replyDelay)
	}
	return true
}

// pause delays the reading of the next command. It ends early if the connection is evicted.
func (c *client) pause(delay time.Duration) {
	c.wasPaused = true
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ending:
	}
}

// reserveSlot appends a slot for the next answer. It waits while there are too many slots, while the client does not
// accept its answers, or while there is no memory for one more answer behind others. It returns nil if the connection
// has ended. The caller has reserved the memory, which is then released.
func (c *client) reserveSlot(req *request, reservedBytes int64) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	answerBytes, ok := c.reserveAnswer(req)
	for ; !ok && !c.closed; answerBytes, ok = c.reserveAnswer(req) {
		c.wasPaused = true
		c.changed.Wait()
		c.lastReadAt = c.front.env.Now() // the request's time starts after the wait for earlier commands
	}
	reservedBytes += answerBytes
	if c.closed {
		c.memory.Release(reservedBytes)
		return nil
	}
	s := &slot{request: req, reservedBytes: reservedBytes, memory: c.memory}
	c.slots = append(c.slots, s)
	c.idleSince.Store(0)
	return s
}

// reserveAnswer reserves memory for the answer to one more command and reports whether the command may be handled now.
// An answer has to be kept while earlier ones on its connection are owed, so there is memory for it before the request
// is forwarded. A connection that owes nothing needs none: each client has one request at a time in any case. Half of
// the memory is left to what can't wait. Since the earlier commands end in time, a command waits for a bounded time
// whatever other connections hold. The caller holds mu.
func (c *client) reserveAnswer(req *request) (reservedBytes int64, ok bool) {
	isBehind := c.writing && c.owedBytes > pauseReadingBytes
	switch {
	case len(c.slots) >= maxPipelinedCommands || isBehind:
		return 0, false
	case req == nil || c.owesNothing():
		return 0, true
	case !c.memory.TryReserveSpare(resp.MaxValueBytes):
		return 0, false
	}
	return resp.MaxValueBytes, true
}

// owesNothing reports whether all commands are answered and the answers are written. The caller holds mu.
func (c *client) owesNothing() bool { return len(c.slots) == 0 && len(c.unwritten) == 0 && !c.writing }

// completeSlot sets the answer of a slot; later calls for the slot have no effect. It writes the leading answers that
// are ready as far as the socket accepts them at once. A goroutine of its own writes the rest, as a slow client must
// not block the caller.
func (c *client) completeSlot(s *slot, line []byte) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ready {
		return
	}
	if c.closed { // cleanUp releases what the slot has reserved
		s.ready, s.request = true, nil
		c.changed.Broadcast()
		return
	}
	s.answer, s.ready, s.request = line, true, nil
	s.memory.Adjust(int64(len(line)) - s.reservedBytes)
	s.reservedBytes = int64(len(line))
	c.owedBytes += len(line)
	if s.stream != nil && s.stream.started {
		if line != nil { // within a value only the end of the connection can tell of a failure
			c.close()
			return
		}
		c.writing = false
		c.conn.SetWriteDeadline(time.Time{}) // it would otherwise apply to later answers
	}
	c.changed.Broadcast() // wakes the stream of a request that has ended
	if !c.writing {
		c.writeReady()
	}
}

// takeReady moves the leading answers that are ready to unwritten, up to a batch. The others stay in their slots, as
// copying all of them would take their memory twice. The caller holds mu.
func (c *client) takeReady() {
	for len(c.slots) > 0 && c.slots[0].ready && len(c.unwritten) < writeBatchBytes {
		first := c.slots[0]
		if len(c.unwritten) == 0 {
			c.unwritten = first.answer
		} else {
			c.unwritten = append(c.unwritten, first.answer...)
		}
		if first.memory != c.memory { // the connection has moved to another pool
			first.memory.Release(first.reservedBytes)
			c.memory.Adjust(first.reservedBytes)
		}
		c.slots[0] = nil
		c.slots = c.slots[1:]
		c.changed.Broadcast()
		if len(c.slots) == 0 {
			c.idleSince.Store(int64(c.front.env.Now()))
		}
	}
}

// writeReady writes the leading answers that are ready, as far as the socket accepts them without blocking. The caller
// holds mu.
func (c *client) writeReady() {
	for c.takeReady(); len(c.unwritten) > 0; c.takeReady() {
		n, err := socket.WriteNow(c.conn, c.unwritten)
		c.memory.Release(int64(n))
		c.owedBytes -= n
		c.unwritten = c.unwritten[n:]
		if err != nil {
			c.close()
			return
		}
		if len(c.unwritten) > 0 {
			c.writing = true
			go c.writeRemaining()
			return
		}
	}
	c.unwritten = nil
	c.endIfIdle()
}

// writeRemaining writes until no answers are left. It runs in a goroutine of its own.
func (c *client) writeRemaining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.takeReady(); len(c.unwritten) > 0 && !c.closed; c.takeReady() {
		out, mem := c.unwritten, c.memory
		c.unwritten = nil
		c.changed.Broadcast()
		c.mu.Unlock()
		err := c.write(out)
		c.mu.Lock()
		mem.Release(int64(len(out)))
		c.owedBytes -= len(out)
		if err != nil {
			c.close()
		}
	}
	c.writing = false
	c.conn.SetWriteDeadline(time.Time{})
	c.changed.Broadcast()
	c.endIfIdle()
}

// write writes to the connection for as long as the client accepts bytes. It blocks. The caller has exclusive use of
// the write side.
func (c *client) write(b []byte) error {
	timeout := cmp.Or(c.front.cfg.WriteTimeout, defaultWriteTimeout)
	for {
		queued := socket.SendQueue(c.conn)
		c.conn.SetWriteDeadline(time.Now().Add(timeout))
		n, err := c.conn.Write(b)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		// The system accepts more only when a good part of its send queue is free, which takes a slow reader long.
		if n == 0 && socket.SendQueue(c.conn) >= queued {
			return err
		}
		b = b[n:]
	}
}

// cleanUp closes the connection, releases its resources and tells the event loop of its open requests.
func (c *client) cleanUp() {
	c.mu.Lock()
	c.close()
	var open []*request // collected under the lock, as the event loop may be answering
	for _, s := range c.slots {
		if s.request != nil {
			open = append(open, s.request)
		}
		s.memory.Release(s.reservedBytes)
	}
	c.memory.Release(int64(len(c.unwritten)))
	c.slots, c.unwritten = nil, nil
	c.mu.Unlock()
	c.reader.Release()
	c.front.env.Conns.Remove(c)
	for _, req := range open {
		req.pool.Post(func() { req.pool.ClientGone(&req.Request) })
	}
}

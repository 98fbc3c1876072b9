package resp2

import (
	"errors"
	"slices"
	"time"

	"gapgap/internal/proxy"
	"gapgap/internal/socket"
)

// lastInput is what is still read on a connection that is to end and owes no answer: the bytes that had arrived when
// that was found, and the rest of one command. Its commands are answered, so no request that was read is dropped, and a
// client that goes on sending does not keep its connection.
type lastInput struct {
	// unread is the number of those bytes that are not read yet.
	unread int
	// lastCommand is the number, in client.commandsRead, of the command whose rest is read; 0: not known yet.
	lastCommand int
	// commandLimit is the number in client.commandsRead from which on no further command is read.
	commandLimit int
}

// errEndAmidCommand is returned by Read on a connection that ends although a part of a command was read from it.
var errEndAmidCommand = errors.New("the connection ends amid a command")

// interruptedDeadline is a read deadline in the past, which ends a read at once.
var interruptedDeadline = time.Unix(1, 0)

// endIfDone ends a connection that is to end if no answer is owed on it and nothing remains to be read. Only the
// reading goroutine can decide that: bytes that it has just read, or that have arrived meanwhile, may be a request. It
// returns nil if reading goes on. The caller holds mu.
func (c *client) endIfDone() error {
	switch {
	case c.writeClosed:
		return errWriteClosed
	case !c.closeWhenAnswered || !c.owesNothing() || c.closed || c.readsOn():
		return nil
	case c.reader.HasPartialMessage():
		return errEndAmidCommand
	}
	c.shutDown()
	return errWriteClosed
}

// readsOn reports whether more is read on a connection that is to end: see lastInput. The caller holds mu.
func (c *client) readsOn() bool {
	if c.lastInput == nil {
		c.lastInput = &lastInput{
			unread:       socket.ReceiveQueue(c.conn),
			commandLimit: c.commandsRead + maxPipelinedCommands,
		}
	}
	last := c.lastInput
	switch {
	case c.commandsRead >= last.commandLimit:
		return false
	case last.unread > 0:
		return true
	case c.evicted || !c.reader.HasPartialMessage():
		return false
	case last.lastCommand == 0:
		last.lastCommand = c.commandsRead + 1
	}
	return c.commandsRead < last.lastCommand
}

// endIfIdle ends a connection that is to end, if no answer is owed on it. If commands are still read from it, its
// reader does that: see endIfDone. The caller holds mu.
func (c *client) endIfIdle() {
	switch {
	case !c.closeWhenAnswered || !c.owesNothing() || c.writeClosed || c.closed:
	case c.discarding:
		c.shutDown()
	default:
		c.conn.SetReadDeadline(interruptedDeadline)
	}
}

// rejectAndClose answers input that can't be read with an error line, and ends the connection after the answers to
// earlier commands. Closing it while the client still sends would discard the error line, so input is read for a while.
func (c *client) rejectAndClose(line string) {
	c.mu.Lock()
	c.rejected = true
	c.mu.Unlock()
	c.answerAndClose(line)
}

// refusePartialCommand answers a command of which only a part was read, on a connection that is to end.
func (c *client) refusePartialCommand() {
	c.mu.Lock()
	isEvicted := c.evicted
	c.rejected = isEvicted
	c.mu.Unlock()
	if isEvicted {
		c.front.env.Conns.Remove(c) // frees its place at once
	}
	c.answerAndClose("-BUSY\r\n")
}

// answerAndClose gives the last answer on a connection, and ends it after the answers to earlier commands. Input that
// follows is dropped.
func (c *client) answerAndClose(line string) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	s := &slot{memory: c.memory} // the slot limit does not apply, as no slot follows
	c.slots = append(c.slots, s)
	c.idleSince.Store(0)
	c.closeWhenAnswered, c.discarding, c.hasInput = true, true, false
	c.mu.Unlock()
	c.completeSlot(s, []byte(line))
	c.discard()
}

// endUnused ends a connection whose client has sent no command in time. A command that has arrived meanwhile is
// answered.
func (c *client) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenAnswered = true
	c.readDeadline = time.Time{}
	c.hasReadDeadline = true // beginRead resets the one that has passed
}

// discard reads and drops input until the connection ends. Without reading, a client that disconnects while answers are
// still owed would not be noticed.
func (c *client) discard() {
	c.reader.Release()
	c.mu.Lock()
	c.discarding, c.hasInput = true, false
	if !c.writeClosed {
		c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	b := make([]byte, discardBufferBytes)
	for left := maxDiscardedBytes; left > 0; {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.writeClosed && !c.closed {
		c.changed.Wait()
	}
}

// IdleSince implements [resourcelimit.ClientConnection].
func (c *client) IdleSince() (time.Duration, bool) {
	return time.Duration(c.idleSince.Load()), c.hasSentCommand.Load()
}

// CloseWhenIdle implements [resourcelimit.ClientConnection]. The place is needed at once, so it does not wait until the
// client closes its side, nor for the rest of a command. Requests that were read are answered first.
func (c *client) CloseWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenAnswered = true
	if !c.evicted {
		c.evicted = true
		close(c.ending)
	}
	if c.writeClosed {
		c.close()
		return
	}
	c.endIfIdle()
}

// drainStatus returns what keeps the connection of a frontend that drains.
func (c *client) drainStatus() proxy.DrainStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	isStreamed := func(s *slot) bool { return s.stream != nil }
	isMoving := c.writing || len(c.unwritten) > 0 || c.hasInput || slices.ContainsFunc(c.slots, isStreamed)
	if isMoving && !c.closed {
		return proxy.Transferring
	}
	return proxy.AwaitingAnswers
}

// isClosing reports whether the connection is to end after the answers that are owed on it.
func (c *client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWhenAnswered
}

// shutDown ends a connection on which no answer is owed. It closes the write side first, and the connection when the
// client has closed its side or the linger timeout has passed: closing a socket with unread bytes resets the
// connection, and the reset may reach the client before the last answer does. An evicted connection is closed at once,
// unless the rest of its input is rejected. The caller holds mu.
func (c *client) shutDown() {
	c.isCountedLingering = c.rejected
	half, ok := c.conn.(interface{ CloseWrite() error })
	isEvictedIdle := c.evicted && !c.discarding
	if isEvictedIdle || !ok || c.rejected && c.front.lingering.Add(1) > c.front.lingeringLimit() ||
		half.CloseWrite() != nil {
		c.close()
		return
	}
	c.writeClosed = true
	timeout := lingerTimeout
	if c.rejected {
		timeout = rejectedLingerTimeout
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	c.changed.Broadcast()
}

// close closes the connection. The caller holds mu.
func (c *client) close() {
	if !c.closed {
		c.closed = true
		c.conn.Close()
		if c.isCountedLingering {
			c.isCountedLingering = false
			c.front.lingering.Add(-1)
		}
		c.changed.Broadcast()
	}
}

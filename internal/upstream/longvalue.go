package upstream

import (
	"errors"
	"fmt"
	"strconv"

	"gapgap/internal/balancer"
	"gapgap/internal/resp"
)

const (
	// maxValueBytes bounds an answer's value; from resp.MaxValueBytes on it is passed on as it comes.
	maxValueBytes = 4 << 20
	// longChunkBytes is how much of a long value is held at most.
	longChunkBytes = 32 << 10
	// minLongChunkBytes is held where the budget for long values is used up.
	minLongChunkBytes = 4 << 10
)

// errNoConsumer says that nobody takes the value.
var errNoConsumer = errors.New("nobody takes the value")

// forwardLongValue reads an answer that begins with a long value and passes that on as it comes. It reads no more than has
// been taken, so whoever is slower sets the pace. The rest of the answer holds the figures only: if it does not come
// the connection is not used again, and the value has been served all the same.
func (c *connection) forwardLongValue() (reply, error) {
	items, size := c.reader.StartLongValue()
	sink := c.beginLongValue(size)
	if sink == nil {
		c.noConsumer.Store(true)
		return reply{}, errNoConsumer
	}
	chunk := int64(longChunkBytes)
	memory := c.pool.cfg.ValueMemory
	switch {
	case memory == nil:
	case memory.TryReserve(chunk):
		defer memory.Release(chunk)
	default:
		chunk = minLongChunkBytes
	}
	c.longValue = true
	err := c.copyLongValue(sink, size, make([]byte, chunk))
	c.longValue = false
	if err != nil {
		return reply{}, err
	}
	r := reply{status: balancer.OK}
	for i := 1; i < items; i++ {
		message, err := c.reader.Next()
		if err != nil {
			r.surplus = true
			break
		}
		if i == 1 {
			r.quotaUsed = parseQuotaUsed(message.Data)
		}
	}
	return r, nil
}

// copyLongValue passes a value of a size on, with its head and its end of line. That end is checked before it goes
// out: a value whose length is wrong must not look complete.
func (c *connection) copyLongValue(sink Sink, size int, buffer []byte) error {
	head := append(strconv.AppendInt(append(buffer[:0], '$'), int64(size), 10), "\r\n"...)
	for left := size; left > 0; {
		n, err := c.reader.ReadLongValue(buffer[len(head):min(len(buffer), len(head)+left)])
		if n == 0 && err != nil {
			return err
		}
		left -= n
		if err := c.writeToSink(sink, buffer[:len(head)+n]); err != nil {
			return err
		}
		head = buffer[:0]
	}
	for end := buffer[:0]; len(end) < 2; {
		n, err := c.reader.ReadLongValue(buffer[len(end):2])
		if n == 0 && err != nil {
			return err
		}
		end = buffer[:len(end)+n]
	}
	if buffer[0] != '\r' || buffer[1] != '\n' {
		return fmt.Errorf("%w: a long value with a wrong length", resp.ErrMalformed)
	}
	return c.writeToSink(sink, buffer[:2])
}

// writeToSink gives a sink a piece of a long value.
func (c *connection) writeToSink(sink Sink, piece []byte) error {
	if err := sink.Write(piece); err != nil {
		c.noConsumer.Store(true)
		return fmt.Errorf("%w: %w", errNoConsumer, err)
	}
	return nil
}

// beginLongValue asks the loop who takes a long value; nil: the attempt has been given up.
func (c *connection) beginLongValue(size int) Sink {
	answer := make(chan Sink, 1)
	c.pool.loop.Post(func() { answer <- c.pool.handleLongValue(c, size) })
	select {
	case sink := <-answer:
		return sink
	case <-c.pool.loop.Done():
		return nil
	}
}

// handleLongValue is the loop's part of beginLongValue. From here on the value has as long as it takes.
func (p *Pool) handleLongValue(c *connection, size int) Sink {
	attempt := c.attempt
	if c.closed || attempt == nil || c.writeState.Load() != writeComplete {
		return nil
	}
	sink := attempt.Owner.StartLongValue(size)
	if sink != nil {
		attempt.timeoutTimer.Stop()
		attempt.longValueAt = p.loop.Now()
		c.endpoint.lastAnswerAt = attempt.longValueAt
	}
	return sink
}

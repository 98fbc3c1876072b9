package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/resp"
)

const (
	// maxValueBytes bounds the value of an answer. Values of resp.MaxValueBytes or more are streamed.
	maxValueBytes = 4 << 20
	// longChunkBytes is the buffer size for a long value.
	longChunkBytes = 32 << 10
	// minLongChunkBytes is the buffer size when the memory budget for long values is exhausted.
	minLongChunkBytes = 4 << 10
)

// errNoConsumer reports that nobody accepts the value.
var errNoConsumer = errors.New("nobody accepts the long value")

// forwardLongValue reads an answer that begins with a long value and streams the value to a sink. It reads no more than
// the sink has accepted, so a slow client slows down the endpoint. The owner learns of the end of the value at once. An
// endpoint that has only announced the value has given nothing yet, so the attempt has its deadline until the first
// bytes come.
func (c *connection) forwardLongValue() (reply, error) {
	items, size := c.reader.StartLongValue()
	if !c.reader.HasPartialMessage() {
		c.reportBegun()
	}
	if err := c.reader.AwaitLongValue(); err != nil {
		return reply{}, err
	}
	c.longValue = true
	c.resetValueTimeout()
	sink := c.beginLongValue(size)
	if sink == nil {
		c.noConsumer.Store(true)
		return reply{}, errNoConsumer
	}
	chunk := int64(longChunkBytes)
	memory := c.pool.cfg.ValueMemory
	switch {
	case memory == nil:
	case memory.TryReserveSpare(chunk): // the other half is left to answers that are kept whole
		defer memory.Release(chunk)
	default:
		chunk = minLongChunkBytes
	}
	err := c.copyLongValue(sink, size, make([]byte, chunk))
	c.longValue = false
	if err != nil {
		return reply{}, err
	}
	c.pool.loop.Post(func() { c.pool.handleValueComplete(c, nil) })
	return c.readUsageFigures(items - 1), nil
}

// readUsageFigures reads the items that follow a long value. They contain only usage figures: if they do not arrive in
// time, the value still counts as served, but the connection is not reused.
func (c *connection) readUsageFigures(items int) reply {
	r := reply{status: balancer.OK}
	c.usageDeadline = c.usageTimeoutFromNow()
	defer func() { c.usageDeadline = time.Time{} }()
	for i := range items {
		message, err := c.reader.Next()
		if err != nil {
			r.surplus = true
			break
		}
		if i == 0 {
			r.quotaUsed = parseQuotaUsed(message.Data)
		}
	}
	return r
}

// handleValueComplete reports on the loop that the value of an answer is complete. A nil value was written to its sink.
func (p *Pool) handleValueComplete(c *connection, value []byte) {
	attempt := c.attempt
	if c.closed || attempt == nil {
		return
	}
	attempt.timeoutTimer.Stop()
	attempt.valueComplete = true
	attempt.Owner.CompleteValue(value)
}

// handleAnswerBegun records on the loop that the first bytes of an answer have come. From here on the attempt has the
// deadline of an answer that has begun.
func (p *Pool) handleAnswerBegun(c *connection) {
	attempt := c.attempt
	if c.closed || attempt == nil {
		return
	}
	p.recordAnswerBegun(c)
	attempt.timeoutTimer.Stop()
	deadline := max(attempt.Deadline, attempt.AnswerDeadline)
	attempt.timeoutTimer = p.loop.At(deadline, func() { p.handleTimeout(c, attempt) })
	attempt.Owner.BeginAnswer()
}

// recordAnswerBegun records the time of the first bytes of an answer.
func (p *Pool) recordAnswerBegun(c *connection) {
	c.endpoint.lastAnswerAt = p.loop.Now()
	if c.attempt.answerBegunAt == 0 {
		c.attempt.answerBegunAt = c.endpoint.lastAnswerAt
	}
}

// copyLongValue copies a value of the given size to a sink, including its header and line end. The line end is checked
// before it is written: a value whose announced length is wrong must not look complete to the client.
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
		return fmt.Errorf("%w: the long value does not end at its announced length", resp.ErrMalformed)
	}
	return c.writeToSink(sink, buffer[:2])
}

// writeToSink writes a piece of a long value to a sink.
func (c *connection) writeToSink(sink Sink, piece []byte) error {
	if err := sink.Write(piece); err != nil {
		c.noConsumer.Store(true)
		return fmt.Errorf("%w: %w", errNoConsumer, err)
	}
	return nil
}

// awaitWriter waits until the command has been written or has failed. An endpoint may answer before the goroutine that
// writes the rest of a large command has said that the last byte is out.
func (c *connection) awaitWriter() {
	if c.writeState.Load() != writeStarted {
		return
	}
	writing := make(chan (<-chan struct{}), 1)
	c.pool.loop.Post(func() { writing <- c.writing })
	select {
	case ended := <-writing:
		if ended != nil {
			<-ended
		}
	case <-c.pool.loop.Done():
	}
}

// beginLongValue asks the loop for the sink of a long value. It returns nil if the attempt has been abandoned.
func (c *connection) beginLongValue(size int) Sink {
	c.awaitWriter()
	answer := make(chan Sink, 1)
	c.pool.loop.Post(func() { answer <- c.pool.handleLongValue(c, size) })
	select {
	case sink := <-answer:
		return sink
	case <-c.pool.loop.Done():
		return nil
	}
}

// handleLongValue is the part of beginLongValue that runs on the loop. The first bytes of the value have come. From
// here on the attempt has no deadline: the value is bounded by the time between two pieces.
func (p *Pool) handleLongValue(c *connection, size int) Sink {
	attempt := c.attempt
	if c.closed || attempt == nil || c.writeState.Load() != writeComplete {
		return nil
	}
	sink := attempt.Owner.StartLongValue(size)
	if sink != nil {
		attempt.timeoutTimer.Stop()
		p.recordAnswerBegun(c)
	}
	return sink
}

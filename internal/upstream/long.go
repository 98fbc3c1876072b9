package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/resp"
)

var errUnwanted = errors.New("nobody takes the value")

// pass reads an answer that begins with a long value and passes that on as it comes. It reads no more than has been taken, so
// whoever is slower sets the pace. The rest of the answer says no more than the figures: one that does not come ends the
// connection, and the value has been served all the same.
func (c *conn) pass() (reply, error) {
	items, size := c.in.Long()
	to := c.wanted(size)
	if to == nil {
		c.unwanted.Store(true)
		return reply{}, errUnwanted
	}
	n := int64(longBuffer)
	if c.p.cfg.Values == nil || c.p.cfg.Values.Take(n) {
		if c.p.cfg.Values != nil {
			defer c.p.cfg.Values.Give(n)
		}
	} else {
		n = longLeast
	}
	c.long = true
	err := c.copy(to, size, make([]byte, n))
	c.long = false
	if err != nil {
		return reply{}, err
	}
	r := reply{status: balancer.OK}
	for i := 1; i < items; i++ {
		m, err := c.in.Next()
		if err != nil {
			r.surplus = true // as if: it is not used again
			break
		}
		if i == 1 {
			r.used = used(m.Data)
		}
	}
	return r, nil
}

// copy passes a value of a size on, with its head and its end of line. That end is checked before it goes out: a value whose
// length is wrong must not look whole.
func (c *conn) copy(to Sink, size int, buf []byte) error {
	b := append(strconv.AppendInt(append(buf[:0], '$'), int64(size), 10), "\r\n"...)
	for left := size; left > 0; {
		n, err := c.in.ReadLong(buf[len(b):min(len(buf), len(b)+left)])
		if n == 0 && err != nil {
			return err
		}
		left -= n
		if err := to.Write(buf[:len(b)+n]); err != nil {
			c.unwanted.Store(true)
			return fmt.Errorf("%w: %w", errUnwanted, err)
		}
		b = buf[:0]
	}
	for end := buf[:0]; len(end) < 2; {
		n, err := c.in.ReadLong(buf[len(end):2])
		if n == 0 && err != nil {
			return err
		}
		end = buf[:len(end)+n]
	}
	if buf[0] != '\r' || buf[1] != '\n' {
		return fmt.Errorf("%w: a long value with a wrong length", resp.ErrMalformed)
	}
	if err := to.Write(buf[:2]); err != nil {
		c.unwanted.Store(true)
		return fmt.Errorf("%w: %w", errUnwanted, err)
	}
	return nil
}

// wanted asks the loop who takes a long value; nil: the attempt has been given up.
func (c *conn) wanted(size int) Sink {
	to := make(chan Sink, 1)
	c.p.l.Post(func() { to <- c.p.began(c, size) })
	select {
	case s := <-to:
		return s
	case <-c.p.l.Done():
		return nil
	}
}

// began is the loop's part of wanted.
func (bs *Pool) began(c *conn, size int) Sink {
	a := c.attempt
	if c.closed || a == nil || c.sent.Load() != whole {
		return nil
	}
	to := a.Owner.Begun(size)
	if to != nil {
		a.timeout.Stop() // from here on the value has the time that it takes
		a.first = bs.l.Now()
		c.b.heard = a.first
	}
	return to
}

// Took is the time until the answer: of a long value until its first byte.
func (a *Attempt) Took(now time.Duration) time.Duration {
	if a.first > 0 {
		return a.first - a.At
	}
	return now - a.At
}

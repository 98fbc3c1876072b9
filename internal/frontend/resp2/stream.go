package resp2

import (
	"cmp"
	"errors"
	"time"

	"gapgap/internal/upstream"
)

// stall is how long a client may take nothing of a long value before it is given up: the default. A piece is 32 KiB at most.
const stall = 5 * time.Second

var errGone = errors.New("the client has gone, or what it asked is over")

// stream passes a long value on to a client. The goroutine that reads the value calls Write; the connection is its own from its
// turn among the answers on until the request has its final answer.
type stream struct {
	c     *client
	s     *slot
	begun bool // a part has gone out; under the client's mu
}

// Stream implements [core.Streamer].
func (a *ask) Stream(int) upstream.Sink {
	st := &stream{c: a.conn, s: a.slot}
	a.conn.mu.Lock()
	a.slot.stream = st
	a.conn.mu.Unlock()
	return st
}

// Write implements [upstream.Sink].
func (st *stream) Write(b []byte) error {
	if !st.turn() {
		return errGone
	}
	st.c.nc.SetWriteDeadline(time.Now().Add(cmp.Or(st.c.fr.cfg.Stall, stall)))
	_, err := st.c.nc.Write(b)
	return err
}

// turn waits until all answers before are written. false: the client has gone, or the request has had another answer.
func (st *stream) turn() bool {
	c := st.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for !st.begun && !c.closed && !st.s.ready && (c.slots[0] != st.s || len(c.out) > 0 || c.writing) {
		c.room.Wait()
	}
	if c.closed || st.s.ready {
		return false
	}
	st.begun, c.writing = true, true
	return true
}

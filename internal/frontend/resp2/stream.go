package resp2

import (
	"errors"

	"gapgap/internal/upstream"
)

// errClientGone is returned by Write when the value can no longer be delivered.
var errClientGone = errors.New("the client has disconnected or its request has ended")

// stream forwards a long value to a client. The goroutine that reads the value calls Write. It has exclusive use of the
// connection's write side from the stream's turn among the answers until the request's final answer.
type stream struct {
	client *client
	slot   *slot
	// started tells that the stream has had its turn. It is guarded by the client's mu.
	started bool
}

// Stream implements [proxy.Streamer].
func (req *request) Stream(int) upstream.Sink {
	st := &stream{client: req.client, slot: req.slot}
	req.client.mu.Lock()
	req.slot.stream = st
	req.client.mu.Unlock()
	return st
}

// Write implements [upstream.Sink].
func (st *stream) Write(b []byte) error {
	if !st.waitForTurn() {
		return errClientGone
	}
	return st.client.write(b)
}

// waitForTurn waits until all earlier answers are written. It returns false if the client has disconnected or the
// request has had another answer.
func (st *stream) waitForTurn() bool {
	c := st.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for !st.started && !c.closed && !st.slot.ready && (c.slots[0] != st.slot || len(c.unwritten) > 0 || c.writing) {
		c.changed.Wait()
	}
	if c.closed || st.slot.ready {
		return false
	}
	st.started, c.writing = true, true
	return true
}

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// dialTimeout bounds how long a connection to a gateway may take.
	dialTimeout = time.Second
	// requestTimeout bounds one request on a connection.
	requestTimeout = 2 * time.Second
	// requestDeadline is what a request says of how long its client waits.
	requestDeadline = time.Second
	// maxValueBytes bounds the value of an answer.
	maxValueBytes = 1 << 20
)

// requestClient makes requests of Customer at one gateway over RESP2. It belongs to one goroutine.
type requestClient struct {
	gateway *Door
	// conn is nil while there is no connection.
	conn   net.Conn
	reader *bufio.Reader
	// workedAt is when the connection was last seen to work.
	workedAt time.Time
}

// close closes the connection, if there is one.
func (c *requestClient) close() {
	if c.conn != nil {
		_ = c.conn.Close() // no answer is awaited
		c.conn = nil
	}
}

// request makes one request and reads its answer, on a new connection if there is none. It returns since when the
// gateway must have been reachable for the outcome to count: when the request was made, or when the connection last
// worked, if that was to a process that is gone.
func (c *requestClient) request() (askedAt time.Time, err error) {
	askedAt = time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.Addr(resp2Listener), dialTimeout)
		if err != nil {
			return askedAt, err
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
		c.workedAt = askedAt
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout)) // a connection that has ended fails below
	if err = c.exchange(requestID(c.gateway.index, askedAt)); err == nil {
		c.workedAt = time.Now()
		return askedAt, nil
	}
	c.close()
	if c.gateway.Away(c.workedAt, time.Now()) { // a gateway may be back within the pause between two requests
		askedAt = c.workedAt
	}
	return askedAt, err
}

// exchange sends a request and reads its answer, which must name the request's id.
func (c *requestClient) exchange(id string) error {
	line, err := exchangeFirstLine(c.conn, c.reader, id, len(c.gateway.rig.Doors))
	if err != nil {
		return err
	}
	if strings.HasPrefix(line, "-BUSY") {
		return nil
	}
	size, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
	if line[0] != '$' || err != nil || size < 0 || size > maxValueBytes {
		return fmt.Errorf("%w: %q", errUnexpectedAnswer, line)
	}
	value := make([]byte, size+len("\r\n"))
	if _, err = io.ReadFull(c.reader, value); err != nil {
		return err
	}
	if !bytes.Contains(value, []byte(id)) {
		return fmt.Errorf("%w: an answer to another request, %.80q", errUnexpectedAnswer, value)
	}
	return nil
}

// exchangeFirstLine sends a request of Customer and reads the first line of its answer.
func exchangeFirstLine(conn net.Conn, reader *bufio.Reader, id string, spread int) (string, error) {
	if err := writeCommand(conn, "Q.ASK", Customer, id, evaluateParameters(requestDeadline, spread)); err != nil {
		return "", err
	}
	return reader.ReadString('\n')
}

// Ask makes one request over RESP2 at a gateway, on a connection of its own. It returns the first line of the answer,
// and after what time that came.
func (r *Rig) Ask(n int) (line string, took time.Duration, err error) {
	conn, err := net.DialTimeout("tcp", r.Doors[n].Addr(resp2Listener), dialTimeout)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = conn.Close() }()                  // the rest of the answer is not read
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // a connection that has ended fails below
	askedAt := time.Now()
	line, err = exchangeFirstLine(conn, bufio.NewReader(conn), requestID(n, askedAt), len(r.Doors))
	return strings.TrimSpace(line), time.Since(askedAt), err
}

// requestID returns the id of a request: the index of its gateway and when it was made.
func requestID(gateway int, askedAt time.Time) string {
	return fmt.Sprintf("d%d-%d", gateway, askedAt.UnixNano())
}

// parseRequestID returns what requestID was given; ok is false for other ids.
func parseRequestID(id string) (gateway int, askedAt time.Time, ok bool) {
	var nanoseconds int64
	_, err := fmt.Sscanf(id, "d%d-%d", &gateway, &nanoseconds)
	return gateway, time.Unix(0, nanoseconds), err == nil
}

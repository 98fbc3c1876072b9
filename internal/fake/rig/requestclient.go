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
	// dialTimeout is the timeout for connecting to a gateway.
	dialTimeout = time.Second
	// requestTimeout is the timeout of one request on a connection.
	requestTimeout = 2 * time.Second
	// requestDeadline is the deadline that a client states in each request.
	requestDeadline = time.Second
	// maxValueBytes is the maximum size of the value of an answer.
	maxValueBytes = 1 << 20
)

// requestClient sends requests of Customer to one gateway over RESP2. It is not safe for concurrent use.
type requestClient struct {
	gateway *Door
	// conn is nil while there is no connection.
	conn   net.Conn
	reader *bufio.Reader
	// lastSuccessAt is when the connection was last known to work.
	lastSuccessAt time.Time
}

// close closes the connection, if there is one.
func (c *requestClient) close() {
	if c.conn != nil {
		_ = c.conn.Close() // no answer is pending
		c.conn = nil
	}
}

// request sends one request and reads the answer, on a new connection if there is none. It returns the time since which
// the gateway must have been reachable for the outcome to count: when the request was sent or, if the connection was to
// a process that has ended, when the connection last worked.
func (c *requestClient) request() (askedAt time.Time, err error) {
	askedAt = time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.Addr(resp2Listener), dialTimeout)
		if err != nil {
			return askedAt, err
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
		c.lastSuccessAt = askedAt
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout)) // a connection that has ended fails below
	if err = c.exchange(requestID(c.gateway.index, askedAt)); err == nil {
		c.lastSuccessAt = time.Now()
		return askedAt, nil
	}
	c.close()
	if c.gateway.WasUnreachable(c.lastSuccessAt, time.Now()) {
		// The gateway may have restarted during the pause between two requests.
		askedAt = c.lastSuccessAt
	}
	return askedAt, err
}

// exchange sends a request and reads the answer, which must contain the request's ID.
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
		return fmt.Errorf("%w: answer to another request: %.80q", errUnexpectedAnswer, value)
	}
	return nil
}

// exchangeFirstLine sends a request of Customer and reads the first line of the answer.
func exchangeFirstLine(conn net.Conn, reader *bufio.Reader, id string, spread int) (string, error) {
	if err := writeCommand(conn, "Q.ASK", Customer, id, evaluateParameters(requestDeadline, spread)); err != nil {
		return "", err
	}
	return reader.ReadString('\n')
}

// Ask sends one request to a gateway over RESP2, on a new connection. It returns the first line of the answer and the
// time until it was received.
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

// requestID returns the ID of a request, which encodes the index of the gateway and when the request was made.
func requestID(gateway int, askedAt time.Time) string {
	return fmt.Sprintf("d%d-%d", gateway, askedAt.UnixNano())
}

// parseRequestID returns the arguments that requestID was called with. ok is false for any other ID.
func parseRequestID(id string) (gateway int, askedAt time.Time, ok bool) {
	var nanoseconds int64
	_, err := fmt.Sscanf(id, "d%d-%d", &gateway, &nanoseconds)
	return gateway, time.Unix(0, nanoseconds), err == nil
}

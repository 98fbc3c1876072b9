package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// poolDialTimeout is the timeout for connecting to a gateway.
	poolDialTimeout = 200 * time.Millisecond
	// answerMargin is how long a client waits for an answer beyond the deadline in its request.
	answerMargin = 200 * time.Millisecond
	// attemptTimeout is the deadline that a client states in each request.
	attemptTimeout = time.Second
)

// errUnreachable reports that a gateway's listener is not serving.
var errUnreachable = errors.New("gateway unreachable")

// Try is an attempt of a client and its outcome. If there was no answer, Served, Busy and Failed are false.
type Try struct {
	// Asked is when the attempt was made, since the start of the clients.
	Asked time.Duration
	// Took is the time until the outcome.
	Took time.Duration
	// Door is the index of the gateway.
	Door int
	// Served reports that the answer was a value.
	Served bool
	// Busy reports that the attempt was rejected.
	Busy bool
	// RetryAfter is the Retry-After of a rejected attempt. 0 means none.
	RetryAfter time.Duration
	// Failed reports any other answer. The attempt may still have had its effect.
	Failed bool
}

// clientPool holds one client's connections to the gateways. It is not safe for concurrent use.
type clientPool struct {
	rig     *Rig
	beganAt time.Time
	// connections are the open connections by gateway index.
	connections map[int]*pooledConnection
	// attempts is the number of attempts made so far.
	attempts int
}

// pooledConnection is a connection to the process that listens on an address.
type pooledConnection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// newClientPool returns a client without connections. beganAt is the start of the clients.
func newClientPool(r *Rig, beganAt time.Time) *clientPool {
	return &clientPool{rig: r, beganAt: beganAt, connections: map[int]*pooledConnection{}}
}

// close closes all connections.
func (p *clientPool) close() {
	for _, c := range p.connections {
		_ = c.conn.Close() // no answer is pending
	}
}

// attempt sends one request to a gateway, with the given command name, customer and parameters, and reads the answer.
func (p *clientPool) attempt(gateway int, name, customer, parameters string) Try {
	askedAt := time.Now()
	try := Try{Asked: askedAt.Sub(p.beganAt), Door: gateway}
	p.attempts++
	id := fmt.Sprintf("p%p-%d", p, p.attempts)
	line, err := p.exchange(gateway, name, customer, id, parameters)
	if err == nil {
		try.setOutcome(line)
	}
	try.Took = time.Since(askedAt)
	return try
}

// setOutcome sets the outcome from the first line of an answer.
func (t *Try) setOutcome(line string) {
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		t.Served = true
	case strings.HasPrefix(line, "-BUSY"):
		t.Busy = true
		milliseconds, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		if err == nil {
			t.RetryAfter = time.Duration(milliseconds) * time.Millisecond
		}
	default:
		t.Failed = true
	}
}

// exchange sends a command to a gateway and returns the first line of the answer without the line ending. It closes the
// connection on error.
func (p *clientPool) exchange(gateway int, words ...string) (line string, err error) {
	connection, err := p.connect(gateway)
	if err != nil {
		return "", err
	}
	if line, err = connection.exchange(words...); err != nil {
		_ = connection.conn.Close() // the connection is broken
		delete(p.connections, gateway)
	}
	return line, err
}

// connect returns the connection to the current process of a gateway. It dials if there is none.
func (p *clientPool) connect(gateway int) (*pooledConnection, error) {
	address := p.rig.Doors[gateway].Addr(resp2Listener)
	if address == "" {
		return nil, errUnreachable
	}
	previous := p.connections[gateway]
	if previous != nil && previous.address == address {
		return previous, nil
	}
	conn, err := net.DialTimeout("tcp", address, poolDialTimeout)
	if err != nil {
		return nil, err
	}
	if previous != nil {
		_ = previous.conn.Close() // its process has ended
	}
	connection := &pooledConnection{address: address, conn: conn, reader: bufio.NewReader(conn)}
	p.connections[gateway] = connection
	return connection, nil
}

// exchange sends a command, reads the answer including its value, if any, and returns the first line without the line
// ending.
func (c *pooledConnection) exchange(words ...string) (line string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(attemptTimeout + answerMargin)) // a closed connection fails below
	if err = writeCommand(c.conn, words...); err != nil {
		return "", err
	}
	if line, err = c.reader.ReadString('\n'); err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	size, sizeErr := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if line[0] == '$' && sizeErr == nil && size >= 0 {
		_, err = io.CopyN(io.Discard, c.reader, int64(size)+int64(len("\r\n")))
	}
	return line, err
}

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
	// poolDialTimeout bounds how long a connection to a gateway may take.
	poolDialTimeout = 200 * time.Millisecond
	// answerMargin is the time that an answer has beyond what the request says.
	answerMargin = 200 * time.Millisecond
	// attemptTimeout is what a request says of how long its client waits for each attempt.
	attemptTimeout = time.Second
)

// errUnreachable says that a gateway's listener does not serve.
var errUnreachable = errors.New("the gateway can't be reached")

// Try is one attempt of a client and its outcome. Without an answer, Served, Busy and Failed are false.
type Try struct {
	// Asked is when the attempt was made, since the clients began.
	Asked time.Duration
	// Took is the time to its outcome.
	Took time.Duration
	// Door is the index of the gateway.
	Door int
	// Served says that it was answered by a value.
	Served bool
	// Busy says that it was rejected.
	Busy bool
	// Pause is the Retry-After of a rejected attempt; 0: the client was told none.
	Pause time.Duration
	// Failed says that it was answered otherwise: it may have had its effect.
	Failed bool
}

// clientPool holds one client's connections to the gateways. It belongs to one goroutine.
type clientPool struct {
	rig     *Rig
	beganAt time.Time
	// connections are the open ones, by the index of their gateway.
	connections map[int]*pooledConnection
	// attempts is the number of attempts so far.
	attempts int
}

// pooledConnection is a connection to the process that listened at an address.
type pooledConnection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// newClientPool returns a client without connections. beganAt is when the clients began.
func newClientPool(r *Rig, beganAt time.Time) *clientPool {
	return &clientPool{rig: r, beganAt: beganAt, connections: map[int]*pooledConnection{}}
}

// close closes all connections.
func (p *clientPool) close() {
	for _, c := range p.connections {
		_ = c.conn.Close() // no answer is awaited
	}
}

// attempt makes one request with a command's name, customer and parameters at a gateway and reads its answer.
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

// setOutcome sets the outcome that the first line of an answer tells.
func (t *Try) setOutcome(line string) {
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		t.Served = true
	case strings.HasPrefix(line, "-BUSY"):
		t.Busy = true
		milliseconds, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		if err == nil {
			t.Pause = time.Duration(milliseconds) * time.Millisecond
		}
	default:
		t.Failed = true
	}
}

// exchange sends a command to a gateway and returns the first line of its answer, without its end. After an error the
// connection is closed.
func (p *clientPool) exchange(gateway int, words ...string) (line string, err error) {
	connection, err := p.connect(gateway)
	if err != nil {
		return "", err
	}
	if line, err = connection.exchange(words...); err != nil {
		_ = connection.conn.Close() // it has failed
		delete(p.connections, gateway)
	}
	return line, err
}

// connect returns the connection to a gateway's present process, and makes one if there is none.
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
		_ = previous.conn.Close() // its process is gone
	}
	connection := &pooledConnection{address: address, conn: conn, reader: bufio.NewReader(conn)}
	p.connections[gateway] = connection
	return connection, nil
}

// exchange sends a command and reads its answer: the first line, which it returns, and the value, if that has one.
func (c *pooledConnection) exchange(words ...string) (line string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(attemptTimeout + answerMargin)) // a connection that has ended fails below
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

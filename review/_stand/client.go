package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// replier writes the answer to a request.
type replier func(conn net.Conn, id string) (ok bool)

// outcome is what a client has seen of a request.
type outcome int

const (
	served outcome = iota
	refused
	failed
	// wrong is a value that no backend made for the request.
	wrong
	// incomplete is a value that has begun and whose connection the front door has ended before its end.
	incomplete
	// closed is a connection that the front door has ended with no byte of an answer.
	closed
	// silent is no answer, though the client has waited for its whole time and 0.5 s more.
	silent
)

var outcomeNames = []string{"served", "refused", "failed", "WRONG VALUE", "INCOMPLETE", "CLOSED WITH NO ANSWER",
	"NEVER ANSWERED"}

func (o outcome) String() string { return outcomeNames[o] }

// answerSlack is how much later than its time an answer only earns nothing (0.5 s), with the 50 ms that each time limit
// is longer on sockets, and 150 ms for this machine.
const answerSlack = 700 * time.Millisecond

// customer returns the name of an account.
func customer(n int) string { return fmt.Sprintf("%016x", 0xb4d65521+n) }

// ask encodes a request of class evaluate for an account of the plan business whose requests come through two doors.
func ask(account int, id string, wait time.Duration) []byte {
	return command("Q.ASK", customer(account), id,
		fmt.Sprintf("c=evaluate,t=business,d=%d,units=1,spread=2,first=0", wait.Milliseconds()))
}

// connection is a client's connection to a front door.
type connection struct {
	net.Conn
	in   *bufio.Reader
	name string
	rec  *record
}

// dial connects to a front door.
func dial(d *door, name string, rec *record) (*connection, error) {
	conn, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, in: bufio.NewReaderSize(conn, 64<<10), name: name, rec: rec}, nil
}

// answer reads the answer to a request and checks that the value is that of the request. size is that of its value.
func (c *connection) answer(id string, size int, until time.Time) outcome {
	c.SetReadDeadline(until)
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, io.EOF) || !isTimeout(err) {
			return closed
		}
		return silent
	}
	kind, text, err := readAnswer(c.in)
	switch {
	case err != nil:
		return incomplete
	case kind == '$' && text == valueFor(id, size):
		return served
	case kind == '$':
		return wrong
	case strings.HasPrefix(text, "-BUSY"):
		return refused
	}
	return failed
}

// isTimeout reports whether a read has ended by its deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

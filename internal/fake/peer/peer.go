package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Patient is the timeout of every wait. Waits are expected to take only a small part of it.
const Patient = 20 * time.Second

// Peer is one end of a connection. It is not safe for concurrent use.
type Peer struct {
	t testing.TB
	// NC is the connection.
	NC net.Conn
	// In reads from NC.
	In *bufio.Reader
}

// New returns a peer on a connection. The deadline for all reads and writes on the connection is Patient from now. The
// connection is closed when the test ends.
func New(t testing.TB, nc net.Conn) *Peer {
	_ = nc.SetDeadline(time.Now().Add(Patient)) // a closed connection fails on first use
	t.Cleanup(func() { _ = nc.Close() })        // the test may have closed it
	return &Peer{t: t, NC: nc, In: bufio.NewReader(nc)}
}

// Dial connects a client to an address.
func Dial(t testing.TB, addr string) *Peer {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return New(t, conn)
}

// Write sends a string unchanged.
func (p *Peer) Write(s string) {
	p.t.Helper()
	if _, err := io.WriteString(p.NC, s); err != nil {
		p.t.Fatal(err)
	}
}

// Command sends a command.
func (p *Peer) Command(args ...string) {
	p.t.Helper()
	p.Write(Command(args...))
}

// Message reads one RESP2 message and returns its strings: the flattened elements of an array, the content of a bulk
// string, or the line of any other type.
func (p *Peer) Message() []string {
	p.t.Helper()
	message, err := p.Try()
	if err != nil {
		p.t.Fatal(err)
	}
	return message
}

// Try is like Message, but returns connection errors instead of failing the test.
func (p *Peer) Try() ([]string, error) {
	line, err := p.In.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch line[0] {
	case '*':
		return p.readArray(parseLength(line))
	case '$':
		value := make([]byte, parseLength(line)+len("\r\n"))
		_, err := io.ReadFull(p.In, value)
		return []string{string(value[:len(value)-len("\r\n")])}, err
	}
	return []string{line}, nil
}

// parseLength returns the number after the first character of a line, or 0 if there is none.
func parseLength(line string) int {
	length := 0
	_, _ = fmt.Sscan(line[1:], &length) // a malformed line shows in what the test reads next
	return length
}

// readArray reads the given number of array elements and returns their strings in one slice.
func (p *Peer) readArray(count int) ([]string, error) {
	var joined []string
	for range count {
		message, err := p.Try()
		if err != nil {
			return nil, err
		}
		joined = append(joined, message...)
	}
	return joined, nil
}

// Wants reads one message and fails the test unless it equals want.
func (p *Peer) Wants(want string) {
	p.t.Helper()
	if message := p.Message(); len(message) != 1 || message[0] != want {
		p.t.Fatalf("got %q, want %q", message, want)
	}
}

// WantsPrefix reads one message and fails the test unless it begins with want.
func (p *Peer) WantsPrefix(want string) {
	p.t.Helper()
	if message := p.Message(); len(message) != 1 || !strings.HasPrefix(message[0], want) {
		p.t.Fatalf("got %q, want %s...", message, want)
	}
}

// WantsEnd waits for the connection to be closed. It fails the test if a message arrives or the deadline passes first.
func (p *Peer) WantsEnd() {
	p.t.Helper()
	message, err := p.Try()
	if err == nil {
		p.t.Fatalf("got %q, want a closed connection", message)
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		p.t.Fatal("the connection is still open at the deadline")
	}
}

// Reads reads line by line and fails the test unless the lines equal want.
func (p *Peer) Reads(want string) {
	p.t.Helper()
	for _, line := range strings.SplitAfter(want, "\n") {
		if line == "" {
			continue
		}
		if got, err := p.In.ReadString('\n'); err != nil || got != line {
			p.t.Fatalf("got %q and %v, want %q", got, err, line)
		}
	}
}

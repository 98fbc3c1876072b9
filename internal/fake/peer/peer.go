// Package peer is one end of a RESP2 connection for tests: a scripted client or backend.
package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gapgap/internal/eventloop"
)

// Patient bounds every wait; none is expected to take a noticeable part of it.
const Patient = 20 * time.Second

// Commands' parts that most tests use.
const (
	Customer = "00000000b4d65521"
	List     = "c=evaluate,t=open,d=20000,units=1,spread=1,first=0"
	Keyed    = "c=change,t=open,d=20000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0,x=new"
	Unsafe   = "c=once,t=open,d=20000,units=1,spread=1,first=0"
)

// Peer is one end of a connection.
type Peer struct {
	t  testing.TB
	NC net.Conn
	In *bufio.Reader
}

// New takes a connection over; it ends with the test.
func New(t testing.TB, nc net.Conn) *Peer {
	nc.SetDeadline(time.Now().Add(Patient))
	t.Cleanup(func() { nc.Close() })
	return &Peer{t, nc, bufio.NewReader(nc)}
}

// Dial connects a client.
func Dial(t testing.TB, addr string) *Peer {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return New(t, nc)
}

// Listen listens on loopback until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// FreeAddr is an address on which nothing listens, and which nobody is given before it is used: its host is one of loopback's by chance, as ports of
// 127.0.0.1 that are free now may be a client's a moment later.
func FreeAddr(t testing.TB) string {
	t.Helper()
	octet := func() int { return 1 + rand.IntN(254) }
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", octet(), octet(), octet()))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Accept takes the next connection of a backend.
func Accept(t testing.TB, ln net.Listener) *Peer {
	t.Helper()
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(Patient))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return New(t, nc)
}

// Write sends bytes as they are.
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

// Command is a command's bytes.
func Command(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += Bulk(a)
	}
	return s
}

// Bulk is a bulk string's bytes.
func Bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// Message reads one RESP message: its parts, a line that is no length being one of its own.
func (p *Peer) Message() []string {
	p.t.Helper()
	m, err := p.Try()
	if err != nil {
		p.t.Fatal(err)
	}
	return m
}

// Try is Message with the error.
func (p *Peer) Try() ([]string, error) {
	line, err := p.In.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	n := 0
	switch line[0] {
	case '*':
		fmt.Sscan(line[1:], &n)
		var all []string
		for range n {
			m, err := p.Try()
			if err != nil {
				return nil, err
			}
			all = append(all, m...)
		}
		return all, nil
	case '$':
		fmt.Sscan(line[1:], &n)
		b := make([]byte, n+2)
		_, err := io.ReadFull(p.In, b)
		return []string{string(b[:n])}, err
	}
	return []string{line}, nil
}

// Wants reads one answer and compares it.
func (p *Peer) Wants(want string) {
	p.t.Helper()
	if m := p.Message(); len(m) != 1 || m[0] != want {
		p.t.Fatalf("got %q, want %q", m, want)
	}
}

// WantsPrefix reads one answer and compares its beginning.
func (p *Peer) WantsPrefix(want string) {
	p.t.Helper()
	if m := p.Message(); len(m) != 1 || !strings.HasPrefix(m[0], want) {
		p.t.Fatalf("got %q, want %s...", m, want)
	}
}

// WantsEnd reads up to the end of the connection and fails if anything comes before it.
func (p *Peer) WantsEnd() {
	p.t.Helper()
	m, err := p.Try()
	if err == nil {
		p.t.Fatalf("got %q, want the end of the connection", m)
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		p.t.Fatal("the connection stays open")
	}
}

// Reads reads just that text.
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

// Pump runs a loop's tasks until something holds.
func Pump(t testing.TB, l *eventloop.Loop, until func() bool) {
	t.Helper()
	for end := time.Now().Add(Patient); !until(); {
		if !l.RunTask() {
			time.Sleep(100 * time.Microsecond)
		}
		if time.Now().After(end) {
			t.Fatal("it never came to that")
		}
	}
}

package extauthz

import (
	"io"
	"net"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/socket"
)

// readResult is what one call of conn.Read returned.
type readResult struct {
	text string
	err  error
}

// startConn connects a client and reads once from its connection, as net/http does. The connection counts as idle for
// an hour.
func startConn(t *testing.T, gates peer.GatedConn) (*conn, *peer.Peer, <-chan readResult) {
	t.Helper()
	ln := peer.Listen(t)
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	env := &proxy.Env{
		Memory: resourcelimit.NewBytes(1 << 20),
		Conns:  resourcelimit.NewClientLimit(64, now),
		Now:    now,
		Coarse: now,
	}
	p := peer.Dial(t, ln.Addr().String())
	netConn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = netConn.Close() })
	gates.TCPConn = netConn.(*net.TCPConn)
	c := newConn(&Frontend{env: env}, &gates)
	c.lastActivity.Store(int64(time.Minute))
	results := make(chan readResult, 1)
	go func() {
		b := make([]byte, 4096)
		n, err := c.Read(b)
		if n == 0 {
			_ = c.Close() // as net/http does
		}
		results <- readResult{string(b[:n]), err}
	}()
	return c, p, results
}

const checkRequest = "GET /traefik HTTP/1.1\r\nHost: x\r\n\r\n"

// TestCheckInReadersHandsIsHandled guards against a connection that is closed as idle although a check has been read
// from it, or has arrived while its reader was late.
func TestCheckInReadersHandsIsHandled(t *testing.T) {
	for name, end := range map[string]func(*conn){
		"evicted": (*conn).CloseWhenIdle,
		"overdue": func(c *conn) { c.front.closeOverdue() },
	} {
		t.Run(name+", in the reader's hands", func(t *testing.T) {
			gates := peer.GatedConn{Taken: make(chan struct{}), Release: make(chan struct{})}
			c, p, results := startConn(t, gates)
			p.Write(checkRequest)
			<-gates.Taken
			end(c)
			close(gates.Release)
			wantsCheck(t, c, results)
		})
		t.Run(name+", in the socket", func(t *testing.T) {
			gates := peer.GatedConn{Before: make(chan struct{})}
			c, p, results := startConn(t, gates)
			p.Write(checkRequest)
			for socket.IsQuiet(c.Conn.(*peer.GatedConn).TCPConn) {
				time.Sleep(time.Millisecond)
			}
			end(c)
			close(gates.Before)
			wantsCheck(t, c, results)
		})
	}
}

// wantsCheck checks that a check was read and that its answer can be written.
func wantsCheck(t *testing.T, c *conn, results <-chan readResult) {
	t.Helper()
	if got := <-results; got.text != checkRequest || got.err != nil {
		t.Fatalf("read %q and %v", got.text, got.err)
	}
	if !c.closeAfterAnswer.Load() {
		t.Error("the connection does not end after the answer")
	}
	if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		t.Error(err)
	}
}

// TestIdleConnectionIsClosed verifies that a connection without a check is closed without an answer.
func TestIdleConnectionIsClosed(t *testing.T) {
	c, p, results := startConn(t, peer.GatedConn{})
	c.CloseWhenIdle()
	if got := <-results; got.text != "" || got.err == nil {
		t.Errorf("read %q and %v", got.text, got.err)
	}
	if b, err := io.ReadAll(p.In); err != nil || len(b) > 0 {
		t.Errorf("%.40q and %v, want the end", b, err)
	}
	if n := c.front.env.Conns.Len(); n != 0 {
		t.Errorf("%d connections are counted", n)
	}
}

// TestReadBesideACheckGoesOn verifies that a connection that is to end stays open while a check is answered: net/http
// would take the end of its read beside the check for a client that has gone.
func TestReadBesideACheckGoesOn(t *testing.T) {
	gates := peer.GatedConn{Before: make(chan struct{})}
	c, p, results := startConn(t, gates)
	c.CloseWhenIdle() // the check begins between the decision and the end of the read
	c.beginRequest(false)
	close(gates.Before)
	p.Write(checkRequest)
	wantsCheck(t, c, results)
}

// TestClientThatAcceptsNothingIsClosed guards against a connection that stays for good because nothing is read from it:
// the answer to a check is being written, and its client accepts nothing.
func TestClientThatAcceptsNothingIsClosed(t *testing.T) {
	for name, end := range map[string]func(*conn){
		"evicted": (*conn).CloseWhenIdle,
		"overdue": func(c *conn) { c.front.closeOverdue() },
	} {
		t.Run(name, func(t *testing.T) {
			gates := peer.GatedConn{Before: make(chan struct{})}
			c, _, results := startConn(t, gates)
			written := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, 64<<20)) // more than the buffers of the sockets hold
				written <- err
			}()
			for c.writes.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			c.used.Store(true)
			c.lastActivity.Store(int64(time.Minute))
			end(c)
			if err := <-written; err == nil {
				t.Error("the client has accepted all of it")
			}
			if n := c.front.env.Conns.Len(); n != 0 {
				t.Errorf("%d connections are counted", n)
			}
			close(gates.Before)
			<-results
		})
	}
}

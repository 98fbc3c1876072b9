package resp2

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/route"
	"gapgap/internal/socket"
)

// noRoute is a Router without pools: requests that are not refused before are answered with an error line. It counts
// them.
type noRoute struct{ requests atomic.Int64 }

func (r *noRoute) Route(*route.Query) *proxy.Proxy {
	r.requests.Add(1)
	return nil
}

// endHarness is a frontend with one connected client.
type endHarness struct {
	frontend *Frontend
	client   *client
	peer     *peer.Peer
	conn     *peer.GatedConn
}

// startEndHarness connects a client and starts to read its commands. prepare may set the gates of the connection.
func startEndHarness(t *testing.T, prepare func(*endHarness)) *endHarness {
	t.Helper()
	ln := peer.Listen(t)
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	env := &proxy.Env{
		Memory: resourcelimit.NewBytes(1 << 20),
		Conns:  resourcelimit.NewClientLimit(64, now),
		Now:    now,
		Coarse: now,
		Router: &noRoute{},
	}
	h := &endHarness{frontend: New(env, Config{}, ln, slog.New(slog.NewTextHandler(io.Discard, nil)))}
	h.frontend.acceptEnded.Store(true)
	h.peer = peer.Dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h.conn = &peer.GatedConn{TCPConn: nc.(*net.TCPConn)}
	h.client = newClient(h.frontend, h.conn)
	prepare(h)
	env.Conns.Add(h.client)
	go h.client.readCommands()
	return h
}

// waysToEnd are the ways in which the gateway ends a client's connection between two requests.
var waysToEnd = map[string]func(*endHarness){
	"evicted": func(h *endHarness) { h.client.CloseWhenIdle() },
	"drained": func(h *endHarness) { h.frontend.Drain() },
}

var endRequest = peer.Command("Q.ASK", peer.Customer, "1", peer.List)

// wantsRefusalAndEnd checks that the client's request is refused before its connection ends.
func (h *endHarness) wantsRefusalAndEnd(t *testing.T) {
	t.Helper()
	h.peer.WantsPrefix("-BUSY")
	if b, err := io.ReadAll(h.peer.In); err != nil || len(b) > 0 {
		t.Errorf("%.40q and %v after the refusal, want the end", b, err)
	}
}

// TestRequestInReadersHandsIsAnsweredBeforeTheEnd guards against a connection that is taken for idle although a request
// has been read from it: the request must be answered before the connection ends.
func TestRequestInReadersHandsIsAnsweredBeforeTheEnd(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			taken, release := make(chan struct{}), make(chan struct{})
			h := startEndHarness(t, func(h *endHarness) { h.conn.Taken, h.conn.Release = taken, release })
			h.peer.Write(endRequest)
			<-taken
			end(h)
			close(release)
			h.wantsRefusalAndEnd(t)
		})
	}
}

// TestRequestInSocketIsAnsweredBeforeTheEnd guards against a connection that is taken for idle because its reader is
// late: a request that had arrived by then must be answered before the connection ends.
func TestRequestInSocketIsAnsweredBeforeTheEnd(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			before := make(chan struct{})
			h := startEndHarness(t, func(h *endHarness) { h.conn.Before = before })
			h.peer.Write(endRequest)
			for socket.IsQuiet(h.conn.TCPConn) {
				time.Sleep(time.Millisecond)
			}
			end(h)
			close(before)
			h.wantsRefusalAndEnd(t)
		})
	}
}

// TestRequestInPartIsAnsweredBeforeTheEnd guards against a connection that ends although a part of a request was read
// from it. When its place is needed, the request is refused at once; in a shutdown its rest is read first.
func TestRequestInPartIsAnsweredBeforeTheEnd(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			taken, release := make(chan struct{}), make(chan struct{})
			h := startEndHarness(t, func(h *endHarness) { h.conn.Taken, h.conn.Release = taken, release })
			close(release)
			half := len(endRequest) / 2
			h.peer.Write(endRequest[:half])
			<-taken
			end(h)
			if name == "drained" {
				time.Sleep(20 * time.Millisecond) // the connection would have ended by now
				h.peer.Write(endRequest[half:])
			}
			h.wantsRefusalAndEnd(t)
		})
	}
}

// TestLateReaderMissesTheFirstCommandsTimeout guards against a request that is not answered because the timeout of a
// connection's first command passes while its reader is late.
func TestLateReaderMissesTheFirstCommandsTimeout(t *testing.T) {
	const timeout = 20 * time.Millisecond
	before := make(chan struct{})
	h := startEndHarness(t, func(h *endHarness) {
		h.conn.Before = before
		h.client.readDeadline = time.Now().Add(timeout)
	})
	h.peer.Write(endRequest)
	time.Sleep(2 * timeout)
	close(before)
	h.wantsRefusalAndEnd(t)
}

// TestIdleConnectionEndsAtOnce verifies that a connection without a request ends without an answer.
func TestIdleConnectionEndsAtOnce(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			h := startEndHarness(t, func(*endHarness) {})
			end(h)
			if b, err := io.ReadAll(h.peer.In); err != nil || len(b) > 0 {
				t.Errorf("%.40q and %v, want the end", b, err)
			}
		})
	}
}

// TestEndlessRequestsDoNotKeepAnEndingConnection verifies that a client that sends without a pause cannot keep a
// connection that is to end: the number of its commands that are still answered is bounded.
func TestEndlessRequestsDoNotKeepAnEndingConnection(t *testing.T) {
	for name, end := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			h := startEndHarness(t, func(*endHarness) {})
			go func() {
				for {
					if _, err := io.WriteString(h.peer.NC, endRequest); err != nil {
						return
					}
				}
			}()
			h.peer.WantsPrefix("-ERR") // no route leads anywhere
			end(h)
			for answers := 0; ; answers++ {
				if _, err := h.peer.Try(); err != nil {
					break
				}
				if answers > 4*maxPipelinedCommands {
					t.Fatal("the connection does not end")
				}
			}
		})
	}
}

// TestClientThatLeftWhileItsReaderWasLate guards against requests that are handled although their client has left: it
// sent several at once and closed its connection, and the reader reads them later.
func TestClientThatLeftWhileItsReaderWasLate(t *testing.T) {
	for name, requests := range map[string]int{"two": 2, "more than one read": 200} {
		t.Run(name, func(t *testing.T) {
			before := make(chan struct{})
			h := startEndHarness(t, func(h *endHarness) { h.conn.Before = before })
			h.peer.Write(strings.Repeat(endRequest, requests))
			h.peer.NC.Close()
			for !socket.HasPeerClosed(h.conn.TCPConn) {
				time.Sleep(time.Millisecond)
			}
			close(before)
			for h.frontend.env.Conns.Len() > 0 {
				time.Sleep(time.Millisecond)
			}
			if n := h.frontend.env.Router.(*noRoute).requests.Load(); n != 0 {
				t.Errorf("%d requests of a client that has left are handled", n)
			}
		})
	}
}

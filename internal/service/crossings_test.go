package service

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/resp"
)

// The tests of this file cover races between two events: each holds one event back until the other has happened.
// docs/design/crossings.md lists the races.

// wantsCleanEnd reads up to the end of a connection, which must not be a reset: a reset may discard data that was
// written before it.
func wantsCleanEnd(t *testing.T, c *peer.Peer) {
	t.Helper()
	if b, err := io.ReadAll(c.In); err != nil || len(b) > 0 {
		t.Fatalf("%.40q and %v, want the end", b, err)
	}
}

// requestID reads a backend's next command and returns the id of its request.
func requestID(b *peer.Peer) string { return b.Message()[2] }

// TestClientLeavesBehindWhatIsNoCommand verifies that a disconnect is noticed and cancels the request, although the
// client has sent an invalid command after which its input is only discarded.
func TestClientLeavesBehindWhatIsNoCommand(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Write(peer.Command("Q.ASK", peer.Customer, "1", peer.List) + "nonsense\r\n")
	b := peer.Accept(t, ln)
	requestID(b)
	c.NC.Close()
	b.WantsEnd()
	env.checkGone(1)
}

// TestClientLeavesAmidAShutdown verifies that a disconnect during a shutdown cancels the client's request.
func TestClientLeavesAmidAShutdown(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c, idle := env.dial(), env.dial()
	idle.Command("PING")
	idle.Wants("+PONG")
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	requestID(b)
	env.stop()
	idle.WantsEnd()
	c.Command("Q.ASK", peer.Customer, "2", peer.List) // after the shutdown
	c.NC.Close()
	b.WantsEnd()
	env.checkGone(1)
}

// TestClientLeavesBehindBadCommands verifies that a request is not forwarded if its client disconnected before the
// request was read. The invalid commands before it delay reading, as each is followed by a pause.
func TestClientLeavesBehindBadCommands(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Write(strings.Repeat(peer.Command("NONE"), 4) + peer.Command("Q.ASK", peer.Customer, "late", peer.List))
	c.NC.Close()
	env.waitNoClients()
	env.dial().Command("Q.ASK", peer.Customer, "next", peer.List)
	if id := requestID(peer.Accept(t, ln)); id != "next" {
		t.Errorf("request %q is forwarded", id)
	}
}

// TestClientLeavesBehindUnreadCommands verifies that no further attempt begins after a disconnect, even if so many
// commands are unread that the end of the connection is not read either.
func TestClientLeavesBehindUnreadCommands(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	requestID(b)
	c.Write(strings.Repeat(peer.Command("PING"), 2000))
	c.NC.Close()
	time.Sleep(50 * time.Millisecond) // a request that has only just arrived is not checked for a disconnect
	b.Write("-ERR failed\r\n")
	env.waitNoneOpen()
	next := env.dial()
	next.Command("Q.ASK", peer.Customer, "next", peer.List)
	if id := requestID(b); id != "next" {
		t.Errorf("request %q is forwarded", id)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	next.Wants("value")
}

// TestClientLeavesWhileAConnectionComesUp verifies that a request is not sent if its client, which left unread
// commands, disconnected while the backend's connection was being established.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	addr, accept := peer.ListenLate(t)
	env := start(t, []string{addr})
	c := env.dial()
	c.Write(peer.Command("Q.ASK", peer.Customer, "1", peer.List) + strings.Repeat(peer.Command("PING"), 2000))
	env.waitOneOpen()
	c.NC.Close()
	time.Sleep(50 * time.Millisecond)
	b := accept(peer.Patient)
	if b == nil {
		t.Fatal("the connection is not established")
	}
	env.waitNoneOpen()
	b.WantsEnd()
}

// TestLastAnswerBeforeTheEnd verifies that the last answer before a shutdown reaches its client even if the client
// has sent commands that were not read. Closing a connection with unread input would reset it, and the answer could
// be lost. What came after the end of the connection is not forwarded.
func TestLastAnswerBeforeTheEnd(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c, idle := env.dial(), env.dial()
	idle.Command("PING")
	idle.Wants("+PONG")
	c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
	b := peer.Accept(t, ln)
	requestID(b)
	env.stop()
	idle.WantsEnd()
	body := strings.Repeat("b", resp.MaxValueBytes)
	for i := range 4 { // more than one read returns
		c.Command("Q.DO", peer.Customer, fmt.Sprint("late", i), peer.Unsafe, body)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
	for { // rejections of the commands that were read before the end
		m, err := c.Try()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || m[0] != "-BUSY" {
			t.Fatalf("%q and %v, want rejections and the end", m, err)
		}
	}
	c.NC.Close()
	<-env.gateway.Done()
	b.WantsEnd()
}

// TestRequestCrossesTheEnd verifies what happens to a command that arrives just as its idle connection is being closed.
// Either it is answered, or the connection ends without an answer and nothing is forwarded, so that the client can send
// it elsewhere. The connection is never reset.
func TestRequestCrossesTheEnd(t *testing.T) {
	ln := peer.Listen(t)
	answered, crossed := 0, 0
	for range 8 {
		env := start(t, []string{ln.Addr().String()})
		var all []*peer.Peer
		for range 8 {
			c := env.dial()
			c.Command("PING")
			c.Wants("+PONG")
			all = append(all, c)
		}
		env.stop()
		all[0].WantsEnd()
		for _, c := range all[1:] {
			if _, err := io.WriteString(c.NC, peer.Command("Q.ASK", peer.Customer, "1",
				peer.List)); err != nil && !errors.Is(err, syscall.EPIPE) {
				t.Fatal(err)
			}
			switch m, err := c.Try(); {
			case err == nil && m[0] == "-BUSY":
				answered++
			case errors.Is(err, io.EOF):
				crossed++
			default:
				t.Fatalf("%q and %v", m, err)
			}
			c.NC.Close()
		}
		<-env.gateway.Done()
	}
	t.Logf("%d answered, %d crossed", answered, crossed)
	ln.Close()
	if nc, err := ln.Accept(); err == nil {
		nc.Close()
		t.Error("a request was forwarded")
	}
}

// TestTurnedAwayReadsWhy verifies that a client above the connection limit can read its rejection whatever it has sent:
// its connection ends and is not reset.
func TestTurnedAwayReadsWhy(t *testing.T) {
	env := start(t, nil, func(c *Config, t *testing.T) { c.Sockets = 256 })
	most := env.gateway.env.Conns.Max()
	for i := range most { // each with a request that waits for a backend
		env.dial().Command("Q.ASK", peer.Customer, fmt.Sprint(i), peer.List)
	}
	env.waitOpen(most)
	for range 3 {
		c := env.dial()
		c.Write(peer.Command("Q.DO", peer.Customer, "x", peer.Keyed, strings.Repeat("b", resp.MaxValueBytes)))
		c.Wants("-BUSY 100")
		wantsCleanEnd(t, c)
		c.NC.Close()
	}
}

// waitFor waits until a condition, which the event loop checks, is true.
func (env *testEnv) waitFor(what string, condition func() bool) {
	env.t.Helper()
	for end := time.Now().Add(peer.Patient); ; time.Sleep(time.Millisecond) {
		got := make(chan bool, 1)
		env.gateway.Post(func() { got <- condition() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			env.t.Fatalf("never true: %s", what)
		}
	}
}

func (env *testEnv) waitNoneOpen() { env.t.Helper(); env.waitOpen(0) }
func (env *testEnv) waitOneOpen()  { env.t.Helper(); env.waitOpen(1) }

func (env *testEnv) waitOpen(n int) {
	env.t.Helper()
	env.waitFor(fmt.Sprint(n, " requests open"), func() bool { return env.gateway.Unanswered() == n })
}

// checkGone checks how many requests ended because their clients disconnected, not because of their deadlines.
func (env *testEnv) checkGone(n int64) {
	env.t.Helper()
	if got := env.gateway.Stats.ClientsDisconnected.Load(); got != n {
		env.t.Errorf("%d requests ended with their clients, want %d", got, n)
	}
}

func (env *testEnv) waitNoClients() {
	env.t.Helper()
	env.waitFor("no client is connected", func() bool { return env.gateway.env.Conns.Len() == 0 })
}

// TestWaitInTheBufferCounts verifies that the time that a command has waited behind others is subtracted from the
// deadline that its backend is told.
func TestWaitInTheBufferCounts(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Write(strings.Repeat(peer.Command("NONE"), 5) +
		peer.Command("Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=2000", 1)))
	list := peer.Accept(t, ln).Message()[3] // after four pauses of 50 ms
	d := 0
	if _, err := fmt.Sscanf(list[strings.Index(list, "d="):], "d=%d", &d); err != nil || d > 1800 {
		t.Errorf("the backend is told %s, %v", list, err)
	}
}

// TestDrainWhileAConnectionComesUp verifies that the next attempt goes to another backend if the first one starts to
// drain while the connection for the attempt is being established. Each request has two attempts.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	addr, _ := peer.ListenLate(t)
	ln := peer.Listen(t)
	env := start(t, []string{addr}, func(c *Config, t *testing.T) { c.Settings.MaxAttempts = 2 })
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
	env.waitOneOpen()
	m := endpoints(2, addr, ln.Addr().String())
	m.Endpoints[0].Status = "DRAINING"
	env.updates <- m
	b := peer.Accept(t, ln)
	if id := requestID(b); id != "1" {
		t.Errorf("request %q", id)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}

// TestWindowEndsWhileAConnectionComesUp verifies that a keyed request is not sent again after its dedup window has
// ended, even if the connection for the repeat is established only then.
func TestWindowEndsWhileAConnectionComesUp(t *testing.T) {
	late, accept := peer.ListenLate(t)
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Settings.MaxAttempts, c.Settings.Classes[1].DedupWindow = 2, 400*time.Millisecond
	})
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Keyed, "body")
	b := peer.Accept(t, ln)
	requestID(b)
	m := endpoints(2, ln.Addr().String(), late)
	m.Endpoints[0].Status = "DRAINING"
	env.updates <- m
	env.gateway.waitForLoop()
	// The request may have run. The repeat goes to the other backend, whose connection takes a second to establish.
	b.NC.Close()
	time.Sleep(500 * time.Millisecond)                          // the window has ended
	if other := accept(2500 * time.Millisecond); other != nil { // else the attempt was abandoned before
		if m, err := other.Try(); err == nil {
			t.Errorf("%q is sent after the end of the window", m)
		}
	}
	c.WantsPrefix("-")
}

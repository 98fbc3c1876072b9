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

// Here two events cross: each test holds one side back until the other has come. docs/design/crossings.md lists them.

// wantsCleanEnd reads on up to the end of a connection, which must be no reset: that may overtake what was written before it.
func wantsCleanEnd(t *testing.T, c *peer.Peer) {
	t.Helper()
	if b, err := io.ReadAll(c.In); err != nil || len(b) > 0 {
		t.Fatalf("%.40q and %v, want the end", b, err)
	}
}

// requestID reads a backend's next command and says which request it is for.
func requestID(b *peer.Peer) string { return b.Message()[2] }

// A client asks, sends what is no command and leaves. It has gone, though its connection is one on which nothing is read any more for use.
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

// A client leaves while the front door is ending, with a request out.
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

// A client sends commands that can't be used, each read after a pause, then a good one, and leaves: by the time that one is read nobody waits for it.
func TestClientLeavesBehindBadCommands(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Write(strings.Repeat(peer.Command("NONE"), 4) + peer.Command("Q.ASK", peer.Customer, "late", peer.List))
	c.NC.Close()
	env.waitNoClients()
	env.dial().Command("Q.ASK", peer.Customer, "next", peer.List)
	if id := requestID(peer.Accept(t, ln)); id != "next" {
		t.Errorf("request %q is sent on", id)
	}
}

// A client leaves behind so many commands that no more of them are read: the end of its connection is not read either. A further attempt must not begin.
func TestClientLeavesBehindUnreadCommands(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	requestID(b)
	c.Write(strings.Repeat(peer.Command("PING"), 2000))
	c.NC.Close()
	time.Sleep(50 * time.Millisecond) // the request has waited: no more is looked at for one that has just come
	b.Write("-ERR failed\r\n")
	env.waitNoneOpen()
	next := env.dial()
	next.Command("Q.ASK", peer.Customer, "next", peer.List)
	if id := requestID(b); id != "next" {
		t.Errorf("request %q is sent on", id)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	next.Wants("value")
}

// A client leaves behind unread commands while a connection for its request is coming up.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	addr, let := peer.ListenLate(t)
	env := start(t, []string{addr})
	c := env.dial()
	c.Write(peer.Command("Q.ASK", peer.Customer, "1", peer.List) + strings.Repeat(peer.Command("PING"), 2000))
	env.waitOneOpen()
	c.NC.Close()
	time.Sleep(50 * time.Millisecond)
	b := let(peer.Patient)
	if b == nil {
		t.Fatal("the connection does not come up")
	}
	env.waitNoneOpen()
	b.WantsEnd()
}

// The last answer of a connection that is to end reaches its client, whatever the client has sent meanwhile and nobody has read: the connection ends, and is
// not reset. What came after the end is sent to nobody.
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
	for i := range 4 { // more than one read takes
		c.Command("Q.DO", peer.Customer, fmt.Sprint("late", i), peer.Unsafe, body)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
	for { // those of them that were read before the end
		m, err := c.Try()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || m[0] != "-BUSY" {
			t.Fatalf("%q and %v, want refusals and the end", m, err)
		}
	}
	c.NC.Close()
	<-env.gateway.Done()
	b.WantsEnd()
}

// A command that comes in the very moment in which a resting connection is shut is answered, or the connection ends with nothing said and nothing sent on:
// the client then sends it elsewhere. It is never reset.
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
			if _, err := io.WriteString(c.NC, peer.Command("Q.ASK", peer.Customer, "1", peer.List)); err != nil && !errors.Is(err, syscall.EPIPE) {
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
		t.Error("something was sent on")
	}
}

// One for whom there is no place reads why, whatever it has sent: its connection ends and is not reset.
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

// holds waits until the loop says that something is so.
func (env *testEnv) waitFor(what string, is func() bool) {
	env.t.Helper()
	for end := time.Now().Add(peer.Patient); ; time.Sleep(time.Millisecond) {
		got := make(chan bool, 1)
		env.gateway.Post(func() { got <- is() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			env.t.Fatalf("it never came to this: %s", what)
		}
	}
}

func (env *testEnv) waitNoneOpen() { env.t.Helper(); env.waitOpen(0) }
func (env *testEnv) waitOneOpen()  { env.t.Helper(); env.waitOpen(1) }

func (env *testEnv) waitOpen(n int) {
	env.t.Helper()
	env.waitFor(fmt.Sprint(n, " requests open"), func() bool { return env.gateway.Unanswered() == n })
}

// left says that so many requests ended since their clients had left, and not because their time was up.
func (env *testEnv) checkGone(n int64) {
	env.t.Helper()
	if got := env.gateway.Stats.Gone.Load(); got != n {
		env.t.Errorf("%d requests ended with their clients, want %d", got, n)
	}
}

func (env *testEnv) waitNoClients() {
	env.t.Helper()
	env.waitFor("no client is connected", func() bool { return env.gateway.env.Conns.Len() == 0 })
}

// A command that was read and waited behind others tells its backend what is left to the client by then.
func TestWaitInTheBufferCounts(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Write(strings.Repeat(peer.Command("NONE"), 5) + peer.Command("Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "d=20000", "d=2000", 1)))
	list := peer.Accept(t, ln).Message()[3] // four pauses of 50 ms later
	d := 0
	if _, err := fmt.Sscanf(list[strings.Index(list, "d="):], "d=%d", &d); err != nil || d > 1800 {
		t.Errorf("%s is told, %v", list, err)
	}
}

// A backend that an attempt is still being connected to begins to drain, with the news of another: the next attempt goes to that one. Each request has two.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	addr, _ := peer.ListenLate(t)
	ln := peer.Listen(t)
	env := start(t, []string{addr}, func(c *Config, t *testing.T) { c.Settings.MaxAttempts = 2 })
	c := env.dial()
	c.Command("Q.DO", peer.Customer, "1", peer.Unsafe, "body")
	env.waitOneOpen()
	m := endpoints(2, addr, ln.Addr().String())
	m.Endpoints[0].Status = "DRAINING"
	env.news <- m
	b := peer.Accept(t, ln)
	if id := requestID(b); id != "1" {
		t.Errorf("request %q", id)
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}

// before that.
func TestWindowEndsWhileAConnectionComesUp(t *testing.T) {
	late, let := peer.ListenLate(t)
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
	env.news <- m
	env.gateway.waitForLoop()
	b.NC.Close()                                             // it may have run: the repeat is sent to the other, and its connection comes up after a second
	time.Sleep(500 * time.Millisecond)                       // the window is over
	if other := let(2500 * time.Millisecond); other != nil { // else it was given up before
		if m, err := other.Try(); err == nil {
			t.Errorf("%q is sent after the window", m)
		}
	}
	c.WantsPrefix("-")
}

package front

import (
	"strings"
	"testing"
	"time"

	"snowhall"
)

// All front doors name the counter's numbers by the time, so theirs must be the same clock.
func TestClockIsUnixTime(t *testing.T) {
	f := idle(t)
	before := time.Now().UnixNano()
	now := f.now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop's clock is %v off", time.Duration(now-before))
	}
}

func TestTimers(t *testing.T) {
	var ts timers
	var got []int
	add := func(at int) *timer { return ts.add(time.Duration(at), func() { got = append(got, at) }) }
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	ts.stop(third)
	ts.stop(third)
	ts.stop(nil)
	if next := ts.next(0); next != 1 {
		t.Errorf("next in %d", next)
	}
	ts.run(3)
	ts.stop(first)
	if len(got) != 2 || got[0] != 1 || got[1] != 2 || ts.next(9) != 0 {
		t.Errorf("ran %v", got)
	}
}

// The module never lets a request go unanswered; should it, the loop's own timer answers and calls off.
func TestOverdueRequest(t *testing.T) {
	ln := listen(t)
	f := idle(t, ln.Addr().String())
	a := try(t, f)
	f.timers.run(a.r.due)
	wantOutcome(t, f, snowhall.ConnectFailed) // the loop has not heard of the connection
	if !a.r.ended || len(f.requests) != 0 {
		t.Error("the request goes on")
	}
	if _, ok := f.events[len(f.events)-1].(snowhall.Gone); !ok {
		t.Errorf("events %+v", f.events)
	}
}

// After SIGTERM connections and requests are still taken for a while; all that was taken is answered; then
// connections end between requests, and the front door too.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	ln := listen(t)
	w := start(t, []string{ln.Addr().String()})
	early, quiet := w.dial(), w.dial()
	quiet.command("PING")
	quiet.wants("+PONG")
	early.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	w.stop()
	late := w.dial()
	late.command("PING")
	late.wants("+PONG")
	quiet.wantsEnd()
	late.wantsEnd()
	early.command("Q.ASK", customer, "2", list) // too late: it must not keep the connection open
	b.write("*1\r\n" + bulk("value"))
	early.wants("value")
	early.wantsEnd()
	select {
	case <-w.f.done:
	case <-time.After(patient):
		t.Error("it does not end")
	}
}

// The counter and discovery may be silent at the start: the known list is enough to serve by.
func TestServesFromKnownList(t *testing.T) {
	ln := listen(t)
	silent := listen(t) // takes connections and says nothing
	w := start(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Discovery, c.Counter = silent.Addr().String(), silent.Addr().String()
		c.Settings.Counter = true
	})
	c := w.dial()
	c.command("Q.ASK", customer, "1", strings.Replace(list, "t=open", "t=starter", 1))
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

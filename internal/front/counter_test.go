package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"snowhall"
)

// count makes a call and returns nothing: the answer comes as an event.
func count(f *Front, name uint64, amount float64) {
	f.act(snowhall.Count{Name: name, Amount: amount, Keep: 4 * time.Second})
}

// counted returns the answers told so far.
func counted(f *Front) (all []snowhall.Counted) {
	for _, ev := range f.events {
		if c, ok := ev.(snowhall.Counted); ok {
			all = append(all, c)
		}
	}
	return all
}

// giveUpCalls lets the time of all calls that are out run out.
func giveUpCalls(f *Front) { f.timers.run(f.now() + f.cfg.Settings.CounterTimeout) }

// Answers belong to calls in their order, also to calls that were given up on: their places are kept.
func TestCounterKeepsPlaces(t *testing.T) {
	ln := listen(t)
	f := idle(t)
	f.counter.move(ln.Addr().String())
	count(f, 8, -2.5)
	p := accept(t, ln)
	pump(t, f, func() bool { return f.counter.lines[0].nc != nil })
	p.reads("add 8 -2.5 4000\r\n")
	giveUpCalls(f)
	if got := counted(f); len(got) != 1 || got[0].Status != snowhall.Timeout {
		t.Fatalf("a written call without an answer: %+v", got)
	}
	f.events = nil
	count(f, 4, 1)
	count(f, 12, 1)
	count(f, 16, 1)
	p.reads("add 4 1 4000\r\nadd 12 1 4000\r\nadd 16 1 4000\r\n")
	p.write("ok 1\r\nok 22.5\r\nbusy\r\nerror\r\n")
	pump(t, f, func() bool { return len(counted(f)) == 3 })
	want := []snowhall.Counted{{Name: 4, Status: snowhall.OK, Total: 22.5}, {Name: 12, Status: snowhall.Full},
		{Name: 16, Status: snowhall.Full}}
	if got := counted(f); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %+v", got)
	}
}

// reads reads just that text.
func (p *peer) reads(want string) {
	p.t.Helper()
	for _, line := range strings.SplitAfter(want, "\n") {
		if line == "" {
			continue
		}
		if got, err := p.in.ReadString('\n'); err != nil || got != line {
			p.t.Fatalf("got %q and %v, want %q", got, err, line)
		}
	}
}

// What was not written was not added, and must not be written once its caller was told so.
func TestCounterCallGivenUpBeforeItIsWritten(t *testing.T) {
	ln := listen(t)
	f := idle(t)
	f.counter.move(ln.Addr().String())
	count(f, 8, 1)
	p := accept(t, ln) // the connection is up, but the loop has not heard of it
	giveUpCalls(f)
	if got := counted(f); len(got) != 1 || got[0].Status != snowhall.ConnectFailed {
		t.Fatalf("got %+v", got)
	}
	pump(t, f, func() bool { return f.counter.lines[0].nc != nil })
	count(f, 4, 1)
	p.reads("add 4 1 4000\r\n")
}

// A connection that breaks, or an answer that makes no sense, ends the calls on it; the next call has a new one.
func TestCounterConnectionLost(t *testing.T) {
	ln := listen(t)
	f := idle(t)
	f.counter.move(ln.Addr().String())
	for _, odd := range []string{"", "what\r\n", "ok x\r\n", "ok nan\r\n", strings.Repeat("o", 2*counterLine)} {
		f.events = nil
		count(f, 8, 1)
		p := accept(t, ln)
		pump(t, f, func() bool { return f.counter.lines[0].nc != nil })
		p.reads("add 8 1 4000\r\n")
		p.write(odd)
		if odd == "" {
			p.nc.Close()
		}
		pump(t, f, func() bool { return len(counted(f)) > 0 })
		if got := counted(f); len(got) != 1 || got[0].Status != snowhall.Timeout {
			t.Errorf("%.20q: %+v", odd, got)
		}
	}
	f.counter.move(freeAddr(t))
	f.events = nil
	count(f, 8, 1)
	pump(t, f, func() bool { return len(counted(f)) > 0 })
	if got := counted(f); len(got) != 1 || got[0].Status != snowhall.ConnectFailed {
		t.Errorf("refused: %+v", got)
	}
}

func TestCounterSweep(t *testing.T) {
	ln := listen(t)
	f := idle(t)
	f.counter.move(ln.Addr().String())
	count(f, 8, 1)
	p := accept(t, ln)
	l := f.counter.lines[0]
	pump(t, f, func() bool { return l.nc != nil })
	p.reads("add 8 1 4000\r\n")
	giveUpCalls(f)
	l.owed -= counterSilence // as if so long had passed
	f.counter.sweep()
	p.wantsEnd()
	count(f, 8, 1)
	p = accept(t, ln)
	pump(t, f, func() bool { return l.nc != nil })
	p.reads("add 8 1 4000\r\n")
	p.write("ok 1\r\n")
	pump(t, f, func() bool { return len(l.calls) == 0 })
	l.used -= counterIdle
	f.counter.sweep()
	p.wantsEnd()
}

// A new configuration moves the counter: calls not yet written go to the new address, answers owed by the old one
// still count, and those of one name are told of in the order of the calls.
func TestCounterMoves(t *testing.T) {
	first, second := listen(t), listen(t)
	f := idle(t)
	f.cfg.Settings.CounterTimeout = patient
	f.counter.move(first.Addr().String())
	count(f, 8, 1)
	p := accept(t, first)
	pump(t, f, func() bool { return f.counter.lines[0].nc != nil })
	p.reads("add 8 1 4000\r\n")
	count(f, 9, 1) // its connection is not up yet
	f.counter.move(second.Addr().String())
	count(f, 8, 2)
	for range 2 {
		q := accept(t, second)
		go func() {
			for line, err := q.in.ReadString('\n'); err == nil; line, err = q.in.ReadString('\n') {
				q.write("ok 1" + line[4:5] + "\r\n") // 18 and 19
			}
		}()
	}
	pump(t, f, func() bool { return len(counted(f)) == 1 }) // that of 9
	pump(t, f, func() bool { return len(f.counter.lines[0].calls) == 0 })
	if got := counted(f); len(got) != 1 || got[0].Name != 9 || got[0].Total != 19 {
		t.Fatalf("before the old counter has answered: %+v", got)
	}
	p.write("ok 7\r\n")
	pump(t, f, func() bool { return len(counted(f)) == 3 })
	if got := counted(f)[1:]; got[0].Total != 7 || got[1].Total != 18 {
		t.Errorf("got %+v", got)
	}
	p.wantsEnd()
}

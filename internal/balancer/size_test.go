package balancer

import (
	"fmt"
	"testing"
	"time"
)

// crowd is a deployment with more doors than a customer's burst has units.
func crowd(doors int) Settings {
	settings := basic()
	settings.Gateways = doors
	return settings
}

// Many doors hear at once of a cold backend: together they stay within its budget in every window.
func TestManyDoorsKeepAColdBackendStanding(t *testing.T) {
	const doors, warm = 100, 9
	settings := crowd(doors)
	settings.UseCounter = false
	list := backends(warm + 1)
	all := make([]*Balancer, doors)
	for i := range all {
		settings.Index = i
		all[i], _ = New(settings, uint64(i))
		all[i].Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list[:warm]}})
	}
	start, carried := 60*time.Second, 0
	var cold []time.Duration
	var backend *bearer
	send := func(b *Balancer, now time.Duration, acts []Action) {
		for _, s := range only[Dispatch](acts) {
			if s.Endpoint == list[warm].Name {
				if backend.take(now, b, s, 1); now < start+settings.SlowStartDuration {
					cold = append(cold, now)
				}
				continue
			} else if now < start {
				carried++
			}
			b.Step(now+50*ms, []Event{served(s, 0, 50*ms)})
		}
	}
	for tick := range 220 { // each door gets two requests a second
		now := time.Duration(tick) * 500 * ms
		for i, b := range all {
			evs := []Event{}
			switch now {
			case start:
				if backend == nil { // it can do no more than a warm one is seen to carry
					backend = &bearer{can: warming(settings, start, float64(carried)/warm/start.Seconds()), at: start}
				}
				list[warm].StartedAt = start
				evs = append(evs, EndpointUpdate{Kind: Delta, Entries: list[warm:]})
			case start + 2*time.Second: // the worst case: it is all that is left
				for j := range list[:warm] {
					list[j].State = Draining
				}
				evs = append(evs, EndpointUpdate{Kind: Delta, Entries: list[:warm]})
			}
			id := uint64(tick*doors + i)
			send(b, now, b.Step(now, append(evs, ask(id, 0, 2), TimerFired{0})))
		}
		if backend != nil {
			for b, acts := range backend.step(now + 50*ms) {
				send(b, now+50*ms, acts)
			}
		}
	}
	rate := float64(carried) / warm / start.Seconds() // what a warm backend carries: its capacity is no less
	for i, from := range cold {
		share := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*float64(
			from-start,
		)/float64(
			settings.SlowStartDuration,
		)
		n := 0
		for _, at := range cold[i:] {
			if at < from+settings.OverloadWindow {
				n++
			}
		}
		if most := settings.OverloadMultiple * share * rate * settings.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within a window %v after the start; its budget is %.0f", n, from-start, most)
		}
	}
}

// With a share of under one unit the counter is asked for a single request, and its level alone decides.
func TestThinCustomerAsksTheCounter(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		b := open(t, crowd(100), backends(8)...)
		calls := only[CounterAdd](b.Step(ms, []Event{ask(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		acts := b.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(only[Dispatch](acts)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := only[CounterAdd](acts); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the store did not hold was not given back: %v", acts)
			}
			if more := only[CounterAdd](b.Step(4*ms, []Event{ask(2, 0, 0)})); len(more) != 0 {
				t.Errorf("a store just seen empty was asked again: %v", more)
			}
		}
	}
}

// A counter that fails is asked by fewer requests, and by each door rarely, however many there are.
func TestSwampedCounterIsSpared(t *testing.T) {
	b := open(t, crowd(300), backends(8)...)
	late := 0
	for i := range 2000 {
		r := ask(uint64(i), 0, 0)
		r.Customer = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, c := range only[CounterAdd](b.Step(now, []Event{r, TimerFired{0}})) {
			if i > 1000 {
				late++
			}
			b.Step(now+5*ms, []Event{CounterResult{Name: c.Name, Status: Rejected}})
		}
	}
	if late > 10 {
		t.Errorf("%d calls in 10 s to a counter that turns all away", late)
	}
}

// What the store seems to have gained over its burst is put right, once.
func TestOverflowIsAddedToTheCounter(t *testing.T) {
	b := open(t, crowd(100), backends(8)...)
	now := 20 * time.Second
	calls := only[CounterAdd](b.Step(now, []Event{ask(1, 0, 0)}))
	acts := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	fixes := only[CounterAdd](acts)
	if len(fixes) != 1 || fixes[0].Amount < 30 || len(only[Dispatch](acts)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", acts)
	}
}

// A door that stood still finds time-outs of its own making; no backend is left for it.
func TestOwnStallIsNoSilence(t *testing.T) {
	b := open(t, basic(), backends(4)...)
	var sends []Dispatch
	now := ms
	for i := range 40 {
		now += 20 * ms
		sends = append(sends, only[Dispatch](b.Step(now, []Event{ask(uint64(i), 0, 2), TimerFired{0}}))...)
		if len(sends) > 14 {
			b.Step(now, []Event{served(sends[0], 0, 40*ms)})
			sends = sends[1:]
		}
	}
	now += 2 * time.Second
	evs := []Event{served(sends[0], 0, 40*ms), TimerFired{0}}
	for _, s := range sends[1:] {
		evs = append(evs, served(s, 0, 40*ms))
	}
	if logs := only[LogLine](b.Step(now, evs)); len(logs) != 0 {
		t.Errorf("after a stall of this door: %v", logs)
	}
}

// What came while the door stood still and is past use is refused, not sent.
func TestOldRequestAfterAStall(t *testing.T) {
	b := open(t, basic(), backends(4)...)
	b.Step(ms, []Event{ask(1, 0, 2)})
	old := ask(2, 0, 2)
	old.TimeLeft = 2*time.Second - 490*ms
	if acts := b.Step(time.Second, []Event{old}); len(only[Dispatch](acts)) != 0 || len(only[Reject](acts)) != 1 {
		t.Errorf("a request that has waited for 490 of its 500 ms: %v", acts)
	}
}

// Servers that turn all away get a trickle, further attempts included.
func TestRefusingServersAreSpared(t *testing.T) {
	b := open(t, crowd(100), backends(30)...)
	sent, attempts := 0, map[uint64]int{}
	for i := range 3000 {
		now := time.Duration(i+1) * 200 * ms
		todo := only[Dispatch](b.Step(now, []Event{ask(uint64(i), 0, 2), TimerFired{0}}))
		for len(todo) > 0 { // ends: a request has three attempts at most
			s := todo[0]
			st := AttemptResult{ID: s.ID, Attempt: attempts[s.ID], Endpoint: s.Endpoint, Status: Rejected, Latency: ms}
			if i < 100 {
				st = served(s, attempts[s.ID], 40*ms)
			} else if i > 1500 {
				sent++
			}
			attempts[s.ID]++
			todo = append(todo[1:], only[Dispatch](b.Step(now+ms, []Event{st}))...)
		}
	}
	if sent == 0 || sent > 300 {
		t.Errorf("%d sends for 1500 requests to servers that turn all away; want a few", sent)
	}
}

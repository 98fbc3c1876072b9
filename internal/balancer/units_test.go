package balancer

import (
	"testing"
	"time"
)

// schooled is a door that has seen requests of one unit take 40 ms and those of four 280 ms.
func schooled(t *testing.T, list ...Endpoint) *Balancer {
	t.Helper()
	settings := basic()
	settings.UseCounter = false
	b := open(t, settings, list...)
	for i := range uint64(400) {
		r, took := ask(i, 0, 2), 40*ms
		if i%2 == 1 {
			r.Units, took = 4, 280*ms
		}
		now := time.Duration(i) * 300 * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{r})) {
			b.Step(now+took, []Event{served(s, 0, took)})
		}
	}
	return b
}

// Under a backlog a request of one unit still has time where one of four has none: the class's mean fits neither.
func TestLatencyGoesByUnits(t *testing.T) {
	b := schooled(t, backends(2)...)
	now := 200 * time.Second
	b.Step(now-ms, nil) // else it takes itself for one that stood still
	small, large := ask(1000, 0, 2), ask(1001, 0, 2)
	small.TimeLeft, large.TimeLeft, large.Units = 100*ms, 100*ms, 4
	acts := b.Step(now, []Event{small, large})
	if got := only[Dispatch](acts); len(got) != 1 || got[0].ID != 1000 {
		t.Errorf("sent on %v; want the small one, which 100 ms are enough for", got)
	}
	if got := only[Reject](acts); len(got) != 1 || got[0].ID != 1001 {
		t.Errorf("refused %v; want the large one at once", got)
	}
}

// Places are filled by work: in the room of a few large requests there are many small ones.
func TestPlacesAreWork(t *testing.T) {
	count := func(units float64) int {
		b := schooled(t, backends(1)...)
		n := 0
		for i := range uint64(60) {
			r := ask(2000+i, 0, 2)
			r.Units = units
			n += len(only[Dispatch](b.Step(200*time.Second, []Event{r})))
		}
		return n
	}
	if small, large := count(1), count(4); small < 3*large || large == 0 {
		t.Errorf("%d small requests at once and %d large ones; want three times as many at least", small, large)
	}
}

// What brings more worth for its work goes first, also if it is of fewer units.
func TestWorthOfTheWork(t *testing.T) {
	b := schooled(t, backends(1)...)
	level := func(units float64) int {
		r := ask(4000+uint64(units), 0, 2)
		r.Units = units
		b.Step(200*time.Second, []Event{r})
		return b.requests[r.ID].level
	}
	if one, four := level(1), level(4); one >= four {
		t.Errorf("level %d for one unit, %d for four; want the small one first", one, four)
	}
}

// A counter whose answer can't be read has added the block all the same: it is given back with the next call, which is
// made at
// once for who waits, and once only.
func TestSpoiltAnswerOfTheCounter(t *testing.T) {
	b := open(t, basic(), backends(2)...)
	var calls []CounterAdd
	now := ms
	for i := range uint64(40) { // the fresh door's share is spent first
		calls = only[CounterAdd](b.Step(now, []Event{ask(i, 0, 0)}))
		if len(calls) > 0 {
			break
		}
	}
	if len(calls) != 1 {
		t.Fatal("no call of the counter")
	}
	first := calls[0]
	owed := b.customers["c"].quota.debt
	acts := b.Step(now+ms, []Event{CounterResult{Name: first.Name, Status: Failed}})
	again := only[CounterAdd](acts)
	if len(again) != 1 || len(only[Reject](acts)) != 0 {
		t.Fatalf("after a spoilt answer: %v; want one more call and no refusal", acts)
	}
	if sum := first.Amount + again[0].Amount; sum >= 2*first.Amount+owed {
		t.Errorf("%v and then %v added; want the first block given back", first.Amount, again[0].Amount)
	}
	acts = b.Step(now+2*ms, []Event{CounterResult{Name: again[0].Name, Status: Failed}})
	if len(only[CounterAdd](acts)) != 0 || len(only[Reject](acts)) != 1 {
		t.Errorf("after a second one: %v; want a refusal and no third call", acts)
	}
}

// The door that begins a window's number carries into it what the store lacked; one that comes later does not do so
// again.
func TestWindowsCarryWhatTheStoreLacked(t *testing.T) {
	for name, begins := range map[string]bool{"begins": true, "comes later": false} {
		b := open(t, basic(), backends(2)...)
		now := 20 * time.Second
		b.Step(now, []Event{ask(1, 0, 0)})
		cust := b.customers["c"]
		cust.bucket.known, cust.quota.fallbackTokens, cust.bucket.level, cust.bucket.levelAt, cust.bucket.seenWindow = true, 0, 0, now, int64(
			now/counterWindow,
		) // the store is empty ...
		cust.demand.rate, cust.quota.tokens = 1, 0
		now = counterWindow + 100*ms // ... and ten seconds later there is a new number
		cust.bucket.level, cust.bucket.levelAt = 0, now-200*ms
		calls := only[CounterAdd](b.Step(now, []Event{ask(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%s: %d calls", name, len(calls))
		}
		total := calls[0].Amount
		if !begins {
			total += 3
		}
		carried := 0.0
		for _, k := range only[CounterAdd](b.Step(now+5*ms, []Event{CounterResult{Name: calls[0].Name, Status: OK, Total: total}})) {
			carried += k.Amount
		}
		if burst := b.settings.Plans[0].Burst; begins && carried < 0.8*burst || !begins && carried > 0 {
			t.Errorf("%s: %.2f carried into the new number of a store of %v that was empty", name, carried, burst)
		}
		if cust.quota.tokens > 1 {
			t.Errorf("%s: %.2f tokens from a store that was empty", name, cust.quota.tokens)
		}
	}
}

// Where a crossing has a price, a server of the own zone is taken until it has clearly more to do.
func TestCrossingsHaveAPrice(t *testing.T) {
	crossed := func(price float64) int {
		settings := basic()
		settings.UseCounter, settings.CrossZoneCost, settings.Gateways = false, price, 1
		list := backends(2)
		list[1].Zone = 1
		b := open(t, settings, list...)
		n := 0
		for i := range uint64(200) {
			now := time.Duration(i) * 20 * ms
			for _, s := range only[Dispatch](b.Step(now, []Event{ask(i, 0, 2)})) {
				if s.Endpoint == list[1].Name {
					n++
				}
				b.Step(now+19*ms, []Event{served(s, 0, 19*ms)})
			}
		}
		return n
	}
	if free, dear := crossed(0), crossed(0.05); dear >= free/2 {
		t.Errorf("%d of 200 crossed without a price, %d with one; want less than half", free, dear)
	}
}

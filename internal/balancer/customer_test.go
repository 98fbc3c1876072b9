package balancer

import (
	"fmt"
	"testing"
	"time"
)

// floodWithNewCustomers steps a gateway through a time in which each tick brings some customers that were never seen
// and never come again, and runs a function every tick. It returns the largest number of customers known.
func floodWithNewCustomers(
	b *Balancer, from, to time.Duration, perTick int, onTick func(at time.Duration),
) (most int) {
	id := uint64(1 << 32)
	for at := from; at < to; at += tickInterval {
		evs := []Event{TimerFired{0}}
		for range perTick {
			id++
			evs = append(
				evs,
				Request{ID: id, Plan: int(id % 2), Customer: fmt.Sprint(id), TimeLeft: 2 * time.Second, Units: 1},
			)
		}
		for actions := b.Step(at, evs); len(actions) > 0; {
			var outs []Event
			for _, dispatch := range actionsOf[Dispatch](actions) {
				outs = append(outs, succeeded(dispatch, 0, ms))
			}
			if outs == nil {
				break
			}
			actions = b.Step(at, outs)
		}
		if onTick != nil {
			onTick(at)
		}
		most = max(most, len(b.customers.byName))
	}
	return most
}

// A million customers that are seen once take no more memory than stated, and are forgotten when they stop coming.
func TestCustomerTableIsBounded(t *testing.T) {
	settings := settingsWithoutCounter()
	settings.Plans[0] = Plan{Rate: 2, Burst: 8, PriorityFactor: 1}
	settings.Plans[1] = Plan{PriorityFactor: 1, CeilingRate: 20, CeilingBurst: 40}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	end := 200 * time.Second
	if most := floodWithNewCustomers(b, 0, end, 100, nil); most > maxCustomers { // 5,000 a second
		t.Errorf("%d customers are known, %d at most", most, maxCustomers)
	}
	if len(b.customers.order) != len(b.customers.byName) {
		t.Errorf("%d in the order, %d known", len(b.customers.order), len(b.customers.byName))
	}
	floodWithNewCustomers(b, end, end+customerTTL+20*time.Second, 0, nil)
	if len(b.customers.byName) > 0 || len(b.requests) > 0 {
		t.Errorf("%d customers and %d requests are left", len(b.customers.byName), len(b.requests))
	}
}

// A customer that is known before a flood of new ones keeps its place: its ceiling holds, and it is served.
func TestFloodOfNewCustomersKeepsCeilings(t *testing.T) {
	settings := settingsWithoutCounter()
	settings.Plans[0] = Plan{PriorityFactor: 1}
	settings.Plans[1] = Plan{PriorityFactor: 1, CeilingRate: 2, CeilingBurst: 40}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	sent, id := 0, uint64(0)
	end := 60 * time.Second
	floodWithNewCustomers(b, 0, end, 100, func(at time.Duration) {
		if at%(4*time.Second) != 0 {
			return
		}
		for range 60 { // every 4 s it wants more than it may have
			id++
			actions := b.Step(
				at,
				[]Event{Request{ID: id, Plan: 1, Customer: "known", TimeLeft: 2 * time.Second, Units: 1}},
			)
			for _, dispatch := range actionsOf[Dispatch](actions) {
				sent++
				b.Step(at, []Event{succeeded(dispatch, 0, ms)})
			}
		}
	})
	if most := 40 + 2*end.Seconds() + 1; float64(sent) > most {
		t.Errorf("%d sent, the ceiling gives %.0f", sent, most)
	}
	if sent < 100 {
		t.Errorf("%d sent: it is starved", sent)
	}
}

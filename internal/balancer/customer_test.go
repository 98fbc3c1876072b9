package balancer

import (
	"fmt"
	"testing"
	"time"
)

// floodWithNewCustomers steps a balancer through a period in which each tick brings some customers with a single
// request each, and calls onTick after every tick. It returns the largest number of known customers.
func floodWithNewCustomers(
	b *Balancer, from, to time.Duration, perTick int, onTick func(at time.Duration),
) (maxKnown int) {
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
		maxKnown = max(maxKnown, len(b.customers.byName))
	}
	return maxKnown
}

// TestCustomerTableIsBounded verifies that a million customers with one request each never exceed the limit of the
// customer table, and that they are removed once no more requests arrive.
func TestCustomerTableIsBounded(t *testing.T) {
	settings := settingsWithoutCounter()
	settings.Plans[0] = Plan{Rate: 2, Burst: 8, PriorityFactor: 1}
	settings.Plans[1] = Plan{PriorityFactor: 1, CeilingRate: 20, CeilingBurst: 40}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	end := 200 * time.Second
	if most := floodWithNewCustomers(b, 0, end, 100, nil); most > maxCustomers { // 5,000 per second
		t.Errorf("%d customers are known, want at most %d", most, maxCustomers)
	}
	if len(b.customers.order) != len(b.customers.byName) {
		t.Errorf("%d customers in order, %d in byName", len(b.customers.order), len(b.customers.byName))
	}
	floodWithNewCustomers(b, end, end+customerTTL+20*time.Second, 0, nil)
	if len(b.customers.byName) > 0 || len(b.requests) > 0 {
		t.Errorf("%d customers and %d requests are left, want none", len(b.customers.byName), len(b.requests))
	}
}

// TestFloodOfNewCustomersKeepsCeilings verifies that a customer that is known before a flood of new customers remains
// in the table: its ceiling holds, and it is still served.
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
		for range 60 { // every 4 s it requests more than its ceiling allows
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
		t.Errorf("%d requests sent, the ceiling allows %.0f", sent, most)
	}
	if sent < 100 {
		t.Errorf("%d requests sent, want at least 100", sent)
	}
}

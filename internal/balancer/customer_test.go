package balancer

import (
	"fmt"
	"testing"
	"time"
)

// floodWithNewCustomers steps a door through a time in which so many customers a second come that were never seen and never come again.
// Beside them it runs a function every tick.
func floodWithNewCustomers(b *Balancer, from, to time.Duration, each int, beside func(at time.Duration)) (most int) {
	id := uint64(1 << 32)
	for at := from; at < to; at += tickInterval {
		evs := []Event{TimerFired{0}}
		for range each {
			id++
			evs = append(
				evs,
				Request{ID: id, Plan: int(id % 2), Customer: fmt.Sprint(id), TimeLeft: 2 * time.Second, Units: 1},
			)
		}
		for acts := b.Step(at, evs); len(acts) > 0; {
			var outs []Event
			for _, s := range actionsOf[Dispatch](acts) {
				outs = append(
					outs,
					AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: ms, RequestClosed: true},
				)
			}
			if outs == nil {
				break
			}
			acts = b.Step(at, outs)
		}
		if beside != nil {
			beside(at)
		}
		most = max(most, len(b.customers.byName))
	}
	return most
}

// A million customers that are seen once take no more room than is stated, and are forgotten when they stop coming.
func TestCustomerTableIsBounded(t *testing.T) {
	settings := settingsWithoutCounter()
	settings.Plans[0], settings.Plans[1] = Plan{
		Rate:           2,
		Burst:          8,
		PriorityFactor: 1,
	}, Plan{
		PriorityFactor: 1,
		CeilingRate:    20,
		CeilingBurst:   40,
	}
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

// Whoever is known before a storm of names keeps its place: its ceiling holds, and it is served.
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
			acts := b.Step(
				at,
				[]Event{Request{ID: id, Plan: 1, Customer: "known", TimeLeft: 2 * time.Second, Units: 1}},
			)
			for _, s := range actionsOf[Dispatch](acts) {
				sent++
				b.Step(
					at,
					[]Event{
						AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: ms, RequestClosed: true},
					},
				)
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

package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The ceiling of these tests: 10 units per second and a burst of 10.
const (
	deferredCeilingRate  = 10.0
	deferredCeilingBurst = 10.0
)

// newDeferredBalancer returns the Balancer of a single gateway whose plan 0 has a ceiling and no quota.
func newDeferredBalancer(t testing.TB, endpoints int) *Balancer {
	t.Helper()
	settings := singleGatewaySettings()
	settings.Plans[0] = Plan{PriorityFactor: 1, CeilingRate: deferredCeilingRate, CeilingBurst: deferredCeilingBurst}
	b := newTestBalancer(t, settings, testEndpoints(endpoints)...)
	b.Step(2*time.Second, nil) // the ceiling has filled
	return b
}

// ceilingLevel returns the units of customer c's share of the ceiling at a time, and the reserved part of them.
func ceilingLevel(b *Balancer, now time.Duration) (tokens, reserved float64) {
	b.Step(now, nil)
	cust := b.customers.find("c")
	return b.refillCeiling(cust, &b.settings.Plans[0]), cust.ceiling.reserved
}

// TestCeilingIsChargedWhenTheCommandIsWritten guards against units that are refilled while the request that took them
// still waits for its connection.
func TestCeilingIsChargedWhenTheCommandIsWritten(t *testing.T) {
	b := newDeferredBalancer(t, 1)
	now := 3 * time.Second
	singleDispatch(t, b.Step(now, []Event{testRequest(1, 0, 0)}))
	if tokens, reserved := ceilingLevel(b, now); tokens != 9 || reserved != 0 {
		t.Errorf("dispatched: %.1f units, %.1f reserved", tokens, reserved)
	}
	b.Step(now, []Event{WriteDelayed{ID: 1}, WriteDelayed{ID: 1}})
	now += 400 * ms
	if tokens, reserved := ceilingLevel(b, now); tokens != 10 || reserved != 1 {
		t.Errorf("waiting: %.1f units, %.1f reserved", tokens, reserved)
	}
	b.Step(now, []Event{Written{ID: 1}, Written{ID: 1}})
	if tokens, reserved := ceilingLevel(b, now); tokens != 9 || reserved != 0 {
		t.Errorf("written: %.1f units, %.1f reserved", tokens, reserved)
	}
}

// TestCeilingOfAnAttemptThatIsNeverWritten verifies what becomes of the units of an attempt whose command is not
// written: they come back unless it may have been written after all, and the next attempt takes them once.
func TestCeilingOfAnAttemptThatIsNeverWritten(t *testing.T) {
	for status, charged := range map[Status]bool{NotSent: false, ConnectFailed: false, Timeout: true, Reset: true} {
		b := newDeferredBalancer(t, 2)
		now := 3 * time.Second
		dispatch := singleDispatch(t, b.Step(now, []Event{testRequest(1, 0, 0)}))
		b.Step(now, []Event{WriteDelayed{ID: 1}})
		again := singleDispatch(t, b.Step(now, []Event{resultOf(dispatch, status, 0)}))
		if tokens, reserved := ceilingLevel(b, now); tokens != 9 || reserved != 0 {
			t.Errorf("status %v, second attempt: %.1f units, %.1f reserved", status, tokens, reserved)
		}
		b.Step(now, []Event{WriteDelayed{ID: 1, Attempt: 1}})
		tokens, reserved := ceilingLevel(b, now)
		if wasCharged := tokens == 9 && reserved == 0; wasCharged != charged {
			t.Errorf("status %v, second attempt waits: %.1f units, %.1f reserved", status, tokens, reserved)
		}
		b.Step(now, []Event{RequestDone{ID: 1}})
		result := resultOf(again, NotSent, 0)
		result.Attempt = 1
		b.Step(now, []Event{result})
		if tokens, reserved := ceilingLevel(b, now); (tokens == 9) != charged || reserved != 0 || len(b.requests) != 0 {
			t.Errorf("status %v, ended: %.1f units, %.1f reserved", status, tokens, reserved)
		}
	}
}

// TestSlowStartIsChargedWhenTheCommandIsWritten guards against an endpoint that is pushed over while it warms up by
// attempts that waited for their connections: they count in the window in which they come.
func TestSlowStartIsChargedWhenTheCommandIsWritten(t *testing.T) {
	b := newDeferredBalancer(t, 1)
	ep := b.endpoints.byName["b0"]
	now := 3 * time.Second
	ep.slowStart.begin(now)
	dispatch := singleDispatch(t, b.Step(now, []Event{testRequest(1, 0, 2)}))
	b.Step(now, []Event{WriteDelayed{ID: 1}})
	now += 300 * ms
	b.Step(now, []Event{Written{ID: 1}})
	if all := ep.slowStart.budget.Dispatches(); len(all) != 1 || all[0].At != now {
		t.Errorf("the budget holds %+v, want one attempt at %v", all, now)
	}
	b.Step(now, []Event{resultOf(dispatch, Timeout, 300*ms)})
	if all := ep.slowStart.budget.Dispatches(); len(all) < 1 || all[0].At != now {
		t.Errorf("after the result the budget holds %+v", all)
	}
}

// TestCeilingHoldsForRandomWrites verifies that a bucket with the ceiling's terms that is charged at each write never
// falls below 0, however long attempts wait and however they end, and that nothing stays reserved.
func TestCeilingHoldsForRandomWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newDeferredBalancer(t, 4)
		now := 3 * time.Second
		level, filledAt := deferredCeilingBurst, now
		charge := func() {
			level = min(deferredCeilingBurst, level+deferredCeilingRate*(now-filledAt).Seconds()) - 1
			filledAt = now
			if level < -1e-6 {
				rt.Fatalf("the bucket falls to %.3f at %v", level, now)
			}
		}
		type openWrite struct {
			Dispatch
			attempt int
		}
		waiting := []openWrite{}
		attempts := map[uint64]int{}
		handle := func(actions []Action) {
			for _, dispatch := range actionsOf[Dispatch](actions) {
				write := openWrite{dispatch, attempts[dispatch.ID]}
				attempts[dispatch.ID]++
				if rapid.Bool().Draw(rt, "delayed") {
					waiting = append(waiting, write)
					continue
				}
				charge()
				b.Step(now, []Event{succeeded(dispatch, write.attempt, ms)})
			}
		}
		// Each Step is followed by the report of what it has not written.
		step := func(events ...Event) {
			before := len(waiting)
			handle(b.Step(now, events))
			for _, write := range waiting[before:] {
				b.Step(now, []Event{WriteDelayed{ID: write.ID, Attempt: write.attempt}})
			}
		}
		for id := range uint64(rapid.IntRange(1, 120).Draw(rt, "requests")) {
			now += time.Duration(rapid.IntRange(0, 80).Draw(rt, "gap")) * ms
			step(testRequest(id+1, 0, 0))
			for len(waiting) > 0 && rapid.IntRange(0, 2).Draw(rt, "end one") > 0 {
				write := waiting[0]
				waiting = waiting[1:]
				if rapid.IntRange(0, 3).Draw(rt, "never written") == 0 {
					result := resultOf(write.Dispatch, ConnectFailed, ms)
					result.Attempt = write.attempt
					step(result)
					continue
				}
				if b.requests[write.ID] != nil && !b.requests[write.ID].ended {
					charge()
				}
				b.Step(now, []Event{Written{ID: write.ID, Attempt: write.attempt}})
				step(succeeded(write.Dispatch, write.attempt, ms))
			}
		}
		for _, write := range waiting {
			result := resultOf(write.Dispatch, NotSent, ms)
			result.Attempt = write.attempt
			result.RequestClosed = true
			b.Step(now, []Event{RequestDone{ID: write.ID}, result})
		}
		if cust := b.customers.find("c"); cust.ceiling.reserved != 0 && len(b.requests) == 0 {
			rt.Fatalf("%.1f units stay reserved", cust.ceiling.reserved)
		}
	})
}

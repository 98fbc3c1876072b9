package balancer

import (
	"testing"
	"time"
)

// TestRetryHasNoSecondEffect verifies that a request that may have run is retried only where that cannot have a second
// effect.
func TestRetryHasNoSecondEffect(t *testing.T) {
	for class, status := range map[int]Status{1: Failed, 2: Reset} {
		b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
		dispatch := actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, class, 2)}))[0]
		actions := b.Step(20*ms, []Event{resultOf(dispatch, status, 19*ms)})
		retries, failed := actionsOf[Dispatch](actions), actionsOf[Fail](actions)
		if class == 2 && (len(retries) != 0 || len(failed) != 1) {
			t.Errorf("a request that is not idempotent and may have run must fail without a retry: %v", actions)
		}
		cell := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
		if class == 1 && (len(retries) != 1 || cell[retries[0].Endpoint] != cell[dispatch.Endpoint]) {
			t.Errorf("a request with an idempotency key was not retried in its cell: %v after %v", actions, dispatch)
		}
	}
}

// TestRetryIsWrittenWithinDedupWindow verifies that a retry of a request with an idempotency key has a write deadline
// within the deduplication window. Dispatching it within the window is not enough, because connecting may take longer.
// A first attempt has no write deadline.
func TestRetryIsWrittenWithinDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].DedupScope = DedupAll
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	now := time.Second
	sent := actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	if len(sent) != 1 || sent[0].WriteBy != 0 {
		t.Fatalf("dispatched %+v, want one attempt without a write deadline", sent)
	}
	retries := actionsOf[Dispatch](b.Step(now+100*ms, []Event{resultOf(sent[0], Reset, 100*ms)}))
	if want := now + settings.Classes[1].DedupWindow - retryWriteMargin; len(retries) != 1 ||
		retries[0].WriteBy != want {
		t.Fatalf("retried %+v, want one attempt with write deadline %v", retries, want)
	}
	// A request that never ran has no write deadline.
	b = newTestBalancer(t, settings, testEndpoints(2)...)
	sent = actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	retries = actionsOf[Dispatch](b.Step(now+100*ms, []Event{resultOf(sent[0], ConnectFailed, 100*ms)}))
	if len(retries) != 1 || retries[0].WriteBy != 0 {
		t.Fatalf("retried %+v, want one attempt without a write deadline", retries)
	}
}

// TestRetryStaysWhereFirstAttemptRan guards against a keyed request that runs in two deduplication scopes: after its
// attempt was dispatched, the list gives the endpoint's name to a process in another scope, or leaves out the scope.
func TestRetryStaysWhereFirstAttemptRan(t *testing.T) {
	locate := map[DedupScope]func(entry *Endpoint, place int){
		DedupCell: func(entry *Endpoint, place int) { entry.Zone, entry.Cell = 0, place },
		DedupZone: func(entry *Endpoint, place int) { entry.Zone, entry.Cell = place, 0 },
	}
	changes := map[string]Endpoint{
		"another process":       {StartedAt: time.Second, Weight: 1},
		"no start time":         {Weight: 1},
		"draining":              {StartedAt: time.Second, State: Draining},
		"removed without place": {State: Removed},
	}
	for scope, set := range locate {
		for name, changed := range changes {
			settings := testSettings()
			settings.Classes[1].DedupScope = scope
			list := testEndpoints(6)
			places := map[string]int{}
			for i := range list {
				places[list[i].Name] = 1 + i/2
				set(&list[i], 1+i/2)
			}
			b := newTestBalancer(t, settings, list...)
			dispatch := singleDispatch(t, b.Step(time.Second, []Event{testRequest(1, 1, 2)}))
			changed.Name = dispatch.Endpoint
			if changed.State != Removed {
				set(&changed, 1+places[dispatch.Endpoint]%3)
			}
			b.Step(time.Second+10*ms, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{changed}}})
			actions := b.Step(time.Second+20*ms, []Event{resultOf(dispatch, Reset, 19*ms)})
			retry := singleDispatch(t, actions)
			if places[retry.Endpoint] != places[dispatch.Endpoint] || retry.Endpoint == dispatch.Endpoint {
				t.Errorf("scope %v, %s: retried at %s, which does not know the key of a request that ran at %s",
					scope, name, retry.Endpoint, dispatch.Endpoint)
			}
		}
	}
}

// TestRetryAvoidsUncertainPlaces guards against a keyed request that runs in two deduplication scopes: the address of
// an endpoint also belongs to one in another scope, so it is not known which of the two a retry would reach.
func TestRetryAvoidsUncertainPlaces(t *testing.T) {
	for scope, wantRetry := range map[DedupScope]bool{DedupAll: true, DedupZone: false, DedupCell: false} {
		settings := testSettings()
		settings.Classes[1].DedupScope = scope
		list := testEndpoints(2) // in one cell
		b := newTestBalancer(t, settings, list...)
		dispatch := singleDispatch(t, b.Step(time.Second, []Event{testRequest(1, 1, 2)}))
		for i := range list {
			list[i].PlaceUncertain = true
		}
		b.Step(time.Second+10*ms, []Event{EndpointUpdate{Kind: Delta, Entries: list}})
		actions := b.Step(time.Second+20*ms, []Event{resultOf(dispatch, Reset, 19*ms)})
		if got := len(actionsOf[Dispatch](actions)) == 1; got != wantRetry {
			t.Errorf("scope %v: %+v, want a retry: %t", scope, actions, wantRetry)
		}
		retries := actionsOf[Dispatch](b.Step(2*time.Second, []Event{testRequest(2, 1, 2)}))
		if len(retries) != 1 || retries[0].ID != 2 {
			t.Errorf("scope %v: a new request gets %+v, want an attempt", scope, retries)
		}
	}
}

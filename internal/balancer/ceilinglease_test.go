package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestPlanChangesWhileLeaseCallIsOut verifies that a ceiling lease call is settled even if its customer has moved to
// another plan while the call was pending, whatever the new plan's terms are.
func TestPlanChangesWhileLeaseCallIsOut(t *testing.T) {
	settings := testSettings()
	settings.LeaseCeilings = true
	settings.Plans[1].Rate = 0
	settings.Plans[1].OverQuotaWeight = 1
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	request := Request{ID: 1, Plan: 1, Customer: "c", TimeLeft: time.Second, Units: 1}
	calls := actionsOf[CounterAdd](b.Step(time.Second, []Event{request}))
	if len(calls) != 1 {
		t.Fatalf("%d counter calls, want 1", len(calls))
	}
	other := Request{ID: 2, Plan: 2, Customer: "c", TimeLeft: time.Second, Units: 1}
	answer := CounterResult{Name: calls[0].Name, Status: OK, Total: calls[0].Amount}
	if err := stepRecovered(b, time.Second+ms, other, answer); err != nil {
		t.Error(err)
	}
}

// stepRecovered passes events to the balancer and returns a panic as an error.
func stepRecovered(b *Balancer, now time.Duration, events ...Event) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the balancer panicked: %v", cause)
		}
	}()
	b.Step(now, events)
	return nil
}

// TestReloadEndsLeaseOfQueuedRequests verifies that queued requests that hold leased units can still end after a reload
// has ended the lease of their plan's ceiling.
func TestReloadEndsLeaseOfQueuedRequests(t *testing.T) {
	settings := testSettings()
	settings.LeaseCeilings = true
	settings.Plans[1].Rate = 0
	settings.Plans[1].OverQuotaWeight = 1
	b := newTestBalancer(t, settings)
	const requests = 40
	now := time.Second
	for id := uint64(1); id < requests; id++ {
		request := Request{ID: id, Plan: 1, Customer: "c", TimeLeft: time.Second, Units: 1}
		actions := append([]Action(nil), b.Step(now, []Event{request})...)
		for _, call := range actionsOf[CounterAdd](actions) {
			b.Step(now, []Event{CounterResult{Name: call.Name, Status: OK, Total: call.Amount}})
		}
	}
	next := settings
	next.Plans = append([]Plan(nil), settings.Plans...)
	next.Plans[1].CeilingRate = 0
	update := SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}
	if err := stepRecovered(b, now+10*ms, update); err != nil {
		t.Fatal(err)
	}
	for id := uint64(1); id < requests; id++ {
		if err := stepRecovered(b, now+3*time.Second, TimerFired{requestCookie(id)}); err != nil {
			t.Fatal(err)
		}
	}
}

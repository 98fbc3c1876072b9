package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A customer may move to another plan while a call for a lease of its ceiling is out: the answer must be taken,
// whatever the new plan has. KNOWN-RED.txt lists it: the answer is read on the terms of the new plan, whose ceiling is
// not leased.
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

// stepRecovered takes events and returns a panic as an error.
func stepRecovered(b *Balancer, now time.Duration, events ...Event) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the module panicked: %v", cause)
		}
	}()
	b.Step(now, events)
	return nil
}

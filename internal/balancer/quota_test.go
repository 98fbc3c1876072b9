package balancer

import (
	"testing"
	"time"
)

// TestSoftPlanIsNotRejectedOverQuota verifies that requests of a soft plan without a ceiling are not rejected beyond
// the quota.
func TestSoftPlanIsNotRejectedOverQuota(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Plans[1].CeilingRate = 0
	b := newTestBalancer(t, settings, testEndpoints(20)...)
	var evs []Event
	for i := range 15 {
		evs = append(evs, testRequest(uint64(i), 0, 1))
	}
	actions := b.Step(ms, evs)
	if len(actionsOf[Reject](actions)) != 0 {
		t.Errorf("a request of a soft plan was rejected beyond the quota: %v", actions)
	}
}

// TestPriorityByWork verifies that the request with the higher priority weight per unit of cost goes first, even if it
// is for fewer units.
func TestPriorityByWork(t *testing.T) {
	b := newTrainedBalancer(t, testEndpoints(1)...)
	level := func(units float64) int {
		request := testRequest(4000+uint64(units), 0, 2)
		request.Units = units
		b.Step(200*time.Second, []Event{request})
		return b.requests[request.ID].level
	}
	if one, four := level(1), level(4); one >= four {
		t.Errorf("level %d for one unit, %d for four units; want the smaller request first", one, four)
	}
}

package balancer

import (
	"testing"
	"time"
)

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
		t.Errorf("a soft plan was rejected beyond its quota: %v", actions)
	}
}

// A request with more priority weight for its work goes first, also if it is of fewer units.
func TestPriorityByWork(t *testing.T) {
	b := newTrainedBalancer(t, testEndpoints(1)...)
	level := func(units float64) int {
		request := testRequest(4000+uint64(units), 0, 2)
		request.Units = units
		b.Step(200*time.Second, []Event{request})
		return b.requests[request.ID].level
	}
	if one, four := level(1), level(4); one >= four {
		t.Errorf("level %d for one unit, %d for four; want the small one first", one, four)
	}
}

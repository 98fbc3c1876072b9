package balancer

import (
	"testing"
	"time"
)

// TestRejectingEndpointsGetFewAttempts verifies that endpoints that reject everything get few attempts, including
// retries.
func TestRejectingEndpointsGetFewAttempts(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(30)...)
	sent, attempts := 0, map[uint64]int{}
	for i := range 3000 {
		now := time.Duration(i+1) * 200 * ms
		pending := actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2), TimerFired{tickCookie}}))
		for len(pending) > 0 { // terminates, because a request has at most three attempts
			dispatch := pending[0]
			result := resultOf(dispatch, Rejected, ms)
			result.Attempt = attempts[dispatch.ID]
			if i < 100 {
				result = succeeded(dispatch, attempts[dispatch.ID], 40*ms)
			} else if i > 1500 {
				sent++
			}
			attempts[dispatch.ID]++
			pending = append(pending[1:], actionsOf[Dispatch](b.Step(now+ms, []Event{result}))...)
		}
	}
	if sent == 0 || sent > 300 {
		t.Errorf("%d dispatches for 1500 requests to endpoints that reject all; want 1 to 300", sent)
	}
}

// TestSlotsCountWork verifies that slots are filled by work: many small requests fit into the slots of a few large
// ones.
func TestSlotsCountWork(t *testing.T) {
	count := func(units float64) int {
		b := newTrainedBalancer(t, testEndpoints(1)...)
		n := 0
		for i := range uint64(60) {
			request := testRequest(2000+i, 0, 2)
			request.Units = units
			n += len(actionsOf[Dispatch](b.Step(200*time.Second, []Event{request})))
		}
		return n
	}
	if small, large := count(1), count(4); small < 3*large || large == 0 {
		t.Errorf("%d small or %d large requests in flight; want at least three times as many small ones", small, large)
	}
}

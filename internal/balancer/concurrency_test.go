package balancer

import (
	"testing"
	"time"
)

// Servers that turn all away get a trickle, further attempts included.
func TestRejectingEndpointsGetFewAttempts(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(30)...)
	sent, attempts := 0, map[uint64]int{}
	for i := range 3000 {
		now := time.Duration(i+1) * 200 * ms
		todo := actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2), TimerFired{0}}))
		for len(todo) > 0 { // ends: a request has three attempts at most
			s := todo[0]
			st := AttemptResult{ID: s.ID, Attempt: attempts[s.ID], Endpoint: s.Endpoint, Status: Rejected, Latency: ms}
			if i < 100 {
				st = succeeded(s, attempts[s.ID], 40*ms)
			} else if i > 1500 {
				sent++
			}
			attempts[s.ID]++
			todo = append(todo[1:], actionsOf[Dispatch](b.Step(now+ms, []Event{st}))...)
		}
	}
	if sent == 0 || sent > 300 {
		t.Errorf("%d sends for 1500 requests to servers that turn all away; want a few", sent)
	}
}

// Places are filled by work: in the room of a few large requests there are many small ones.
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
		t.Errorf("%d small requests at once and %d large ones; want three times as many at least", small, large)
	}
}

package balancer

import (
	"testing"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// TestMaxInFlightShare verifies that a gateway has its share of a plan's limit on requests in flight.
func TestMaxInFlightShare(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(10)...)
	var evs []Event
	for i := range 10 {
		evs = append(evs, testRequest(uint64(i), 0, 3))
	}
	if n := len(actionsOf[Dispatch](b.Step(ms, evs))); n != 2 {
		t.Errorf("%d attempts dispatched for a limit of 4 over 2 gateways, want 2", n)
	}
}

// TestMaxInFlightFollowsPeerDemand verifies that a gateway uses the part of the limit that peers do not need, as long
// as the counter shows their demand to be low.
func TestMaxInFlightFollowsPeerDemand(t *testing.T) {
	settings := testSettings()
	for others, want := range map[float64]int{0: 3, 200: 2} {
		b := newTestBalancer(t, settings, testEndpoints(10)...)
		for _, dispatch := range actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, 0, 3)})) {
			b.Step(51*ms, []Event{succeeded(dispatch, 0, 50*ms)})
		}
		cust := b.customers.find("c")
		cust.bucket.known = true
		cust.bucket.peerDemand = others
		cust.quota.tokens = 20
		cust.quota.leasedAt = ms
		var evs []Event
		for i := range 10 {
			evs = append(evs, testRequest(uint64(100+i), 0, 3))
		}
		if n := len(actionsOf[Dispatch](b.Step(52*ms, evs))); n != want {
			t.Errorf("peers use %v units per second: %d attempts dispatched, want %d", others, n, want)
		}
	}
}

// TestOpenRequestsOfFormerLeaseHolder verifies that a fraction that grew raises the limit on requests in flight only
// after the requests of the former lease holder must have ended.
func TestOpenRequestsOfFormerLeaseHolder(t *testing.T) {
	settings := Settings{
		Gateways:     2,
		MaxAttempts:  1,
		LeasedShares: true,
		Classes:      []Class{{PriorityWeight: 1, ClientTimeout: 3 * time.Second}},
		Plans: []Plan{
			{Rate: 1000, Burst: 1000, PriorityFactor: 1, MaxInFlight: 10, PartitionPolicy: quotashare.KeepNone},
		},
	}
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, []Event{ShareUpdate{Fraction: 0.4, Until: 2 * time.Hour}})
	cust := &customer{gateways: 2}
	at := func(now time.Duration) float64 {
		b.Step(now, nil)
		return b.inFlightShare(cust, &b.settings.Plans[0])
	}
	at(time.Hour + 10*time.Second)
	b.Step(time.Hour+10*time.Second, []Event{ShareUpdate{Fraction: 1, Until: 2 * time.Hour}})
	if got := at(time.Hour + 12*time.Second); got != 4 {
		t.Errorf("%v in flight 2 s after the fraction grew", got)
	}
	if got := at(time.Hour + 13*time.Second); got != 10 {
		t.Errorf("%v in flight 3 s after the fraction grew", got)
	}
	b.Step(time.Hour+14*time.Second, []Event{ShareUpdate{Fraction: 0.2, Until: 2 * time.Hour}})
	if got := at(time.Hour + 14*time.Second); got != 2 {
		t.Errorf("%v in flight after the fraction shrank", got)
	}
}

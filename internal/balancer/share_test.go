package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// sharingFleet are gateways without a counter that share one ceiling by leases, which a test gives them. It checks that
// they send no more than the ceiling allows.
type sharingFleet struct {
	gateways []*Balancer
	settings Settings
	// fractions and leaseEnds are the leases as given.
	fractions []float64
	leaseEnds []time.Duration
	// lent is the fraction that a gateway had before its lease shrank. It may have granted loans of it until lentUntil.
	lent      []float64
	lentUntil []time.Duration
	lastID    uint64
	ceiling   quotashare.Bucket
	// level is that of the ceiling's bucket at levelAt, over how far it was below 0.
	level   float64
	levelAt time.Duration
	over    float64
	// excess is by how much the gateways' buckets together were larger than the ceiling's.
	excess float64
	// messages are those about loans that are on their way, delay is how long each takes.
	messages []loanMessage
	delay    func() time.Duration
	// loans counts the loans granted.
	loans int
	// withoutLoans is true when no message about loans arrives.
	withoutLoans bool
	// loansFromArrival is true when loans count from their arrival: a mistake that is to be found.
	loansFromArrival bool
}

// loanMessage is what one gateway sends another about a loan.
type loanMessage struct {
	to    int
	at    time.Duration
	event Event
}

// newSharingFleet returns a number of gateways without leases.
func newSharingFleet(t *rapid.T, count int, policy quotashare.PartitionPolicy) *sharingFleet {
	fleet := &sharingFleet{
		ceiling:   quotashare.Bucket{Rate: 10, Depth: 20},
		level:     20,
		levelAt:   time.Hour,
		fractions: make([]float64, count),
		leaseEnds: make([]time.Duration, count),
		lent:      make([]float64, count),
		lentUntil: make([]time.Duration, count),
		delay:     func() time.Duration { return 0 },
	}
	fleet.settings = Settings{
		Gateways:       count,
		MaxAttempts:    1,
		LeasedShares:   true,
		SendRetryAfter: true,
		MaxRetryAfter:  time.Second,
		Classes:        []Class{{PriorityWeight: 1, LatencyObjective: time.Second, ClientTimeout: time.Second}},
		Plans: []Plan{
			{
				Rate:            5,
				Burst:           10,
				PriorityFactor:  1,
				OverQuotaWeight: 0.2,
				CeilingRate:     fleet.ceiling.Rate,
				CeilingBurst:    fleet.ceiling.Depth,
				PartitionPolicy: policy,
			},
		},
	}
	for i := range count {
		settings := fleet.settings
		settings.Index = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Hour, nil)
		fleet.gateways = append(fleet.gateways, b)
	}
	return fleet
}

// request has a request come to a gateway, after the messages that have arrived by then, and reports whether it is
// admitted.
func (fleet *sharingFleet) request(gateway int, now time.Duration) (admitted bool) {
	fleet.lastID++
	fleet.deliver(now)
	request := Request{ID: fleet.lastID, Customer: "c", Units: 1, TimeLeft: time.Second, AdmitOnly: true}
	admitted = fleet.step(gateway, now, request)
	fleet.level = min(fleet.ceiling.Depth, fleet.level+fleet.ceiling.Rate*(now-fleet.levelAt).Seconds())
	fleet.levelAt = now
	if admitted {
		fleet.level--
		fleet.over = max(fleet.over, -fleet.level)
	}
	sum := quotashare.Bucket{}
	for _, b := range fleet.gateways {
		b.Step(now, nil)
		if cust := b.customers.find("c"); cust != nil {
			sum = sum.Add(b.ceilingShare(cust, &b.settings.Plans[0]))
		}
	}
	fleet.excess = max(fleet.excess, sum.Rate-fleet.ceiling.Rate, sum.Depth-fleet.ceiling.Depth)
	return admitted
}

// deliver hands out the messages that have arrived, and those that these bring about.
func (fleet *sharingFleet) deliver(now time.Duration) {
	for i := 0; i < len(fleet.messages); i++ {
		if message := fleet.messages[i]; message.at <= now {
			fleet.messages = append(fleet.messages[:i], fleet.messages[i+1:]...)
			fleet.step(message.to, now, message.event)
			i = -1
		}
	}
}

// step hands an event to a gateway and sends its messages about loans. It reports whether a request was admitted.
func (fleet *sharingFleet) step(gateway int, now time.Duration, event Event) (admitted bool) {
	if granted, ok := event.(LoanGranted); ok {
		fleet.loans++
		if fleet.loansFromArrival {
			granted.At = now
			event = granted
		}
	}
	actions := slices.Clone(fleet.gateways[gateway].Step(now, []Event{event}))
	for _, action := range actions {
		if _, ok := action.(Admit); fleet.withoutLoans && !ok {
			continue
		}
		switch action := action.(type) {
		case Admit:
			admitted = true
		case RequestLoan:
			loan := LoanRequest{From: gateway, Customer: action.Customer, Plan: action.Plan, At: action.At}
			for peer := range fleet.gateways {
				if peer != gateway {
					fleet.messages = append(fleet.messages, loanMessage{peer, now + fleet.delay(), loan})
				}
			}
		case GrantLoan:
			loan := LoanGranted{
				From:     gateway,
				Customer: action.Customer,
				Plan:     action.Plan,
				At:       action.At,
				Rate:     action.Rate,
				Depth:    action.Depth,
			}
			fleet.messages = append(fleet.messages, loanMessage{action.To, now + fleet.delay(), loan})
		}
	}
	return admitted
}

// lease gives a gateway a fraction, as far as what the others have leaves it.
func (fleet *sharingFleet) lease(gateway int, fraction float64, now, length time.Duration) {
	sum := fleet.leasedSum(now)
	free := 1 - sum + max(fleet.leased(gateway, now), fleet.lent[gateway])
	fleet.leaseUnchecked(gateway, max(0, min(fraction, free)), now, length)
}

// leaseUnchecked gives a gateway a fraction whatever the others have.
func (fleet *sharingFleet) leaseUnchecked(gateway int, fraction float64, now, length time.Duration) {
	former := fleet.leased(gateway, now)
	if fraction < former || now+length < fleet.leaseEnds[gateway] { // a shorter lease takes some away, too
		fleet.lent[gateway] = max(former, fleet.lent[gateway])
		fleet.lentUntil[gateway] = fleet.gateways[gateway].LoansEndAt()
	}
	fleet.fractions[gateway] = fraction
	fleet.leaseEnds[gateway] = now + length
	fleet.gateways[gateway].Step(now, []Event{ShareUpdate{Fraction: fraction, Until: now + length}})
}

// leased is the fraction that a gateway has at a time.
func (fleet *sharingFleet) leased(gateway int, now time.Duration) float64 {
	if now < fleet.leaseEnds[gateway] {
		return fleet.fractions[gateway]
	}
	return 0
}

// leasedSum is the sum of all gateways' fractions, or of what they may have granted of former ones.
func (fleet *sharingFleet) leasedSum(now time.Duration) (sum float64) {
	for i := range fleet.fractions {
		if now >= fleet.lentUntil[i] {
			fleet.lent[i] = 0
		}
		sum += max(fleet.leased(i, now), fleet.lent[i])
	}
	return sum
}

// allPolicies are the policies that a plan may have.
var allPolicies = []quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone}

// runSharing plays a random order of leases and requests and returns by how many units the ceiling was exceeded.
// lease is the method that gives the leases.
func runSharing(
	t *rapid.T, lease func(fleet *sharingFleet, gateway int, fraction float64, now, length time.Duration),
) float64 {
	count := rapid.IntRange(1, 6).Draw(t, "gateways")
	fleet := newSharingFleet(t, count, rapid.SampledFrom(allPolicies).Draw(t, "policy"))
	fleet.delay = func() time.Duration {
		return time.Duration(rapid.IntRange(0, 1500).Draw(t, "late")) * time.Millisecond
	}
	now := time.Hour
	for range rapid.IntRange(100, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		gateway := rapid.IntRange(0, count-1).Draw(t, "gateway")
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			fraction := float64(rapid.SampledFrom([]int{0, 3, 5, 10, 10}).Draw(t, "tenths")) / 10
			length := time.Duration(rapid.IntRange(50, 20_000).Draw(t, "length")) * time.Millisecond
			lease(fleet, gateway, fraction, now, length)
			continue
		}
		for range rapid.IntRange(1, 30).Draw(t, "burst") {
			fleet.request(gateway, now)
		}
	}
	return max(fleet.over, fleet.excess)
}

// However fractions are leased and taken back, gateways admit no more than the ceiling's bucket holds.
func TestLeasedSharesHoldCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := runSharing(t, (*sharingFleet).lease); over > 1e-6 {
			t.Fatalf("%.3f units over the ceiling", over)
		}
	})
}

// The check finds leases that overlap: a fraction that grows before another's lease is over.
func TestSharingCheckFindsOverlap(t *testing.T) {
	worst := 0.0
	for seed := range 200 {
		run := rapid.Custom(func(t *rapid.T) float64 { return runSharing(t, (*sharingFleet).leaseUnchecked) })
		worst = max(worst, run.Example(seed))
	}
	if worst < 5 {
		t.Errorf("leases that overlap let %.1f units over the ceiling in 200 runs, which the check is to find", worst)
	}
}

// Loans that come late are worth only what is left of them, as the lender uses its part again; counted from their
// arrival they would overlap.
func TestLateLoans(t *testing.T) {
	for _, fromArrival := range []bool{false, true} {
		worst := 0.0
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, quotashare.KeepNone)
			fleet.loansFromArrival = fromArrival
			fleet.delay = func() time.Duration {
				return time.Duration(rapid.IntRange(0, 700).Draw(t, "late")) * time.Millisecond
			}
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour)
			}
			now := time.Hour + 10*time.Second
			for round := range 8 { // the demand is at one gateway, then at all
				for end := now + 2*time.Second; now < end; now += 20 * time.Millisecond {
					for i := range 1 + 2*(round%2) {
						fleet.request(i, now)
					}
				}
			}
			worst = max(worst, fleet.over, fleet.excess)
		})
		if !fromArrival && worst > 1e-6 || fromArrival && worst < 0.5 {
			t.Errorf("counted from their arrival %v: %.1f units over the ceiling, or more than it shared out",
				fromArrival, worst)
		}
	}
}

// All of a customer's requests at one of three gateways have the whole ceiling, as the others grant loans of what they
// don't need; when the demand is at all gateways, each has its own part.
func TestLoansFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, policy := range allPolicies {
			fleet := newSharingFleet(t, 3, policy)
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour)
			}
			one, now := 0, time.Hour
			for ; now < time.Hour+12*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) && now >= time.Hour+2*time.Second {
					one++
				}
			}
			var each [3]int
			for begun := now; now < begun+12*time.Second; now += 20 * time.Millisecond {
				for i := range fleet.gateways {
					if fleet.request(i, now) && now >= begun+4*time.Second {
						each[i]++
					}
				}
			}
			if one < 95 || fleet.over > 1e-6 || fleet.loans == 0 || min(each[0], each[1], each[2]) < 20 {
				t.Fatalf("policy %v: %d of 100 at one gateway, %v at all, %.2f over, %d loans",
					policy, one, each, fleet.over, fleet.loans)
			}
		}
	})
}

// A fraction that grows after a long time gives no full bucket at once, neither of a known customer nor of a new one.
func TestGrownShareStartsEmpty(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := newSharingFleet(t, 2, quotashare.KeepNone)
				fleet.withoutLoans = true
				now := time.Hour
				fleet.lease(0, 0.5, now, time.Minute)
				fleet.lease(1, 0.5, now, time.Minute)
				now += 50 * time.Second
				if known {
					fleet.request(1, now)
				}
				for range 20 {
					fleet.request(0, now)
				}
				fleet.lease(0, 0, now, 0)
				fleet.lease(1, 1, now, time.Minute)
				got := 0
				for range 40 {
					if fleet.request(1, now+time.Millisecond) {
						got++
					}
				}
				if fleet.over > 1e-6 || known && got != 9 || !known && got != 0 {
					t.Fatalf("%d at once, %.1f over", got, fleet.over)
				}
			})
		})
	}
}

// A lease that is over is worth nothing at the next decision, however long the gateway stood still before it.
func TestSharesEndWithLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newSharingFleet(t, 3, quotashare.KeepNone)
		fleet.lease(0, 1, time.Hour, 2*time.Second)
		if !fleet.request(0, time.Hour+1900*time.Millisecond) {
			t.Fatal("nothing inside the lease")
		}
		if fleet.request(0, time.Hour+2*time.Second) || fleet.request(0, time.Hour+12*time.Second) {
			t.Fatal("admitted after the lease")
		}
	})
}

// A gateway that is cut off serves what it keeps without a lease: the quota's even part, all of its even part, or
// nothing.
func TestSharesKeptWithoutLease(t *testing.T) {
	admittedIn30s := map[quotashare.PartitionPolicy]int{
		quotashare.KeepQuota: 50,
		quotashare.KeepAll:   100,
		quotashare.KeepNone:  0,
	}
	for policy, want := range admittedIn30s {
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, policy)
			if fleet.request(0, time.Hour+5*time.Second) {
				t.Fatal("admitted before the first share update")
			}
			fleet.gateways[0].Step(time.Hour+5*time.Second, []Event{ShareUpdate{}})
			got := 0
			for now := time.Hour + 10*time.Second; now < time.Hour+40*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) {
					got++
				}
			}
			if want > 0 && got < want || got > want+8 { // the depth comes once
				t.Fatalf("policy %v: %d admitted in 30 s, %d wanted", policy, got, want)
			}
		})
	}
}

// A fraction that grew counts for a limit on requests in flight only when those of the former holder must be over.
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

// What gateways share without a bound that must hold goes by those that are alive, and the fallback tokens of a plan
// that keeps nothing without a lease go by the lease.
func TestSharesOfLiveGateways(t *testing.T) {
	settings := Settings{
		Gateways:       5,
		MaxAttempts:    1,
		LeasedShares:   true,
		UseCounter:     true,
		CounterTimeout: 50 * time.Millisecond,
		Classes:        []Class{{PriorityWeight: 1, ClientTimeout: 3 * time.Second}},
		Plans: []Plan{
			{
				Rate:            5,
				Burst:           10,
				PriorityFactor:  1,
				OverQuotaWeight: 0.2,
				CeilingRate:     10,
				CeilingBurst:    20,
				PartitionPolicy: quotashare.KeepNone,
			},
		},
	}
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Step(now, []Event{ShareUpdate{Fraction: 0.2, Until: 2 * time.Hour}})
	for i := range 200 { // failures, each counted
		b.counter.pacer.RecordFailure(now+time.Duration(i)*time.Second, now+time.Duration(i)*time.Second)
	}
	if got := b.counter.pacer.Rate(); got != minFleetCallRate/5 {
		t.Errorf("%v calls a second at least, of five gateways", got)
	}
	now += 300 * time.Second
	b.Step(now, []Event{ShareUpdate{Fraction: 0.5, Until: 2 * time.Hour, DeadGateways: []int{1, 2, 3}}})
	if got := b.counter.pacer.Rate(); got != minFleetCallRate/2 {
		t.Errorf("%v calls a second at least, of two live gateways", got)
	}
	cust := &customer{gateways: 5, quota: quotaState{fallbackFilledAt: now}}
	b.counter.callFraction = 0
	for fraction, want := range map[float64]float64{0.5: 5, 0.2: 2, 0: 0} {
		b.Step(now, []Event{ShareUpdate{Fraction: fraction, Until: now + time.Hour}})
		cust.quota.fallbackFilledAt = b.now
		b.now += time.Minute
		if b.refillFallback(cust, &b.settings.Plans[0]); cust.quota.fallbackTokens != want {
			t.Errorf("%v units at once by a fraction of %v", cust.quota.fallbackTokens, fraction)
		}
		now = b.now
	}
}

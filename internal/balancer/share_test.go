package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// sharingFleet are gateways without a counter that share one ceiling by leased fractions, which the test leases.
type sharingFleet struct {
	gateways []*Balancer
	settings Settings
	lastID   uint64
	// fractions has the leased fraction of each gateway, leasedUntil when it ends.
	fractions   []float64
	leasedUntil []time.Duration
	// formerFractions has what each gateway had before it was given less, and formerUntil when that ends: gateways that
	// it has granted a loan use it until then.
	formerFractions []float64
	formerUntil     []time.Duration
	// ceiling is the shared ceiling, level what a bucket of it holds that each admission draws on.
	ceiling   quotashare.Bucket
	level     float64
	updatedAt time.Duration
	// worstDebt is by how much that bucket was overdrawn at worst.
	worstDebt float64
	// worstSumExcess is by how much the gateways' shares together exceeded the ceiling at worst.
	worstSumExcess float64
	// messages are those about loans that have not arrived yet.
	messages []loanMessage
	// messageDelay draws the delay of a message.
	messageDelay func() time.Duration
	// loanCount is the number of loans that were granted.
	loanCount int
	// dropsMessages is set if no message about a loan arrives.
	dropsMessages bool
	// countsLoansFromArrival is a mistake that the check must find.
	countsLoansFromArrival bool
}

// loanMessage is a message about a loan from one gateway to another.
type loanMessage struct {
	to    int
	dueAt time.Duration
	event Event
}

// newSharingFleet returns n gateways, none of which has leased a fraction yet.
func newSharingFleet(t *rapid.T, n int, policy quotashare.PartitionPolicy) *sharingFleet {
	fleet := &sharingFleet{
		ceiling:         quotashare.Bucket{Rate: 10, Depth: 20},
		level:           20,
		fractions:       make([]float64, n),
		leasedUntil:     make([]time.Duration, n),
		formerFractions: make([]float64, n),
		formerUntil:     make([]time.Duration, n),
		messageDelay:    func() time.Duration { return 0 },
	}
	fleet.settings = Settings{
		Gateways:       n,
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
	for i := range n {
		settings := fleet.settings
		settings.Index = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Hour, nil)
		fleet.gateways = append(fleet.gateways, b)
	}
	fleet.updatedAt = time.Hour
	return fleet
}

// request lets a gateway get a request, after the messages that are due, and checks the ceiling.
func (fleet *sharingFleet) request(i int, now time.Duration) (admitted bool) {
	fleet.lastID++
	for k := 0; k < len(fleet.messages); k++ { // a message may cause others
		if message := fleet.messages[k]; message.dueAt <= now {
			fleet.messages = append(fleet.messages[:k], fleet.messages[k+1:]...)
			fleet.step(message.to, now, message.event)
			k = -1
		}
	}
	request := admitOnlyRequest(fleet.lastID, 0)
	request.TimeLeft = time.Second
	admitted = fleet.step(i, now, request)
	fleet.level = min(fleet.ceiling.Depth, fleet.level+fleet.ceiling.Rate*(now-fleet.updatedAt).Seconds())
	fleet.updatedAt = now
	if admitted {
		fleet.level--
		fleet.worstDebt = max(fleet.worstDebt, -fleet.level)
	}
	sum := quotashare.Bucket{}
	for _, b := range fleet.gateways {
		b.Step(now, nil)
		if cust := b.customers.find("c"); cust != nil {
			sum = sum.Add(b.ceilingShare(cust, &b.settings.Plans[0]))
		}
	}
	fleet.worstSumExcess = max(fleet.worstSumExcess, sum.Rate-fleet.ceiling.Rate, sum.Depth-fleet.ceiling.Depth)
	return admitted
}

// step hands a gateway an event and queues its messages about loans. It reports whether a request was admitted.
func (fleet *sharingFleet) step(i int, now time.Duration, ev Event) (admitted bool) {
	if l, ok := ev.(LoanGranted); ok {
		fleet.loanCount++
		if fleet.countsLoansFromArrival {
			l.At = now
			ev = l
		}
	}
	actions := append([]Action(nil), fleet.gateways[i].Step(now, []Event{ev})...)
	for _, a := range actions {
		if _, ok := a.(Admit); fleet.dropsMessages && !ok {
			continue
		}
		switch a := a.(type) {
		case Admit:
			admitted = true
		case RequestLoan:
			for j := range fleet.gateways {
				if j != i {
					loan := LoanRequest{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At}
					fleet.messages = append(fleet.messages, loanMessage{j, now + fleet.messageDelay(), loan})
				}
			}
		case GrantLoan:
			loan := LoanGranted{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At, Rate: a.Rate, Depth: a.Depth}
			fleet.messages = append(fleet.messages, loanMessage{a.To, now + fleet.messageDelay(), loan})
		}
	}
	return admitted
}

// lease leases a gateway a fraction, or as much of it as the others leave.
func (fleet *sharingFleet) lease(i int, fraction float64, now, length time.Duration) {
	free := 1 - fleet.sumOfFractions(now) + max(fleet.fraction(i, now), fleet.formerFractions[i])
	fleet.leaseOverlapping(i, max(0, min(fraction, free)), now, length)
}

// leaseOverlapping leases a gateway a fraction whatever the others have, which is a mistake.
func (fleet *sharingFleet) leaseOverlapping(i int, fraction float64, now, length time.Duration) {
	former := fleet.fraction(i, now)
	// A lease that becomes shorter counts as taken away, too.
	if fraction < former || now+length < fleet.leasedUntil[i] {
		fleet.formerFractions[i] = max(former, fleet.formerFractions[i])
		fleet.formerUntil[i] = fleet.gateways[i].LoansEndAt()
	}
	fleet.fractions[i] = fraction
	fleet.leasedUntil[i] = now + length
	fleet.gateways[i].Step(now, []Event{ShareUpdate{Fraction: fraction, Until: now + length}})
}

// fraction is what a gateway has leased at a time.
func (fleet *sharingFleet) fraction(i int, now time.Duration) float64 {
	if now < fleet.leasedUntil[i] {
		return fleet.fractions[i]
	}
	return 0
}

// sumOfFractions is what all gateways have leased at a time, with what they may still use of former leases.
func (fleet *sharingFleet) sumOfFractions(now time.Duration) (sum float64) {
	for i := range fleet.fractions {
		if now >= fleet.formerUntil[i] {
			fleet.formerFractions[i] = 0
		}
		sum += max(fleet.fraction(i, now), fleet.formerFractions[i])
	}
	return sum
}

// partitionPolicies are all of them.
var partitionPolicies = []quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone}

// drawMilliseconds draws a duration of a number of milliseconds up to most.
func drawMilliseconds(t *rapid.T, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
}

// runSharing plays requests and leases as drawn, and returns by how much the ceiling was exceeded at worst. lease is
// how fractions are leased.
func runSharing(t *rapid.T, lease func(*sharingFleet, int, float64, time.Duration, time.Duration)) float64 {
	n := rapid.IntRange(1, 6).Draw(t, "gateways")
	fleet := newSharingFleet(t, n, rapid.SampledFrom(partitionPolicies).Draw(t, "policy"))
	fleet.messageDelay = func() time.Duration { return drawMilliseconds(t, 1500, "delay") }
	now := time.Hour
	for range rapid.IntRange(100, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		i := rapid.IntRange(0, n-1).Draw(t, "gateway")
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			fraction := float64(rapid.SampledFrom([]int{0, 3, 5, 10, 10}).Draw(t, "tenths")) / 10
			length := time.Duration(rapid.IntRange(50, 20_000).Draw(t, "length")) * time.Millisecond
			lease(fleet, i, fraction, now, length)
			continue
		}
		for range rapid.IntRange(1, 30).Draw(t, "burst") {
			fleet.request(i, now)
		}
	}
	return max(fleet.worstDebt, fleet.worstSumExcess)
}

// However fractions are leased and taken back, gateways admit no more than the ceiling holds.
func TestLeasedSharesHoldCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := runSharing(t, (*sharingFleet).lease); over > 1e-6 {
			t.Fatalf("%.3f units over the ceiling", over)
		}
	})
}

// The check finds fractions that overlap: one that grows before another's lease ends.
func TestSharingCheckFindsOverlap(t *testing.T) {
	worst := 0.0
	for seed := range 200 {
		excess := rapid.Custom(func(t *rapid.T) float64 { return runSharing(t, (*sharingFleet).leaseOverlapping) })
		worst = max(worst, excess.Example(seed))
	}
	if worst < 5 {
		t.Errorf("overlapping fractions exceed the ceiling by %.1f units in 200 plays; the check must find more", worst)
	}
}

// A loan that arrives late is only worth what is left of it, as the lender uses its share again. Counted from its
// arrival it would overlap.
func TestLateLoans(t *testing.T) {
	for _, fromArrival := range []bool{false, true} {
		worst := 0.0
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, quotashare.KeepNone)
			fleet.countsLoansFromArrival = fromArrival
			fleet.messageDelay = func() time.Duration { return drawMilliseconds(t, 700, "delay") }
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
			worst = max(worst, fleet.worstDebt, fleet.worstSumExcess)
		})
		if !fromArrival && worst > 1e-6 || fromArrival && worst < 0.5 {
			t.Errorf("counted from arrival %v: %.1f units over the ceiling", fromArrival, worst)
		}
	}
}

// If all requests of a customer come to one of three gateways, it has the whole ceiling, as the others lend what they
// don't need. If they come to all gateways, each has its own share.
func TestLoansFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, policy := range partitionPolicies {
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
			if one < 95 || fleet.worstDebt > 1e-6 || fleet.loanCount == 0 || min(each[0], each[1], each[2]) < 20 {
				t.Fatalf("policy %v: %d of 100 at one gateway, %v at all, %.2f over, %d loans",
					policy, one, each, fleet.worstDebt, fleet.loanCount)
			}
		}
	})
}

// A fraction that grows after a long time gives no full bucket at once, neither to a known customer nor to a new one.
func TestGrownShareStartsEmpty(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := newSharingFleet(t, 2, quotashare.KeepNone)
				fleet.dropsMessages = true
				now := time.Hour
				fleet.lease(0, 0.5, now, time.Minute)
				fleet.lease(1, 0.5, now, time.Minute)
				if now += 50 * time.Second; known {
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
				if fleet.worstDebt > 1e-6 || known && got != 9 || !known && got != 0 {
					t.Fatalf("%d at once, %.1f over", got, fleet.worstDebt)
				}
			})
		})
	}
}

// A lease that has ended is worth nothing at the next decision, however long the gateway stood still before.
func TestSharesEndWithLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newSharingFleet(t, 3, quotashare.KeepNone)
		fleet.lease(0, 1, time.Hour, 2*time.Second)
		if !fleet.request(0, time.Hour+1900*time.Millisecond) {
			t.Fatal("rejected within the lease")
		}
		if fleet.request(0, time.Hour+2*time.Second) || fleet.request(0, time.Hour+12*time.Second) {
			t.Fatal("admitted after the lease")
		}
	})
}

// A gateway without a lease serves what its partition policy keeps: the even part of the quota, all of the even part,
// or nothing.
func TestSharesKeptWithoutLease(t *testing.T) {
	for policy, want := range map[quotashare.PartitionPolicy]int{
		quotashare.KeepQuota: 50,
		quotashare.KeepAll:   100,
		quotashare.KeepNone:  0,
	} {
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, policy)
			if fleet.request(0, time.Hour+5*time.Second) {
				t.Fatal("admitted before the first ShareUpdate")
			}
			fleet.gateways[0].Step(time.Hour+5*time.Second, []Event{ShareUpdate{}})
			got := 0
			for now := time.Hour + 10*time.Second; now < time.Hour+40*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) {
					got++
				}
			}
			if want > 0 && got < want || got > want+8 { // the burst comes once
				t.Fatalf("policy %v: %d admitted in 30 s, %d wanted", policy, got, want)
			}
		})
	}
}

// A fraction that grew counts for MaxInFlight only when what others had in flight must be over.
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

// What gateways share without a strict bound goes by the live ones. With KeepNone the fallback share goes by the
// lease.
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
			t.Errorf("%v units at once with a fraction of %v", cust.quota.fallbackTokens, fraction)
		}
		now = b.now
	}
}

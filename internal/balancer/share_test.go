package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// sharingFleet are gateways without a counter that share one ceiling by views. The parts are leased by an administrator.
type sharingFleet struct {
	gateways               []*Balancer
	settings               Settings
	fractions              []float64
	leasedUntil            []time.Duration
	lastID                 uint64
	ceiling                quotashare.Bucket
	level                  float64 // of a bucket that empties with each grant
	updatedAt              time.Duration
	worstDebt              float64
	formerFractions        []float64       // what a gateway had before it was given less: others it has lent to use that ...
	formerUntil            []time.Duration // ... until then
	messages               []loanMessage
	messageDelay           func() time.Duration // of words of loans
	loanCount              int
	worstSumExcess         float64 // by how much the gateways' stores were more than the ceiling's together
	dropsMessages          bool    // no word of loans comes
	countsLoansFromArrival bool    // loans count from when they come: a mistake that is to be found
}

// loanMessage is what one gateway tells another about a loan.
type loanMessage struct {
	to    int
	dueAt time.Duration
	event Event
}

func newSharingFleet(t *rapid.T, n int, rule quotashare.PartitionPolicy) *sharingFleet {
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
				PartitionPolicy: rule,
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

func (fleet *sharingFleet) request(i int, now time.Duration) (admitted bool) {
	fleet.lastID++
	for k := 0; k < len(fleet.messages); k++ { // a word brings others
		if w := fleet.messages[k]; w.dueAt <= now {
			fleet.messages = append(fleet.messages[:k], fleet.messages[k+1:]...)
			fleet.step(w.to, now, w.event)
			k = -1
		}
	}
	admitted = fleet.step(i, now, Request{ID: fleet.lastID, Customer: "c", Units: 1, TimeLeft: time.Second, AdmitOnly: true})
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

// step has something happen at a gateway, and carries what it says of loans; admitted says that it let a request through.
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
					fleet.messages = append(
						fleet.messages,
						loanMessage{j, now + fleet.messageDelay(), LoanRequest{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At}},
					)
				}
			}
		case GrantLoan:
			fleet.messages = append(
				fleet.messages,
				loanMessage{
					a.To,
					now + fleet.messageDelay(),
					LoanGranted{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At, Rate: a.Rate, Depth: a.Depth},
				},
			)
		}
	}
	return admitted
}

// lease gives a gateway a part, as far as what the others have leaves it, unless the rule is broken on purpose.
func (fleet *sharingFleet) lease(i int, part float64, now, length time.Duration, broken bool) {
	if !broken {
		part = min(part, 1-fleet.sumOfFractions(now)+max(fleet.fraction(i, now), fleet.formerFractions[i]))
		part = max(0, part)
	}
	if was := fleet.fraction(
		i,
		now,
	); part < was ||
		now+length < fleet.leasedUntil[i] { // a lease that is given for less is taken away, too
		fleet.formerFractions[i], fleet.formerUntil[i] = max(was, fleet.formerFractions[i]), fleet.gateways[i].LoansEndAt()
	}
	fleet.fractions[i], fleet.leasedUntil[i] = part, now+length
	fleet.gateways[i].Step(now, []Event{ShareUpdate{Fraction: part, Until: now + length}})
}

func (fleet *sharingFleet) fraction(i int, now time.Duration) float64 {
	if now < fleet.leasedUntil[i] {
		return fleet.fractions[i]
	}
	return 0
}

func (fleet *sharingFleet) sumOfFractions(now time.Duration) (sum float64) {
	for i := range fleet.fractions {
		if now >= fleet.formerUntil[i] {
			fleet.formerFractions[i] = 0
		}
		sum += max(fleet.fraction(i, now), fleet.formerFractions[i])
	}
	return sum
}

func runSharing(t *rapid.T, broken bool) float64 {
	n := rapid.IntRange(1, 6).Draw(t, "gateways")
	fleet := newSharingFleet(
		t,
		n,
		rapid.SampledFrom([]quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone}).
			Draw(t, "rule"),
	)
	fleet.messageDelay = func() time.Duration { return time.Duration(rapid.IntRange(0, 1500).Draw(t, "late")) * time.Millisecond }
	now := time.Hour
	for range rapid.IntRange(100, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		i := rapid.IntRange(0, n-1).Draw(t, "gateway")
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			fleet.lease(
				i,
				float64(rapid.SampledFrom([]int{0, 3, 5, 10, 10}).Draw(t, "tenths"))/10,
				now,
				time.Duration(rapid.IntRange(50, 20_000).Draw(t, "length"))*time.Millisecond,
				broken,
			)
			continue
		}
		for range rapid.IntRange(1, 30).Draw(t, "burst") {
			fleet.request(i, now)
		}
	}
	return max(fleet.worstDebt, fleet.worstSumExcess)
}

// However parts are leased and taken back, gateways let no more through than the ceiling holds.
func TestLeasedSharesHoldCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := runSharing(t, false); over > 1e-6 {
			t.Fatalf("%.3f units over the ceiling", over)
		}
	})
}

// The check finds parts that overlap: one that grows before another's lease is over.
func TestSharingCheckFindsOverlap(t *testing.T) {
	worst := 0.0
	for seed := range 200 {
		worst = max(worst, rapid.Custom(func(t *rapid.T) float64 { return runSharing(t, true) }).Example(seed))
	}
	if worst < 5 {
		t.Errorf("parts that overlap let %.1f units over the ceiling in 200 plays, which the check is to find", worst)
	}
}

// Loans that come late are worth only what is left of them, as the lender uses its part again; counted from when they
// came they would overlap.
func TestLateLoans(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		worst := 0.0
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, quotashare.KeepNone)
			fleet.countsLoansFromArrival = lasts
			fleet.messageDelay = func() time.Duration { return time.Duration(rapid.IntRange(0, 700).Draw(t, "late")) * time.Millisecond }
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour, false)
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
		if !lasts && worst > 1e-6 || lasts && worst < 0.5 {
			t.Errorf(
				"counted from when they came %v: %.1f units over the ceiling, or more than it shared out",
				lasts,
				worst,
			)
		}
	}
}

// All of an account's traffic at one of three gateways has the whole ceiling, as the others lend what they don't need; and
// when the demand is at
// all gateways, each has its own part.
func TestLoansFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, rule := range []quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone} {
			fleet := newSharingFleet(t, 3, rule)
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour, false)
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
				t.Fatalf(
					"rule %v: %d of 100 at one gateway, %v at all, %.2f over, %d loans",
					rule,
					one,
					each,
					fleet.worstDebt,
					fleet.loanCount,
				)
			}
		}
	})
}

// A part that grows after a long time gives no full store at once, neither of a customer that is known nor of one that
// is new.
func TestGrownShareStartsEmpty(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := newSharingFleet(t, 2, quotashare.KeepNone)
				fleet.dropsMessages = true
				now := time.Hour
				fleet.lease(0, 0.5, now, time.Minute, false)
				fleet.lease(1, 0.5, now, time.Minute, false)
				if now += 50 * time.Second; known {
					fleet.request(1, now)
				}
				for range 20 {
					fleet.request(0, now)
				}
				fleet.lease(0, 0, now, 0, false)
				fleet.lease(1, 1, now, time.Minute, false)
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

// A lease that is over is worth nothing at the next decision, however long the gateway stood still before it.
func TestSharesEndWithLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newSharingFleet(t, 3, quotashare.KeepNone)
		fleet.lease(0, 1, time.Hour, 2*time.Second, false)
		if !fleet.request(0, time.Hour+1900*time.Millisecond) {
			t.Fatal("nothing inside the lease")
		}
		if fleet.request(0, time.Hour+2*time.Second) || fleet.request(0, time.Hour+12*time.Second) {
			t.Fatal("let through after the lease")
		}
	})
}

// What is kept without a lease is served by a gateway that is alone: the quota's even part, all of the even part, or
// nothing.
func TestSharesKeptWithoutLease(t *testing.T) {
	for rule, want := range map[quotashare.PartitionPolicy]int{quotashare.KeepQuota: 50, quotashare.KeepAll: 100, quotashare.KeepNone: 0} {
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, rule)
			if fleet.request(0, time.Hour+5*time.Second) {
				t.Fatal("let through before it was told how it stands")
			}
			fleet.gateways[0].Step(time.Hour+5*time.Second, []Event{ShareUpdate{}})
			got := 0
			for now := time.Hour + 10*time.Second; now < time.Hour+40*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) {
					got++
				}
			}
			if want > 0 && got < want || got > want+8 { // the depth comes once
				t.Fatalf("rule %v: %d let through in 30 s, %d wanted", rule, got, want)
			}
		})
	}
}

// A part that grew counts for a cap on what is open at once only when what others had open must be over.
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
		t.Errorf("%v open 2 s after the part grew", got)
	}
	if got := at(time.Hour + 13*time.Second); got != 10 {
		t.Errorf("%v open 3 s after the part grew", got)
	}
	b.Step(time.Hour+14*time.Second, []Event{ShareUpdate{Fraction: 0.2, Until: 2 * time.Hour}})
	if got := at(time.Hour + 14*time.Second); got != 2 {
		t.Errorf("%v open after the part shrank", got)
	}
}

// What gateways share without a bound that must hold goes by those that live, and what a yielding plan has for the
// counter's silence by the lease.
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
		t.Errorf("%v calls a second at least, of two gateways that live", got)
	}
	cust := &customer{gateways: 5, quota: quotaState{fallbackFilledAt: now}}
	b.counter.callFraction = 0
	for part, want := range map[float64]float64{0.5: 5, 0.2: 2, 0: 0} {
		b.Step(now, []Event{ShareUpdate{Fraction: part, Until: now + time.Hour}})
		cust.quota.fallbackFilledAt = b.now
		b.now += time.Minute
		if b.refillFallback(cust, &b.settings.Plans[0]); cust.quota.fallbackTokens != want {
			t.Errorf("%v units at once by a part of %v", cust.quota.fallbackTokens, part)
		}
		now = b.now
	}
}

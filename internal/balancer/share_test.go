package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// sharingFleet are doors without a counter that share one ceiling by views. The parts are leased by hand.
type sharingFleet struct {
	doors  []*Balancer
	set    Settings
	parts  []float64
	until  []time.Duration
	ids    uint64
	store  quotashare.Bucket
	left   float64 // of a store that empties with each grant
	at     time.Duration
	over   float64
	ghost  []float64       // what a door had before it was given less: others it has lent to use that ...
	until2 []time.Duration // ... until then
	words  []loanMessage
	late   func() time.Duration // of words of loans
	loans  int
	sums   float64 // by how much the doors' stores were more than the ceiling's together
	mute   bool    // no word of loans comes
	lasts  bool    // loans count from when they come: a mistake that is to be found
}

// loanMessage is what one door tells another about a loan.
type loanMessage struct {
	to int
	at time.Duration
	ev Event
}

func newSharingFleet(t *rapid.T, n int, rule quotashare.PartitionPolicy) *sharingFleet {
	s := &sharingFleet{
		store:  quotashare.Bucket{Rate: 10, Depth: 20},
		left:   20,
		parts:  make([]float64, n),
		until:  make([]time.Duration, n),
		ghost:  make([]float64, n),
		until2: make([]time.Duration, n),
		late:   func() time.Duration { return 0 },
	}
	s.set = Settings{
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
				CeilingRate:     s.store.Rate,
				CeilingBurst:    s.store.Depth,
				PartitionPolicy: rule,
			},
		},
	}
	for i := range n {
		settings := s.set
		settings.Index = i
		b, err := New(settings, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Hour, nil)
		s.doors = append(s.doors, b)
	}
	s.at = time.Hour
	return s
}

func (s *sharingFleet) ask(i int, now time.Duration) (granted bool) {
	s.ids++
	for k := 0; k < len(s.words); k++ { // a word brings others
		if w := s.words[k]; w.at <= now {
			s.words = append(s.words[:k], s.words[k+1:]...)
			s.step(w.to, now, w.ev)
			k = -1
		}
	}
	granted = s.step(i, now, Request{ID: s.ids, Customer: "c", Units: 1, TimeLeft: time.Second, AdmitOnly: true})
	s.left = min(s.store.Depth, s.left+s.store.Rate*(now-s.at).Seconds())
	s.at = now
	if granted {
		s.left--
		s.over = max(s.over, -s.left)
	}
	sum := quotashare.Bucket{}
	for _, b := range s.doors {
		b.Step(now, nil)
		if cust := b.customers.find("c"); cust != nil {
			sum = sum.Add(b.ceilingShare(cust, &b.settings.Plans[0]))
		}
	}
	s.sums = max(s.sums, sum.Rate-s.store.Rate, sum.Depth-s.store.Depth)
	return granted
}

// step has something happen at a door, and carries what it says of loans; granted says that it let a request through.
func (s *sharingFleet) step(i int, now time.Duration, ev Event) (granted bool) {
	if l, ok := ev.(LoanGranted); ok {
		s.loans++
		if s.lasts {
			l.At = now
			ev = l
		}
	}
	acts := append([]Action(nil), s.doors[i].Step(now, []Event{ev})...)
	for _, a := range acts {
		if _, ok := a.(Admit); s.mute && !ok {
			continue
		}
		switch a := a.(type) {
		case Admit:
			granted = true
		case RequestLoan:
			for j := range s.doors {
				if j != i {
					s.words = append(
						s.words,
						loanMessage{j, now + s.late(), LoanRequest{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At}},
					)
				}
			}
		case GrantLoan:
			s.words = append(
				s.words,
				loanMessage{
					a.To,
					now + s.late(),
					LoanGranted{From: i, Customer: a.Customer, Plan: a.Plan, At: a.At, Rate: a.Rate, Depth: a.Depth},
				},
			)
		}
	}
	return granted
}

// lease gives a door a part, as far as what the others have leaves it, unless the rule is broken on purpose.
func (s *sharingFleet) lease(i int, part float64, now, length time.Duration, broken bool) {
	if !broken {
		part = min(part, 1-s.sum(now)+max(s.mine(i, now), s.ghost[i]))
		part = max(0, part)
	}
	if was := s.mine(
		i,
		now,
	); part < was ||
		now+length < s.until[i] { // a lease that is given for less is taken away, too
		s.ghost[i], s.until2[i] = max(was, s.ghost[i]), s.doors[i].LoansEndAt()
	}
	s.parts[i], s.until[i] = part, now+length
	s.doors[i].Step(now, []Event{ShareUpdate{Fraction: part, Until: now + length}})
}

func (s *sharingFleet) mine(i int, now time.Duration) float64 {
	if now < s.until[i] {
		return s.parts[i]
	}
	return 0
}

func (s *sharingFleet) sum(now time.Duration) (sum float64) {
	for i := range s.parts {
		if now >= s.until2[i] {
			s.ghost[i] = 0
		}
		sum += max(s.mine(i, now), s.ghost[i])
	}
	return sum
}

func runSharing(t *rapid.T, broken bool) float64 {
	n := rapid.IntRange(1, 6).Draw(t, "doors")
	s := newSharingFleet(
		t,
		n,
		rapid.SampledFrom([]quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone}).
			Draw(t, "rule"),
	)
	s.late = func() time.Duration { return time.Duration(rapid.IntRange(0, 1500).Draw(t, "late")) * time.Millisecond }
	now := time.Hour
	for range rapid.IntRange(100, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		i := rapid.IntRange(0, n-1).Draw(t, "door")
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			s.lease(
				i,
				float64(rapid.SampledFrom([]int{0, 3, 5, 10, 10}).Draw(t, "tenths"))/10,
				now,
				time.Duration(rapid.IntRange(50, 20_000).Draw(t, "length"))*time.Millisecond,
				broken,
			)
			continue
		}
		for range rapid.IntRange(1, 30).Draw(t, "burst") {
			s.ask(i, now)
		}
	}
	return max(s.over, s.sums)
}

// However parts are leased and taken back, doors let no more through than the ceiling's store holds.
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
			s := newSharingFleet(t, 3, quotashare.KeepNone)
			s.lasts = lasts
			s.late = func() time.Duration { return time.Duration(rapid.IntRange(0, 700).Draw(t, "late")) * time.Millisecond }
			for i := range s.doors {
				s.lease(i, 1.0/3, time.Hour, time.Hour, false)
			}
			now := time.Hour + 10*time.Second
			for round := range 8 { // the demand is at one door, then at all
				for end := now + 2*time.Second; now < end; now += 20 * time.Millisecond {
					for i := range 1 + 2*(round%2) {
						s.ask(i, now)
					}
				}
			}
			worst = max(worst, s.over, s.sums)
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

// All of an account's traffic at one of three doors has the whole ceiling, as the others lend what they don't need; and
// when the demand is at
// all doors, each has its own part.
func TestLoansFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, rule := range []quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone} {
			s := newSharingFleet(t, 3, rule)
			for i := range s.doors {
				s.lease(i, 1.0/3, time.Hour, time.Hour, false)
			}
			one, now := 0, time.Hour
			for ; now < time.Hour+12*time.Second; now += 20 * time.Millisecond {
				if s.ask(0, now) && now >= time.Hour+2*time.Second {
					one++
				}
			}
			var each [3]int
			for begun := now; now < begun+12*time.Second; now += 20 * time.Millisecond {
				for i := range s.doors {
					if s.ask(i, now) && now >= begun+4*time.Second {
						each[i]++
					}
				}
			}
			if one < 95 || s.over > 1e-6 || s.loans == 0 || min(each[0], each[1], each[2]) < 20 {
				t.Fatalf(
					"rule %v: %d of 100 at one door, %v at all, %.2f over, %d loans",
					rule,
					one,
					each,
					s.over,
					s.loans,
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
				s := newSharingFleet(t, 2, quotashare.KeepNone)
				s.mute = true
				now := time.Hour
				s.lease(0, 0.5, now, time.Minute, false)
				s.lease(1, 0.5, now, time.Minute, false)
				if now += 50 * time.Second; known {
					s.ask(1, now)
				}
				for range 20 {
					s.ask(0, now)
				}
				s.lease(0, 0, now, 0, false)
				s.lease(1, 1, now, time.Minute, false)
				got := 0
				for range 40 {
					if s.ask(1, now+time.Millisecond) {
						got++
					}
				}
				if s.over > 1e-6 || known && got != 9 || !known && got != 0 {
					t.Fatalf("%d at once, %.1f over", got, s.over)
				}
			})
		})
	}
}

// A lease that is over is worth nothing at the next decision, however long the door stood still before it.
func TestSharesEndWithLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharingFleet(t, 3, quotashare.KeepNone)
		s.lease(0, 1, time.Hour, 2*time.Second, false)
		if !s.ask(0, time.Hour+1900*time.Millisecond) {
			t.Fatal("nothing inside the lease")
		}
		if s.ask(0, time.Hour+2*time.Second) || s.ask(0, time.Hour+12*time.Second) {
			t.Fatal("let through after the lease")
		}
	})
}

// What is kept without a lease is served by a door that is alone: the quota's even part, all of the even part, or
// nothing.
func TestSharesKeptWithoutLease(t *testing.T) {
	for rule, want := range map[quotashare.PartitionPolicy]int{quotashare.KeepQuota: 50, quotashare.KeepAll: 100, quotashare.KeepNone: 0} {
		rapid.Check(t, func(t *rapid.T) {
			s := newSharingFleet(t, 3, rule)
			if s.ask(0, time.Hour+5*time.Second) {
				t.Fatal("let through before it was told how it stands")
			}
			s.doors[0].Step(time.Hour+5*time.Second, []Event{ShareUpdate{}})
			got := 0
			for now := time.Hour + 10*time.Second; now < time.Hour+40*time.Second; now += 20 * time.Millisecond {
				if s.ask(0, now) {
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

// What doors share without a bound that must hold goes by those that live, and what a yielding plan has for the
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
		t.Errorf("%v calls a second at least, of five doors", got)
	}
	now += 300 * time.Second
	b.Step(now, []Event{ShareUpdate{Fraction: 0.5, Until: 2 * time.Hour, DeadGateways: []int{1, 2, 3}}})
	if got := b.counter.pacer.Rate(); got != minFleetCallRate/2 {
		t.Errorf("%v calls a second at least, of two doors that live", got)
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

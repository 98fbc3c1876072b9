package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/golden"
)

const (
	loanGateways = 3
	// loanFlood is how long one gateway receives all of a customer's requests, and loanInterval is the time between two
	// of them.
	loanFlood    = 10 * time.Second
	loanInterval = 10 * time.Millisecond
	// loanSettled is the time by which the loans must have followed the demand. minAdmitted is how many of the
	// ceiling's 70 units must then be admitted until the flood ends.
	loanSettled = 3 * time.Second
	minAdmitted = 60
)

// loanSettings returns the settings of gateways that share a ceiling by leases and loans, and whose counter is
// unavailable.
func loanSettings(index int) balancer.Settings {
	return balancer.Settings{
		Gateways:        loanGateways,
		Index:           index,
		MaxAttempts:     1,
		LeasedShares:    true,
		SendRetryAfter:  true,
		MaxRetryAfter:   time.Second,
		UseCounter:      true,
		CounterTimeout:  50 * time.Millisecond,
		LeaseCeilings:   true,
		MaxRequestUnits: 1,
		Classes: []balancer.Class{
			{PriorityWeight: 1, LatencyObjective: time.Second, ClientTimeout: time.Second},
		},
		Plans: []balancer.Plan{
			{Rate: 5, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 10, CeilingBurst: 20},
		},
	}
}

// loanScenario runs three gateways without a counter, each of which in turn receives all requests of a customer.
type loanScenario struct {
	balancers []*balancer.Balancer
	inboxes   [loanGateways][]delayed
	trace     *golden.Trace
	// status is the result of every counter call. admitOnly selects admission-only requests.
	status    balancer.Status
	admitOnly bool
	// admitted is the number of requests admitted at each gateway after the loans have settled.
	admitted     [loanGateways]int
	countingFrom time.Duration
	now          time.Duration
}

// newLoanScenario starts the gateways, each with a third of the shares.
func newLoanScenario(t *testing.T, status balancer.Status, admitOnly bool) *loanScenario {
	t.Helper()
	s := &loanScenario{trace: golden.NewTrace(), status: status, admitOnly: admitOnly, now: time.Hour}
	for i := range loanGateways {
		instance, err := balancer.New(loanSettings(i), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		s.balancers = append(s.balancers, instance)
		s.step(i)
		s.step(i, balancer.ShareUpdate{Fraction: 1.0 / loanGateways, Until: s.now + time.Hour})
	}
	return s
}

// run sends all requests to one gateway, then to the next.
func (s *loanScenario) run() {
	id := uint64(0)
	for _, at := range []int{0, 2, 1} {
		s.countingFrom = s.now + loanSettled
		for end := s.now + loanFlood; s.now < end; s.now += time.Millisecond {
			for i := range s.balancers {
				s.deliver(i)
			}
			if s.now%loanInterval == 0 {
				id++
				s.step(at, balancer.Request{ID: id, Customer: "c", Units: 1, TimeLeft: time.Second,
					AdmitOnly: s.admitOnly})
			}
		}
	}
}

// deliver passes all due events to a gateway.
func (s *loanScenario) deliver(i int) {
	var due []balancer.Event
	kept := s.inboxes[i][:0]
	for _, d := range s.inboxes[i] {
		if d.at <= s.now {
			due = append(due, d.event)
		} else {
			kept = append(kept, d)
		}
	}
	s.inboxes[i] = kept
	if len(due) > 0 {
		s.step(i, due...)
	}
}

// send schedules an event for a gateway.
func (s *loanScenario) send(to int, after time.Duration, event balancer.Event) {
	s.inboxes[to] = append(s.inboxes[to], delayed{s.now + after, event})
}

// step passes events to a gateway, adds its actions to the trace and carries them out.
func (s *loanScenario) step(i int, events ...balancer.Event) {
	actions := append([]balancer.Action(nil), s.balancers[i].Step(s.now, events)...)
	s.trace.Int(int64(i))
	s.trace.Duration(s.now)
	for _, action := range actions {
		record(s.trace, action)
		switch a := action.(type) {
		case balancer.Admit:
			if s.now >= s.countingFrom {
				s.admitted[i]++
			}
		case balancer.SetTimer:
			s.send(i, max(time.Millisecond, a.At-s.now), balancer.TimerFired{Cookie: a.Cookie})
		case balancer.CounterAdd:
			s.send(i, 50*time.Millisecond, balancer.CounterResult{Name: a.Name, Status: s.status})
		case balancer.RequestLoan:
			for j := range s.balancers {
				if j != i {
					s.send(j, time.Millisecond, balancer.LoanRequest{From: i, Customer: a.Customer, Plan: a.Plan,
						At: a.At})
				}
			}
		case balancer.GrantLoan:
			s.send(a.To, time.Millisecond, balancer.LoanGranted{
				From: i, Customer: a.Customer, Plan: a.Plan, At: a.At, Rate: a.Rate, Depth: a.Depth})
		}
	}
}

// TestGoldenLoans verifies that loans move a ceiling to the gateway with the demand while the counter is unavailable,
// including to a gateway that has only lent so far. The golden traces must match the recorded hashes.
func TestGoldenLoans(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/loans.txt")
	names := map[balancer.Status]string{
		balancer.ConnectFailed: "connect-failed",
		balancer.Timeout:       "timeout",
		balancer.Failed:        "failed",
	}
	for status, name := range names {
		for _, admitOnly := range []bool{true, false} {
			s := newLoanScenario(t, status, admitOnly)
			s.run()
			recorded.Check(t, fmt.Sprintf("%s/admit-only-%t", name, admitOnly), s.trace.Sum())
			if !admitOnly {
				continue
			}
			for i, n := range s.admitted {
				if n < minAdmitted {
					t.Errorf("%s: %d of 70 requests admitted at gateway %d, want at least %d", name, n, i, minAdmitted)
				}
			}
		}
	}
}

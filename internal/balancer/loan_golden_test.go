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
	// loanFlood is how long one gateway has all of a customer's requests, loanInterval the time between two of them.
	loanFlood    = 10 * time.Second
	loanInterval = 10 * time.Millisecond
	// loanSettled is when the loans must have followed the demand; minAdmitted is what of the ceiling's 70 units must
	// then be admitted until the flood ends.
	loanSettled = 3 * time.Second
	minAdmitted = 60
)

// loanSettings are those of gateways that share a ceiling by leases and loans and call a counter that is away.
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

// loanPlay is three gateways without a counter, of which one after another has all requests of a customer.
type loanPlay struct {
	modules []*balancer.Balancer
	inboxes [loanGateways][]delayed
	trace   *golden.Trace
	// status is how every counter call ends, admitOnly what kind of requests come.
	status    balancer.Status
	admitOnly bool
	// admitted counts what is admitted once the loans have settled.
	admitted     [loanGateways]int
	countingFrom time.Duration
	now          time.Duration
}

// newLoanPlay starts the gateways, each with a third of the shares.
func newLoanPlay(t *testing.T, status balancer.Status, admitOnly bool) *loanPlay {
	t.Helper()
	p := &loanPlay{trace: golden.NewTrace(), status: status, admitOnly: admitOnly, now: time.Hour}
	for i := range loanGateways {
		module, err := balancer.New(loanSettings(i), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		p.modules = append(p.modules, module)
		p.step(i)
		p.step(i, balancer.ShareUpdate{Fraction: 1.0 / loanGateways, Until: p.now + time.Hour})
	}
	return p
}

// play has all requests come to one gateway and then to another.
func (p *loanPlay) play() {
	id := uint64(0)
	for _, at := range []int{0, 2, 1} {
		p.countingFrom = p.now + loanSettled
		for end := p.now + loanFlood; p.now < end; p.now += time.Millisecond {
			for i := range p.modules {
				p.deliver(i)
			}
			if p.now%loanInterval == 0 {
				id++
				p.step(at, balancer.Request{ID: id, Customer: "c", Units: 1, TimeLeft: time.Second,
					AdmitOnly: p.admitOnly})
			}
		}
	}
}

// deliver hands a gateway what is due.
func (p *loanPlay) deliver(i int) {
	var due []balancer.Event
	kept := p.inboxes[i][:0]
	for _, d := range p.inboxes[i] {
		if d.at <= p.now {
			due = append(due, d.event)
		} else {
			kept = append(kept, d)
		}
	}
	p.inboxes[i] = kept
	if len(due) > 0 {
		p.step(i, due...)
	}
}

// send has an event reach a gateway.
func (p *loanPlay) send(to int, after time.Duration, event balancer.Event) {
	p.inboxes[to] = append(p.inboxes[to], delayed{p.now + after, event})
}

// step hands events to a gateway, adds its actions to the trace and carries them out.
func (p *loanPlay) step(i int, events ...balancer.Event) {
	actions := append([]balancer.Action(nil), p.modules[i].Step(p.now, events)...)
	p.trace.Int(int64(i))
	p.trace.Duration(p.now)
	for _, action := range actions {
		record(p.trace, action)
		switch a := action.(type) {
		case balancer.Admit:
			if p.now >= p.countingFrom {
				p.admitted[i]++
			}
		case balancer.SetTimer:
			p.send(i, max(time.Millisecond, a.At-p.now), balancer.TimerFired{Cookie: a.Cookie})
		case balancer.CounterAdd:
			p.send(i, 50*time.Millisecond, balancer.CounterResult{Name: a.Name, Status: p.status})
		case balancer.RequestLoan:
			for j := range p.modules {
				if j != i {
					p.send(j, time.Millisecond, balancer.LoanRequest{From: i, Customer: a.Customer, Plan: a.Plan,
						At: a.At})
				}
			}
		case balancer.GrantLoan:
			p.send(a.To, time.Millisecond, balancer.LoanGranted{
				From: i, Customer: a.Customer, Plan: a.Plan, At: a.At, Rate: a.Rate, Depth: a.Depth})
		}
	}
}

// TestGoldenLoans holds that a ceiling goes where the demand is by loans, without the counter, as in the program that
// the hashes were recorded from: also to a gateway that has only lent before.
func TestGoldenLoans(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/loans.txt")
	names := map[balancer.Status]string{
		balancer.ConnectFailed: "connect-failed",
		balancer.Timeout:       "timeout",
		balancer.Failed:        "failed",
	}
	for status, name := range names {
		for _, admitOnly := range []bool{true, false} {
			p := newLoanPlay(t, status, admitOnly)
			p.play()
			recorded.Check(t, fmt.Sprintf("%s/admit-only-%t", name, admitOnly), p.trace.Sum())
			if !admitOnly {
				continue
			}
			for i, n := range p.admitted {
				if n < minAdmitted {
					t.Errorf("%s: %d of 70 admitted at gateway %d, at least %d wanted", name, n, i, minAdmitted)
				}
			}
		}
	}
}

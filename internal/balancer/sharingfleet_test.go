package balancer

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// sharingFleet is a set of gateways without a counter that share one ceiling through leases assigned by the test. It
// checks that together they forward no more than the ceiling allows.
type sharingFleet struct {
	gateways []*Balancer
	settings Settings
	// fractions and leaseEnds hold the assigned leases by gateway.
	fractions []float64
	leaseEnds []time.Duration
	// previousFractions holds the fraction that a gateway had before its lease shrank. The gateway may have granted
	// loans of that fraction until the time in loansEndAt.
	previousFractions []float64
	loansEndAt        []time.Duration
	lastID            uint64
	ceiling           quotashare.Bucket
	// level is the level of the ceiling's bucket at levelAt, and maxOverdraft is the furthest that it fell below 0.
	level        float64
	levelAt      time.Duration
	maxOverdraft float64
	// maxShareExcess is the largest amount by which the sum of the gateways' buckets exceeded the ceiling's bucket.
	maxShareExcess float64
	// messages holds the loan messages in transit. delay returns the transit time of a message.
	messages []loanMessage
	delay    func() time.Duration
	// loans is the number of loans granted.
	loans int
	// withoutLoans is true if no loan messages are delivered.
	withoutLoans bool
	// loansFromArrival is true if loans are measured from their arrival. This is a deliberate mistake that the checks
	// must detect.
	loansFromArrival bool
}

// loanMessage is a loan message from one gateway to another.
type loanMessage struct {
	to    int
	at    time.Duration
	event Event
}

// newSharingFleet returns count gateways without leases.
func newSharingFleet(t *rapid.T, count int, policy quotashare.PartitionPolicy) *sharingFleet {
	fleet := &sharingFleet{
		ceiling:           quotashare.Bucket{Rate: 10, Depth: 20},
		level:             20,
		levelAt:           time.Hour,
		fractions:         make([]float64, count),
		leaseEnds:         make([]time.Duration, count),
		previousFractions: make([]float64, count),
		loansEndAt:        make([]time.Duration, count),
		delay:             func() time.Duration { return 0 },
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

// request sends a request to a gateway after delivering the messages that have arrived by now. It reports whether the
// request is admitted.
func (fleet *sharingFleet) request(gateway int, now time.Duration) (admitted bool) {
	fleet.lastID++
	fleet.deliver(now)
	request := Request{ID: fleet.lastID, Customer: "c", Units: 1, TimeLeft: time.Second, AdmitOnly: true}
	admitted = fleet.step(gateway, now, request)
	fleet.level = min(fleet.ceiling.Depth, fleet.level+fleet.ceiling.Rate*(now-fleet.levelAt).Seconds())
	fleet.levelAt = now
	if admitted {
		fleet.level--
		fleet.maxOverdraft = max(fleet.maxOverdraft, -fleet.level)
	}
	sum := quotashare.Bucket{}
	for _, b := range fleet.gateways {
		b.Step(now, nil)
		if cust := b.customers.find("c"); cust != nil {
			sum = sum.Add(b.ceilingShare(cust, &b.settings.Plans[0]))
		}
	}
	fleet.maxShareExcess = max(fleet.maxShareExcess, sum.Rate-fleet.ceiling.Rate, sum.Depth-fleet.ceiling.Depth)
	return admitted
}

// deliver delivers the messages that have arrived, including those that the delivery itself causes.
func (fleet *sharingFleet) deliver(now time.Duration) {
	for i := 0; i < len(fleet.messages); i++ {
		if message := fleet.messages[i]; message.at <= now {
			fleet.messages = append(fleet.messages[:i], fleet.messages[i+1:]...)
			fleet.step(message.to, now, message.event)
			i = -1
		}
	}
}

// step passes an event to a gateway and sends the gateway's loan messages. It reports whether a request was admitted.
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

// lease assigns a fraction to a gateway, limited to what the other gateways leave free.
func (fleet *sharingFleet) lease(gateway int, fraction float64, now, length time.Duration) {
	sum := fleet.totalLeased(now)
	free := 1 - sum + max(fleet.leasedFraction(gateway, now), fleet.previousFractions[gateway])
	fleet.leaseUnchecked(gateway, max(0, min(fraction, free)), now, length)
}

// leaseUnchecked assigns a fraction to a gateway regardless of the other gateways.
func (fleet *sharingFleet) leaseUnchecked(gateway int, fraction float64, now, length time.Duration) {
	previous := fleet.leasedFraction(gateway, now)
	if fraction < previous || now+length < fleet.leaseEnds[gateway] { // a shorter lease also reduces the share
		fleet.previousFractions[gateway] = max(previous, fleet.previousFractions[gateway])
		fleet.loansEndAt[gateway] = fleet.gateways[gateway].LoansEndAt()
	}
	fleet.fractions[gateway] = fraction
	fleet.leaseEnds[gateway] = now + length
	fleet.gateways[gateway].Step(now, []Event{ShareUpdate{Fraction: fraction, Until: now + length}})
}

// leasedFraction returns the fraction that a gateway has at a time.
func (fleet *sharingFleet) leasedFraction(gateway int, now time.Duration) float64 {
	if now < fleet.leaseEnds[gateway] {
		return fleet.fractions[gateway]
	}
	return 0
}

// totalLeased returns the sum of all gateways' fractions. A previous fraction counts instead if it is larger and loans
// of it may still be in effect.
func (fleet *sharingFleet) totalLeased(now time.Duration) (sum float64) {
	for i := range fleet.fractions {
		if now >= fleet.loansEndAt[i] {
			fleet.previousFractions[i] = 0
		}
		sum += max(fleet.leasedFraction(i, now), fleet.previousFractions[i])
	}
	return sum
}

// allPolicies lists the partition policies that a plan can have.
var allPolicies = []quotashare.PartitionPolicy{quotashare.KeepQuota, quotashare.KeepAll, quotashare.KeepNone}

package balancer

import (
	"slices"
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

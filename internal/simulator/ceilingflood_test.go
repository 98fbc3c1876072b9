package simulator

import (
	"testing"
	"time"
)

const (
	// floodDuration is the duration of a flood, including all pauses.
	floodDuration = 45 * time.Second
	// floodBurst is how long a client sends requests between two pauses.
	floodBurst = 3 * time.Second
)

// floodRun is one flood of a ceiling, next to an account that stays within its quota.
type floodRun struct {
	*ceilingWorld
	first time.Duration
	last  time.Duration
	// pause is the pause between bursts; 0 if there is none.
	pause time.Duration

	withinQuotaRequests int
	withinQuotaRejected int
}

// addFlood adds a client that sends its next request to a gateway after each answer, on average every 25 ms.
func (f *floodRun) addFlood(g *Gateway, admitOnly bool, offset time.Duration) {
	var send func()
	send = func() {
		now := f.Now - Start
		switch {
		case now >= f.last:
		case f.pause > 0 && (now-f.first)%(f.pause+floodBurst) > floodBurst:
			f.After(10*time.Millisecond, send)
		default:
			g.Submit(&Request{Customer: "c", Units: 1, AdmitOnly: admitOnly, TimeLeft: time.Second, Owner: send})
		}
	}
	f.At(Start+f.first+offset, send)
}

// addAccountWithinQuota adds requests of an account that stays within its quota.
func (f *floodRun) addAccountWithinQuota(g *Gateway) {
	interval := time.Duration(float64(len(f.Gateways)) / 3 * float64(time.Second))
	var send func()
	send = func() {
		if f.Now < Start+f.last {
			f.withinQuotaRequests++
			g.Submit(&Request{Customer: "calm", Units: 1, AdmitOnly: true, TimeLeft: 2 * time.Second})
			f.After(interval, send)
		}
	}
	f.At(Start+f.first, send)
}

// runFlood runs the floods of a seed.
func runFlood(t *testing.T, seed uint64, gateways int, pause, counterLatency time.Duration) *floodRun {
	t.Helper()
	first := time.Duration(2500+4000*seed) * time.Millisecond
	f := &floodRun{
		ceilingWorld: newCeilingWorld(t, seed, gateways, true, businessPlan),
		first:        first,
		last:         first + floodDuration,
		pause:        pause,
	}
	f.Counter.Latency = counterLatency
	rng := f.Rand("clients")
	for _, g := range f.Gateways {
		count := g.Sent
		g.Sent = func(r *Request) {
			if r.Customer == "c" {
				count(r)
			}
		}
		g.Done = func(r *Request, outcome Outcome) {
			if r.Customer != "calm" {
				think := 20*time.Millisecond + time.Duration(rng.ExpFloat64()*5*float64(time.Millisecond))
				f.After(think, r.Owner.(func()))
			} else if outcome != Served {
				f.withinQuotaRejected++
			}
		}
		for _, admitOnly := range []bool{true, false} {
			f.addFlood(g, admitOnly, time.Duration(rng.Float64()*5*float64(time.Millisecond)))
		}
		f.addAccountWithinQuota(g)
	}
	f.Run(Start + f.last)
	return f
}

// TestCeilingsHoldWhereFloodsBegin verifies that ceilings hold when floods begin at any point of a counter window, with
// and without pauses in which the bucket overflows. Units that were taken while the surplus is being corrected must not
// be available again. An account within its quota, which sends requests to all gateways, must not be rejected.
func TestCeilingsHoldWhereFloodsBegin(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, 4 * time.Second, 12 * time.Second} {
		for _, gateways := range []int{2, 3, 5} {
			counterLatency := time.Millisecond
			if pause == 0 {
				counterLatency = 10 * time.Millisecond
			}
			rejected := 0
			requests := 0
			var forwarded, available float64
			for seed := uint64(1); seed <= 8; seed++ {
				f := runFlood(t, seed, gateways, pause, counterLatency)
				rejected += f.withinQuotaRejected
				requests += f.withinQuotaRequests
				if f.bucket.lowest < -2 {
					t.Errorf("pause %v, %d gateways, seed %d: %.2f beyond the ceiling",
						pause, gateways, seed, -f.bucket.lowest)
				}
				forwarded += f.bucket.taken
				available += 20 + 450
				if bursts := 45.0 / (pause + floodBurst).Seconds(); pause > 0 {
					available += bursts*(30+min(20, 10*pause.Seconds())) - 470
				}
			}
			if rejected > 0 || requests < 100 {
				t.Errorf("pause %v, %d gateways: %d of %d rejected within the quota",
					pause, gateways, rejected, requests)
			}
			if forwarded < 0.82*available {
				t.Errorf("pause %v, %d gateways: %.0f of %.0f units forwarded", pause, gateways, forwarded, available)
			}
		}
	}
}

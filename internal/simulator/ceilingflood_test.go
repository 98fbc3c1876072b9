package simulator

import (
	"testing"
	"time"
)

const (
	// floodDuration is how long a client that floods goes on, with all its pauses.
	floodDuration = 45 * time.Second
	// floodBurst is how long it asks between two pauses.
	floodBurst = 3 * time.Second
)

// floodPlay is one flood of a ceiling, with a calm account beside it.
type floodPlay struct {
	*ceilingWorld
	first time.Duration
	last  time.Duration
	// pause is that between bursts; 0: there is none.
	pause time.Duration

	calmRequests int
	calmRejected int
}

// addFlood brings requests by a client that asks a gateway again and again, on average every 25 ms.
func (p *floodPlay) addFlood(g *Gateway, admitOnly bool, offset time.Duration) {
	var send func()
	send = func() {
		now := p.Now - Start
		switch {
		case now >= p.last:
		case p.pause > 0 && (now-p.first)%(p.pause+floodBurst) > floodBurst:
			p.After(10*time.Millisecond, send)
		default:
			g.Submit(&Request{Customer: "c", Units: 1, AdmitOnly: admitOnly, TimeLeft: time.Second, Owner: send})
		}
	}
	p.At(Start+p.first+offset, send)
}

// addCalm brings requests of an account inside its quota.
func (p *floodPlay) addCalm(g *Gateway) {
	interval := time.Duration(float64(len(p.Gateways)) / 3 * float64(time.Second))
	var send func()
	send = func() {
		if p.Now < Start+p.last {
			p.calmRequests++
			g.Submit(&Request{Customer: "calm", Units: 1, AdmitOnly: true, TimeLeft: 2 * time.Second})
			p.After(interval, send)
		}
	}
	p.At(Start+p.first, send)
}

// playFlood plays the floods of a seed.
func playFlood(t *testing.T, seed uint64, gateways int, pause, counterLatency time.Duration) *floodPlay {
	t.Helper()
	first := time.Duration(2500+4000*seed) * time.Millisecond
	p := &floodPlay{
		ceilingWorld: newCeilingWorld(t, seed, gateways, true, businessPlan),
		first:        first,
		last:         first + floodDuration,
		pause:        pause,
	}
	p.Counter.Latency = counterLatency
	rng := p.Rand("clients")
	for _, g := range p.Gateways {
		count := g.Sent
		g.Sent = func(r *Request) {
			if r.Customer == "c" {
				count(r)
			}
		}
		g.Done = func(r *Request, outcome Outcome) {
			if r.Customer != "calm" {
				think := 20*time.Millisecond + time.Duration(rng.ExpFloat64()*5*float64(time.Millisecond))
				p.After(think, r.Owner.(func()))
			} else if outcome != Served {
				p.calmRejected++
			}
		}
		for _, admitOnly := range []bool{true, false} {
			p.addFlood(g, admitOnly, time.Duration(rng.Float64()*5*float64(time.Millisecond)))
		}
		p.addCalm(g)
	}
	p.Run(Start + p.last)
	return p
}

// Floods by clients that ask again at each of several gateways, once and with pauses in which the bucket overflows, at
// any place in a window of the counter's numbers: what was taken while the surplus is corrected is not there once more.
// Beside them an account inside its quota asks all gateways now and then.
func TestCeilingsHoldWhereFloodsBegin(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, 4 * time.Second, 12 * time.Second} {
		for _, gateways := range []int{2, 3, 5} {
			counterLatency := time.Millisecond
			if pause == 0 {
				counterLatency = 10 * time.Millisecond
			}
			rejected := 0
			calm := 0
			var forwarded, available float64
			for seed := uint64(1); seed <= 8; seed++ {
				p := playFlood(t, seed, gateways, pause, counterLatency)
				rejected += p.calmRejected
				calm += p.calmRequests
				if p.bucket.lowest < -2 {
					t.Errorf("pause %v, %d gateways, seed %d: %.2f under the ceiling's bucket",
						pause, gateways, seed, -p.bucket.lowest)
				}
				forwarded += p.bucket.taken
				available += 20 + 450
				if bursts := 45.0 / (pause + floodBurst).Seconds(); pause > 0 {
					available += bursts*(30+min(20, 10*pause.Seconds())) - 470
				}
			}
			if rejected > 0 || calm < 100 {
				t.Errorf("pause %v, %d gateways: %d of %d rejected inside the quota", pause, gateways, rejected, calm)
			}
			if forwarded < 0.82*available {
				t.Errorf("pause %v, %d gateways: %.0f of %.0f", pause, gateways, forwarded, available)
			}
		}
	}
}

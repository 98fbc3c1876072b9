package slowstart

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetPlay is an endpoint that warms up, serves what it can in the order in which it comes, and is sent by gateways
// whatever their budgets allow.
type fleetPlay struct {
	gateways int
	// capacity is in mean requests a second once the endpoint is warm.
	capacity float64
	// initialFraction is the part of it at the start.
	initialFraction float64
	// duration is the time until the endpoint is warm.
	duration time.Duration
	terms    Terms
	// knowsRate is set if the gateways have seen the rate of a warm endpoint.
	knowsRate bool
	// staleFactor is the multiple of the true rate that they remember; 0 counts as 1.
	staleFactor float64
	// demand is the number of requests a second that each gateway would send.
	demand func(gateway int) float64
	// isUp tells which gateways are there.
	isUp func(gateway int) bool
	// notifiedAt is when each gateway hears of the endpoint; nil: all at once.
	notifiedAt func(gateway int) time.Duration
	// restartedAt is when each gateway is restarted and forgets what it sent; a second later it knows the rate of a
	// warm endpoint again. nil: never.
	restartedAt func(gateway int) time.Duration
	seed        uint64
	length      time.Duration

	// countsAllAnswers is a mistake: each gateway goes by the answers to all.
	countsAllAnswers bool
	// usesCurrentCapacity is another: budgets go by the capacity now, and not when the window began.
	usesCurrentCapacity bool
}

// allowedExcess is what may go beyond a budget of n requests by chance. For an endpoint that can take no more than
// two or three requests in a window, the first attempts of tens of gateways that know nothing of each other are
// chance alone.
func allowedExcess(n float64) float64 {
	if n < 3 {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// capacityFraction is the part of its capacity that the endpoint has at an age.
func (p *fleetPlay) capacityFraction(age time.Duration) float64 {
	return p.initialFraction + (1-p.initialFraction)*min(1, age.Seconds()/p.duration.Seconds())
}

// currentCapacity is the capacity at an age, in mean requests a second.
func (p *fleetPlay) currentCapacity(age time.Duration) float64 {
	return p.capacity * p.capacityFraction(age)
}

// lag is how far back a gateway looks at the capacity.
func (p *fleetPlay) lag() time.Duration {
	if p.usesCurrentCapacity {
		return 0
	}
	return p.terms.Window
}

// fleetRun is the state of a play while it goes on.
type fleetRun struct {
	*fleetPlay
	rng         *rand.Rand
	budgets     []Budget
	credit      []float64
	inFlight    []int
	restartedAt []time.Duration
	// queue has the gateways whose requests the endpoint has not served yet.
	queue []int
	// served is the work done for the next request, in mean requests.
	served float64
	// sent has the time of each attempt.
	sent []time.Duration
}

// newFleetRun starts a play.
func newFleetRun(p *fleetPlay) *fleetRun {
	return &fleetRun{
		fleetPlay:   p,
		rng:         rand.New(rand.NewPCG(p.seed, 4)),
		budgets:     make([]Budget, p.gateways),
		credit:      make([]float64, p.gateways),
		inFlight:    make([]int, p.gateways),
		restartedAt: make([]time.Duration, p.gateways),
	}
}

const playStep = 10 * time.Millisecond

// serve lets the endpoint work for one step.
func (r *fleetRun) serve(now time.Duration) {
	work := r.currentCapacity(now) * playStep.Seconds()
	r.served = min(r.served+work, float64(len(r.queue))+work)
	for len(r.queue) > 0 && r.served >= 1 {
		r.served--
		gateway := r.queue[0]
		r.queue = r.queue[1:]
		r.inFlight[gateway]--
		for other := range r.budgets {
			if other == gateway || r.countsAllAnswers {
				r.budgets[other].RecordAnswer(now, 1)
			}
		}
	}
}

// send lets a gateway send what its demand and its budget allow.
func (r *fleetRun) send(now time.Duration, gateway int) {
	if !r.isUp(gateway) || r.notifiedAt != nil && now < r.notifiedAt(gateway) {
		return
	}
	budget := &r.budgets[gateway]
	if r.fleetPlay.restartedAt != nil && r.restartedAt[gateway] == 0 && now >= r.fleetPlay.restartedAt(gateway) {
		*budget = Budget{}
		r.restartedAt[gateway] = now
	}
	r.credit[gateway] = min(r.credit[gateway]+r.demand(gateway)*playStep.Seconds(), 8)
	rate := 0.0
	if r.knowsRate && (r.restartedAt[gateway] == 0 || now >= r.restartedAt[gateway]+time.Second) {
		rate = r.capacity / float64(r.gateways) * cmp.Or(r.staleFactor, 1)
	}
	capacity := Capacity{Then: r.capacityFraction(max(0, now-r.lag())), Now: r.capacityFraction(now)}
	for r.credit[gateway] >= 1 && r.inFlight[gateway] < 32 &&
		!budget.IsExhausted(now, r.terms, rate, capacity, r.rng.Float64) {
		r.credit[gateway]--
		r.inFlight[gateway]++
		budget.RecordDispatch(now, 1)
		r.queue = append(r.queue, gateway)
		r.sent = append(r.sent, now)
	}
}

// run plays to the end and returns the time of each attempt.
func (p *fleetPlay) run() []time.Duration {
	r := newFleetRun(p)
	for now := time.Duration(0); now < p.length; now += playStep {
		r.serve(now)
		for _, gateway := range r.rng.Perm(p.gateways) {
			r.send(now, gateway)
		}
	}
	return r.sent
}

// worstExcess is by how many requests some window had more than the endpoint can take by its true terms, and more
// than chance explains.
func (p *fleetPlay) worstExcess(truth Terms) float64 {
	sent := p.run()
	worst := 0.0
	end := 0
	for i, at := range sent {
		for end < len(sent) && sent[end] < at+truth.Window {
			end++
		}
		allowed := truth.OverloadMultiple * p.currentCapacity(at) * truth.Window.Seconds()
		worst = max(worst, float64(end-i)-allowed-allowedExcess(allowed))
	}
	return worst
}

// drawPlay draws a play. The demand is at one gateway, at some or at all, and some gateways are not there.
func drawPlay(t *rapid.T) *fleetPlay {
	gateways := rapid.SampledFrom([]int{1, 2, 3, 5, 20, 40}).Draw(t, "gateways")
	duration := time.Duration(rapid.IntRange(5, 20).Draw(t, "duration")) * time.Second
	p := &fleetPlay{
		gateways:        gateways,
		capacity:        rapid.Float64Range(1, 200).Draw(t, "capacity"),
		initialFraction: rapid.Float64Range(0.15, 0.5).Draw(t, "initialFraction"),
		duration:        duration,
		knowsRate:       rapid.Bool().Draw(t, "knowsRate"),
		seed:            rapid.Uint64().Draw(t, "seed"),
		length:          min(duration, 7*time.Second),
		terms: Terms{
			OverloadMultiple: rapid.Float64Range(1.5, 4).Draw(t, "multiple"),
			Window:           time.Duration(rapid.IntRange(1, 4).Draw(t, "window")) * time.Second,
			Gateways:         float64(gateways),
		},
	}
	withDemand := rapid.IntRange(1, gateways).Draw(t, "withDemand")
	demand := p.capacity * rapid.Float64Range(0.5, 20).Draw(t, "demand")
	p.demand = func(gateway int) float64 {
		if gateway < withDemand {
			return demand / float64(withDemand)
		}
		return 0.1
	}
	up := rapid.IntRange(1, gateways).Draw(t, "up")
	p.isUp = func(gateway int) bool { return gateway < up }
	return p
}

// unevenPlay is a play of many gateways that differ in demand, hear of the endpoint at different times, and are
// partly restarted while it warms up.
func unevenPlay(gateways int, seed uint64) *fleetPlay {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	p := &fleetPlay{
		gateways:        gateways,
		seed:            seed,
		knowsRate:       seed%4 > 0,
		staleFactor:     0.4 + 0.9*rng.Float64(),
		initialFraction: 0.15 + 0.35*rng.Float64(),
		duration:        time.Duration(5+rng.IntN(13)) * time.Second,
		isUp:            func(int) bool { return true },
		terms: Terms{
			OverloadMultiple: 2 + 1.5*rng.Float64(),
			Window:           []time.Duration{1500 * time.Millisecond, 3 * time.Second}[rng.IntN(2)],
			Gateways:         float64(gateways),
		},
	}
	p.capacity = []float64{8, 30, 90}[rng.IntN(3)]
	p.length = min(7*time.Second, p.duration)
	share := make([]float64, gateways)
	sum := 0.0
	for i := range share {
		share[i] = math.Pow(rng.Float64(), float64(rng.IntN(4))) // from even to a few that have all
		sum += share[i]
	}
	demand := p.capacity * (1 + 9*rng.Float64())
	p.demand = func(gateway int) float64 { return demand * share[gateway] / sum }
	notifiedAt := make([]time.Duration, gateways)
	restartedAt := make([]time.Duration, gateways)
	for i := range notifiedAt {
		notifiedAt[i] = time.Duration(rng.Int64N(int64(4 * time.Second)))
		restartedAt[i] = time.Hour
		if rng.IntN(2) == 0 {
			restartedAt[i] = time.Duration(rng.Int64N(int64(p.length)))
		}
	}
	p.notifiedAt = func(gateway int) time.Duration { return notifiedAt[gateway] }
	p.restartedAt = func(gateway int) time.Duration { return restartedAt[gateway] }
	return p
}

// The sum over all gateways is what counts: in none of a thousand uneven plays a window holds more attempts than the
// endpoint can take when the window begins, and than chance explains.
func TestSumOverManyGateways(t *testing.T) {
	const plays = 500
	for _, gateways := range []int{20, 30} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			overloads := 0
			worst := math.Inf(-1)
			for seed := range uint64(plays) {
				p := unevenPlay(gateways, seed)
				excess := p.worstExcess(p.terms)
				worst = max(worst, excess)
				if excess > 0 {
					overloads++
				}
			}
			t.Logf("%d of %d plays over, %.1f at worst", overloads, plays, worst)
			if overloads > 0 {
				t.Errorf("the endpoint was overloaded in %d of %d plays, by %.1f at worst", overloads, plays, worst)
			}
		})
	}
}

// Whatever the demand and whoever is there, an endpoint that does what it can is not overloaded. The plays are the
// same each time: of some ten thousand drawn ones one has, by chance, more than allowedExcess.
func TestPowerWarmingEndpointIsNotOverloaded(t *testing.T) {
	all := rapid.Custom(drawPlay)
	for seed := range 2000 {
		p := all.Example(seed)
		if excess := p.worstExcess(p.terms); excess > 0 {
			budget := p.terms.OverloadMultiple * p.capacity * p.initialFraction * p.terms.Window.Seconds()
			t.Errorf("play %d: %.1f over what it can take in a window (%d gateways, %.1f at the start)",
				seed, excess, p.gateways, budget)
		}
	}
}

// The check finds mistakes: a remembered rate that is too high, a wrong number of gateways, answers to others.
func TestPowerMistakesAreFound(t *testing.T) {
	correct := fleetPlay{
		gateways:        40,
		capacity:        60,
		initialFraction: 0.2,
		duration:        15 * time.Second,
		length:          12 * time.Second,
		seed:            1,
		terms:           Terms{OverloadMultiple: 3, Window: 3 * time.Second, Gateways: 40},
		demand:          func(int) float64 { return 40 },
		isUp:            func(int) bool { return true },
	}
	for _, c := range []struct {
		name   string
		change func(*fleetPlay)
		found  bool
	}{
		{"none", func(*fleetPlay) {}, false},
		{"four times the rate", func(p *fleetPlay) { p.knowsRate, p.staleFactor = true, 4 }, true},
		{"each as if it were alone", func(p *fleetPlay) {
			p.terms.Gateways, p.gateways, p.capacity = 1, 150, 20
		}, true},
		{"capacity now", func(p *fleetPlay) {
			p.knowsRate, p.usesCurrentCapacity, p.duration = true, true, 5*time.Second
		}, true},
		{"answers to all", func(p *fleetPlay) { p.countsAllAnswers = true }, true},
		{"overload multiple too high", func(p *fleetPlay) { p.knowsRate, p.terms.OverloadMultiple = true, 12 }, true},
		{"window too long", func(p *fleetPlay) { p.knowsRate, p.terms.Window = true, 12*time.Second }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := correct
			c.change(&p)
			if excess := p.worstExcess(correct.terms); (excess > 0) != c.found {
				t.Errorf("%.1f over", excess)
			}
		})
	}
}

// An endpoint of which nothing is known is in use at once where gateways are few, and serves what it can long before
// it is warm.
func TestPowerWarmingEndpointIsUsed(t *testing.T) {
	const plays = 20
	const minAttempts = 60 // of the 26 a second and more that it can serve
	for _, gateways := range []int{1, 3, 5, 20} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			attempts := 0
			for seed := range uint64(plays) {
				p := fleetPlay{
					gateways:        gateways,
					capacity:        100,
					initialFraction: 0.26,
					duration:        15 * time.Second,
					length:          5 * time.Second,
					seed:            seed,
					terms:           Terms{OverloadMultiple: 3, Window: 3 * time.Second, Gateways: float64(gateways)},
					demand:          func(int) float64 { return 80 / float64(gateways) },
					isUp:            func(int) bool { return true },
				}
				attempts += len(p.run())
			}
			if mean := float64(attempts) / plays; mean < minAttempts {
				t.Errorf("%.0f in its first five seconds", mean)
			}
		})
	}
}

// noChance draws the lowest random number.
func noChance() float64 { return 0 }

// Each gateway has its part of what an endpoint can take, by the rate of warm ones: rounded up where gateways are
// few, and down, with the lowest random number, where they are many.
func TestBudgetFollowsCapacity(t *testing.T) {
	for _, c := range []struct{ gateways, capacity, rate float64 }{
		{4, 0.2, 50},
		{4, 0.4, 50},
		{4, 0.8, 50},
		{4, 0.8, 0.5},
		{8, 0.2, 50},
		{8, 0.8, 50},
		{8, 0.8, 0.6},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			var b Budget
			terms := Terms{OverloadMultiple: 3, Window: 2 * time.Second, Gateways: c.gateways}
			capacity := Capacity{Then: c.capacity, Now: c.capacity}
			count := 0
			for !b.IsExhausted(time.Second, terms, c.rate, capacity, noChance) {
				b.RecordDispatch(time.Second, 1)
				count++
			}
			want := int(math.Ceil(warmBudgetFraction*3*c.capacity*c.rate*2 - 1e-6))
			if c.gateways > maxRoundingGateways {
				want = int(math.Floor(warmBudgetFraction*3*c.capacity*c.rate*2 + 1e-6))
			}
			if count != want {
				t.Errorf("%d attempts of one gateway, want %d", count, want)
			}
			if b.IsExhausted(time.Second+terms.Window, terms, c.rate, capacity, noChance) {
				t.Error("still exhausted a window later")
			}
		})
	}
}

// An attempt that was never sent takes nothing of the budget.
func TestCancelledDispatchIsGivenBack(t *testing.T) {
	terms := Terms{OverloadMultiple: 3, Window: 2 * time.Second, Gateways: 1}
	capacity := Capacity{Then: 0.3, Now: 0.3}
	var b Budget
	for n := range 5 {
		at := time.Second + time.Duration(n)*time.Millisecond
		if b.IsExhausted(at, terms, 0, capacity, noChance) {
			t.Fatalf("exhausted after %d attempts that were taken back", n)
		}
		b.RecordDispatch(at, 1)
		if !b.IsExhausted(at, terms, 0, capacity, noChance) {
			t.Fatal("not exhausted with one attempt out")
		}
		b.CancelDispatch(at, 1)
	}
}

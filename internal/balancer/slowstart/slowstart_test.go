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

// scenario describes a simulated fleet. Its endpoint warms up and serves requests in order of arrival at its current
// capacity, while the gateways send it whatever their budgets allow.
type scenario struct {
	gateways int
	// capacity is the capacity of the warm endpoint, in mean requests per second.
	capacity float64
	// initialFraction is the fraction of the capacity at the start.
	initialFraction float64
	// duration is the time until the endpoint is warm.
	duration time.Duration
	terms    Terms
	// knowsRate is set if the gateways have measured the rate of a warm endpoint.
	knowsRate bool
	// staleFactor is the ratio of the remembered rate to the true one; 0 counts as 1.
	staleFactor float64
	// demand returns the number of requests per second that a gateway would send.
	demand func(gateway int) float64
	// isUp reports whether a gateway is up.
	isUp func(gateway int) bool
	// notifiedAt returns when a gateway learns of the endpoint; nil means that all of them do at the start.
	notifiedAt func(gateway int) time.Duration
	// restartedAt returns when a gateway is restarted and loses its budget. It knows the rate of a warm endpoint again
	// a second later. nil means never.
	restartedAt func(gateway int) time.Duration
	seed        uint64
	length      time.Duration

	// countsAllAnswers injects a fault: each gateway counts the answers to all gateways.
	countsAllAnswers bool
	// usesCurrentCapacity injects a fault: budgets use the current capacity instead of that at the beginning of the
	// window.
	usesCurrentCapacity bool
}

// allowedExcess returns by how many requests a limit of n requests in a window may be exceeded by chance. If the
// endpoint can take only two or three requests per window, chance dominates the first attempts of dozens of gateways
// that know nothing of each other.
func allowedExcess(n float64) float64 {
	if n < 3 {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// capacityFraction returns the fraction of its capacity that the endpoint has at an age.
func (p *scenario) capacityFraction(age time.Duration) float64 {
	return p.initialFraction + (1-p.initialFraction)*min(1, age.Seconds()/p.duration.Seconds())
}

// currentCapacity returns the capacity at an age, in mean requests per second.
func (p *scenario) currentCapacity(age time.Duration) float64 {
	return p.capacity * p.capacityFraction(age)
}

// lag returns the age of the capacity that a gateway uses as that of the beginning of the window.
func (p *scenario) lag() time.Duration {
	if p.usesCurrentCapacity {
		return 0
	}
	return p.terms.Window
}

// scenarioRun is the state of a scenario while it is simulated.
type scenarioRun struct {
	*scenario
	rng         *rand.Rand
	budgets     []Budget
	credit      []float64
	inFlight    []int
	restartedAt []time.Duration
	// queue holds the gateways whose requests the endpoint has not served yet.
	queue []int
	// served is the work already done for the next request, in mean requests.
	served float64
	// sent holds the time of each attempt.
	sent []time.Duration
}

// newScenarioRun returns the initial state of a simulation.
func newScenarioRun(p *scenario) *scenarioRun {
	return &scenarioRun{
		scenario:    p,
		rng:         rand.New(rand.NewPCG(p.seed, 4)),
		budgets:     make([]Budget, p.gateways),
		credit:      make([]float64, p.gateways),
		inFlight:    make([]int, p.gateways),
		restartedAt: make([]time.Duration, p.gateways),
	}
}

const simulationStep = 10 * time.Millisecond

// serve simulates one step of the endpoint.
func (r *scenarioRun) serve(now time.Duration) {
	work := r.currentCapacity(now) * simulationStep.Seconds()
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

// send simulates one step of a gateway, which sends what its demand and its budget allow.
func (r *scenarioRun) send(now time.Duration, gateway int) {
	if !r.isUp(gateway) || r.notifiedAt != nil && now < r.notifiedAt(gateway) {
		return
	}
	budget := &r.budgets[gateway]
	if r.scenario.restartedAt != nil && r.restartedAt[gateway] == 0 && now >= r.scenario.restartedAt(gateway) {
		*budget = Budget{}
		r.restartedAt[gateway] = now
	}
	r.credit[gateway] = min(r.credit[gateway]+r.demand(gateway)*simulationStep.Seconds(), 8)
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

// run simulates the scenario to its end and returns the time of each attempt.
func (p *scenario) run() []time.Duration {
	r := newScenarioRun(p)
	for now := time.Duration(0); now < p.length; now += simulationStep {
		r.serve(now)
		for _, gateway := range r.rng.Perm(p.gateways) {
			r.send(now, gateway)
		}
	}
	return r.sent
}

// worstExcess returns the largest number of requests by which any window exceeded what the endpoint can take according
// to its true terms, beyond the excess that is allowed by chance.
func (p *scenario) worstExcess(truth Terms) float64 {
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

// drawScenario draws a scenario. The demand is concentrated on one gateway, on some or on all of them, and some
// gateways are down.
func drawScenario(t *rapid.T) *scenario {
	gateways := rapid.SampledFrom([]int{1, 2, 3, 5, 20, 40}).Draw(t, "gateways")
	duration := time.Duration(rapid.IntRange(5, 20).Draw(t, "duration")) * time.Second
	p := &scenario{
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

// unevenScenario returns a scenario of many gateways that differ in demand and learn of the endpoint at different
// times, some of which are restarted while it warms up.
func unevenScenario(gateways int, seed uint64) *scenario {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	p := &scenario{
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
		share[i] = math.Pow(rng.Float64(), float64(rng.IntN(4))) // from even to concentrated on a few gateways
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

// TestSumOverManyGateways verifies the sum of what many uneven gateways send: no window of any scenario holds more
// attempts than the endpoint can take at the beginning of the window, beyond what is allowed by chance.
func TestSumOverManyGateways(t *testing.T) {
	const runs = 500
	for _, gateways := range []int{20, 30} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			overloads := 0
			worst := math.Inf(-1)
			for seed := range uint64(runs) {
				p := unevenScenario(gateways, seed)
				excess := p.worstExcess(p.terms)
				worst = max(worst, excess)
				if excess > 0 {
					overloads++
				}
			}
			t.Logf("overloaded in %d of %d scenarios, by %.1f at worst", overloads, runs, worst)
			if overloads > 0 {
				t.Errorf("the endpoint was overloaded in %d of %d scenarios, by %.1f at worst", overloads, runs, worst)
			}
		})
	}
}

// TestPowerWarmingEndpointIsNotOverloaded verifies that a warming endpoint that serves at its capacity is not
// overloaded, whatever the demand and whichever gateways are up. The scenarios are the same in each run, because of
// about ten thousand random ones one exceeds allowedExcess by chance.
func TestPowerWarmingEndpointIsNotOverloaded(t *testing.T) {
	all := rapid.Custom(drawScenario)
	for seed := range 2000 {
		p := all.Example(seed)
		if excess := p.worstExcess(p.terms); excess > 0 {
			budget := p.terms.OverloadMultiple * p.capacity * p.initialFraction * p.terms.Window.Seconds()
			t.Errorf("scenario %d: a window exceeds the endpoint's budget by %.1f (%d gateways, %.1f at the start)",
				seed, excess, p.gateways, budget)
		}
	}
}

// TestPowerMistakesAreFound verifies that the simulation detects wrong budgets, such as those from a remembered rate
// that is too high, a wrong number of gateways, or answers to other gateways.
func TestPowerMistakesAreFound(t *testing.T) {
	correct := scenario{
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
		change func(*scenario)
		found  bool
	}{
		{"none", func(*scenario) {}, false},
		{"four times the rate", func(p *scenario) { p.knowsRate, p.staleFactor = true, 4 }, true},
		{"each as if it were alone", func(p *scenario) {
			p.terms.Gateways, p.gateways, p.capacity = 1, 150, 20
		}, true},
		{"capacity now", func(p *scenario) {
			p.knowsRate, p.usesCurrentCapacity, p.duration = true, true, 5*time.Second
		}, true},
		{"answers to all", func(p *scenario) { p.countsAllAnswers = true }, true},
		{"overload multiple too high", func(p *scenario) { p.knowsRate, p.terms.OverloadMultiple = true, 12 }, true},
		{"window too long", func(p *scenario) { p.knowsRate, p.terms.Window = true, 12*time.Second }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := correct
			c.change(&p)
			if excess := p.worstExcess(correct.terms); (excess > 0) != c.found {
				t.Errorf("unexpected worst excess of %.1f requests", excess)
			}
		})
	}
}

// TestPowerWarmingEndpointIsUsed verifies that an endpoint of which nothing is known is used at once if there are few
// gateways, and handles a good part of its capacity long before it is warm.
func TestPowerWarmingEndpointIsUsed(t *testing.T) {
	const runs = 20
	const minAttempts = 60 // in five seconds, at a capacity of at least 26 per second
	for _, gateways := range []int{1, 3, 5, 20} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			attempts := 0
			for seed := range uint64(runs) {
				p := scenario{
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
			if mean := float64(attempts) / runs; mean < minAttempts {
				t.Errorf("only %.0f attempts in the first five seconds", mean)
			}
		})
	}
}

// lowestRandom is a random function that always returns the lowest number.
func lowestRandom() float64 { return 0 }

// TestBudgetFollowsCapacity verifies that each gateway gets its share of what the endpoint can take, by the rate of
// warm endpoints. The share is rounded up if there are few gateways, and rounded down, given the lowest random number,
// if there are many.
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
			for !b.IsExhausted(time.Second, terms, c.rate, capacity, lowestRandom) {
				b.RecordDispatch(time.Second, 1)
				count++
			}
			want := int(math.Ceil(warmBudgetFraction*3*c.capacity*c.rate*2 - 1e-6))
			if c.gateways > maxGatewaysRoundingUp {
				want = int(math.Floor(warmBudgetFraction*3*c.capacity*c.rate*2 + 1e-6))
			}
			if count != want {
				t.Errorf("one gateway may send %d attempts, want %d", count, want)
			}
			if b.IsExhausted(time.Second+terms.Window, terms, c.rate, capacity, lowestRandom) {
				t.Error("the budget is still exhausted a window later")
			}
		})
	}
}

// TestCancelledDispatchIsGivenBack verifies that an attempt that was never sent does not use the budget.
func TestCancelledDispatchIsGivenBack(t *testing.T) {
	terms := Terms{OverloadMultiple: 3, Window: 2 * time.Second, Gateways: 1}
	capacity := Capacity{Then: 0.3, Now: 0.3}
	var b Budget
	for n := range 5 {
		at := time.Second + time.Duration(n)*time.Millisecond
		if b.IsExhausted(at, terms, 0, capacity, lowestRandom) {
			t.Fatalf("the budget is exhausted after %d cancelled attempts", n)
		}
		b.RecordDispatch(at, 1)
		if !b.IsExhausted(at, terms, 0, capacity, lowestRandom) {
			t.Fatal("the budget is not exhausted by one attempt")
		}
		b.CancelDispatch(at, 1)
	}
}

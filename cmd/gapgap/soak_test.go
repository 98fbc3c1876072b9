package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/quota"
)

// A soak plays real processes against endpoints that pause, drain, join and come up late, and clients that wait, leave
// and keep their connections through signals. It checks the operators' rules where their effects are. GAPGAP_SOAK_SEED
// is the first seed, GAPGAP_SOAK_SEEDS the number of seeds, GAPGAP_SOAK_GATEWAYS the number of gateways.

const (
	soakDuration = 12 * time.Second
	soakClients  = 24
	soakFloods   = 20
	// soakCrowd is the number of idle clients of a run with a crowd.
	soakCrowd = 120
	// drainGrace is how long after a change of the list a command may begin to arrive at an endpoint that drains.
	drainGrace = 300 * time.Millisecond
	// noticeGrace is added where the soak itself needs time to tell or to see a moment.
	noticeGrace = 100 * time.Millisecond
	// goneGrace is how long after its client has left an attempt may begin.
	goneGrace = 100 * time.Millisecond
	// timeoutSlack is by how much the time told to an endpoint may exceed what its client has left.
	timeoutSlack = 150 * time.Millisecond
	// connectAfterTerm is how long after SIGTERM clients make new connections, by the operators' page.
	connectAfterTerm = 400 * time.Millisecond
	// killAfter is added to the longest timeout; that long after SIGTERM a process may be killed.
	killAfter = 700 * time.Millisecond
)

// soakClass is a class of requests of a soak.
type soakClass struct {
	name, effect       string
	objective, timeout time.Duration
	lateWorth          float64
}

// soakCustomer is a customer of a soak, whose requests come in through some of the gateways.
type soakCustomer struct {
	id, plan      string
	first, spread int
}

// soakWorld is one run of a soak.
type soakWorld struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	classes   []soakClass
	customers []soakCustomer
	nodes     []*node
	agent     *catalog.Agent
	hasCrowd  bool

	mu       sync.Mutex
	requests map[string]*soakRequest
	outcomes map[string]int
	failures []string
	// charged are the times at which each customer's units came to an endpoint.
	charged map[string][]time.Time
	// endingAt are the times of SIGTERM of the gateways that end, by index.
	endingAt map[int]time.Time
	// killedAt are the times at which processes were killed.
	killedAt []time.Time
}

// The capped plan of a soak.
const (
	soakCeilingRate  = 40.0
	soakCeilingBurst = 60.0
)

// fail records a broken rule.
func (w *soakWorld) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// register makes a request known to the endpoints.
func (w *soakWorld) register(request *soakRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[request.id] = request
}

// count counts an answer.
func (w *soakWorld) count(first byte, line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if first == '$' {
		line = "served"
	}
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	w.outcomes[word]++
}

// wasKilled reports whether a process was killed shortly before a time.
func (w *soakWorld) wasKilled(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.killedAt, func(killed time.Time) bool {
		return at.Sub(killed).Abs() < noticeGrace
	})
}

// recordArrival records a command that has come whole to an endpoint, and checks what holds for it. It returns nil if
// no client has sent the request.
func (w *soakWorld) recordArrival(e *soakEndpoint, command []string, firstByteAt time.Time) *soakRequest {
	now := time.Now()
	w.mu.Lock()
	request := w.requests[command[2]]
	w.mu.Unlock()
	if request == nil {
		w.fail("%s: arrives at %s and was not sent by any client of this run", command[2], e.name)
		return nil
	}
	request.mu.Lock()
	request.arrivals++
	arrivals, sentAt, answeredAt, leftAt := request.arrivals, request.sentAt, request.answeredAt, request.leftAt
	request.mu.Unlock()
	if arrivals == 1 {
		w.mu.Lock()
		w.charged[request.customer.id] = append(w.charged[request.customer.id], now)
		w.mu.Unlock()
	}
	if arrivals > 1 && request.class.effect == "unsafe" {
		w.fail("%s: arrives %d times and must not be repeated", request.id, arrivals)
	}
	if !answeredAt.IsZero() && firstByteAt.Sub(answeredAt) > noticeGrace {
		w.fail("%s: an attempt begins %v after the final answer", request.id, firstByteAt.Sub(answeredAt))
	}
	if !leftAt.IsZero() && firstByteAt.Sub(leftAt) > goneGrace+noticeGrace {
		w.fail("%s: an attempt begins %v after its client left", request.id, firstByteAt.Sub(leftAt))
	}
	if drains := e.drainsAt.Load(); drains > 0 && firstByteAt.Sub(time.Unix(0, drains)) > drainGrace+noticeGrace {
		w.fail("%s: sent to %s %v after its drain began", request.id, e.name, firstByteAt.Sub(time.Unix(0, drains)))
	}
	told := parameter(command[3], "d")
	left := sentAt.Add(request.timeout).Sub(firstByteAt)
	if told > left+timeoutSlack {
		w.fail("%s: the endpoint is told %v, its client has %v left", request.id, told, left)
	}
	return request
}

// parameter returns a parameter of a request in milliseconds.
func parameter(list, name string) time.Duration {
	for item := range strings.SplitSeq(list, ",") {
		if text, ok := strings.CutPrefix(item, name+"="); ok {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// newSoakWorld draws a world and starts its gateways.
func newSoakWorld(t *testing.T, seed uint64) *soakWorld {
	w := &soakWorld{
		t:        t,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 65)),
		requests: map[string]*soakRequest{},
		outcomes: map[string]int{},
		charged:  map[string][]time.Time{},
		endingAt: map[int]time.Time{},
		hasCrowd: seed%4 == 3,
	}
	for i, effect := range []string{"safe", "keyed", "unsafe"} {
		timeout := time.Duration(800+w.rng.IntN(1700)) * time.Millisecond
		w.classes = append(w.classes, soakClass{
			name:      fmt.Sprint("class", i),
			effect:    effect,
			timeout:   timeout,
			objective: time.Duration((0.2 + w.rng.Float64()) * float64(timeout)),
			lateWorth: []float64{0, 0, 0.5}[w.rng.IntN(3)],
		})
	}
	agent, err := catalog.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	w.agent = agent
	counter, err := quota.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(counter.Close)
	gateways := int(soakNumber("GAPGAP_SOAK_GATEWAYS", 2+w.rng.Uint64N(3)))
	w.customers = []soakCustomer{
		{id: "0000000000000010", plan: "capped", first: w.rng.IntN(gateways), spread: 2 + w.rng.IntN(gateways-1)},
		{id: "0000000000000021", plan: "open", first: 0, spread: gateways},
		{id: "0000000000000032", plan: "open", first: w.rng.IntN(gateways), spread: 1 + w.rng.IntN(gateways)},
	}
	for i := range gateways {
		n := newNode(t, 0, flagserver.Config{})
		n.editConfig(func(cfg map[string]any) { w.configure(cfg, i, gateways, counter.Addr()) })
		if trace := os.Getenv("GAPGAP_SOAK_ENV"); trace != "" {
			n.env = append(n.env, trace)
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

// longestTimeout returns the longest timeout of any class.
func (w *soakWorld) longestTimeout() (longest time.Duration) {
	for _, class := range w.classes {
		longest = max(longest, class.timeout)
	}
	return longest
}

// configure writes the configuration of a gateway.
func (w *soakWorld) configure(cfg map[string]any, index, gateways int, counter string) {
	cfg["name"], cfg["discovery"], cfg["counter"] = fmt.Sprint("n", index), w.agent.Addr(), counter
	settings := cfg["settings"].(map[string]any)
	settings["peers-total"], settings["rank"] = gateways, index
	settings["specifics"] = map[string]any{"max-units": 1, "shared-counter": true, "counter-timeout-us": 50000}
	var classes []any
	for _, class := range w.classes {
		classes = append(classes, map[string]any{"name": class.name, "effect": class.effect, "group": "all",
			"window-us": 3000000, "worth": 1.0, "late-worth": class.lateWorth,
			"target-us": class.objective.Microseconds(), "give-up-us": class.timeout.Microseconds()})
	}
	settings["classes"] = classes
	settings["tiers-of-service"] = []any{map[string]any{"name": "open", "value-factor": 1.0},
		map[string]any{"name": "capped", "value-factor": 1.0, "units-per-s": soakCeilingRate / 2,
			"most-at-once": soakCeilingBurst / 2, "extra-worth": 0.2, "never-over-rate": soakCeilingRate,
			"cap-depth": soakCeilingBurst}}
}

// changeEndpoints replaces endpoints from time to time: some drain, and new ones join whose connections come up late.
func (w *soakWorld) changeEndpoints(until time.Time) {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	var serving []*soakEndpoint
	draining := map[string]*soakEndpoint{}
	publish := func() {
		var list []catalog.Endpoint
		for _, e := range serving {
			list = append(list, catalog.Serving(e.name, e.listener.Addr().String()))
		}
		for _, e := range draining {
			entry := catalog.Serving(e.name, e.listener.Addr().String())
			entry.Status = "DRAINING"
			list = append(list, entry)
		}
		w.agent.Set(list...)
	}
	for n := 0; time.Now().Before(until); n++ {
		for len(serving) < 8 {
			late := time.Duration(0)
			if n > 0 {
				late = time.Duration(rng.Float64() * float64(900*time.Millisecond))
			}
			serving = append(serving, w.startEndpoint(fmt.Sprintf("s-%d-%d", n, len(serving)), late))
		}
		publish()
		time.Sleep(time.Duration(1+3*rng.Float64()) * time.Second)
		for range 1 + rng.IntN(3) {
			i := rng.IntN(len(serving))
			e := serving[i]
			serving = slices.Delete(serving, i, i+1)
			e.drainsAt.Store(time.Now().UnixNano())
			draining[e.name] = e
		}
		publish()
	}
	time.Sleep(2 * w.longestTimeout())
	for _, e := range serving {
		e.close(w.t)
	}
}

// sendSignals reloads and restarts gateways in series.
func (w *soakWorld) sendSignals(processes []*process, until time.Time) {
	rng := rand.New(rand.NewPCG(w.seed, 2))
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		i := rng.IntN(len(processes))
		for range rng.IntN(4) {
			processes[i].cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		if rng.IntN(2) == 0 {
			continue
		}
		w.setEnding(i, true)
		processes[i] = w.restart(processes[i], w.nodes[i])
		w.setEnding(i, false)
	}
	for i, p := range processes {
		w.setEnding(i, true)
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// setEnding records that a gateway is told to end, or has started again.
func (w *soakWorld) setEnding(gateway int, ends bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.endingAt, gateway)
	if ends {
		w.endingAt[gateway] = time.Now()
	}
}

// acceptsClients reports whether clients make new connections to a gateway.
func (w *soakWorld) acceptsClients(gateway int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	endingAt, ends := w.endingAt[gateway]
	return !ends || time.Since(endingAt) < connectAfterTerm
}

// restart ends a process as a planned restart does: SIGTERM, and SIGKILL at the earliest time that the page allows.
func (w *soakWorld) restart(p *process, n *node) *process {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(w.longestTimeout() + killAfter):
		w.mu.Lock()
		w.killedAt = append(w.killedAt, time.Now())
		w.mu.Unlock()
		p.kill()
	}
	next := n.start()
	next.waitReady()
	return next
}

// checkCeilings charges a bucket with the units of each capped customer where they came to endpoints.
func (w *soakWorld) checkCeilings() {
	allowed := max(1, 0.1*soakCeilingBurst) + 0.15*soakCeilingRate
	for _, customer := range w.customers {
		if customer.plan != "capped" {
			continue
		}
		times := w.charged[customer.id]
		level := soakCeilingBurst
		lowest := level
		for i, at := range times {
			if i > 0 {
				level = min(soakCeilingBurst, level+soakCeilingRate*max(0, at.Sub(times[i-1]).Seconds()))
			}
			level--
			lowest = min(lowest, level)
		}
		w.t.Logf("seed %d: %d units of the capped customer at %d gateways, its bucket falls to %.1f",
			w.seed, len(times), customer.spread, lowest)
		if lowest < -allowed {
			w.fail("customer %s: the ceiling's bucket falls to %.1f, allowed is %.1f", customer.id, lowest, -allowed)
		}
	}
}

// startCrowd opens idle connections to all gateways.
func (w *soakWorld) startCrowd() {
	for _, n := range w.nodes {
		for range soakCrowd {
			if conn, err := net.Dial("tcp", n.listen); err == nil {
				w.t.Cleanup(func() { conn.Close() })
			}
		}
	}
}

// run plays the soak.
func (w *soakWorld) run() {
	until := time.Now().Add(soakDuration)
	var background, clients sync.WaitGroup
	background.Go(func() { w.changeEndpoints(until) })
	var processes []*process
	for _, n := range w.nodes {
		processes = append(processes, n.start())
	}
	for _, p := range processes {
		p.waitReady()
	}
	if w.hasCrowd {
		w.startCrowd()
	}
	for number := range soakClients {
		c := &soakClient{world: w, number: number, rng: rand.New(rand.NewPCG(w.seed, uint64(100+number)))}
		c.customer = w.customers[number%len(w.customers)]
		clients.Go(func() { c.run(until) })
	}
	for number := range soakFloods { // of the capped customer, in turns
		c := &soakClient{world: w, number: 1000 + number, rng: rand.New(rand.NewPCG(w.seed, uint64(1000+number)))}
		c.customer = w.customers[0]
		clients.Go(func() { c.flood(until) })
	}
	w.sendSignals(processes, until)
	clients.Wait()
	background.Wait()
}

// TestSoak guards against broken rules under many faults at once, each drawn from a seed.
func TestSoak(t *testing.T) {
	first, seeds := soakNumber("GAPGAP_SOAK_SEED", 2), soakNumber("GAPGAP_SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newSoakWorld(t, seed)
			w.run()
			w.checkCeilings()
			t.Logf("seed %d: %d requests, %v, %d killed", seed, len(w.requests), w.outcomes, len(w.killedAt))
			for _, failure := range w.failures {
				t.Errorf("GAPGAP_SOAK_SEED=%d: %s", seed, failure)
			}
			if w.outcomes["served"] < 100 {
				t.Errorf("only %d requests were served", w.outcomes["served"])
			}
		})
	}
}

// soakNumber returns a number from the environment, or a default.
func soakNumber(name string, otherwise uint64) uint64 {
	number, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return number
}

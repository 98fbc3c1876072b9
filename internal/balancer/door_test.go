package balancer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

const ms = time.Millisecond

// basic is a deployment with a hard plan, a soft one with a ceiling, and one without quota.
func basic() Settings {
	return Settings{
		Gateways:          2,
		Resolution:        2 * ms,
		MaxAttempts:       3,
		AllowCancel:       true,
		SendRetryAfter:    true,
		MaxRetryAfter:     time.Second,
		DeadlineSlack:     8 * ms,
		DrainGrace:        500 * ms,
		OverloadMultiple:  3,
		OverloadWindow:    2 * time.Second,
		SlowStartCapacity: 0.25,
		SlowStartDuration: 15 * time.Second,
		UseCounter:        true,
		CounterTimeout:    50 * ms,
		MaxRequestUnits:   4,
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, Idempotency: Idempotent},
			{
				PriorityWeight:   5,
				LatencyObjective: 600 * ms,
				ClientTimeout:    2 * time.Second,
				Idempotency:      IdempotentByKey,
				DedupScope:       DedupCell,
				DedupWindow:      time.Second,
			},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, PriorityFactor: 1, OverQuotaCost: 0.5},
			{Rate: 10, Burst: 20, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 20, CeilingBurst: 40},
			{PriorityFactor: 1},
			{Rate: 100, Burst: 100, MaxInFlight: 4, PriorityFactor: 1, OverQuotaCost: 0.5},
		},
	}
}

func open(t testing.TB, settings Settings, list ...Endpoint) *Balancer {
	t.Helper()
	b, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	return b
}

func backends(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprint("b", i), Cell: i / 2, Weight: 1})
	}
	return list
}

// only picks the actions of one kind.
func only[A Action](acts []Action) (got []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			got = append(got, a)
		}
	}
	return got
}

func ask(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", TimeLeft: 2 * time.Second, Units: 1}
}

func served(s Dispatch, n int, took time.Duration) AttemptResult {
	return AttemptResult{ID: s.ID, Attempt: n, Endpoint: s.Endpoint, Status: OK, Latency: took, RequestClosed: true}
}

func TestNonsenseSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"doors": func(s *Settings) { s.Gateways = 0 }, "classes": func(s *Settings) { s.Classes = nil },
		"plans": func(s *Settings) { s.Plans = nil }, "attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"rate": func(s *Settings) { s.Plans[0].Rate = -1 }, "aim": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"window": func(s *Settings) { s.OverloadWindow = -1 },
	} {
		settings := basic()
		if spoil(&settings); true {
			if _, err := New(settings, 1); err == nil {
				t.Errorf("%s: no error", name)
			}
		}
	}
}

func TestNewCustomerSpendsBurstOverDoors(t *testing.T) {
	settings := basic()
	settings.UseCounter = false
	b := open(t, settings, backends(8)...)
	sent, refused := 0, 0
	for i := range 8 {
		acts := b.Step(ms, []Event{ask(uint64(i), 0, 0)})
		sent += len(only[Dispatch](acts))
		refused += len(only[Reject](acts))
	}
	if sent != 4 || refused != 4 {
		t.Errorf("sent %d, refused %d of 8; want 4 and 4", sent, refused)
	}
}

// drain spends a customer's fallback share and returns the counter call that the next request waits for.
func drain(t *testing.T, b *Balancer, now time.Duration) CounterAdd {
	t.Helper()
	for i := range 20 {
		if c := only[CounterAdd](b.Step(now, []Event{ask(uint64(100+i), 0, 0)})); len(c) == 1 {
			return c[0]
		}
	}
	t.Fatal("no lease was asked for")
	return CounterAdd{}
}

func TestLeasePromotes(t *testing.T) {
	b := open(t, basic(), backends(8)...)
	c := drain(t, b, ms)
	b.Step(2*ms, []Event{ask(1, 0, 0), ask(2, 0, 0), ask(3, 0, 0), ask(4, 0, 0), ask(5, 0, 0)})
	acts := b.Step(4*ms, []Event{CounterResult{c.Name, OK, c.Amount}})
	if len(only[Dispatch](acts)) == 0 {
		t.Errorf("a grant sent nothing on: %v", acts)
	}
}

func TestFullStoreRefusesHardPlan(t *testing.T) {
	b := open(t, basic(), backends(8)...)
	c := drain(t, b, ms)
	b.Step(2*ms, []Event{ask(1, 0, 0), ask(2, 0, 0), ask(3, 0, 0), ask(4, 0, 0), ask(5, 0, 0)})
	acts := b.Step(4*ms, []Event{CounterResult{c.Name, OK, c.Amount + 30}})
	if len(only[Reject](acts)) == 0 || len(only[Dispatch](acts)) != 0 {
		t.Errorf("a spent store let requests in: %v", acts)
	}
}

func TestSilentCounter(t *testing.T) {
	b := open(t, basic(), backends(8)...)
	now, c := ms, drain(t, b, ms)
	for i := range 12 {
		now += 60 * ms
		acts := b.Step(now, []Event{CounterResult{c.Name, Timeout, 0}, ask(uint64(10+i), 0, 0)})
		if got := only[CounterAdd](acts); len(got) == 1 {
			c = got[0]
		}
	}
	now += 3 * time.Second
	acts := b.Step(now, []Event{ask(20, 0, 0)})
	if len(only[Dispatch](acts)) != 1 {
		t.Errorf("the fallback share did not fill while the counter was silent: %v", acts)
	}
}

func TestEmptiedCounter(t *testing.T) {
	for others, granted := range map[float64]bool{0: true, 30: false} {
		emptied(t, others, granted)
	}
}

// emptied lets the counter lose its numbers, after which the other doors add some units.
func emptied(t *testing.T, others float64, granted bool) {
	t.Helper()
	b := open(t, basic(), backends(8)...)
	c := drain(t, b, ms)
	for _, back := range only[CounterAdd](b.Step(3*ms, []Event{CounterResult{c.Name, OK, 30}})) {
		b.Step(5*ms, []Event{CounterResult{back.Name, OK, 30 + back.Amount}}) // what the store did not hold
	}
	now := 9 * time.Second
	var again []CounterAdd
	for i := range 6 {
		again = append(again, only[CounterAdd](b.Step(now, []Event{ask(uint64(50+i), 0, 0)}))...)
	}
	if len(again) == 0 {
		t.Fatal("no call after the store has filled again")
	}
	acts := b.Step(now+2*ms, []Event{CounterResult{again[0].Name, OK, again[0].Amount + others}})
	if granted != (len(only[Dispatch](acts)) > 0) {
		t.Errorf("others added %v to an emptied counter: %v", others, acts)
	}
}

func TestSoftPlanDropsToTheLowestLevel(t *testing.T) {
	settings := basic()
	settings.UseCounter = false
	settings.Plans[1].CeilingRate = 0
	b := open(t, settings, backends(20)...)
	var evs []Event
	for i := range 15 {
		evs = append(evs, ask(uint64(i), 0, 1))
	}
	acts := b.Step(ms, evs)
	if len(only[Reject](acts)) != 0 {
		t.Errorf("a soft plan was refused beyond its quota: %v", acts)
	}
}

func TestStaleIsRefused(t *testing.T) {
	b := open(t, basic(), backends(1)...)
	sends := only[Dispatch](b.Step(ms, []Event{ask(1, 0, 0), ask(2, 0, 0), ask(3, 0, 0), ask(4, 1, 0)}))
	if len(sends) != 2 {
		t.Fatalf("%d of 4 sent to one backend at once", len(sends))
	}
	acts := b.Step(480*ms, []Event{served(sends[0], 0, 479*ms), served(sends[1], 0, 479*ms)})
	if n := len(only[Reject](acts)); n != 2 || len(only[Dispatch](acts)) != 0 {
		t.Errorf("stale requests: %v, want two refusals", acts)
	}
}

func TestHighWorthGoesFirstUnderBacklog(t *testing.T) {
	settings := basic()
	settings.Plans[0].Burst = 20
	b := open(t, settings, backends(1)...)
	first := only[Dispatch](b.Step(ms, []Event{ask(1, 0, 0), ask(2, 0, 0), ask(3, 0, 0), ask(4, 0, 0)}))
	b.Step(2*ms, []Event{ask(5, 1, 0)})
	next := only[Dispatch](b.Step(151*ms, []Event{served(first[0], 0, 150*ms), served(first[1], 0, 150*ms)}))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v went %v, want the request with the most worth", first, next)
	}
}

func TestDrain(t *testing.T) {
	b := open(t, basic(), backends(2)...)
	b.Step(ms, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{{Name: "b0", State: Draining}}}})
	for i := range 20 {
		for _, s := range only[Dispatch](b.Step(time.Duration(i+2)*ms, []Event{ask(uint64(i), 0, 2)})) {
			if s.Endpoint == "b0" {
				t.Fatal("sent to a draining backend")
			}
		}
	}
}

func TestQueueMovesOnFromAGoneBackend(t *testing.T) { // a panic of the first version
	b := open(t, basic(), backends(3)...)
	var evs []Event
	for i := range 30 {
		evs = append(evs, ask(uint64(i), i%2, 2))
	}
	b.Step(ms, evs)
	acts := b.Step(2*ms, []Event{EndpointUpdate{Kind: Snapshot, Entries: backends(2)}})
	acts = append(acts, b.Step(3*ms, []Event{EndpointUpdate{Kind: Snapshot}})...)
	for _, s := range only[Dispatch](acts) {
		if s.Endpoint == "b2" {
			t.Error("sent to a gone backend")
		}
	}
}

func TestNoEffectTwice(t *testing.T) {
	for class, st := range map[int]Status{1: Failed, 2: Reset} {
		b := open(t, basic(), backends(4)...)
		s := only[Dispatch](b.Step(ms, []Event{ask(1, class, 2)}))[0]
		acts := b.Step(20*ms, []Event{AttemptResult{ID: 1, Endpoint: s.Endpoint, Status: st, Latency: 19 * ms}})
		again, failed := only[Dispatch](acts), only[Fail](acts)
		if class == 2 && (len(again) != 0 || len(failed) != 1) {
			t.Errorf("an unsafe request that may have run: %v", acts)
		}
		cell := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
		if class == 1 && (len(again) != 1 || cell[again[0].Endpoint] != cell[s.Endpoint]) {
			t.Errorf("a keyed request left its cell: %v after %v", acts, s)
		}
	}
}

func TestColdBackendGetsLess(t *testing.T) {
	list := backends(4)
	list[0].StartedAt = 99 * time.Second
	b, _ := New(basic(), 7)
	b.Step(100*time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	got, now := map[string]int{}, 100*time.Second
	for i := range 150 {
		now += 10 * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{ask(uint64(i), 0, 2)})) {
			got[s.Endpoint]++
			now += ms
			b.Step(now, []Event{served(s, 0, ms)})
		}
	}
	if got["b0"]*2 > got["b1"] {
		t.Errorf("cold backend got %d, a warm one %d", got["b0"], got["b1"])
	}
}

func TestCeilingShareOfAFreshDoor(t *testing.T) {
	settings := basic()
	settings.UseCounter = false
	b := open(t, settings, backends(40)...)
	sent := 0
	for i := range 1000 {
		now := time.Duration(i+1) * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{ask(uint64(i), 0, 1)})) {
			sent++
			b.Step(now, []Event{served(s, 0, 0)})
		}
	}
	if sent > 10 {
		t.Errorf("%d units in the first second of a fresh door; its share of the ceiling is 10", sent)
	}
}

func TestAtOnceShare(t *testing.T) {
	b := open(t, basic(), backends(10)...)
	var evs []Event
	for i := range 10 {
		evs = append(evs, ask(uint64(i), 0, 3))
	}
	if n := len(only[Dispatch](b.Step(ms, evs))); n != 2 {
		t.Errorf("%d attempts out for a cap of 4 over 2 doors", n)
	}
}

func TestAtOnceFollowsTheOtherDoors(t *testing.T) {
	settings := basic()
	for others, want := range map[float64]int{0: 3, 200: 2} {
		b := open(t, settings, backends(10)...)
		for _, s := range only[Dispatch](b.Step(ms, []Event{ask(1, 0, 3)})) {
			b.Step(51*ms, []Event{served(s, 0, 50*ms)})
		}
		cust := b.customers["c"]
		cust.bucket.known, cust.bucket.peerDemand, cust.quota.tokens, cust.quota.leasedAt = true, others, 20, ms
		var evs []Event
		for i := range 10 {
			evs = append(evs, ask(uint64(100+i), 0, 3))
		}
		if n := len(only[Dispatch](b.Step(52*ms, evs))); n != want {
			t.Errorf("others add %v a second: %d attempts out, want %d", others, n, want)
		}
	}
}

func TestSilentBackendIsLeft(t *testing.T) {
	b := open(t, basic(), backends(4)...)
	now, id := ms, uint64(0)
	var open, lost []Dispatch
	var openAt, lostAt []time.Duration
	late, left := 0, false
	for range 400 {
		now += 5 * ms
		id++
		evs := []Event{ask(id, 0, 2), TimerFired{0}}
		for len(open) > 0 && now >= openAt[0]+40*ms {
			evs = append(evs, served(open[0], 0, 40*ms))
			open, openAt = open[1:], openAt[1:]
		}
		for len(lost) > 0 && now >= lostAt[0]+lost[0].Timeout {
			evs = append(evs, AttemptResult{ID: lost[0].ID, Endpoint: "b0", Status: Timeout, Latency: lost[0].Timeout})
			lost, lostAt = lost[1:], lostAt[1:]
		}
		acts := b.Step(now, evs)
		for _, l := range only[LogLine](acts) {
			left = left || l.Text == "no longer used: b0"
		}
		for _, s := range only[Dispatch](acts) {
			if s.Endpoint != "b0" {
				open, openAt = append(open, s), append(openAt, now)
			} else {
				lost, lostAt = append(lost, s), append(lostAt, now)
				if left {
					late++
				}
			}
		}
	}
	if !left || late > 2 {
		t.Errorf("left: %v; %d requests sent to a silent backend after that, want the trials only", left, late)
	}
}

// A broken connection now and then, from any server alike, must not leave servers out: each time their queues and
// attempts would be moved. Several in a row must, and an answer between them counts.
func TestBrokenConnections(t *testing.T) {
	settings := basic()
	settings.MaxAttempts, settings.UseCounter = 1, false
	b := open(t, settings, backends(1)...)
	ep := b.endpoints.byName["b0"]
	for i, status := range []Status{Reset, Reset, OK, ConnectFailed, Reset, ConnectFailed} {
		now := time.Duration(i) * 100 * ms
		sends := only[Dispatch](b.Step(now, []Event{ask(uint64(i+1), 0, 2)}))
		if len(sends) != 1 || ep.outlier.ejected {
			t.Fatalf("before outcome %d: sent %v, left out %v", i, sends, ep.outlier.ejected)
		}
		b.Step(
			now+10*ms,
			[]Event{
				AttemptResult{
					ID:            sends[0].ID,
					Endpoint:      "b0",
					Status:        status,
					Latency:       10 * ms,
					RequestClosed: status == OK,
				},
			},
		)
	}
	if !ep.outlier.ejected {
		t.Error("three in a row, and it is still used")
	}
}

// What was queued and has ended must leave nothing behind at a server from which nobody picks.
func TestQueuesLeaveNothingBehind(t *testing.T) {
	b := open(t, basic(), backends(1)...)
	ep := b.endpoints.byName["b0"]
	var all []*request
	for i := range 3 {
		req := &request{id: uint64(i), level: 2}
		b.enqueue(req, ep)
		all = append(all, req)
	}
	for _, req := range all {
		b.dequeue(req)
	}
	if len(ep.queue.levels[2].entries) != 0 || ep.queue.length != 0 || b.endpoints.queuedRequests != 0 {
		t.Errorf("%d places are kept, %d and %d counted", len(ep.queue.levels[2].entries), ep.queue.length, b.endpoints.queuedRequests)
	}
}

func TestOddEvents(t *testing.T) {
	b := open(t, basic())
	if acts := b.Step(
		ms,
		[]Event{
			ask(1, 0, 2),
			AttemptResult{ID: 9},
			AttemptResult{ID: 1, Attempt: 3},
			RequestDone{77},
			TimerFired{55},
			TimerFired{2},
			CounterResult{
				Name: 5,
			},
			FirstByte{ID: 4},
			HealthCheckResult{Endpoint: "x"},
			Message{},
			EndpointUpdate{Kind: UpdateFailed},
		},
	); len(
		only[Dispatch](acts),
	) != 0 {
		t.Errorf("sent without a backend: %v", acts)
	}
	if acts := b.Step(500*ms, []Event{TimerFired{1<<1 | 1}}); len(only[Reject](acts)) != 1 {
		t.Errorf("no final answer without a backend: %v", acts)
	}
	if acts := b.Step(501*ms, []Event{TimerFired{1<<1 | 1}, RequestDone{1}}); len(acts) != 0 {
		t.Errorf("a second answer: %v", acts)
	}
	short := ask(2, 0, 2)
	short.TimeLeft = 0
	if acts := b.Step(502*ms, []Event{short, Request{ID: 3, Class: 99}}); len(only[Reject](acts)) != 2 {
		t.Errorf("no time left, unknown class: %v", acts)
	}
}

func TestStateIsForgotten(t *testing.T) {
	settings := basic()
	b := open(t, settings, backends(4)...)
	for i := range 500 {
		r := ask(uint64(i), 0, 0)
		r.Customer = fmt.Sprint("once", i)
		for _, s := range only[Dispatch](b.Step(ms, []Event{r})) {
			b.Step(ms, []Event{served(s, 0, 0)})
		}
		b.Step(ms, []Event{RequestDone{r.ID}})
	}
	for i := range 200 {
		b.Step(70*time.Second+time.Duration(i)*ms, []Event{TimerFired{0}})
	}
	if len(b.requests) != 0 || len(b.customers) != 0 || len(b.customerOrder) != 0 {
		t.Errorf("left: %d requests, %d customers", len(b.requests), len(b.customers))
	}
}

// A customer far beyond its ceiling keeps no line in which all that goes out is nearly late: what would wait long
// is refused at once, with the time to stay away; and the less it is worth, the sooner.
func TestLineForTheCeilingStaysShort(t *testing.T) {
	settings := basic()
	settings.UseCounter = false
	b := open(t, settings, backends(2)...)
	waits := map[int]int{}
	id, told := uint64(1), 0
	for class := range 2 {
		for range 60 {
			acts := b.Step(
				time.Second,
				[]Event{Request{ID: id, Class: class, Plan: 1, Customer: "c", TimeLeft: 2 * time.Second,
					Units: 1}},
			)
			if refused := only[Reject](
				acts,
			); len(refused) == 0 && len(only[Dispatch](acts)) == 0 &&
				b.requests[id].queuedOn == nil {
				waits[class]++
			} else if len(refused) > 0 &&
				refused[0].RetryAfter > 0 {
				told++
			}
			id++
		}
	}
	if told == 0 {
		t.Error("nobody was told when to come back")
	}
	if waits[0] > 1 || waits[1] < 1 || waits[1] > 2 {
		t.Errorf("by class, %v wait", waits)
	}
}

// Each file of the module holds one rule and stays short enough to be read at once.
func TestModuleLimits(t *testing.T) {
	const (
		maxLines = 500 // that are not blank
		maxWidth = 120 // characters
	)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		checked++
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for _, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if n := utf8.RuneCount(line); n > maxWidth {
				t.Errorf("%s: %d characters: %s", file, n, line)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, at most %d wanted", file, lines, maxLines)
		}
	}
	if checked < 20 {
		t.Errorf("%d files were checked, at least 20 wanted", checked)
	}
}

// ordeal plays a random but legal order of events and checks what must hold after any of them.
func ordeal(t testing.TB, seed uint64) (all []Action) {
	rng := rand.New(rand.NewPCG(seed, 2))
	settings := basic()
	list := backends(5)
	b := open(t, settings, list...)
	type sent struct {
		Dispatch
		no int
		at time.Duration
	}
	var outs []sent
	var counts []CounterAdd
	var timers []SetTimer
	due, class := map[uint64]time.Duration{}, map[uint64]int{}
	tries, ran, dead, total := map[uint64]int{}, map[uint64]string{}, map[string]bool{}, map[uint64]float64{}
	live := map[uint64]int{}
	now, id := time.Duration(0), uint64(0)
	for step := range 600 {
		now += time.Duration(rng.IntN(12)) * ms
		var evs []Event
		for range rng.IntN(4) {
			if step > 400 {
				break
			}
			id++
			r := Request{ID: id, Class: rng.IntN(3), Plan: rng.IntN(4), Customer: fmt.Sprint("c", rng.IntN(6)),
				TimeLeft: time.Duration(rng.IntN(2000)) * ms, Units: 1 + float64(rng.IntN(3)), Gateways: rng.IntN(3)}
			due[id], class[id] = now+r.TimeLeft, r.Class
			evs = append(evs, r)
		}
		for i := 0; i < len(outs); i++ {
			if rng.IntN(8) != 0 {
				continue
			}
			o := outs[i]
			outs = append(outs[:i], outs[i+1:]...)
			st := Status(rng.IntN(8))
			if rng.IntN(2) == 0 {
				st = OK
			}
			live[o.ID]--
			_, owed := due[o.ID]
			if st == OK {
				delete(due, o.ID)
			} else if st != Rejected && st != ConnectFailed && st != NotSent {
				ran[o.ID] = o.Endpoint
			}
			evs = append(
				evs,
				AttemptResult{ID: o.ID, Attempt: o.no, Endpoint: o.Endpoint, Status: st, Latency: now - o.at,
					RequestClosed: st == OK || !owed},
			)
		}
		for len(counts) > 0 && rng.IntN(2) == 0 {
			c := counts[0]
			counts = counts[1:]
			st := []Status{OK, OK, OK, Timeout, Rejected}[rng.IntN(5)]
			if st != Rejected {
				total[c.Name] += c.Amount
			}
			if rng.IntN(50) == 0 {
				total[c.Name] = 0
			}
			evs = append(evs, CounterResult{c.Name, st, total[c.Name]})
		}
		if rng.IntN(40) == 0 {
			i := rng.IntN(len(list))
			entry := list[i]
			entry.State = EndpointState(rng.IntN(3))
			entry.StartedAt = now * time.Duration(rng.IntN(2))
			dead[entry.Name] = entry.State != Serving
			evs = append([]Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{entry}}}, evs...)
		}
		keep := timers[:0]
		for _, x := range timers {
			if x.At <= now {
				evs = append(evs, TimerFired{x.Cookie})
			} else {
				keep = append(keep, x)
			}
		}
		timers = keep
		acts := append([]Action(nil), b.Step(now, evs)...)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case Dispatch:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: sent after the end: %v", seed, a)
				}
				if dead[a.Endpoint] {
					t.Fatalf("seed %d: sent to a backend that is draining: %v", seed, a)
				}
				if b, may := ran[a.ID]; may &&
					(class[a.ID] == 2 || class[a.ID] == 1 && cellOf(list, b) != cellOf(list, a.Endpoint)) {
					t.Fatalf("seed %d: an effect twice: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 || tries[a.ID] >= settings.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
				outs = append(outs, sent{a, tries[a.ID], now})
				tries[a.ID]++
			case Reject:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: refused after the end: %v", seed, a)
				}
				if _, may := ran[a.ID]; (may || live[a.ID] > 0) && class[a.ID] != 0 {
					t.Fatalf("seed %d: refused what may have run: %v", seed, a)
				}
				delete(due, a.ID)
			case Fail:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: failed after the end: %v", seed, a)
				}
				delete(due, a.ID)
			case CounterAdd:
				counts = append(counts, a)
			case SetTimer:
				if a.At <= now {
					a.At = now + ms
				}
				timers = append(timers, a)
			}
		}
		for id, at := range due {
			if now > at+20*ms {
				t.Fatalf("seed %d: request %d is lost", seed, id)
			}
		}
	}
	return all
}

func cellOf(list []Endpoint, name string) int {
	for _, entry := range list {
		if entry.Name == name {
			return entry.Cell
		}
	}
	return -1
}

func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(ordeal(t, seed), ordeal(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzOrdeal(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { ordeal(t, seed) })
}

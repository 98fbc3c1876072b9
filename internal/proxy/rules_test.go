package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/stats"
	"gapgap/internal/upstream"
)

func rulesOf(defs ...any) (r Rules) {
	for i := 0; i < len(defs); i += 2 {
		r.Classes = append(r.Classes, defs[i].(string))
		r.Settings.Classes = append(r.Settings.Classes, balancer.Class{PriorityWeight: 1, ClientTimeout: time.Second, Idempotency: defs[i+1].(balancer.Idempotency)})
	}
	r.Plans, r.Settings.Plans = []string{"p"}, []balancer.Plan{{PriorityFactor: 1}}
	r.Settings.Gateways, r.Settings.MaxAttempts = 1, 1
	return r
}

func never(int) bool  { return false }
func always(int) bool { return true }

func TestRulesNumberClassesOn(t *testing.T) {
	first := rulesOf("a", balancer.Idempotent, "b", balancer.IdempotentByKey)
	second, from := first.Next(rulesOf("b", balancer.NonIdempotent, "c", balancer.Idempotent), never)
	if want := []string{"", "", "b", "c"}; !slices.Equal(second.Classes, want) || !slices.Equal(from, []int{0, 1, 1, -1}) {
		t.Fatalf("%q from %v", second.Classes, from)
	}
	if c := second.Settings.Classes; !c[0].Removed || !c[1].Removed || c[1].Idempotency != balancer.IdempotentByKey || c[2].Idempotency != balancer.NonIdempotent || c[2].Removed {
		t.Errorf("%+v", c)
	}
	third, from := second.Next(rulesOf("b", balancer.NonIdempotent, "d", balancer.Idempotent), always) // a number that is free stands for another
	if want := []string{"d", "", "b", ""}; !slices.Equal(third.Classes, want) || from[0] != -1 || from[2] != 2 {
		t.Errorf("%q from %v", third.Classes, from)
	}
	same, from := third.Next(rulesOf("d", balancer.Idempotent, "b", balancer.NonIdempotent), always) // the order in the file is no matter
	if !slices.Equal(same.Classes, third.Classes) || !slices.Equal(from, []int{0, 1, 2, 3}) {
		t.Errorf("%q from %v", same.Classes, from)
	}
}

// Classes that come and go for ever take no more numbers than are in use within the longest wait.
func TestRulesAreBounded(t *testing.T) {
	r := rulesOf("c0", balancer.Idempotent)
	for i := range 1000 {
		r, _ = r.Next(rulesOf(fmt.Sprint("c", i), balancer.Idempotent, fmt.Sprint("x", i), balancer.IdempotentByKey), always)
	}
	if len(r.Classes) > 4 {
		t.Errorf("%d numbers", len(r.Classes))
	}
}

// Over random scripts each request taken is counted once: as ended by what its client was told, as gone, or as open.
func TestFiguresAddUp(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := balancer.Settings{Gateways: 1, MaxAttempts: 2, Classes: []balancer.Class{{PriorityWeight: 1, ClientTimeout: 30 * time.Second}, {PriorityWeight: 1, ClientTimeout: 30 * time.Second}},
			Plans: []balancer.Plan{{PriorityFactor: 1}}, AllowCancel: true}
		start := Rules{Classes: []string{"a", "b"}, Plans: []string{"p"}, Settings: set, MaxInFlight: 12}
		c, err := New(eventloop.New(), Config{Start: start, Stats: stats.New()}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		s := &sides{}
		c.Connect(s, s, s)
		c.Enqueue(balancer.EndpointUpdate{Kind: balancer.Snapshot, Entries: []balancer.Endpoint{{Name: "s"}, {Name: "u"}}})
		c.Step()
		var reqs []*Request
		var callers []*caller
		taken := int64(0)
		for range 200 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				rules := c.Rules()
				class := rng.IntN(len(rules.Classes))
				if rules.Classes[class] == "" {
					continue
				}
				who := &caller{}
				r := &Request{Caller: who, ID: fmt.Sprint(rng.IntN(60)), Class: class, Customer: "a", At: c.Now(), Timeout: 10 * time.Second, Units: 1}
				taken++
				c.Acquire()
				if rng.IntN(12) == 0 {
					c.CountRejected(r)
					c.Release()
					who.Answer(Answer{Outcome: Rejected})
				} else {
					c.CountRequest(r)
					c.Submit(r)
				}
				reqs, callers = append(reqs, r), append(callers, who)
			case 3:
				if len(reqs) > 0 {
					c.ClientGone(reqs[rng.IntN(len(reqs))])
				}
			case 4:
				if len(s.sent) > 0 {
					i := rng.IntN(len(s.sent))
					a := s.sent[i]
					s.sent = slices.Delete(s.sent, i, i+1)
					a.Owner.Ended(upstream.Result{Status: []balancer.Status{balancer.OK, balancer.Failed, balancer.Rejected}[rng.IntN(3)]})
				}
			case 5:
				if rng.IntN(4) == 0 {
					next := start
					next.Classes = [][]string{{"a", "b"}, {"b", "c"}, {"c", "a"}}[rng.IntN(3)]
					next.Settings.Classes = slices.Clone(set.Classes)
					next.Settings.Classes[0].Idempotency = balancer.Idempotency(rng.IntN(3))
					c.updateSettings(next)
				}
			}
			c.Step()
		}
		var told [stats.Faulted + 1]uint64
		open := int64(0)
		for i, r := range reqs {
			if len(callers[i].answers) > 1 {
				t.Fatalf("seed %d: %d answers", seed, len(callers[i].answers))
			}
			if len(callers[i].answers) == 1 {
				told[callers[i].answers[0].Outcome.outcome()]++
			} else if !r.ended {
				open++
			}
		}
		var counted [stats.Faulted + 1]uint64
		for _, name := range []string{"a", "b", "c", stats.Others} {
			for o := range counted {
				counted[o] += c.Stats.Class(name).Count(stats.Outcome(o))
			}
		}
		if counted != told || c.Stats.Open() != open || c.Stats.Taken.Load() != taken {
			t.Fatalf("seed %d: counted %v, told %v; open %d, are %d; taken %d, are %d", seed, counted, told, c.Stats.Open(), open, c.Stats.Taken.Load(), taken)
		}
		if told[stats.Fulfilled] == 0 || told[stats.Throttled] == 0 || told[stats.Faulted] == 0 || c.Stats.Gone.Load() == 0 {
			t.Logf("seed %d: %v, gone %d", seed, told, c.Stats.Gone.Load())
		}
	}
}

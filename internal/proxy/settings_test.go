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

// newRules returns rules with one plan and the given classes, as pairs of a name and a balancer.Idempotency.
func newRules(namesAndIdempotency ...any) (r Rules) {
	for i := 0; i < len(namesAndIdempotency); i += 2 {
		r.Classes = append(r.Classes, namesAndIdempotency[i].(string))
		r.Settings.Classes = append(r.Settings.Classes, balancer.Class{PriorityWeight: 1, ClientTimeout: time.Second,
			Idempotency: namesAndIdempotency[i+1].(balancer.Idempotency)})
	}
	r.Plans, r.Settings.Plans = []string{"p"}, []balancer.Plan{{PriorityFactor: 1}}
	r.Settings.Gateways, r.Settings.MaxAttempts = 1, 1
	return r
}

func never(int) bool  { return false }
func always(int) bool { return true }

// TestRulesKeepNumbersOfClasses verifies that unchanged classes keep their numbers across updates, that changed and
// removed ones keep theirs without a name, and that free numbers are reused.
func TestRulesKeepNumbersOfClasses(t *testing.T) {
	first := newRules("a", balancer.Idempotent, "b", balancer.IdempotentByKey)
	second, from := first.Next(newRules("b", balancer.NonIdempotent, "c", balancer.Idempotent), never)
	if want := []string{"", "", "b", "c"}; !slices.Equal(second.Classes, want) || !slices.Equal(from, []int{0,
		1, 1, -1}) {
		t.Fatalf("%q from %v", second.Classes, from)
	}
	if c := second.Settings.Classes; !c[0].Removed || !c[1].Removed ||
		c[1].Idempotency != balancer.IdempotentByKey || c[2].Idempotency != balancer.NonIdempotent || c[2].Removed {
		t.Errorf("%+v", c)
	}
	// a free number is reused for another class
	third, from := second.Next(newRules("b", balancer.NonIdempotent, "d", balancer.Idempotent), always)
	if want := []string{"d", "", "b", ""}; !slices.Equal(third.Classes, want) || from[0] != -1 || from[2] != 2 {
		t.Errorf("%q from %v", third.Classes, from)
	}
	// the order of the classes in the file does not matter
	same, from := third.Next(newRules("d", balancer.Idempotent, "b", balancer.NonIdempotent), always)
	if !slices.Equal(same.Classes, third.Classes) || !slices.Equal(from, []int{0, 1, 2, 3}) {
		t.Errorf("%q from %v", same.Classes, from)
	}
}

// TestRulesAreBounded verifies that an unbounded sequence of classes does not use more numbers than are in use at the
// same time.
func TestRulesAreBounded(t *testing.T) {
	r := newRules("c0", balancer.Idempotent)
	for i := range 1000 {
		r, _ = r.Next(newRules(fmt.Sprint("c", i), balancer.Idempotent, fmt.Sprint("x", i),
			balancer.IdempotentByKey), always)
	}
	if len(r.Classes) > 4 {
		t.Errorf("%d class numbers are in use, want at most 4", len(r.Classes))
	}
}

// TestStatsAddUp verifies over random sequences of events that each request received is counted exactly once: by the
// outcome its client was given, as ended by a disconnected client, or as open.
func TestStatsAddUp(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := balancer.Settings{Gateways: 1, MaxAttempts: 2, Classes: []balancer.Class{{PriorityWeight: 1,
			ClientTimeout: 30 * time.Second}, {PriorityWeight: 1, ClientTimeout: 30 * time.Second}},
			Plans: []balancer.Plan{{PriorityFactor: 1}}, AllowCancel: true}
		start := Rules{Classes: []string{"a", "b"}, Plans: []string{"p"}, Settings: set, MaxInFlight: 12}
		p, err := New(eventloop.New(), Config{Start: start, Stats: stats.New()},
			slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil {
			t.Fatal(err)
		}
		s := &fakeSystems{}
		p.Connect(s, s, s)
		p.Enqueue(balancer.EndpointUpdate{Kind: balancer.Snapshot, Entries: []balancer.Endpoint{{Name: "s"},
			{Name: "u"}}})
		p.Step()
		var reqs []*Request
		var clients []*fakeClient
		taken := int64(0)
		for range 200 {
			switch rng.IntN(6) {
			case 0, 1, 2:
				rules := p.Rules()
				class := rng.IntN(len(rules.Classes))
				if rules.Classes[class] == "" {
					continue
				}
				client := &fakeClient{}
				request := &Request{Client: client, ID: fmt.Sprint(rng.IntN(60)), Class: class, Customer: "a",
					At:      p.Now(),
					Timeout: 10 * time.Second, Units: 1}
				taken++
				p.Acquire()
				if rng.IntN(12) == 0 {
					p.CountRejected(request)
					p.Release()
					client.Answer(Answer{Outcome: Rejected})
				} else {
					p.CountRequest(request)
					p.Submit(request)
				}
				reqs, clients = append(reqs, request), append(clients, client)
			case 3:
				if len(reqs) > 0 {
					p.ClientGone(reqs[rng.IntN(len(reqs))])
				}
			case 4:
				if len(s.sent) > 0 {
					i := rng.IntN(len(s.sent))
					a := s.sent[i]
					s.sent = slices.Delete(s.sent, i, i+1)
					a.Owner.HandleResult(upstream.Result{Status: []balancer.Status{balancer.OK, balancer.Failed,
						balancer.Rejected}[rng.IntN(3)]})
				}
			case 5:
				if rng.IntN(4) == 0 {
					next := start
					next.Classes = [][]string{{"a", "b"}, {"b", "c"}, {"c", "a"}}[rng.IntN(3)]
					next.Settings.Classes = slices.Clone(set.Classes)
					next.Settings.Classes[0].Idempotency = balancer.Idempotency(rng.IntN(3))
					p.updateSettings(next)
				}
			}
			p.Step()
		}
		var answered [stats.Faulted + 1]uint64
		open := int64(0)
		for i, request := range reqs {
			if len(clients[i].answers) > 1 {
				t.Fatalf("seed %d: a client got %d answers, want at most 1", seed, len(clients[i].answers))
			}
			if len(clients[i].answers) == 1 {
				answered[clients[i].answers[0].Outcome.statsOutcome()]++
			} else if !request.ended {
				open++
			}
		}
		var counted [stats.Faulted + 1]uint64
		for _, name := range []string{"a", "b", "c", stats.OtherClasses} {
			for o := range counted {
				counted[o] += p.Stats.Class(name).Count(stats.Outcome(o))
			}
		}
		if counted != answered || p.Stats.Open() != open || p.Stats.Taken.Load() != taken {
			t.Fatalf("seed %d: outcomes counted %v, want %v; open %d, want %d; taken %d, want %d", seed,
				counted, answered, p.Stats.Open(), open, p.Stats.Taken.Load(), taken)
		}
		if answered[stats.Fulfilled] == 0 || answered[stats.Throttled] == 0 || answered[stats.Faulted] == 0 ||
			p.Stats.ClientsDisconnected.Load() == 0 {
			t.Logf("seed %d: %v, gone %d", seed, answered, p.Stats.ClientsDisconnected.Load())
		}
	}
}

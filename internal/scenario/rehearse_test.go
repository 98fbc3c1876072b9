package scenario

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/tomlfile"
)

const namedDay = "../../scenarios/all-slow-one-silent.toml"

func load(t *testing.T) *Script {
	t.Helper()
	s, err := Load(namedDay)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t *testing.T, s *Script) *Report {
	t.Helper()
	r, err := Play(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The named day, twice: the same events in the same order, and the same in each second. All five rules hold.
func TestRehearsalNamedDay(t *testing.T) {
	t.Parallel()
	a, b := play(t, load(t)), play(t, load(t))
	t.Logf("service %.4f, totals %+v, %d events, %d calls in %v\n%s", a.Service, a.Totals, a.Events, a.Calls, a.Took, strings.Join(a.Trace, "\n"))
	for _, l := range a.Broken {
		t.Error(l)
	}
	if a.Digest != b.Digest || a.Events != b.Events || a.Service != b.Service {
		t.Errorf("two runs of one script: %s %d %v and %s %d %v", a.Digest, a.Events, a.Service, b.Digest, b.Events, b.Service)
	}
	other := load(t)
	other.Seed++
	if c := play(t, other); c.Service == a.Service || c.Events == a.Events {
		t.Error("another seed gives the same run")
	}
	if a.Totals.Asked < 5000 || a.Service < 0.5 || a.Service > 0.999 {
		t.Errorf("service %.3f of %d asked", a.Service, a.Totals.Asked)
	}
}

// What a front door holds when it is killed is lost, and counted so; nobody else's is.
func TestRehearsalKilledDoorsLoseWhatTheyHold(t *testing.T) {
	t.Parallel()
	s := load(t)
	for i := range 3 { // how many requests a door holds at one instant is chance
		s.Events = append(s.Events[:i], Event{Name: fmt.Sprint("x", i), Do: KillDoors, At: time.Duration(10+7*i) * time.Second, For: 3e9, Count: 1})
	}
	r := play(t, s)
	if r.Totals.Lost < 2 || r.Totals.Lost > 60 || len(r.Broken) > 0 {
		t.Errorf("%d lost, %v", r.Totals.Lost, r.Broken)
	}
}

// A front door that is deliberately broken in one of the five ways is found by the right check, and by no other.
func TestRehearsalFindsBrokenRules(t *testing.T) {
	t.Parallel()
	// more is the named day with one server more, to which something happens.
	more := func(events ...Event) *Script {
		s := load(t)
		s.Servers = append(s.Servers, s.Servers[0])
		s.Servers[1].Group, s.Servers[1].Count = "more", 1
		s.Events = events
		return s
	}
	to := func(name string) func(a balancer.Action) []balancer.Action {
		n := 0
		return func(a balancer.Action) []balancer.Action {
			if send, ok := a.(balancer.Dispatch); ok {
				if n++; n%4 == 0 { // not all, or it would be turned away for want of room
					send.Endpoint = name
				}
				a = send
			}
			return []balancer.Action{a}
		}
	}
	unanswered := load(t)
	unanswered.breaks = func(a balancer.Action) []balancer.Action {
		if _, ok := a.(balancer.Reject); ok {
			return nil
		}
		return []balancer.Action{a}
	}
	late := more(Event{Name: "x", Do: Pause, At: 10e9, For: 6e9})
	late.breaks = func(a balancer.Action) []balancer.Action {
		switch b := a.(type) {
		case balancer.Dispatch:
			b.Timeout += 10 * time.Second
			return []balancer.Action{b}
		case balancer.CancelAttempt, balancer.Reject, balancer.Fail:
			return nil
		}
		return []balancer.Action{a}
	}
	twice := load(t)
	twice.Servers[0].DedupWindows[1] = 1
	twice.breaks = func(a balancer.Action) []balancer.Action {
		if _, ok := a.(balancer.Dispatch); ok {
			return []balancer.Action{a, a}
		}
		return []balancer.Action{a}
	}
	drained := more(Event{Name: "x", Do: Drain, At: 10e9, Group: "more"})
	drained.breaks = to("more-0")
	pushed := more(Event{Name: "x", Do: Die, At: 10e9, For: 1e9, Group: "more"})
	pushed.breaks = to("more-0")
	ceiling := load(t)
	ceiling.tamper = func(set *balancer.Settings) { set.Gateways, set.Index = 1, 0 } // each takes the whole ceiling for its own
	ceiling.Accounts[1].Spread = 0
	for rule, s := range map[string]*Script{"no request lost": unanswered, "no request lost:": late, "no effect twice": twice, "drains are kept": drained,
		"no cold server pushed over": pushed, "ceilings are kept": ceiling} {
		r := play(t, s)
		if len(r.Broken) == 0 {
			t.Errorf("%q is not found", rule)
		}
		for _, l := range r.Broken {
			if !strings.Contains(l, rule) {
				t.Errorf("wanted %q only: %s", rule, l)
				break
			}
		}
	}
	same := load(t)
	same.SameKey = true // clients that ask again with the same key when the servers have forgotten it: see the design note
	if r := play(t, same); len(r.Broken) == 0 || !strings.Contains(r.Broken[0], "no effect twice") {
		t.Errorf("%v", r.Broken)
	}
}

// What is wrong with a script is told with its line and key.
func TestRehearsalScriptErrors(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile(namedDay)
	if err != nil {
		t.Fatal(err)
	}
	good := string(data)
	for _, bad := range []struct{ old, new, key string }{
		{`lasts = "60s"`, `lasts = "0s"`, "lasts"}, {`seed = 7`, "seed = 7\ncolour = 1", "colour"}, {"count = 3\n", "count = 0\n", "doors.count"},
		{`retries = 2`, `retries = -1`, "clients.retries"}, {`effect = "keyed"`, `effect = "odd"`, "class[1].effect"}, {`aim = "600ms"`, `aim = "6s"`, "class[1].aim"},
		{`window = "1.2s"`, `window = "0s"`, "class[1].window"}, {`name = "business"`, `name = "starter"`, "plan[1].name"}, {`cores = 3.0`, `cores = 0.0`, "servers[0].cores"},
		{`slots = 12`, `slots = 0`, "servers[0].slots"}, {`count = 12`, `count = 5000`, "servers[0].count"}, {`plan = "business"`, `plan = "gold"`, "accounts[1].plan"},
		{`spread = 2`, `spread = 4`, "accounts[1].spread"}, {`rate = 1.6`, `rate = 0.0`, "accounts[0].rate"}, {`do = "silent"`, `do = "quiet"`, "event[1].do"},
		{`after = "silent"`, `after = "later"`, "event[3].after"}, {`group = "big"
count = 2`, `group = "flags"
count = 2`, "event[3].group"}, {`factor = 5.0`, `factor = 0.0`, "event[3].factor"}, {`name = "dead"`, `name = "slow"`, "event[2].name"},
	} {
		if !strings.Contains(good, bad.old) {
			t.Fatalf("the script has no %q", bad.old)
		}
		var e *tomlfile.Error
		if _, err := Parse("x", []byte(strings.Replace(good, bad.old, bad.new, 1))); !errors.As(err, &e) || e.Key != bad.key || e.Line == 0 {
			t.Errorf("%s: %v", bad.key, err)
		}
	}
}

func FuzzRehearsalScript(f *testing.F) {
	if data, err := os.ReadFile(namedDay); err == nil {
		f.Add(string(data))
	}
	f.Add("[[event]]\nname=\"x\"")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse("x", []byte(text)); err == nil && (s.Lasts <= 0 || len(s.Servers) == 0 || s.Doors < 1) {
			t.Errorf("taken: %+v", s)
		}
	})
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gapgap/internal/fake/rig"
)

const ceiling3 = "rate = 2.0\nburst = 4.0\nover_worth = 0.2\nceiling_rate = 3.0\nceiling_depth = 6.0\n"

// policies starts a fleet that has one policy, and waits until all doors go by its first version.
func policies(t *testing.T, doors int, more string) *rig.Rig {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: doors, Fleet: true, Plan: rig.Plan, Seed: 1, InFleet: "[fleet.policy]\n" + more})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, d := range r.Doors {
		goesBy(t, r, d, 1)
	}
	return r
}

// goesBy waits until a door decides by a version.
func goesBy(t *testing.T, r *rig.Rig, d *rig.Door, version uint64) {
	t.Helper()
	if took, err := rig.Within(15*time.Second, func() error { return d.GoesBy(version) }); err != nil {
		for _, o := range r.Doors {
			t.Log(o.Log())
		}
		t.Fatalf("after %v: %v", took, err)
	}
}

// result is what a proposal's caller is told.
type result struct {
	ID           string
	Known, Taken bool
	Version      uint64
	Reason       string
}

// propose brings a change at a door.
func propose(d *rig.Door, q url.Values, doc string) (*result, error) {
	res, err := d.Post("/policy/propose?"+q.Encode(), doc)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(b)))
	}
	out := &result{}
	return out, json.Unmarshal(b, out)
}

// present is the present policy.
func present(t *testing.T, d *rig.Door) string {
	t.Helper()
	res, err := d.Operators(http.MethodGet, "/policy/show")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s, %v", res.Status, b, err)
	}
	return string(b)
}

// document is the present policy with another plan.
func document(t *testing.T, d *rig.Door, plan string) string {
	t.Helper()
	doc := present(t, d)
	i := strings.Index(doc, "[[plan]]")
	if i < 0 {
		t.Fatalf("no plan in\n%s", doc)
	}
	rest := doc[i+len("[[plan]]"):]
	end := ""
	if j := strings.Index(rest, "\n["); j >= 0 {
		end = rest[j:]
	}
	return doc[:i] + "[[plan]]\nname = \"business\"\n" + plan + end
}

// The case that was measured from outside: a ceiling of 10 is lowered to 3 while one of three doors is down, with its old file. A change
// waits for it; said to be off, it is not waited for; back, it goes by the new version and not by its file.
func TestPolicyReturnsToThePresentVersion(t *testing.T) {
	t.Parallel()
	r := policies(t, 3, "give_up = \"2s\"\n")
	r.Doors[2].Kill()
	doc := document(t, r.Doors[0], ceiling3)
	res, err := propose(r.Doors[0], url.Values{"id": {"one"}}, doc)
	if err != nil || !res.Known || res.Taken || !strings.Contains(res.Reason, "n2") || strings.Contains(res.Reason, "n1") {
		t.Fatalf("with a door that is not accounted for: %+v, %v", res, err)
	}
	post := func(path string) error {
		res, err := r.Doors[1].Post(path, "")
		if err == nil && res.StatusCode != http.StatusNoContent {
			b, _ := io.ReadAll(res.Body)
			err = fmt.Errorf("%s: %s", res.Status, b)
		}
		return err
	}
	if err := post("/policy/forget?name=n1"); err == nil {
		t.Error("a door that is there is forgotten")
	}
	if took, err := rig.Within(10*time.Second, func() error { return post("/policy/forget?name=n2") }); err != nil {
		t.Fatalf("after %v: %v", took, err)
	}
	if res, err = propose(r.Doors[1], url.Values{"id": {"two"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Fatalf("%+v, %v\n%s", res, err, r.Doors[1].Log())
	}
	if res, err = propose(r.Doors[0], url.Values{"id": {"two"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Errorf("the same id again, at another door: %+v, %v", res, err)
	}
	if res, err = propose(r.Doors[0], url.Values{"id": {"three"}, "base": {"1"}}, doc); err != nil || !res.Known || res.Taken {
		t.Errorf("a change of an older version: %+v, %v", res, err)
	}
	if err := r.Doors[2].Restart(); err != nil {
		t.Fatal(err)
	}
	for _, d := range r.Doors {
		goesBy(t, r, d, 2)
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	b := r.Flood(ctx, 10*time.Millisecond, 0, 1, 2)
	for n := range r.Doors {
		t.Logf("door %d: %d let through", n, b.In(0, 10*time.Second, n))
	}
	if all := len(b.Served); all > 38 { // 6 and 3 a second
		t.Errorf("%d let through in 10 s", all)
	}
	if len(b.Lost) > 0 {
		t.Errorf("no answer: %q", b.Lost)
	}
}

// plan is one of some plans that differ, and let through enough to see by which a door goes.
func plan(n int) string {
	return fmt.Sprintf("rate = %d.0\nburst = 50.0\nover_worth = 0.2\nceiling_rate = %d.0\nceiling_depth = 200.0\n", 40+n, 100+n)
}

// Changes are proposed all the time while the fleet is flooded and something goes wrong: nobody is decided by an earlier version a quarter of a
// second after somebody was by a later one, a change has one outcome, told alike at all doors, what is proposed and shown is linearizable, and
// each request has its answer.
func TestPolicyFaults(t *testing.T) {
	t.Parallel()
	type script struct {
		doors int
		more  string
		play  func(r *rig.Rig, rng *rand.Rand, stop <-chan struct{})
		taken int // changes that must be taken at least
	}
	pause := func(rng *rand.Rand, most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
	scripts := map[string]script{
		"calm":       {doors: 3, play: func(*rig.Rig, *rand.Rand, <-chan struct{}) { time.Sleep(6 * time.Second) }, taken: 4},
		"calm, five": {doors: 5, play: func(*rig.Rig, *rand.Rand, <-chan struct{}) { time.Sleep(6 * time.Second) }, taken: 4},
		"killed at any step": {doors: 3, more: "give_up = \"3s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for range 7 {
				pause(rng, 700*time.Millisecond)
				d := r.Doors[rng.IntN(3)]
				d.Kill()
				pause(rng, 300*time.Millisecond)
				d.Restart()
				pause(rng, 2*time.Second)
			}
		}, taken: 1},
		"all killed": {doors: 3, more: "give_up = \"3s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for range 3 {
				pause(rng, time.Second)
				var wg sync.WaitGroup
				for _, d := range r.Doors {
					wg.Go(func() { d.Kill(); d.Restart() })
				}
				wg.Wait()
				time.Sleep(2500 * time.Millisecond)
			}
		}, taken: 1},
		"stopped and resumed": {doors: 3, more: "give_up = \"2s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for range 4 {
				pause(rng, 500*time.Millisecond)
				d := r.Doors[rng.IntN(3)]
				d.Stop()
				time.Sleep(2500 * time.Millisecond)
				d.Cont()
				time.Sleep(time.Second)
			}
		}, taken: 1},
		"stopped for ten seconds, with leases": {doors: 3, more: "mode = \"fence\"\ngive_up = \"8s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			pause(rng, 500*time.Millisecond)
			r.Doors[1].Stop()
			time.Sleep(10 * time.Second)
			r.Doors[1].Cont()
			time.Sleep(2 * time.Second)
		}, taken: 3},
		"cut, with leases": {doors: 3, more: "mode = \"fence\"\ngive_up = \"8s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for n := range 2 {
				pause(rng, 500*time.Millisecond)
				r.Split(n)
				time.Sleep(4 * time.Second)
				r.Heal()
				time.Sleep(2 * time.Second)
			}
		}, taken: 3},
		"cut one way": {doors: 3, more: "give_up = \"2s\"\n", play: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for n := range 3 {
				pause(rng, 500*time.Millisecond)
				out := n%2 == 0
				r.Each(func(from, to int) bool { return out && from == n || !out && to == n }, rig.Fault{Cut: true})
				time.Sleep(2500 * time.Millisecond)
				r.Heal()
				time.Sleep(time.Second)
			}
		}, taken: 1},
		"loss, delay, doubles": {doors: 3, more: "give_up = \"5s\"\n", play: func(r *rig.Rig, _ *rand.Rand, _ <-chan struct{}) {
			r.Each(func(int, int) bool { return true }, rig.Fault{Loss: 0.1, Delay: 10 * time.Millisecond, Jitter: 20 * time.Millisecond, Double: 0.2})
			time.Sleep(9 * time.Second)
			r.Heal()
		}, taken: 1},
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(len(name))
			r := policies(t, s.doors, s.more)
			doc := document(t, r.Doors[0], plan(0))
			rng := rand.New(rand.NewPCG(seed, 5))
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			book := make(chan *rig.Book, 1)
			var all []int
			for n := range s.doors {
				all = append(all, n)
			}
			go func() { book <- r.Flood(ctx, 10*time.Millisecond, all...) }()
			h := &history{begun: time.Now(), last: map[string]*result{}}
			var wg sync.WaitGroup
			for n := range 2 { // two operators, at doors by chance
				wg.Go(func() { h.operate(ctx, t, r, n, rand.New(rand.NewPCG(seed, uint64(n))), doc) })
			}
			s.play(r, rng, ctx.Done())
			time.Sleep(time.Second)
			stop()
			wg.Wait()
			b := <-book
			window := b.Window()
			taken, dropped, unknown := h.check(t, r)
			t.Logf("%d taken, %d dropped, %d not known at once; window %v; %d checks decided, %d requests without an answer while their door was away", taken, dropped,
				unknown, window.Round(time.Millisecond), len(b.Decided), b.Errors)
			if window > 250*time.Millisecond {
				t.Errorf("somebody was decided by an earlier version %v after the first by a later one", window)
			}
			if taken < s.taken {
				t.Errorf("%d changes were taken, %d wanted", taken, s.taken)
			}
			for _, l := range b.Lost {
				t.Errorf("no answer: %s", l)
			}
			if len(b.Decided) < 100 {
				t.Errorf("%d checks decided", len(b.Decided))
			}
		})
	}
}

// history is what operators did and were told.
type history struct {
	begun time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	last  map[string]*result // by id
}

type opIn struct {
	show bool
	base uint64
}

// opOut is what was told: the version shown, or that a change became; 0: it was dropped.
type opOut struct {
	version uint64
}

// register is a version that a change of the present one raises.
var register = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		v, in, out := state.(uint64), input.(opIn), output.(opOut)
		switch {
		case in.show:
			return out.version == v, v
		case out.version > 0:
			return in.base == v && out.version == v+1, v + 1
		}
		return true, v // dropped, for whatever reason
	},
}

func (h *history) since() int64 { return time.Since(h.begun).Nanoseconds() }

// operate proposes and shows until the end.
func (h *history) operate(ctx context.Context, t *testing.T, r *rig.Rig, n int, rng *rand.Rand, doc string) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		d := r.Doors[rng.IntN(len(r.Doors))]
		called := h.since()
		version, err := shown(d)
		if err != nil {
			continue
		}
		h.note(n, opIn{show: true}, called, opOut{version: version})
		if i%2 == 1 {
			continue
		}
		id := fmt.Sprintf("o%d-%d", n, i)
		called = h.since()
		h.mu.Lock()
		h.last[id] = nil
		h.mu.Unlock()
		next := strings.Replace(doc, plan(0), plan(n*1000+i+1), 1)
		res, err := propose(r.Doors[rng.IntN(len(r.Doors))], url.Values{"id": {id}, "base": {fmt.Sprint(version)}, "wait": {"6s"}}, next)
		if err == nil && res.Known {
			h.mu.Lock()
			h.last[id] = res
			h.mu.Unlock()
			h.note(n, opIn{base: version}, called, opOut{version: res.Version})
			continue
		}
		h.mu.Lock() // its outcome is told later, if it has one
		h.ops = append(h.ops, porcupine.Operation{ClientId: 100 + len(h.ops), Input: opIn{base: version}, Call: called, Output: id, Return: -1})
		h.mu.Unlock()
	}
}

func (h *history) note(n int, in opIn, called int64, out opOut) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: n, Input: in, Call: called, Output: out, Return: h.since()})
}

// shown is the version that a door shows.
func shown(d *rig.Door) (uint64, error) {
	res, err := d.Operators(http.MethodGet, "/policy/show")
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusOK {
		return 0, errors.New(res.Status)
	}
	return strconv.ParseUint(res.Header.Get("X-Gapgap-Policy"), 10, 64)
}

// check asks all doors what became of each change, and looks whether all that was told can have come about in some order.
func (h *history) check(t *testing.T, r *rig.Rig) (taken, dropped, unknown int) {
	final := map[string]*result{}
	for id, told := range h.last {
		for _, d := range r.Doors {
			var res result
			if took, err := rig.Within(20*time.Second, func() error {
				got, err := d.Operators(http.MethodGet, "/policy/change?id="+id)
				if err != nil {
					return err
				}
				defer got.Body.Close()
				res = result{}
				if err := json.NewDecoder(got.Body).Decode(&res); err != nil {
					return err
				}
				if !res.Known && told != nil {
					return fmt.Errorf("%s does not know what became of %s", d.Name, id)
				}
				return nil
			}); err != nil {
				t.Errorf("after %v: %v", took, err)
				continue
			}
			if told != nil && (told.Taken != res.Taken || told.Version != res.Version) {
				t.Errorf("%s: it was told %+v, and now %+v at %s", id, told, res, d.Name)
			}
			if before := final[id]; before != nil && (before.Taken != res.Taken || before.Version != res.Version) {
				t.Errorf("%s: %+v and, at %s, %+v", id, before, d.Name, res)
			}
			final[id] = &res
		}
		if told == nil {
			unknown++
		}
		switch f := final[id]; {
		case f == nil || !f.Known: // it never came to the voters
		case f.Taken:
			taken++
		default:
			dropped++
		}
	}
	end := h.since()
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if id, late := o.Output.(string); late {
			f := final[id]
			if f == nil || !f.Known {
				continue
			}
			o.Output, o.Return = opOut{version: f.Version}, end
		}
		ops = append(ops, o)
	}
	if res := porcupine.CheckOperationsTimeout(register, ops, 20*time.Second); res != porcupine.Ok {
		t.Errorf("what %d operations were told can't have come about in any order: %v", len(ops), res)
	}
	return taken, dropped, unknown
}

// A door can't go by a policy, as it has not got a listener that this names: it is dropped, with that door's name, the reason and the line, and all go on by the one before.
func TestPolicyOneDoorSaysNo(t *testing.T) {
	t.Parallel()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: 3, Fleet: true, Plan: rig.Plan, Seed: 1, InFleet: "[fleet.policy]\n", Own: func(n int) string {
		if n > 0 {
			return ""
		}
		return "[[listener]]\nname = \"extra\"\nprotocol = \"resp2\"\naddress = \"127.0.0.1:0\"\n"
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, d := range r.Doors {
		goesBy(t, r, d, 1)
	}
	doc := document(t, r.Doors[0], ceiling3)
	bad := doc + "\n[[route]]\nname = \"x\"\nlistener = \"extra\"\npath = \"/\"\n[[route.to]]\npool = \"n0\"\n"
	res, err := propose(r.Doors[0], url.Values{"id": {"bad"}}, bad)
	line := strings.Count(bad[:strings.Index(bad, "listener = \"extra\"")], "\n") + 1
	if err != nil || res.Taken || !res.Known || !strings.Contains(res.Reason, "n1 can't") && !strings.Contains(res.Reason, "n2 can't") ||
		!strings.Contains(res.Reason, fmt.Sprintf("policy:%d:", line)) {
		t.Errorf("%+v, %v; wanted the name of a door and line %d", res, err, line)
	}
	if _, err := propose(r.Doors[0], url.Values{"id": {"worse"}}, "[[plan]]\nname = 3\n"); err == nil || !strings.Contains(err.Error(), "policy:2") {
		t.Errorf("a document that is none: %v", err)
	}
	for _, d := range r.Doors {
		goesBy(t, r, d, 1)
	}
	if res, err = propose(r.Doors[2], url.Values{"id": {"good"}}, doc); err != nil || !res.Taken {
		t.Errorf("the next one: %+v, %v", res, err)
	}
	// SIGHUP reads the node's part only.
	r.Plan = rig.Plan
	r.Doors[2].Hup()
	if took, err := rig.Within(5*time.Second, func() error {
		if !strings.Contains(r.Doors[2].Log(), "the node's part of the file is read again") {
			return errors.New("it does not say so")
		}
		return nil
	}); err != nil {
		t.Errorf("after %v: %v", took, err)
	}
	goesBy(t, r, r.Doors[2], 2)
}

// A voter's log that is damaged is refused with one line and never served from; one that is lost does not vote, and its door learns the present
// policy from the others; a document that is damaged is fetched anew.
func TestPolicyDisks(t *testing.T) {
	t.Parallel()
	r := policies(t, 3, "")
	doc := document(t, r.Doors[0], ceiling3)
	d := r.Doors[1]
	d.Kill()
	file := filepath.Join(d.Dir, "policy.log")
	good, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	ruined := append([]byte(nil), good...)
	for i := len(ruined) / 2; i < len(ruined)/2+20; i++ {
		ruined[i] ^= 0x15
	}
	for name, b := range map[string][]byte{"cut in half": good[:len(good)/2], "of nothing": {}, "ruined": ruined, "cut by a byte": good[:len(good)-1]} {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		before := len(d.Log())
		if err := d.Begin(); err != nil {
			t.Fatal(err)
		}
		err := d.Ready()
		log := strings.TrimSpace(d.Log()[before:])
		if err == nil || !strings.Contains(log, "damaged") || strings.Contains(log, "\n") || strings.Contains(log, "goroutine") || strings.Contains(log, "msg=serving") {
			t.Errorf("%s: %v\n%s", name, err, log)
		}
		d.Kill()
	}
	os.Remove(file)
	docs, err := filepath.Glob(filepath.Join(d.Dir, "policies", "*.toml"))
	if err != nil || len(docs) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	for _, f := range docs {
		if err := os.WriteFile(f, []byte("[limits]\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Restart(); err != nil {
		t.Fatal(err)
	}
	goesBy(t, r, d, 1)
	// It goes by the version as soon as any voter tells it, and learns that its log is lost from a message of its own.
	if _, err := rig.Within(10*time.Second, func() error {
		if !strings.Contains(d.Log(), "this voter's log is lost") || !strings.Contains(d.Log(), "a policy's file is not used") {
			return errors.New("it does not say what is wrong")
		}
		return nil
	}); err != nil {
		t.Errorf("%v:\n%s", err, d.Log())
	}
	if res, err := propose(d, url.Values{"id": {"after"}}, doc); err != nil || !res.Taken {
		t.Errorf("with two voters: %+v, %v", res, err)
	}
	for _, d := range r.Doors {
		goesBy(t, r, d, 2)
	}
}

// With no change being decided the loss of the majority stops no door that serves; one that starts then goes by the operators' choice.
func TestPolicyWithoutMajority(t *testing.T) {
	t.Parallel()
	for more, want := range map[string]bool{"without_quorum = \"refuse\"\n": false, "without_quorum = \"last\"\nafter = \"2s\"\n": true} {
		t.Run(more, func(t *testing.T) {
			t.Parallel()
			r := policies(t, 3, more)
			r.Doors[0].Kill()
			r.Doors[1].Kill()
			time.Sleep(4 * time.Second)
			if asked, passed := calm(t, r, 2, 2, 3*time.Second); passed < asked {
				t.Errorf("%d of %d while it is alone", passed, asked)
			}
			if _, err := propose(r.Doors[2], url.Values{"id": {"x"}}, "[limits]\n"); err == nil {
				t.Error("a change without a majority")
			}
			r.Doors[2].Kill()
			if err := r.Doors[2].Restart(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			if err := r.Doors[2].GoesBy(1); (err == nil) != want {
				t.Errorf("started alone: %v", err)
			}
			if err := r.Doors[0].Restart(); err != nil {
				t.Fatal(err)
			}
			goesBy(t, r, r.Doors[2], 1)
		})
	}
}

// Fleets of one and of two, and one of three of which one has said that it goes.
func TestPolicySmallFleets(t *testing.T) {
	t.Parallel()
	for doors, goes := range map[int]int{1: -1, 2: -1, 3: 2} {
		t.Run(fmt.Sprint(doors), func(t *testing.T) {
			t.Parallel()
			r := policies(t, doors, "")
			doc := document(t, r.Doors[0], ceiling3)
			if goes >= 0 {
				r.Doors[goes].Term()
			}
			began := time.Now()
			res, err := propose(r.Doors[0], url.Values{"id": {"x"}}, doc)
			if err != nil || !res.Taken || time.Since(began) > 5*time.Second {
				t.Errorf("%+v, %v, after %v", res, err, time.Since(began))
			}
			for n, d := range r.Doors {
				if n != goes {
					goesBy(t, r, d, 2)
				}
			}
		})
	}
}

// A voter's disk is lost for good. With an empty one it serves and does not vote, until an operator has it replaced; then it counts: another voter may go.
func TestPolicyVoterLost(t *testing.T) {
	t.Parallel()
	r := policies(t, 3, "give_up = \"5s\"\n")
	post := func(d *rig.Door, path string) error {
		res, err := d.Post(path, "")
		if err == nil && res.StatusCode != http.StatusNoContent {
			b, _ := io.ReadAll(res.Body)
			err = fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(b)))
		}
		return err
	}
	if err := post(r.Doors[0], "/policy/voter?name=n1"); err == nil || !strings.Contains(err.Error(), "was not heard of with an empty disk") {
		t.Errorf("a voter that has its disk: %v", err)
	}
	if err := post(r.Doors[0], "/policy/voter?name=n9"); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("a door that is none: %v", err)
	}
	r.Doors[1].Kill()
	if err := r.Doors[1].SetDisk(nil); err != nil {
		t.Fatal(err)
	}
	if err := r.Doors[1].Restart(); err != nil {
		t.Fatal(err)
	}
	goesBy(t, r, r.Doors[1], 1)
	doc := document(t, r.Doors[0], ceiling3)
	if res, err := propose(r.Doors[1], url.Values{"id": {"one"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Errorf("with two voters: %+v, %v", res, err)
	}
	if took, err := rig.Within(15*time.Second, func() error { return post(r.Doors[2], "/policy/voter?name=n1") }); err != nil {
		t.Fatalf("after %v: %v\n%s", took, err, r.Doors[1].Log())
	}
	r.Doors[0].Kill()
	if took, err := rig.Within(10*time.Second, func() error { return post(r.Doors[2], "/policy/forget?name=n0") }); err != nil {
		t.Fatalf("after %v: %v", took, err)
	}
	if res, err := propose(r.Doors[2], url.Values{"id": {"two"}}, doc+"\n# again\n"); err != nil || !res.Taken || res.Version != 3 {
		t.Errorf("with the one that was replaced: %+v, %v", res, err)
	}
	goesBy(t, r, r.Doors[1], 3)
}

// Two of three voters' disks are lost for good: doors go on by what they have, nothing can be changed, and a door that starts waits. The voter that has its
// disk goes on alone at an operator's word, which is refused while a majority may still come; then all doors go by one version again, changes are
// taken, and the others vote again one by one, so that the first may go.
func TestPowerMajorityOfVotersLost(t *testing.T) {
	t.Parallel()
	r := policies(t, 3, "give_up = \"5s\"\n")
	post := func(d *rig.Door, path string) error {
		res, err := d.Post(path, "")
		if err != nil {
			return err
		}
		defer res.Body.Close()
		if b, _ := io.ReadAll(res.Body); res.StatusCode != http.StatusNoContent {
			return fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(b)))
		}
		return nil
	}
	refused := func(d *rig.Door, path, want string) {
		t.Helper()
		if err := post(d, path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, not %q", path, err, want)
		}
	}
	n0, n1, n2 := r.Doors[0], r.Doors[1], r.Doors[2]
	doc := document(t, n0, ceiling3)
	if res, err := propose(n1, url.Values{"id": {"one"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Fatalf("%+v, %v", res, err)
	}
	goesBy(t, r, n0, 2)
	refused(n0, "/policy/recover", "have a leader")
	n1.Kill()
	n2.Kill()
	if _, err := rig.Within(10*time.Second, func() error {
		if err := post(n0, "/policy/recover"); err == nil || !strings.Contains(err.Error(), "n1 n2] not heard of") {
			return fmt.Errorf("%w", err)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	refused(n0, "/policy/recover?lost=n1", "may still come")
	refused(n0, "/policy/recover?lost=n7", "404")
	for _, d := range []*rig.Door{n1, n2} {
		if err := d.SetDisk(nil); err != nil {
			t.Fatal(err)
		}
		if err := d.Begin(); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	b := r.Flood(ctx, 20*time.Millisecond, 0)
	if stop(); len(b.Served) == 0 || len(b.Lost) > 0 {
		t.Errorf("without a majority the door that has its disk served %d, lost %v", len(b.Served), b.Lost)
	}
	for n := 1; n < 3; n++ { // these wait for the policy: clients are told at once, with when to come back
		if err := r.Doors[n].Ready(); err != nil {
			t.Fatal(err)
		}
		line, took, err := r.Ask(n)
		ms, odd := strconv.Atoi(strings.TrimPrefix(line, "-BUSY "))
		if err != nil || odd != nil || ms < 50 || ms > 10_000 || took > time.Second {
			t.Errorf("a door that waits for the policy: %q after %v, %v", line, took, err)
		}
	}
	if _, err := rig.Within(10*time.Second, func() error { return post(n0, "/policy/recover?who=me") }); err != nil {
		t.Fatalf("%v\n%s", err, n0.Log())
	}
	goesBy(t, r, n0, 1002)
	for _, d := range []*rig.Door{n1, n2} {
		opens(t, d)
		goesBy(t, r, d, 1002)
	}
	if res, err := n1.Operators(http.MethodGet, "/policy/history"); err != nil {
		t.Error(err)
	} else if body, _ := io.ReadAll(res.Body); !strings.Contains(string(body), `"recover-`) || !strings.Contains(string(body), `"who":"me"`) {
		t.Errorf("the record: %s", body)
	}
	if res, err := propose(n2, url.Values{"id": {"two"}}, doc+"\n# two\n"); err != nil || !res.Taken || res.Version != 1003 {
		t.Errorf("after it: %+v, %v", res, err)
	}
	for _, name := range []string{"n1", "n2"} {
		if took, err := rig.Within(15*time.Second, func() error { return post(n2, "/policy/voter?name="+name) }); err != nil {
			t.Fatalf("%s after %v: %v", name, took, err)
		}
	}
	n0.Kill()
	if took, err := rig.Within(10*time.Second, func() error { return post(n2, "/policy/forget?name=n0") }); err != nil {
		t.Fatalf("after %v: %v", took, err)
	}
	if res, err := propose(n1, url.Values{"id": {"three"}}, doc+"\n# three\n"); err != nil || !res.Taken || res.Version != 1004 {
		t.Errorf("without the first: %+v, %v", res, err)
	}
	if err := n0.Restart(); err != nil {
		t.Fatal(err)
	}
	goesBy(t, r, n0, 1004)
}

// A disk that is full or read-only at a voter: a change that this door can't keep is dropped and says why, service goes on, and once it can be written and the process is started
// anew all is as before. A slow disk only delays.
func TestPolicyDiskFaults(t *testing.T) {
	t.Parallel()
	for what, why := range map[string]string{"full": "no space left", "readonly": "read-only", "slow 300ms": ""} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			r := powered(t, 3, 5, "[fleet.policy]\ngive_up = \"8s\"\n")
			doc := present(t, r.Doors[0])
			d := r.Doors[2]
			if err := d.Fault(what); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			over := make(chan *rig.Book, 1)
			go func() { over <- r.Flood(ctx, 20*time.Millisecond, 2) }()
			res, err := propose(r.Doors[0], url.Values{"id": {"one"}}, doc+"\n# one\n")
			if err != nil || !res.Known || res.Taken != (why == "") || !strings.Contains(res.Reason, why) {
				t.Errorf("with the fault: %+v, %v", res, err)
			}
			time.Sleep(time.Second)
			stop()
			b := <-over
			if len(b.Served) == 0 || len(b.Lost) > 0 {
				t.Errorf("the door itself served %d, lost %v", len(b.Served), b.Lost)
			}
			var last, gap time.Duration
			for _, d := range b.Decided {
				gap, last = max(gap, d.Answered-last), max(last, d.Answered)
			}
			t.Logf("the door with the fault decided %d times, %v apart at most", len(b.Decided), gap)
			if gap > time.Second {
				t.Errorf("the door with the fault decided nothing for %v:\n%s", gap, d.Log())
			}
			if err := d.Fault(""); err != nil {
				t.Fatal(err)
			}
			d.Kill()
			if err := d.Restart(); err != nil {
				t.Fatal(err)
			}
			opens(t, d)
			if res, err = propose(d, url.Values{"id": {"two"}}, doc+"\n# two\n"); err != nil || !res.Taken {
				t.Errorf("after it: %+v, %v", res, err)
			}
			goesBy(t, r, d, res.Version)
		})
	}
}

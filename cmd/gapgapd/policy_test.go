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

const lowCeilingPlan = "rate = 2.0\nburst = 4.0\nover_worth = 0.2\nceiling_rate = 3.0\nceiling_depth = 6.0\n"

// startPolicyFleet starts a fleet with a shared policy and waits until all gateways apply its first version.
func startPolicyFleet(t *testing.T, gateways int, more string) *rig.Rig {
	t.Helper()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: gateways, Fleet: true, Plan: rig.Plan, Seed: 1, InFleet: "[fleet.policy]\n" + more})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, d := range r.Doors {
		waitForVersion(t, r, d, 1)
	}
	return r
}

// waitForVersion waits until a gateway applies a policy version.
func waitForVersion(t *testing.T, r *rig.Rig, d *rig.Door, version uint64) {
	t.Helper()
	if took, err := rig.Within(15*time.Second, func() error { return d.GoesBy(version) }); err != nil {
		for _, o := range r.Doors {
			t.Log(o.Log())
		}
		t.Fatalf("after %v: %v", took, err)
	}
}

// proposalResult is the response to a proposal.
type proposalResult struct {
	ID           string
	Known, Taken bool
	Version      uint64
	Reason       string
}

// propose proposes a policy document to a gateway.
func propose(d *rig.Door, q url.Values, doc string) (*proposalResult, error) {
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
	out := &proposalResult{}
	return out, json.Unmarshal(b, out)
}

// currentPolicy returns the current policy document.
func currentPolicy(t *testing.T, d *rig.Door) string {
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

// policyWithPlan returns the current policy document with its plan replaced.
func policyWithPlan(t *testing.T, d *rig.Door, plan string) string {
	t.Helper()
	doc := currentPolicy(t, d)
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

// TestPolicyReturnsToThePresentVersion verifies that a gateway that was down during a policy change applies the current
// version when it returns, not the one of its old configuration file. The change lowers a ceiling from 10 to 3. It
// waits for the gateway until an operator declares that gateway to be down. The case was found by external measurement.
func TestPolicyReturnsToThePresentVersion(t *testing.T) {
	t.Parallel()
	r := startPolicyFleet(t, 3, "give_up = \"2s\"\n")
	r.Doors[2].Kill()
	doc := policyWithPlan(t, r.Doors[0], lowCeilingPlan)
	res, err := propose(r.Doors[0], url.Values{"id": {"one"}}, doc)
	if err != nil || !res.Known || res.Taken || !strings.Contains(res.Reason, "n2") || strings.Contains(res.Reason, "n1") {
		t.Fatalf("with a gateway whose state is unknown: %+v, %v", res, err)
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
		t.Error("a running gateway was forgotten")
	}
	if took, err := rig.Within(10*time.Second, func() error { return post("/policy/forget?name=n2") }); err != nil {
		t.Fatalf("after %v: %v", took, err)
	}
	if res, err = propose(r.Doors[1], url.Values{"id": {"two"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Fatalf("%+v, %v\n%s", res, err, r.Doors[1].Log())
	}
	if res, err = propose(r.Doors[0], url.Values{"id": {"two"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Errorf("the same id again, at another gateway: %+v, %v", res, err)
	}
	if res, err = propose(r.Doors[0], url.Values{"id": {"three"}, "base": {"1"}}, doc); err != nil || !res.Known || res.Taken {
		t.Errorf("a change based on an older version: %+v, %v", res, err)
	}
	if err := r.Doors[2].Restart(); err != nil {
		t.Fatal(err)
	}
	for _, d := range r.Doors {
		waitForVersion(t, r, d, 2)
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	b := r.Flood(ctx, 10*time.Millisecond, 0, 1, 2)
	for n := range r.Doors {
		t.Logf("gateway %d: %d admitted", n, b.In(0, 10*time.Second, n))
	}
	if all := len(b.Served); all > 38 { // a burst of 6, and 3 per second
		t.Errorf("%d admitted in 10 s", all)
	}
	if len(b.Lost) > 0 {
		t.Errorf("no response: %q", b.Lost)
	}
}

// numberedPlan returns a plan whose rates depend on n. They are high enough to see which version a gateway applies.
func numberedPlan(n int) string {
	return fmt.Sprintf("rate = %d.0\nburst = 50.0\nover_worth = 0.2\nceiling_rate = %d.0\nceiling_depth = 200.0\n", 40+n, 100+n)
}

// TestPolicyFaults verifies the following while changes are proposed continuously and the fleet is flooded and suffers
// faults. No request is decided by an earlier version more than 250 ms after another one was decided by a later
// version. Each change has one outcome, which all gateways report. The proposed and shown versions are linearizable.
// Each request gets its response.
func TestPolicyFaults(t *testing.T) {
	t.Parallel()
	type script struct {
		gateways int
		more     string
		run      func(r *rig.Rig, rng *rand.Rand, stop <-chan struct{})
		taken    int // the minimum number of committed changes
	}
	pause := func(rng *rand.Rand, most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }
	scripts := map[string]script{
		"calm":       {gateways: 3, run: func(*rig.Rig, *rand.Rand, <-chan struct{}) { time.Sleep(6 * time.Second) }, taken: 4},
		"calm, five": {gateways: 5, run: func(*rig.Rig, *rand.Rand, <-chan struct{}) { time.Sleep(6 * time.Second) }, taken: 4},
		"killed at any step": {gateways: 3, more: "give_up = \"3s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for range 7 {
				pause(rng, 700*time.Millisecond)
				d := r.Doors[rng.IntN(3)]
				d.Kill()
				pause(rng, 300*time.Millisecond)
				d.Restart()
				pause(rng, 2*time.Second)
			}
		}, taken: 1},
		"all killed": {gateways: 3, more: "give_up = \"3s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
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
		"stopped and resumed": {gateways: 3, more: "give_up = \"2s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for range 4 {
				pause(rng, 500*time.Millisecond)
				d := r.Doors[rng.IntN(3)]
				d.Stop()
				time.Sleep(2500 * time.Millisecond)
				d.Cont()
				time.Sleep(time.Second)
			}
		}, taken: 1},
		"stopped for ten seconds, with leases": {gateways: 3, more: "mode = \"fence\"\ngive_up = \"8s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			pause(rng, 500*time.Millisecond)
			r.Doors[1].Stop()
			time.Sleep(10 * time.Second)
			r.Doors[1].Cont()
			time.Sleep(2 * time.Second)
		}, taken: 3},
		"cut, with leases": {gateways: 3, more: "mode = \"fence\"\ngive_up = \"8s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for n := range 2 {
				pause(rng, 500*time.Millisecond)
				r.Split(n)
				time.Sleep(4 * time.Second)
				r.Heal()
				time.Sleep(2 * time.Second)
			}
		}, taken: 3},
		"cut one way": {gateways: 3, more: "give_up = \"2s\"\n", run: func(r *rig.Rig, rng *rand.Rand, _ <-chan struct{}) {
			for n := range 3 {
				pause(rng, 500*time.Millisecond)
				out := n%2 == 0
				r.Each(func(from, to int) bool { return out && from == n || !out && to == n }, rig.Fault{Cut: true})
				time.Sleep(2500 * time.Millisecond)
				r.Heal()
				time.Sleep(time.Second)
			}
		}, taken: 1},
		"loss, delay, doubles": {gateways: 3, more: "give_up = \"5s\"\n", run: func(r *rig.Rig, _ *rand.Rand, _ <-chan struct{}) {
			r.Each(func(int, int) bool { return true }, rig.Fault{Loss: 0.1, Delay: 10 * time.Millisecond, Jitter: 20 * time.Millisecond, Double: 0.2})
			time.Sleep(9 * time.Second)
			r.Heal()
		}, taken: 1},
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(len(name))
			r := startPolicyFleet(t, s.gateways, s.more)
			doc := policyWithPlan(t, r.Doors[0], numberedPlan(0))
			rng := rand.New(rand.NewPCG(seed, 5))
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			book := make(chan *rig.Book, 1)
			var all []int
			for n := range s.gateways {
				all = append(all, n)
			}
			go func() { book <- r.Flood(ctx, 10*time.Millisecond, all...) }()
			h := &operationLog{begun: time.Now(), last: map[string]*proposalResult{}}
			var wg sync.WaitGroup
			for n := range 2 { // two operators, each at random gateways
				wg.Go(func() { h.runOperator(ctx, t, r, n, rand.New(rand.NewPCG(seed, uint64(n))), doc) })
			}
			s.run(r, rng, ctx.Done())
			time.Sleep(time.Second)
			stop()
			wg.Wait()
			b := <-book
			window := b.Window()
			taken, dropped, unknown := h.verify(t, r)
			t.Logf("%d committed, %d aborted, %d not known at once; window %v; %d checks decided, %d requests without a response while their gateway was down", taken, dropped,
				unknown, window.Round(time.Millisecond), len(b.Decided), b.Errors)
			if window > 250*time.Millisecond {
				t.Errorf("a check was decided by an earlier version %v after the first by a later one", window)
			}
			if taken < s.taken {
				t.Errorf("%d changes were committed, %d wanted", taken, s.taken)
			}
			for _, l := range b.Lost {
				t.Errorf("no response: %s", l)
			}
			if len(b.Decided) < 100 {
				t.Errorf("%d checks decided", len(b.Decided))
			}
		})
	}
}

// operationLog records the operators' calls and their results.
type operationLog struct {
	begun time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	last  map[string]*proposalResult // by id
}

type operationInput struct {
	show bool
	base uint64
}

// operationOutput is the result of an operation: the version that was shown or committed, or 0 if the change was
// aborted.
type operationOutput struct {
	version uint64
}

// versionModel models the policy version as a register that a change based on the current version increments.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		v, in, out := state.(uint64), input.(operationInput), output.(operationOutput)
		switch {
		case in.show:
			return out.version == v, v
		case out.version > 0:
			return in.base == v && out.version == v+1, v + 1
		}
		return true, v // aborted, for any reason
	},
}

func (h *operationLog) elapsed() int64 { return time.Since(h.begun).Nanoseconds() }

// runOperator proposes changes and shows the version until the context is done.
func (h *operationLog) runOperator(ctx context.Context, t *testing.T, r *rig.Rig, n int, rng *rand.Rand, doc string) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		d := r.Doors[rng.IntN(len(r.Doors))]
		called := h.elapsed()
		version, err := shownVersion(d)
		if err != nil {
			continue
		}
		h.record(n, operationInput{show: true}, called, operationOutput{version: version})
		if i%2 == 1 {
			continue
		}
		id := fmt.Sprintf("o%d-%d", n, i)
		called = h.elapsed()
		h.mu.Lock()
		h.last[id] = nil
		h.mu.Unlock()
		next := strings.Replace(doc, numberedPlan(0), numberedPlan(n*1000+i+1), 1)
		res, err := propose(r.Doors[rng.IntN(len(r.Doors))], url.Values{"id": {id}, "base": {fmt.Sprint(version)}, "wait": {"6s"}}, next)
		if err == nil && res.Known {
			h.mu.Lock()
			h.last[id] = res
			h.mu.Unlock()
			h.record(n, operationInput{base: version}, called, operationOutput{version: res.Version})
			continue
		}
		h.mu.Lock() // verify adds its outcome, if there is one
		h.ops = append(h.ops, porcupine.Operation{ClientId: 100 + len(h.ops), Input: operationInput{base: version}, Call: called, Output: id, Return: -1})
		h.mu.Unlock()
	}
}

func (h *operationLog) record(n int, in operationInput, called int64, out operationOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: n, Input: in, Call: called, Output: out, Return: h.elapsed()})
}

// shownVersion returns the policy version that a gateway shows.
func shownVersion(d *rig.Door) (uint64, error) {
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

// verify reads the outcome of each change from all gateways, and checks that all results are linearizable.
func (h *operationLog) verify(t *testing.T, r *rig.Rig) (taken, dropped, unknown int) {
	final := map[string]*proposalResult{}
	for id, told := range h.last {
		for _, d := range r.Doors {
			var res proposalResult
			if took, err := rig.Within(20*time.Second, func() error {
				got, err := d.Operators(http.MethodGet, "/policy/change?id="+id)
				if err != nil {
					return err
				}
				defer got.Body.Close()
				res = proposalResult{}
				if err := json.NewDecoder(got.Body).Decode(&res); err != nil {
					return err
				}
				if !res.Known && told != nil {
					return fmt.Errorf("%s does not know the outcome of %s", d.Name, id)
				}
				return nil
			}); err != nil {
				t.Errorf("after %v: %v", took, err)
				continue
			}
			if told != nil && (told.Taken != res.Taken || told.Version != res.Version) {
				t.Errorf("%s: the operator got %+v, now it is %+v at %s", id, told, res, d.Name)
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
		case f == nil || !f.Known: // it never reached the voters
		case f.Taken:
			taken++
		default:
			dropped++
		}
	}
	end := h.elapsed()
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if id, late := o.Output.(string); late {
			f := final[id]
			if f == nil || !f.Known {
				continue
			}
			o.Output, o.Return = operationOutput{version: f.Version}, end
		}
		ops = append(ops, o)
	}
	if res := porcupine.CheckOperationsTimeout(versionModel, ops, 20*time.Second); res != porcupine.Ok {
		t.Errorf("the results of %d operations are not linearizable: %v", len(ops), res)
	}
	return taken, dropped, unknown
}

// TestPolicyOneDoorSaysNo verifies that a policy that one gateway can't apply, because it lacks a listener that the
// policy names, is aborted with that gateway's name, the reason and the line, and that all gateways keep the previous
// version.
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
		waitForVersion(t, r, d, 1)
	}
	doc := policyWithPlan(t, r.Doors[0], lowCeilingPlan)
	bad := doc + "\n[[route]]\nname = \"x\"\nlistener = \"extra\"\npath = \"/\"\n[[route.to]]\npool = \"n0\"\n"
	res, err := propose(r.Doors[0], url.Values{"id": {"bad"}}, bad)
	line := strings.Count(bad[:strings.Index(bad, "listener = \"extra\"")], "\n") + 1
	if err != nil || res.Taken || !res.Known || !strings.Contains(res.Reason, "n1 can't") && !strings.Contains(res.Reason, "n2 can't") ||
		!strings.Contains(res.Reason, fmt.Sprintf("policy:%d:", line)) {
		t.Errorf("%+v, %v; wanted the name of a gateway and line %d", res, err, line)
	}
	if _, err := propose(r.Doors[0], url.Values{"id": {"worse"}}, "[[plan]]\nname = 3\n"); err == nil || !strings.Contains(err.Error(), "policy:2") {
		t.Errorf("an invalid document: %v", err)
	}
	for _, d := range r.Doors {
		waitForVersion(t, r, d, 1)
	}
	if res, err = propose(r.Doors[2], url.Values{"id": {"good"}}, doc); err != nil || !res.Taken {
		t.Errorf("the next change: %+v, %v", res, err)
	}
	// SIGHUP reloads only the node's part of the file.
	r.Plan = rig.Plan
	r.Doors[2].Hup()
	if took, err := rig.Within(5*time.Second, func() error {
		if !strings.Contains(r.Doors[2].Log(), "the node's part of the file is read again") {
			return errors.New("the reload is not logged")
		}
		return nil
	}); err != nil {
		t.Errorf("after %v: %v", took, err)
	}
	waitForVersion(t, r, r.Doors[2], 2)
}

// TestPolicyDisks verifies that a gateway does not start with a damaged voter log and logs one line. A voter whose log
// is lost does not vote, and its gateway gets the current policy from the others. A damaged document is fetched again.
func TestPolicyDisks(t *testing.T) {
	t.Parallel()
	r := startPolicyFleet(t, 3, "")
	doc := policyWithPlan(t, r.Doors[0], lowCeilingPlan)
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
	waitForVersion(t, r, d, 1)
	// It applies the version as soon as any voter sends it, and learns from a separate message that its log is lost.
	if _, err := rig.Within(10*time.Second, func() error {
		if !strings.Contains(d.Log(), "this voter's log is lost") || !strings.Contains(d.Log(), "a policy's file is not used") {
			return errors.New("the lost log and the damaged document are not logged")
		}
		return nil
	}); err != nil {
		t.Errorf("%v:\n%s", err, d.Log())
	}
	if res, err := propose(d, url.Values{"id": {"after"}}, doc); err != nil || !res.Taken {
		t.Errorf("with two voters: %+v, %v", res, err)
	}
	for _, d := range r.Doors {
		waitForVersion(t, r, d, 2)
	}
}

// TestPolicyWithoutMajority verifies that a running gateway keeps serving when the majority of the voters is lost and
// no change is pending, and that a gateway that starts then follows the setting without_quorum.
func TestPolicyWithoutMajority(t *testing.T) {
	t.Parallel()
	for more, want := range map[string]bool{"without_quorum = \"refuse\"\n": false, "without_quorum = \"last\"\nafter = \"2s\"\n": true} {
		t.Run(more, func(t *testing.T) {
			t.Parallel()
			r := startPolicyFleet(t, 3, more)
			r.Doors[0].Kill()
			r.Doors[1].Kill()
			time.Sleep(4 * time.Second)
			if asked, passed := checkAtRate(t, r, 2, 2, 3*time.Second); passed < asked {
				t.Errorf("%d of %d admitted while it is alone", passed, asked)
			}
			if _, err := propose(r.Doors[2], url.Values{"id": {"x"}}, "[limits]\n"); err == nil {
				t.Error("a change was accepted without a majority")
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
			waitForVersion(t, r, r.Doors[2], 1)
		})
	}
}

// TestPolicySmallFleets verifies that a change is committed within 5 s in fleets of one and two gateways, and in one of
// three of which one has left.
func TestPolicySmallFleets(t *testing.T) {
	t.Parallel()
	for gateways, leaving := range map[int]int{1: -1, 2: -1, 3: 2} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			t.Parallel()
			r := startPolicyFleet(t, gateways, "")
			doc := policyWithPlan(t, r.Doors[0], lowCeilingPlan)
			if leaving >= 0 {
				r.Doors[leaving].Term()
			}
			began := time.Now()
			res, err := propose(r.Doors[0], url.Values{"id": {"x"}}, doc)
			if err != nil || !res.Taken || time.Since(began) > 5*time.Second {
				t.Errorf("%+v, %v, after %v", res, err, time.Since(began))
			}
			for n, d := range r.Doors {
				if n != leaving {
					waitForVersion(t, r, d, 2)
				}
			}
		})
	}
}

// TestPolicyVoterLost verifies that a voter that restarts with an empty disk serves but does not vote until an operator
// replaces it. After that it counts for the majority, so another voter may fail.
func TestPolicyVoterLost(t *testing.T) {
	t.Parallel()
	r := startPolicyFleet(t, 3, "give_up = \"5s\"\n")
	post := func(d *rig.Door, path string) error {
		res, err := d.Post(path, "")
		if err == nil && res.StatusCode != http.StatusNoContent {
			b, _ := io.ReadAll(res.Body)
			err = fmt.Errorf("%s: %s", res.Status, strings.TrimSpace(string(b)))
		}
		return err
	}
	if err := post(r.Doors[0], "/policy/voter?name=n1"); err == nil || !strings.Contains(err.Error(), "was not heard of with an empty disk") {
		t.Errorf("a voter whose disk is intact: %v", err)
	}
	if err := post(r.Doors[0], "/policy/voter?name=n9"); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("an unknown gateway: %v", err)
	}
	r.Doors[1].Kill()
	if err := r.Doors[1].SetDisk(nil); err != nil {
		t.Fatal(err)
	}
	if err := r.Doors[1].Restart(); err != nil {
		t.Fatal(err)
	}
	waitForVersion(t, r, r.Doors[1], 1)
	doc := policyWithPlan(t, r.Doors[0], lowCeilingPlan)
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
		t.Errorf("with the replaced voter: %+v, %v", res, err)
	}
	waitForVersion(t, r, r.Doors[1], 3)
}

// TestPowerMajorityOfVotersLost verifies the recovery after two of three voters' disks are permanently lost. Running
// gateways keep their policy, no change is possible, and a gateway that starts waits. An operator can make the
// remaining voter continue alone, which is rejected while a majority may still return. After that all gateways apply
// one version again, changes are committed, and the other voters are replaced one by one, so that the first one may
// fail.
func TestPowerMajorityOfVotersLost(t *testing.T) {
	t.Parallel()
	r := startPolicyFleet(t, 3, "give_up = \"5s\"\n")
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
	doc := policyWithPlan(t, n0, lowCeilingPlan)
	if res, err := propose(n1, url.Values{"id": {"one"}}, doc); err != nil || !res.Taken || res.Version != 2 {
		t.Fatalf("%+v, %v", res, err)
	}
	waitForVersion(t, r, n0, 2)
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
		t.Errorf("without a majority the gateway whose disk is intact served %d, lost %v", len(b.Served), b.Lost)
	}
	for n := 1; n < 3; n++ { // these wait for the policy: clients are rejected at once with a retry delay
		if err := r.Doors[n].Ready(); err != nil {
			t.Fatal(err)
		}
		line, took, err := r.Ask(n)
		ms, parseErr := strconv.Atoi(strings.TrimPrefix(line, "-BUSY "))
		if err != nil || parseErr != nil || ms < 50 || ms > 10_000 || took > time.Second {
			t.Errorf("a gateway that waits for the policy: %q after %v, %v", line, took, err)
		}
	}
	if _, err := rig.Within(10*time.Second, func() error { return post(n0, "/policy/recover?who=me") }); err != nil {
		t.Fatalf("%v\n%s", err, n0.Log())
	}
	waitForVersion(t, r, n0, 1002)
	for _, d := range []*rig.Door{n1, n2} {
		waitUntilOpen(t, d)
		waitForVersion(t, r, d, 1002)
	}
	if res, err := n1.Operators(http.MethodGet, "/policy/history"); err != nil {
		t.Error(err)
	} else if body, _ := io.ReadAll(res.Body); !strings.Contains(string(body), `"recover-`) || !strings.Contains(string(body), `"who":"me"`) {
		t.Errorf("the recovery in the history: %s", body)
	}
	if res, err := propose(n2, url.Values{"id": {"two"}}, doc+"\n# two\n"); err != nil || !res.Taken || res.Version != 1003 {
		t.Errorf("after the recovery: %+v, %v", res, err)
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
		t.Errorf("without the first voter: %+v, %v", res, err)
	}
	if err := n0.Restart(); err != nil {
		t.Fatal(err)
	}
	waitForVersion(t, r, n0, 1004)
}

// TestPolicyDiskFaults verifies that with a full or read-only disk at a voter a change is aborted with that reason
// while the gateway keeps serving, and that changes are committed again once the disk is writable and the process was
// restarted. A slow disk only delays a change.
func TestPolicyDiskFaults(t *testing.T) {
	t.Parallel()
	for what, why := range map[string]string{"full": "no space left", "readonly": "read-only", "slow 300ms": ""} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			r := startRecordedFleet(t, 3, 5, "[fleet.policy]\ngive_up = \"8s\"\n")
			doc := currentPolicy(t, r.Doors[0])
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
				t.Errorf("the gateway itself served %d, lost %v", len(b.Served), b.Lost)
			}
			var last, gap time.Duration
			for _, d := range b.Decided {
				gap, last = max(gap, d.Answered-last), max(last, d.Answered)
			}
			t.Logf("the gateway with the fault made %d decisions, at most %v apart", len(b.Decided), gap)
			if gap > time.Second {
				t.Errorf("the gateway with the fault made no decision for %v:\n%s", gap, d.Log())
			}
			if err := d.Fault(""); err != nil {
				t.Fatal(err)
			}
			d.Kill()
			if err := d.Restart(); err != nil {
				t.Fatal(err)
			}
			waitUntilOpen(t, d)
			if res, err = propose(d, url.Values{"id": {"two"}}, doc+"\n# two\n"); err != nil || !res.Taken {
				t.Errorf("after the fault: %+v, %v", res, err)
			}
			waitForVersion(t, r, d, res.Version)
		})
	}
}

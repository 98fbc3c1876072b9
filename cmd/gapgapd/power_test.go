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
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/power"
	"gapgap/internal/fake/program"
	"gapgap/internal/fake/race"
	"gapgap/internal/fake/rig"
	"gapgap/internal/service/hosted"
)

// recordingBinary returns the path of a gapgapd binary that records all changes to its state directory.
var recordingBinary, removeRecordingBinary = program.BuiltFrom("gapgapd-recorded", ".", "-tags", "powertest")

const rememberLine = "remember = \"disk\"\n"

// startRecordedFleet starts a fleet whose disks are recorded.
func startRecordedFleet(t *testing.T, gateways int, seed uint64, more string) *rig.Rig {
	t.Helper()
	path, err := recordingBinary()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: gateways, Fleet: true, Plan: rig.Plan, Seed: seed, Record: true, Change: rememberLine, Calm: 6,
		Work: 4 * time.Millisecond, InFleet: "[fleet.remember]\nfor = \"1m\"\n" + more})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, d := range r.Doors {
		waitUntilOpen(t, d)
	}
	return r
}

// recoveryView returns a gateway's recovery progress.
func recoveryView(d *rig.Door) (v hosted.RecoveryView, err error) {
	res, err := d.Operators(http.MethodGet, "/fleet/recovery")
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(b, &v)
}

// waitUntilOpen waits until a gateway accepts clients.
func waitUntilOpen(t *testing.T, d *rig.Door) hosted.RecoveryView {
	t.Helper()
	var v hosted.RecoveryView
	if took, err := rig.Within(20*time.Second, func() (err error) {
		if v, err = recoveryView(d); err == nil && !v.Open {
			err = fmt.Errorf("%s is at %+v", d.Name, v.Steps)
		}
		return err
	}); err != nil {
		t.Fatalf("after %v: %v\n%s", took, err, d.Log())
	}
	return v
}

// startLoad floods a fleet with all kinds of requests until stop is called, which then checks the records: no change
// had two effects, no more was admitted than the ceiling's bucket allows, no cold server got more than its slow-start
// capacity, and each request to a running gateway got exactly one response.
//
// With a shared policy, no request is decided by an earlier version more than 250 ms after another one was decided by a
// later version, also across a power loss.
func startLoad(t *testing.T, r *rig.Rig, seed uint64) (stop func() *rig.ChangeBook) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var flood *rig.Book
	var changes *rig.ChangeBook
	var all []int
	for n := range r.Doors {
		all = append(all, n)
	}
	wg.Go(func() { flood = r.Flood(ctx, 20*time.Millisecond, all...) })
	wg.Go(func() { changes = r.Changes(ctx, 6, 60*time.Millisecond, seed) })
	wg.Go(func() { r.Calm(ctx, 250*time.Millisecond) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return sync.OnceValue(func() *rig.ChangeBook {
		cancel()
		wg.Wait()
		twice, effects := r.Twice()
		over, pushed := flood.Worst(10, 20), r.Pushed()
		t.Logf("seed %d: %d changes, %d served, %d had an effect, %d had it twice; %.1f over the ceiling's bucket; %.0f over the capacity of cold servers", seed, len(changes.Keys),
			changes.Served(), effects, len(twice), over, pushed)
		if len(twice) > 0 {
			t.Errorf("seed %d: changes with two effects: %v", seed, twice)
		}
		if over > 3.5 || pushed > 0 {
			t.Errorf("seed %d: %.1f over the ceiling's bucket, %.0f over the capacity of cold servers", seed, over, pushed)
		}
		if window := flood.Window(); window > 250*time.Millisecond {
			t.Errorf("seed %d: a request was decided by an earlier version %v after the first by a later one", seed, window)
		}
		for _, l := range flood.Lost {
			t.Errorf("seed %d: no response: %s", seed, l)
		}
		if changes.Served() < len(changes.Keys)/4 {
			t.Errorf("seed %d: %d of %d changes were served", seed, changes.Served(), len(changes.Keys))
		}
		return changes
	})
}

// startPolicyChanges changes the fleet's policy continuously until end is called. end returns the last version that was
// reported as committed. Because a later change may have been committed without a response, end makes one more change.
func startPolicyChanges(t *testing.T, r *rig.Rig) (end func() uint64) {
	doc := currentPolicy(t, r.Doors[0])
	ctx, cancel := context.WithCancel(context.Background())
	last := uint64(0)
	var wg sync.WaitGroup
	propose := func(n int, wait string) {
		res, err := propose(r.Doors[n%len(r.Doors)], url.Values{"id": {fmt.Sprint("p", n)}, "wait": {wait}}, doc+fmt.Sprintf("\n# %d\n", n))
		if err == nil && res.Taken {
			if res.Version < last {
				t.Errorf("version %d was committed after %d", res.Version, last)
			}
			last = res.Version
		}
	}
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			propose(n, "2s")
			time.Sleep(200 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); wg.Wait() })
	return func() uint64 {
		cancel()
		wg.Wait()
		before := last
		for n := range 5 {
			if propose(10_000+n, "20s"); last > before {
				return last
			}
		}
		t.Errorf("no change is committed any more; the last version was %d", before)
		return last
	}
}

// TestPowerCuts verifies the checks of startLoad across power losses of five gateways, the servers and the counter at
// random times, also during the recovery from the previous loss. Each disk then has all synced data and any part of the
// rest; the counter returns empty, with its values or with older ones. The gateways return at once or in waves.
func TestPowerCuts(t *testing.T) {
	t.Parallel()
	runs, cuts := 5, 11 // 55 losses in total
	if race.On {
		runs, cuts = 1, 5
	}
	slots := make(chan struct{}, 2) // more fleets at once would overload a small machine
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			rng := rand.New(rand.NewPCG(seed, 36))
			more := ""
			if seed >= 3 || race.On { // with concurrent policy changes
				more = "[fleet.policy]\ngive_up = \"3s\"\n"
			}
			r := startRecordedFleet(t, 5, seed, more)
			stop := startLoad(t, r, seed)
			taken := func() uint64 { return 0 }
			if more != "" {
				taken = startPolicyChanges(t, r)
			}
			for range cuts {
				older := r.Counter.Numbers()
				time.Sleep(time.Duration(rng.Int64N(int64(2200 * time.Millisecond))))
				last := r.Counter.Numbers()
				r.PowerCut()
				switch rng.IntN(3) { // otherwise it returns empty
				case 0:
					last()
				case 1:
					older()
				}
				for _, d := range r.Doors {
					if err := d.Leave(power.How(rng.IntN(power.Hows)), rng); err != nil {
						t.Fatal(err)
					}
				}
				first := rng.Perm(5)
				wave := 2 + rng.IntN(4)
				if err := r.PowerOn(first[:wave]...); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(rng.Int64N(int64(800 * time.Millisecond))))
				for _, n := range first[wave:] {
					if err := r.Doors[n].Begin(); err != nil {
						t.Fatal(err)
					}
				}
			}
			for _, d := range r.Doors {
				if err := d.Ready(); err != nil {
					t.Fatal(err)
				}
				waitUntilOpen(t, d)
			}
			time.Sleep(3 * time.Second)
			if last := taken(); more != "" {
				t.Logf("seed %d: version %d was committed", seed, last)
				for _, d := range r.Doors {
					waitForVersion(t, r, d, last)
				}
			}
			if stop(); t.Failed() {
				for _, d := range r.Doors {
					t.Log(d.Log())
				}
			}
		})
	}
}

// TestPowerBadDisks verifies the outcome of starting with a state directory that differs from what the gateway wrote
// last. Each case is reported in one line of the log or of the recovery that operators see, and no change has two
// effects.
func TestPowerBadDisks(t *testing.T) {
	t.Parallel()
	edit := func(file string, do func(b []byte) []byte) func(image, old, other map[string][]byte) map[string][]byte {
		return func(image, _, _ map[string][]byte) map[string][]byte {
			for path := range image {
				if strings.HasPrefix(path, file) {
					image[path] = do(image[path])
				}
			}
			return image
		}
	}
	for name, c := range map[string]struct {
		disk   func(image, old, other map[string][]byte) map[string][]byte
		starts bool
		says   string // in the log or in the recovery view
	}{
		"empty":       {func(_, _, _ map[string][]byte) map[string][]byte { return nil }, true, "its disk is empty: keys that it may have forgotten must be over first"},
		"yesterday's": {func(_, old, _ map[string][]byte) map[string][]byte { return old }, true, "its disk is older than one that it had"},
		"another door's": {func(_, _, other map[string][]byte) map[string][]byte { return other }, false,
			`is that of the door "n0", not of "n1"`},
		"a flipped bit in its keys":  {edit("keys/", func(b []byte) []byte { b[len(b)/3] ^= 1; return b }), false, "the log is damaged"},
		"a flipped bit in its name":  {edit("door.json", func(b []byte) []byte { b[len(b)-4] ^= 1; return b }), false, "the file is damaged"},
		"a newer version's keys":     {edit("keys/", func(b []byte) []byte { b[len("gapgap log\n")] = 9; return b }), false, "the log is damaged"},
		"a newer version's identity": {edit("door.json", func(b []byte) []byte { return []byte(strings.Replace(string(b), `"version":1`, `"version":2`, 1)) }), false, "newer version"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startRecordedFleet(t, 3, 7, "")
			old, err := r.Doors[1].Disk() // without any keys yet
			if err != nil {
				t.Fatal(err)
			}
			stop := startLoad(t, r, 7)
			time.Sleep(2500 * time.Millisecond) // meanwhile the others record how much its disk has
			r.PowerCut()
			image, err := r.Doors[1].Disk()
			other, err2 := r.Doors[0].Disk()
			if err := errors.Join(err, err2, r.Doors[1].SetDisk(c.disk(image, old, other)), r.PowerOn()); err != nil {
				t.Fatal(err)
			}
			d := r.Doors[1]
			if _, err := rig.Within(8*time.Second, func() error {
				v, _ := recoveryView(d)
				b, err := json.Marshal(v)
				if err == nil && !strings.Contains(string(b), c.says) && !strings.Contains(d.Log(), c.says) {
					err = fmt.Errorf("%q is not reported", c.says)
				}
				return err
			}); err != nil {
				t.Errorf("%v\n%s", err, d.Log())
			}
			if err := d.Ready(); (err == nil) != c.starts {
				t.Errorf("starts: %v", err)
			}
			waitUntilOpen(t, r.Doors[0])
			if c.starts {
				waitUntilOpen(t, d)
			}
			time.Sleep(1500 * time.Millisecond)
			stop()
		})
	}
}

// TestPowerDiskFaults verifies that with a full, read-only or slow disk at one gateway its voter does not answer for
// keys while the others keep serving, and that it takes part again once the disk is writable.
func TestPowerDiskFaults(t *testing.T) {
	t.Parallel()
	for _, what := range []string{"full", "readonly", "slow 2s"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			r := startRecordedFleet(t, 3, 9, "")
			stop := startLoad(t, r, 9)
			time.Sleep(time.Second)
			d := r.Doors[2]
			if err := d.Fault(what); err != nil {
				t.Fatal(err)
			}
			if what != "slow 2s" {
				if _, err := rig.Within(5*time.Second, func() error { return d.Says("keys can't be kept: this voter says nothing") }); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(2 * time.Second)
			if err := d.Fault(""); err != nil {
				t.Fatal(err)
			}
			if what != "slow 2s" {
				if _, err := rig.Within(8*time.Second, func() error { return d.Says("keys are kept again") }); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(time.Second)
			r.PowerCut() // after this only the keys stored during the fault count
			for _, d := range r.Doors {
				if err := d.Leave(power.Lost, rand.New(rand.NewPCG(1, 1))); err != nil {
					t.Fatal(err)
				}
			}
			if err := r.PowerOn(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			if b := stop(); b.Served()*10 < len(b.Keys)*9 {
				t.Errorf("%d of %d changes were served", b.Served(), len(b.Keys))
			}
		})
	}
}

// TestPowerReturnsInWaves verifies that after a power loss two of five gateways serve without the others: changes are
// rejected with a retry delay, all other requests are served. The gateways that return later join without disruption.
func TestPowerReturnsInWaves(t *testing.T) {
	t.Parallel()
	r := startRecordedFleet(t, 5, 11, "")
	stop := startLoad(t, r, 11)
	time.Sleep(time.Second)
	r.PowerCut()
	if err := r.PowerOn(3, 4); err != nil { // neither is a voter for keys
		t.Fatal(err)
	}
	for _, n := range []int{3, 4} {
		if err := r.Doors[n].Ready(); err != nil {
			t.Fatal(err)
		}
		v := waitUntilOpen(t, r.Doors[n])
		if s := v.Steps[2]; s.State != "passed" || !strings.Contains(s.Detail, "1 of 4 other doors are there") {
			t.Errorf("%s: %+v", r.Doors[n].Name, s)
		}
	}
	time.Sleep(4 * time.Second) // a cold server with unknown state gets its first request within 5 s
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	calm := r.Calm(ctx, 250*time.Millisecond)
	cancel()
	served, at := 0, 0
	for _, c := range calm {
		if c.Door >= 3 && c.Asked > time.Second {
			if at++; c.Served {
				served++
			}
		}
	}
	if served < at*8/10 || at == 0 {
		t.Errorf("two of five gateways serve %d of %d", served, at)
	}
	for _, n := range []int{0, 1, 2} {
		if err := r.Doors[n].Restart(); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range r.Doors[:3] {
		waitUntilOpen(t, d)
	}
	if took, err := rig.Within(10*time.Second, func() error { return r.Alike(0, 1, 2, 3, 4) }); err != nil {
		t.Errorf("after %v: %v", took, err)
	}
	time.Sleep(2 * time.Second)
	stop()
}

// TestPowerIsOffByDefault verifies that without [fleet] there is no recovery and nothing is stored on disk, and that a
// class with remember but without [fleet.remember] is rejected with its line.
func TestPowerIsOffByDefault(t *testing.T) {
	t.Parallel()
	path, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: 1, Plan: rig.Plan, Change: "#"})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := os.Stat(filepath.Join(r.Doors[0].Dir, "keys")); err == nil || strings.Contains(r.Doors[0].Log(), "recovery") {
		t.Errorf("keys on disk, or a recovery:\n%s", r.Doors[0].Log())
	}
	for _, c := range [][2]string{{"remember = \"disk\"", "wants [fleet.remember]"}, {"remember = \"tape\"", "is not disk"}} {
		if _, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: 1, Fleet: true, Plan: rig.Plan, Change: c[0]}); err == nil || !strings.Contains(err.Error(), "class[1].remember") || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

// TestPowerWrongClock verifies that a gateway whose clock is an hour behind or a day ahead after a power loss detects
// this from the others' clocks, logs it and takes no share of ceilings. Otherwise it would use counter windows that no
// other gateway uses, and admit the whole ceiling once more. After its clock is set and it is restarted it works as
// before.
func TestPowerWrongClock(t *testing.T) {
	t.Parallel()
	for _, ahead := range []time.Duration{-time.Hour, 24 * time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			t.Parallel()
			path, err := recordingBinary()
			if err != nil {
				t.Fatal(err)
			}
			r, err := rig.Start(rig.Config{Program: path, Dir: t.TempDir(), Doors: 3, Fleet: true, Plan: rig.Plan, Record: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			flood := func(lasts time.Duration) {
				t.Helper()
				time.Sleep(2500 * time.Millisecond) // a gateway starts with an empty share
				ctx, stop := context.WithTimeout(context.Background(), lasts)
				defer stop()
				b := r.Flood(ctx, 10*time.Millisecond, 0, 1, 2)
				over, from, to := b.WorstStretch(10, 20)
				t.Logf("%d admitted in %v, %.1f over the bucket from %v to %v; by gateway %d, %d, %d", len(b.Served), lasts, over, from, to, b.In(0, lasts, 0), b.In(0, lasts, 1), b.In(0, lasts, 2))
				if over > 3.5 || len(b.Lost) > 0 || b.In(0, lasts, 0)+b.In(0, lasts, 1) < 40 {
					t.Errorf("%.1f over the ceiling's bucket; lost %v", over, b.Lost)
				}
			}
			d := r.Doors[2]
			restart := func(by time.Duration) {
				t.Helper()
				d.Kill()
				if d.Ahead = by; d.Restart() != nil {
					t.Fatal(d.Log())
				}
			}
			restart(ahead)
			if took, err := rig.Within(5*time.Second, func() error {
				if s, err := d.Status(); err != nil || !s.WrongClock {
					return fmt.Errorf("it has not detected the wrong clock: %+v, %w", s, err)
				}
				return nil
			}); err != nil {
				t.Fatalf("after %v: %v\n%s", took, err, d.Log())
			}
			for _, o := range r.Doors[:2] {
				if s, err := o.Status(); err != nil || s.WrongClock {
					t.Errorf("%s considers its own clock wrong: %v", o.Name, err)
				}
			}
			flood(10 * time.Second)
			if !strings.Contains(d.Log(), "this door's clock is not the others'") {
				t.Error(d.Log())
			}
			restart(0)
			flood(5 * time.Second)
			if s, err := d.Status(); err != nil || s.WrongClock {
				t.Errorf("with the right clock: %+v, %v", s, err)
			}
		})
	}
}

package replica

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gapgap/internal/idempotency"
	"gapgap/internal/vfs"
)

// sides are some doors whose words to each other are lost, doubled and late.
type sides struct {
	t    *testing.T
	now  func() time.Duration
	dirs []string
	mu   sync.RWMutex
	all  []*Side
	incs []uint32
	loss float64
	keep time.Duration
	most int
	late sync.WaitGroup
}

func start(t *testing.T, doors int, loss float64, keep time.Duration, most int) *sides {
	begun := time.Now()
	return startBy(t, doors, loss, keep, most, func() time.Duration { return time.Since(begun) })
}

// startBy is start with a clock.
func startBy(t *testing.T, doors int, loss float64, keep time.Duration, most int, now func() time.Duration) *sides {
	f := &sides{t: t, now: now, all: make([]*Side, doors), incs: make([]uint32, doors), loss: loss, keep: keep, most: most}
	for range doors {
		f.dirs = append(f.dirs, t.TempDir())
	}
	for i := range doors {
		f.open(i)
	}
	t.Cleanup(func() {
		for i := range f.all {
			f.close(i)
		}
		f.late.Wait()
	})
	f.reach()
	return f
}

func (f *sides) open(i int) {
	f.incs[i]++
	s, err := New(Config{Rank: i, Doors: len(f.all), Voters: []int{0, 1, 2}, FS: vfs.OS{}, Dir: f.dirs[i], Inc: f.incs[i], Keep: f.keep, Most: f.most,
		Now: f.now, Log: slog.New(slog.DiscardHandler), Tell: func(to int, b []byte) { f.carry(i, to, b) }})
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.all[i] = s
	f.mu.Unlock()
	s.Start()
}

func (f *sides) close(i int) {
	f.mu.Lock()
	s := f.all[i]
	f.all[i] = nil
	f.mu.Unlock()
	if s != nil {
		s.Close()
	}
}

func (f *sides) carry(from, to int, b []byte) {
	times := 1
	if rand.Float64() < f.loss {
		times = rand.IntN(3) // none, one or two
	}
	for range times {
		f.late.Add(1)
		time.AfterFunc(time.Duration(rand.Int64N(int64(3*time.Millisecond))), func() {
			defer f.late.Done()
			f.mu.RLock()
			s := f.all[to]
			f.mu.RUnlock()
			if s != nil {
				s.Heard(from, b)
			}
		})
	}
}

// reach waits until all doors have enough voters.
func (f *sides) reach() {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		there := true
		for _, s := range f.all {
			there = there && (s == nil || s.Reach())
		}
		if there {
			return
		}
		if time.Now().After(end) {
			f.t.Fatal("too few voters answer")
		}
	}
}

// claim claims a key at a door and waits.
func (f *sides) claim(i int, key string) (n uint64, v idempotency.Outcome, ok bool) {
	got := make(chan idempotency.Outcome, 1)
	f.mu.RLock()
	s := f.all[i]
	f.mu.RUnlock()
	if s == nil {
		return 0, 0, false
	}
	if n = s.Claim(idempotency.KeyOf(key), func(v idempotency.Outcome) { got <- v }); n == 0 {
		return 0, 0, false
	}
	select {
	case v = <-got:
		return n, v, true
	case <-time.After(3 * time.Second):
		s.End(n, false)
		return 0, 0, false
	}
}

// Four doors claim the same keys at once, over lines that lose, double and reorder, while voters end and start anew with their disks: no key is won twice, one that was given
// back can be won again.
func TestPowerSidesOneWins(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // registered first, so it runs last
	f := start(t, 4, 0.2, time.Minute, 10_000)
	var mu sync.Mutex
	won := map[string]int{}
	answered := 0
	var wg sync.WaitGroup
	const keys = 150
	for i := range 4 {
		wg.Go(func() {
			for k := range keys {
				key := fmt.Sprint("key ", k)
				n, v, ok := f.claim(i, key)
				if !ok {
					continue
				}
				mu.Lock()
				if answered++; v == idempotency.Reserved {
					won[key]++
				}
				mu.Unlock()
				f.mu.RLock()
				if s := f.all[i]; s != nil {
					s.End(n, true)
				}
				f.mu.RUnlock()
			}
		})
	}
	wg.Go(func() {
		for n := range 4 {
			time.Sleep(60 * time.Millisecond)
			f.close(n % 3)
			f.open(n % 3)
		}
	})
	wg.Wait()
	for key, n := range won {
		if n > 1 {
			t.Errorf("%s was won %d times", key, n)
		}
	}
	if len(won) < keys/3 || answered < keys {
		t.Errorf("%d of %d keys were won by somebody, %d claims answered", len(won), keys, answered)
	}
	f.reach()
	for round := range 3 { // nothing had gone out: the key is as new
		n, v, ok := f.claim(3, "given back")
		if !ok || v != idempotency.Reserved {
			t.Fatalf("round %d: %v, %v", round, v, ok)
		}
		f.all[3].End(n, false)
		time.Sleep(100 * time.Millisecond)
	}
}

// What is remembered is bounded, in number and in time, and so is its log; without a majority claims are refused at once.
func TestPowerSidesAreBounded(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // registered first, so it runs last
	const most = 400
	// The clock goes by the claims, so that a machine which is full fills the places, too: 500 claims in the time for which a key is kept.
	var clock atomic.Int64
	f := startBy(t, 3, 0, 300*time.Millisecond, most, func() time.Duration { return time.Duration(clock.Load()) })
	var crowded, keys atomic.Int64
	var wg sync.WaitGroup
	for worker := range 12 {
		wg.Go(func() {
			for n := 0; clock.Add(int64(600*time.Microsecond)) < int64(4*time.Second); n++ {
				id, v, ok := f.claim(worker%3, fmt.Sprint("key ", worker, " ", n))
				if ok {
					if v == idempotency.NoCapacity {
						crowded.Add(1)
					}
					f.all[worker%3].End(id, true)
				}
				keys.Store(max(keys.Load(), int64(f.all[0].View().Keys)))
			}
		})
	}
	wg.Wait()
	if n := keys.Load(); n > most {
		t.Fatalf("%d keys are remembered", n)
	}
	if crowded.Load() == 0 {
		t.Error("never crowded")
	}
	if view := f.all[0].View(); view.Segments > 8 {
		t.Errorf("%d segments after 13 stretches", view.Segments)
	}
	f.close(1)
	f.close(2)
	stop := make(chan struct{})
	defer close(stop)
	go func() { // from here on the clock goes by itself
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				clock.Add(int64(time.Millisecond))
			}
		}
	}()
	for end := time.Now().Add(20 * time.Second); f.all[0].Reach(); time.Sleep(5 * time.Millisecond) {
		f.claim(0, "alone")
		if time.Now().After(end) {
			t.Fatal("a door without a majority goes on claiming")
		}
	}
	if n := f.all[0].Claim(idempotency.KeyOf("alone"), func(idempotency.Outcome) {}); n != 0 {
		t.Error("a claim without a majority is not refused at once")
	}
}

func FuzzPowerWords(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa2, 0x01, 0x05, 0x07, 0xf5})
	s, err := New(Config{Rank: 0, Doors: 3, Voters: []int{0, 1, 2}, FS: vfs.OS{}, Dir: f.TempDir(), Inc: 1, Keep: time.Minute, Most: 100,
		Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler), Tell: func(int, []byte) {}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s.Heard(1, b)
		out := map[int]map[uint64][]idempotency.Response{}
		var hellos []said
		for len(s.voterIn) > 0 {
			if err := s.asked(<-s.voterIn, out, &hellos); err != nil {
				t.Fatal(err)
			}
		}
		for len(s.doorIn) > 0 {
			s.answered(<-s.doorIn)
		}
	})
}

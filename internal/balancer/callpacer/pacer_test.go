package callpacer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var limits = Limits{
	InitialRate:      4,
	MinRate:          0.5,
	MaxRate:          1000,
	Burst:            4,
	TargetQueueTime:  20 * time.Millisecond,
	DecreaseInterval: 100 * time.Millisecond,
}

// service serves calls one after the other and rejects what would wait for too long.
type service struct {
	// freeAt is when the calls that it has are done.
	freeAt time.Duration
	// serviceTime is how long a call takes.
	serviceTime time.Duration
	// maxQueue is the longest time for which a call may wait.
	maxQueue time.Duration
}

// call returns the latency of a call; ok is false when it is rejected.
func (s *service) call(now time.Duration) (latency time.Duration, ok bool) {
	if s.freeAt-now > s.maxQueue {
		return 0, false
	}
	s.freeAt = max(s.freeAt, now) + s.serviceTime
	return s.freeAt - now, true
}

// callRates are the calls a second of a run.
type callRates struct{ made, failed, wanted float64 }

// runCallers has callers want so many calls a second each for 30 s, and returns what became of those of the last 20 s.
func runCallers(t *testing.T, callers int, wants float64, s *service) callRates {
	t.Helper()
	var made, failed, wanted float64
	r := rand.New(rand.NewPCG(3, 4))
	all := make([]*Pacer, callers)
	for i := range all {
		all[i] = New(limits, 0)
	}
	const step = time.Millisecond
	for now := step; now < 30*time.Second; now += step {
		for _, pacer := range all {
			if r.Float64() >= wants*step.Seconds() {
				continue
			}
			late := now > 10*time.Second
			if late {
				wanted++
			}
			if !pacer.CanCall(now, 0) {
				continue
			}
			pacer.RecordCall(now)
			latency, ok := s.call(now)
			if ok = ok && latency <= 50*time.Millisecond; ok {
				pacer.RecordAnswer(now, latency) // a little early: it only makes all callers quicker alike
			} else {
				pacer.RecordFailure(now, now)
			}
			if late {
				made++
				if !ok {
					failed++
				}
			}
		}
	}
	return callRates{made: made / 20, failed: failed / 20, wanted: wanted / 20}
}

func TestCallersShareAnOverloadedService(t *testing.T) {
	overloaded := &service{serviceTime: 3300 * time.Microsecond, maxQueue: 100 * time.Millisecond}
	rates := runCallers(t, 80, 12, overloaded)
	if rates.made < 200 || rates.failed > 0.15*rates.made {
		t.Errorf("%.0f calls a second, %.0f of them failed; 300 could be served, 960 were wanted",
			rates.made, rates.failed)
	}
}

func TestCallersOfAnIdleServiceAreNotHeldBack(t *testing.T) {
	for _, callers := range []int{1, 3, 80} {
		t.Run(fmt.Sprintf("%d callers", callers), func(t *testing.T) {
			idle := &service{serviceTime: 500 * time.Microsecond, maxQueue: 100 * time.Millisecond}
			rates := runCallers(t, callers, 3, idle)
			if rates.made < 0.95*rates.wanted || rates.failed > 0 {
				t.Errorf("%.1f of %.1f calls a second made, %.1f failed", rates.made, rates.wanted, rates.failed)
			}
		})
	}
}

func TestSilentServiceLeavesTheMinRateAndRecovers(t *testing.T) {
	pacer := New(limits, 0)
	now := time.Duration(0)
	for range 400 {
		now += 100 * time.Millisecond
		if pacer.CanCall(now, 0) {
			pacer.RecordCall(now)
		}
		pacer.RecordFailure(now, now)
	}
	if pacer.Rate() != limits.MinRate {
		t.Errorf("%.2f calls a second to a service that is gone, want %v", pacer.Rate(), limits.MinRate)
	}
	for n := 0; pacer.Rate() < 4; n++ {
		if n > 40 {
			t.Fatalf("still %.2f a second after %d answers", pacer.Rate(), n)
		}
		now += pacer.WaitTime(now, 0)
		pacer.CanCall(now, limits.Burst)
		pacer.RecordCall(now)
		pacer.RecordAnswer(now, 2*time.Millisecond)
	}
}

// A caller that leaves calls to others finds none sooner, and is told how long to wait.
func TestReserveIsLeftToOthers(t *testing.T) {
	pacer := New(limits, 0)
	for range 2 {
		pacer.RecordCall(0)
	}
	if !pacer.CanCall(0, 1) || pacer.CanCall(0, 2) || !pacer.CanCall(0, 0) {
		t.Error("with two calls left one may leave one and none two")
	}
	if w := pacer.WaitTime(0, 2); w != 250*time.Millisecond || !pacer.CanCall(w, 2) {
		t.Errorf("told to wait %v for the third", w)
	}
}

// Failures that come together decrease the rate once; those of calls from before a decrease tell nothing new.
func TestFailuresTogetherDecreaseOnce(t *testing.T) {
	pacer := New(limits, 0)
	for range 10 {
		pacer.RecordFailure(time.Second, time.Second-50*time.Millisecond)
	}
	if want := limits.InitialRate * decreaseFactor; pacer.Rate() != want {
		t.Errorf("%.3f a second, want %.3f", pacer.Rate(), want)
	}
}

// A service that is slow but has no queue holds nobody back.
func TestSlowServiceWithoutQueue(t *testing.T) {
	pacer := New(limits, 0)
	now := time.Duration(0)
	for range 40 {
		now += pacer.WaitTime(now, 0)
		pacer.RecordCall(now)
		pacer.RecordAnswer(now, 45*time.Millisecond)
	}
	if pacer.Rate() < 2*limits.InitialRate {
		t.Errorf("%.1f calls a second after 40 calls of 45 ms each, from %v", pacer.Rate(), limits.InitialRate)
	}
}

func FuzzPacer(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 200})
	f.Fuzz(func(t *testing.T, ops []byte) {
		pacer := New(limits, 0)
		now := time.Duration(0)
		for _, op := range ops {
			now += time.Duration(op>>3) * 7 * time.Millisecond
			switch op % 5 {
			case 0:
				pacer.RecordCall(now)
			case 1:
				pacer.RecordAnswer(now, time.Duration(op)*time.Millisecond)
			case 2:
				pacer.RecordFailure(now, now-time.Duration(op)*time.Millisecond)
			case 3:
				pacer.CanCall(now, float64(op)/50)
			case 4:
				if w := pacer.WaitTime(now, float64(op)/50); w < 0 || !pacer.CanCall(now+w, float64(op)/50) {
					t.Fatalf("after waiting %v as told there is no call", w)
				}
			}
			if pacer.Rate() < limits.MinRate || pacer.Rate() > limits.MaxRate {
				t.Fatalf("rate %v", pacer.Rate())
			}
		}
	})
}

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

// service is a fake service that handles calls one after the other and rejects calls that would wait too long.
type service struct {
	// freeAt is when the accepted calls are finished.
	freeAt time.Duration
	// serviceTime is how long a call takes.
	serviceTime time.Duration
	// maxQueue is the longest time that a call may wait.
	maxQueue time.Duration
}

// call returns the latency of a call; ok is false if the call is rejected.
func (s *service) call(now time.Duration) (latency time.Duration, ok bool) {
	if s.freeAt-now > s.maxQueue {
		return 0, false
	}
	s.freeAt = max(s.freeAt, now) + s.serviceTime
	return s.freeAt - now, true
}

// callRates holds rates of a run, in calls per second.
type callRates struct{ made, failed, wanted float64 }

// runCallers simulates callers with a demand of so many calls per second each for 30 s and returns the rates of the
// last 20 s.
func runCallers(t *testing.T, callers int, demand float64, s *service) callRates {
	t.Helper()
	var made, failed, wanted float64
	r := rand.New(rand.NewPCG(3, 4))
	pacers := make([]*Pacer, callers)
	for i := range pacers {
		pacers[i] = New(limits, 0)
	}
	const step = time.Millisecond
	for now := step; now < 30*time.Second; now += step {
		for _, pacer := range pacers {
			if r.Float64() >= demand*step.Seconds() {
				continue
			}
			measuring := now > 10*time.Second
			if measuring {
				wanted++
			}
			if !pacer.CanCall(now, 0) {
				continue
			}
			pacer.RecordCall(now)
			latency, ok := s.call(now)
			if ok = ok && latency <= 50*time.Millisecond; ok {
				pacer.RecordAnswer(now, latency) // the answer is recorded early, which speeds up all callers equally
			} else {
				pacer.RecordFailure(now, now)
			}
			if measuring {
				made++
				if !ok {
					failed++
				}
			}
		}
	}
	return callRates{made: made / 20, failed: failed / 20, wanted: wanted / 20}
}

// TestCallersShareAnOverloadedService verifies that many callers of an overloaded service use most of its capacity with
// few failed calls.
func TestCallersShareAnOverloadedService(t *testing.T) {
	overloaded := &service{serviceTime: 3300 * time.Microsecond, maxQueue: 100 * time.Millisecond}
	rates := runCallers(t, 80, 12, overloaded)
	if rates.made < 200 || rates.failed > 0.15*rates.made {
		t.Errorf("%.0f calls/s made, %.0f calls/s failed; capacity is 300 calls/s, demand is 960 calls/s",
			rates.made, rates.failed)
	}
}

// TestCallersOfAnIdleServiceAreNotHeldBack verifies that callers of an idle service make nearly all the calls they
// want.
func TestCallersOfAnIdleServiceAreNotHeldBack(t *testing.T) {
	for _, callers := range []int{1, 3, 80} {
		t.Run(fmt.Sprintf("%d callers", callers), func(t *testing.T) {
			idle := &service{serviceTime: 500 * time.Microsecond, maxQueue: 100 * time.Millisecond}
			rates := runCallers(t, callers, 3, idle)
			if rates.made < 0.95*rates.wanted || rates.failed > 0 {
				t.Errorf("made %.1f of %.1f calls/s, %.1f calls/s failed", rates.made, rates.wanted, rates.failed)
			}
		})
	}
}

// TestSilentServiceLeavesTheMinRateAndRecovers verifies that the rate falls to the minimum when the service does not
// answer, and recovers once it answers again.
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
		t.Errorf("rate to a silent service is %.2f calls/s, want %v", pacer.Rate(), limits.MinRate)
	}
	for n := 0; pacer.Rate() < 4; n++ {
		if n > 40 {
			t.Fatalf("rate is still %.2f calls/s after %d answers", pacer.Rate(), n)
		}
		now += pacer.WaitTime(now, 0)
		pacer.CanCall(now, limits.Burst)
		pacer.RecordCall(now)
		pacer.RecordAnswer(now, 2*time.Millisecond)
	}
}

// TestReserveIsLeftToOthers verifies that a caller that leaves tokens in reserve cannot call earlier, and that WaitTime
// tells it how long to wait.
func TestReserveIsLeftToOthers(t *testing.T) {
	pacer := New(limits, 0)
	for range 2 {
		pacer.RecordCall(0)
	}
	if !pacer.CanCall(0, 1) || pacer.CanCall(0, 2) || !pacer.CanCall(0, 0) {
		t.Error("with two tokens left, a call must be possible with reserves 0 and 1 but not with reserve 2")
	}
	if w := pacer.WaitTime(0, 2); w != 250*time.Millisecond || !pacer.CanCall(w, 2) {
		t.Errorf("wait time for a reserve of 2 is %v, want 250ms and then a possible call", w)
	}
}

// TestFailuresTogetherDecreaseOnce verifies that failures close together decrease the rate only once. Failures of calls
// made before a decrease carry no new information.
func TestFailuresTogetherDecreaseOnce(t *testing.T) {
	pacer := New(limits, 0)
	for range 10 {
		pacer.RecordFailure(time.Second, time.Second-50*time.Millisecond)
	}
	if want := limits.InitialRate * decreaseFactor; pacer.Rate() != want {
		t.Errorf("rate %.3f calls/s, want %.3f", pacer.Rate(), want)
	}
}

// TestSlowServiceWithoutQueue verifies that a service that is slow but has no queue does not limit the rate.
func TestSlowServiceWithoutQueue(t *testing.T) {
	pacer := New(limits, 0)
	now := time.Duration(0)
	for range 40 {
		now += pacer.WaitTime(now, 0)
		pacer.RecordCall(now)
		pacer.RecordAnswer(now, 45*time.Millisecond)
	}
	if pacer.Rate() < 2*limits.InitialRate {
		t.Errorf("rate %.1f calls/s after 40 calls of 45 ms each, initial rate %v", pacer.Rate(), limits.InitialRate)
	}
}

// FuzzPacer verifies that the rate stays within the limits and that a call is allowed after WaitTime.
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
					t.Fatalf("no call is possible after the wait time of %v", w)
				}
			}
			if pacer.Rate() < limits.MinRate || pacer.Rate() > limits.MaxRate {
				t.Fatalf("rate %v is outside the limits", pacer.Rate())
			}
		}
	})
}

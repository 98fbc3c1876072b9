package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var minPolicy = Policy{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond, Multiplier: 1.5}

// TestAllClientsAreAnsweredAfterMassRestart verifies that clients which are all rejected at the same instant, by a
// service that answers 20 requests per second and rejects those that would wait for more than 2 s, are all answered
// within a small multiple of the minimum time and are rejected at most twice each on average.
func TestAllClientsAreAnsweredAfterMassRestart(t *testing.T) {
	for _, clients := range []int{2, 20, 80, 200} {
		t.Run(fmt.Sprint(clients, " clients"), func(t *testing.T) {
			const perSecond = 20.0
			lastAnswer, rejections := answerAll(t, clients, perSecond)
			needed := time.Duration(float64(clients) / perSecond * float64(time.Second))
			if lastAnswer > 3*needed+time.Second {
				t.Errorf("the last client was answered after %v; the minimum is %v", lastAnswer, needed)
			}
			if rejections > 2*clients {
				t.Errorf("%d rejections, want at most two per client", rejections)
			}
		})
	}
}

// answerAll lets clients retry until all are answered. It returns the time of the last answer and the number of
// rejections.
func answerAll(t *testing.T, clients int, perSecond float64) (lastAnswer time.Duration, rejections int) {
	t.Helper()
	const answered = time.Duration(-1)
	policy := PolicyFor(clients, perSecond, minPolicy)
	tryAt := make([]time.Duration, clients)
	backoffs := make([]Backoff, clients)
	rngs := make([]*rand.Rand, clients)
	for i := range backoffs {
		backoffs[i].Policy = policy
		rngs[i] = rand.New(rand.NewPCG(uint64(i), 1))
	}
	busyUntil := time.Duration(0)
	waiting := clients
	for now := time.Duration(0); waiting > 0; now += 10 * time.Millisecond {
		if now > 10*time.Minute {
			t.Fatalf("%d of %d clients are still not answered after ten minutes", waiting, clients)
		}
		for i := range tryAt {
			if tryAt[i] == answered || tryAt[i] > now {
				continue
			}
			if busyUntil-now > 2*time.Second {
				rejections++
				tryAt[i] = now + backoffs[i].Next(rngs[i])
				continue
			}
			busyUntil = max(busyUntil, now) + time.Duration(float64(time.Second)/perSecond)
			tryAt[i] = answered
			waiting--
		}
	}
	return busyUntil, rejections
}

// TestPausesGrowToMaxAndReset verifies that delays grow up to the maximum and that Reset returns to the initial delay.
func TestPausesGrowToMaxAndReset(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Policy: minPolicy}
	first := b.Next(rng)
	if first < 50*time.Millisecond || first > 150*time.Millisecond {
		t.Errorf("first delay is %v, want 50 ms to 150 ms", first)
	}
	for range 100 {
		if delay := b.Next(rng); delay > 750*time.Millisecond {
			t.Fatalf("delay %v exceeds one and a half times the maximum mean", delay)
		}
	}
	if delay := b.Next(rng); delay < 250*time.Millisecond {
		t.Errorf("delay is %v after many failures, want at least 250 ms", delay)
	}
	b.Reset()
	if delay := b.Next(rng); delay > 150*time.Millisecond {
		t.Errorf("delay is %v after a success, want at most 150 ms", delay)
	}
}

// TestInvalidPolicies verifies that invalid client counts and zero rates or policies never yield a negative delay.
func TestInvalidPolicies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, clients := range []int{-3, 0, 1} {
		b := Backoff{Policy: PolicyFor(clients, 0, Policy{})}
		if delay := b.Next(rng); delay < 0 {
			t.Errorf("%d clients: negative delay %v", clients, delay)
		}
	}
	var b Backoff
	if delay := b.Next(rng); delay != 0 {
		t.Errorf("zero policy: delay is %v, want 0", delay)
	}
}

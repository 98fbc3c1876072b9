package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var minPolicy = Policy{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond, Multiplier: 1.5}

// Clients that are all rejected at the same instant, by a service that answers 20 a second and rejects who would wait
// for over 2 s, are all answered within a few times the time that this takes, and are seldom rejected.
func TestAllClientsAreAnsweredAfterMassRestart(t *testing.T) {
	for _, clients := range []int{2, 20, 80, 200} {
		t.Run(fmt.Sprint(clients, " clients"), func(t *testing.T) {
			const perSecond = 20.0
			lastAnswer, rejections := answerAll(t, clients, perSecond)
			needed := time.Duration(float64(clients) / perSecond * float64(time.Second))
			if lastAnswer > 3*needed+time.Second {
				t.Errorf("the last client was answered after %v; %v would do", lastAnswer, needed)
			}
			if rejections > 2*clients {
				t.Errorf("%d rejections", rejections)
			}
		})
	}
}

// answerAll lets clients try until all are answered. It returns when the last one was, and how often they were
// rejected.
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
			t.Fatalf("%d of %d clients are not answered after ten minutes", waiting, clients)
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

func TestPausesGrowToMaxAndReset(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Policy: minPolicy}
	first := b.Next(rng)
	if first < 50*time.Millisecond || first > 150*time.Millisecond {
		t.Errorf("first pause %v", first)
	}
	for range 100 {
		if pause := b.Next(rng); pause > 750*time.Millisecond {
			t.Fatalf("pause %v", pause)
		}
	}
	if pause := b.Next(rng); pause < 250*time.Millisecond {
		t.Errorf("pause %v after many failures", pause)
	}
	b.Reset()
	if pause := b.Next(rng); pause > 150*time.Millisecond {
		t.Errorf("pause %v after a success", pause)
	}
}

func TestInvalidPolicies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, clients := range []int{-3, 0, 1} {
		b := Backoff{Policy: PolicyFor(clients, 0, Policy{})}
		if pause := b.Next(rng); pause < 0 {
			t.Errorf("%d clients: pause %v", clients, pause)
		}
	}
	var b Backoff
	if pause := b.Next(rng); pause != 0 {
		t.Errorf("no policy: pause %v", pause)
	}
}

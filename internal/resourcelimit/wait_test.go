package resourcelimit

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// reserveTimeout is how long the tests wait for a reservation that must be made.
const reserveTimeout = 20 * time.Second

// waitForWaiting waits until a number of calls of Reserve wait.
func waitForWaiting(t *testing.T, b *Bytes, n int) {
	t.Helper()
	for limit := time.Now().Add(reserveTimeout); b.Waiting() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d calls wait, want %d", b.Waiting(), n)
		}
	}
}

// TestReserveServesInOrder verifies that waiting calls are served in their order, each when enough bytes are released,
// and that a call that gives up lets the next one pass.
func TestReserveServesInOrder(t *testing.T) {
	b := NewBytes(100)
	if err := b.Reserve(context.Background(), 100); err != nil {
		t.Fatal(err)
	}
	// Each call has a channel of its own: one that gives up may return after the next one that it lets pass.
	reserve := func(ctx context.Context, n int64) <-chan error {
		result := make(chan error, 1)
		go func() { result <- b.Reserve(ctx, n) }()
		return result
	}
	ctx, giveUp := context.WithCancel(context.Background())
	first := reserve(ctx, 100)
	waitForWaiting(t, b, 1)
	second := reserve(context.Background(), 60)
	waitForWaiting(t, b, 2)
	third := reserve(context.Background(), 40)
	waitForWaiting(t, b, 3)
	b.Release(60)
	if b.Waiting() != 3 || b.Held() != 40 {
		t.Fatalf("%d calls wait and %d bytes are held after a release that is too small", b.Waiting(), b.Held())
	}
	giveUp()
	if err := <-first; !errors.Is(err, context.Canceled) {
		t.Fatalf("the call that gave up returned %v", err)
	}
	if err := <-second; err != nil || b.Waiting() != 1 || b.Held() != 100 {
		t.Fatalf("%v, %d calls wait and %d bytes are held", err, b.Waiting(), b.Held())
	}
	b.Release(100)
	if err := <-third; err != nil || b.Waiting() != 0 || b.Held() != 40 {
		t.Fatalf("%v, %d calls wait and %d bytes are held", err, b.Waiting(), b.Held())
	}
}

// TestReserveMoreThanTheLimit verifies that a call for more than the limit does not wait for good.
func TestReserveMoreThanTheLimit(t *testing.T) {
	b := NewBytes(10)
	b.Adjust(1)
	reserved := make(chan error)
	go func() { reserved <- b.Reserve(context.Background(), 11) }()
	waitForWaiting(t, b, 1)
	b.Release(1)
	if err := <-reserved; err != nil || b.Held() != 11 {
		t.Fatalf("%v and %d bytes held", err, b.Held())
	}
}

// TestReserveUnderContention verifies that no release is missed: each call is served or gives up, never more than the
// limit is held, and nothing is held in the end.
func TestReserveUnderContention(t *testing.T) {
	const limit, callers, calls = 100, 16, 2000
	b := NewBytes(limit)
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for range calls {
				reserveOnce(t, ctx, b, random, limit)
			}
		})
	}
	wait.Wait()
	if b.Held() != 0 || b.Waiting() != 0 {
		t.Errorf("%d bytes are held and %d calls wait in the end", b.Held(), b.Waiting())
	}
}

// reserveOnce reserves and releases some bytes, waiting for them or not, or gives up after a moment.
func reserveOnce(t *testing.T, ctx context.Context, b *Bytes, random *rand.Rand, limit int64) {
	n := 1 + random.Int64N(limit)
	switch random.IntN(4) {
	case 0:
		if !b.TryReserve(n) {
			return
		}
	case 1:
		short, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(50))*time.Microsecond)
		defer cancel()
		if b.Reserve(short, n) != nil {
			return
		}
	default:
		if err := b.Reserve(ctx, n); err != nil {
			t.Error(err)
			return
		}
	}
	if held := b.Held(); held > limit {
		t.Errorf("%d bytes are held", held)
	}
	b.Release(n)
}

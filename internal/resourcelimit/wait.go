package resourcelimit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
)

// waitQueue holds the reservations that wait for bytes to be released, the oldest first. The zero value is empty.
type waitQueue struct {
	mu      sync.Mutex
	waiting []*waiter
	// length is the number of waiters. It is written under mu, after which the limit is looked at again, so that a
	// release that sees no waiter has been seen by the waiter.
	length atomic.Int32
}

// waiter is a reservation that waits.
type waiter struct {
	bytes int64
	// granted is closed when the bytes are reserved.
	granted chan struct{}
}

// Reserve reserves n bytes. If the limit does not allow it, Reserve blocks until others have released enough bytes or
// ctx is done; in the latter case it reserves nothing and returns the context's error. Waiting calls are served in
// their order. More bytes than the limit are reserved once no others are held. Of a shared limit, only bytes that the
// same allotment releases end the wait.
func (b *Bytes) Reserve(ctx context.Context, n int64) error {
	w := &waiter{bytes: n, granted: make(chan struct{})}
	q := &b.queue
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	q.length.Add(1)
	b.grantLocked()
	q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.length.Add(-1)
	} else { // granted meanwhile
		b.adjust(-n)
	}
	b.grantLocked()
	return ctx.Err()
}

// grant reserves the bytes of waiters after a release.
func (b *Bytes) grant() {
	if b.queue.length.Load() == 0 {
		return
	}
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	b.grantLocked()
}

// grantLocked reserves the bytes of as many waiters as the limit allows, the oldest first. The caller holds mu of the
// queue.
func (b *Bytes) grantLocked() {
	q := &b.queue
	for len(q.waiting) > 0 && b.reserveFor(q.waiting[0].bytes) {
		close(q.waiting[0].granted)
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
		q.length.Add(-1)
	}
}

// reserveFor reserves the bytes of the oldest waiter, if the limit allows it or no bytes are held.
func (b *Bytes) reserveFor(n int64) bool {
	return b.TryReserve(n) || b.allotment == nil && b.held.CompareAndSwap(0, n)
}

// Waiting returns the number of calls of Reserve that wait.
func (b *Bytes) Waiting() int { return int(b.queue.length.Load()) }

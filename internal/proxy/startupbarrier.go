package proxy

import (
	"sync/atomic"
	"time"
)

// StartupBarrier makes proxies reject all requests immediately until Open is called. Several proxies may share one. It
// is safe for concurrent use. A nil StartupBarrier is open.
type StartupBarrier struct {
	retryDelay atomic.Pointer[func() time.Duration]
}

// NewStartupBarrier returns a closed barrier. retryDelay returns the retry delay for rejected clients and must be safe
// for concurrent use.
func NewStartupBarrier(retryDelay func() time.Duration) *StartupBarrier {
	barrier := &StartupBarrier{}
	barrier.retryDelay.Store(&retryDelay)
	return barrier
}

// Open admits requests from now on. The barrier cannot be closed again.
func (b *StartupBarrier) Open() { b.retryDelay.Store(nil) }

// retryAfter returns the retry delay for a client and whether the barrier is closed.
func (b *StartupBarrier) retryAfter() (time.Duration, bool) {
	if b == nil {
		return 0, false
	}
	retryDelay := b.retryDelay.Load()
	if retryDelay == nil {
		return 0, false
	}
	return (*retryDelay)(), true
}

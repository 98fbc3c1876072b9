package proxy

import (
	"sync/atomic"
	"time"
)

// StartupBarrier makes proxies reject all requests at once until Open is called. Several proxies may share one. Any
// goroutine may use it. A nil StartupBarrier is open.
type StartupBarrier struct {
	retryDelay atomic.Pointer[func() time.Duration]
}

// NewStartupBarrier returns a closed barrier. Clients are told to come back after what pause returns; any goroutine may
// call that.
func NewStartupBarrier(retryDelay func() time.Duration) *StartupBarrier {
	barrier := &StartupBarrier{}
	barrier.retryDelay.Store(&retryDelay)
	return barrier
}

// Open lets requests in for good.
func (b *StartupBarrier) Open() { b.retryDelay.Store(nil) }

// retryAfter returns what a client is to be told, and whether the barrier is closed.
func (b *StartupBarrier) retryAfter() (time.Duration, bool) {
	if b == nil {
		return 0, false
	}
	pause := b.retryDelay.Load()
	if pause == nil {
		return 0, false
	}
	return (*pause)(), true
}

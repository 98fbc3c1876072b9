package hosted

import (
	"math"
	"sync/atomic"

	"gapgap/internal/balancer"
	"gapgap/internal/cluster"
	"gapgap/internal/proxy"
)

// poolLease hands the share lease of this gateway to one pool. Which lease that is decides package cluster: see
// [cluster.Node.ShareLease].
type poolLease struct {
	proxy *proxy.Proxy
	// poolName is the pool's name at all gateways.
	poolName string
	// newest is the lease to apply next.
	newest atomic.Pointer[cluster.ShareLease]
	// isPosted tells that a task that applies the newest lease is on its way to the event loop.
	isPosted atomic.Bool
	// appliedEpoch is the epoch of the last lease that holds for the pool and all that it has lent.
	appliedEpoch atomic.Uint64
}

// addPool has a pool use the share lease. A nil member does nothing.
func (m *clusterMember) addPool(p *proxy.Proxy, poolName string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	pool := &poolLease{proxy: p, poolName: poolName}
	m.pools[p] = pool
	pool.postLease(m.lease)
}

// removePool forgets a pool whose event loop has ended, or never began. A nil member does nothing.
func (m *clusterMember) removePool(p *proxy.Proxy) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pools, p)
}

// applyLease hands a changed lease to all pools. It implements [peer.Config].ApplyLease.
func (m *clusterMember) applyLease(lease cluster.ShareLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = lease
	for _, pool := range m.pools {
		pool.postLease(lease)
	}
}

// appliedEpoch returns the latest epoch that all pools have applied; without pools the largest number there is. It
// implements [peer.Config].AppliedEpoch.
func (m *clusterMember) appliedEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	least := uint64(math.MaxUint64)
	for _, pool := range m.pools {
		least = min(least, pool.appliedEpoch.Load())
	}
	return least
}

// postLease has the pool apply a lease soon.
func (l *poolLease) postLease(lease cluster.ShareLease) {
	l.newest.Store(&lease)
	if l.isPosted.CompareAndSwap(false, true) {
		go l.proxy.Post(l.apply) // posting may wait, and the caller must not
	}
}

// apply applies the newest lease. Its epoch is confirmed once all that the pool had lent of its former share has ended.
// Only the pool's event loop may call it.
func (l *poolLease) apply() {
	l.isPosted.Store(false)
	lease := l.newest.Load()
	loansEndAt := l.proxy.UpdateShare(balancer.ShareUpdate{
		Fraction:     lease.Fraction,
		Until:        lease.Until,
		Excluded:     lease.Excluded,
		DeadGateways: lease.DeadGateways,
	})
	if lease.Epoch == l.appliedEpoch.Load() {
		return
	}
	if l.proxy.Now() < loansEndAt {
		l.proxy.At(loansEndAt, func() { l.confirm(lease.Epoch) })
		return
	}
	l.confirm(lease.Epoch)
}

// confirm raises the applied epoch. Only the pool's event loop may call it.
func (l *poolLease) confirm(epoch uint64) {
	l.appliedEpoch.Store(max(l.appliedEpoch.Load(), epoch))
}

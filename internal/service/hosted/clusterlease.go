package hosted

import (
	"math"
	"sync/atomic"

	"gapgap/internal/balancer"
	"gapgap/internal/cluster"
	"gapgap/internal/proxy"
)

// poolLease applies the share lease of this gateway to one pool. Package cluster determines the lease: see
// [cluster.Node.ShareLease].
type poolLease struct {
	proxy *proxy.Proxy
	// poolName is the name of the pool at all gateways.
	poolName string
	// newest is the lease that is applied next.
	newest atomic.Pointer[cluster.ShareLease]
	// isPosted is set while a task that applies the newest lease is queued for the event loop.
	isPosted atomic.Bool
	// appliedEpoch is the epoch of the last lease that is in effect for the pool and for all its loans to others.
	appliedEpoch atomic.Uint64
}

// addPool makes a pool use the share lease. It does nothing on a nil member.
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

// removePool removes a pool whose event loop has ended or was never started. It does nothing on a nil member.
func (m *clusterMember) removePool(p *proxy.Proxy) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pools, p)
}

// applyLease passes a changed lease to all pools. It implements [peer.Config].ApplyLease.
func (m *clusterMember) applyLease(lease cluster.ShareLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = lease
	for _, pool := range m.pools {
		pool.postLease(lease)
	}
}

// appliedEpoch returns the latest epoch that all pools have applied, or the largest uint64 if there are no pools. It
// implements [peer.Config].AppliedEpoch.
func (m *clusterMember) appliedEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest := uint64(math.MaxUint64)
	for _, pool := range m.pools {
		lowest = min(lowest, pool.appliedEpoch.Load())
	}
	return lowest
}

// postLease schedules a lease to be applied by the pool's event loop.
func (l *poolLease) postLease(lease cluster.ShareLease) {
	l.newest.Store(&lease)
	if l.isPosted.CompareAndSwap(false, true) {
		go l.proxy.Post(l.apply) // Post may block, and the caller must not
	}
}

// apply applies the newest lease. Its epoch is confirmed once all loans from the pool's previous share have ended. Only
// the pool's event loop may call it.
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

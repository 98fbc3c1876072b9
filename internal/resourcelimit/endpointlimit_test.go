package resourcelimit

import "testing"

// TestEndpointLimitIsSharedByPools verifies that the lowest maximum bounds an endpoint's connections across all pools,
// that no pool can lock out another, and that unused addresses are removed.
func TestEndpointLimitIsSharedByPools(t *testing.T) {
	limits := NewEndpointLimits()
	reclaims := 0
	a := limits.Join("x", "a", 8, func(int64) { reclaims++ })
	if !a.TryReserve(8) || a.TryReserve(1) {
		t.Fatal("a pool alone can't use exactly the whole limit")
	}
	b := limits.Join("x", "b", 6, nil)
	if b.TryReserve(1) || reclaims == 0 {
		t.Error("the limit is exceeded, or nothing is reclaimed")
	}
	a.Release(4)
	if !b.TryReserve(1) || !a.TryReserve(1) || b.TryReserve(1) || a.TryReserve(1) { // of six, each is guaranteed one
		t.Error("released connections are not shared")
	}
	b.Leave()
	a.Release(5)
	a.Leave()
	b.Release(1)
	for i := range 2 * minCleanupSize {
		limits.Join(string(rune('a'+i)), "a", 1, nil).Leave()
	}
	if limits.Len() > minCleanupSize {
		t.Errorf("%d unused addresses are kept", limits.Len())
	}
}

package resourcelimit

import "testing"

// TestSpareReservationsLeaveHalfFree verifies, at the bound and on both sides of it, that what can wait takes half of a
// limit at most and leaves the rest to others.
func TestSpareReservationsLeaveHalfFree(t *testing.T) {
	for name, newLimit := range map[string]func() *Bytes{
		"own limit":                 func() *Bytes { return NewBytes(100) },
		"shared, no guarantee":      func() *Bytes { return NewSharedBytes(NewSharedLimit(100).Join("p", 0, nil)) },
		"shared, all is guaranteed": func() *Bytes { return NewSharedBytes(NewSharedLimit(100).Join("p", 100, nil)) },
	} {
		t.Run(name, func(t *testing.T) {
			limit := newLimit()
			if limit.TryReserveSpare(51) {
				t.Fatal("more than half is reserved")
			}
			if !limit.TryReserveSpare(49) || !limit.TryReserveSpare(1) {
				t.Fatal("less than half is not reserved")
			}
			if limit.TryReserveSpare(1) || limit.Held() != 50 {
				t.Fatalf("%d held", limit.Held())
			}
			if !limit.TryReserve(50) {
				t.Fatal("the other half is not free")
			}
			limit.Release(51)
			if !limit.TryReserveSpare(1) || limit.TryReserveSpare(1) {
				t.Error("what is released is not available, or more than that is")
			}
		})
	}
}

// TestSpareReservationsOfPools verifies that a pool's reservations for what can wait neither use the other pools'
// guarantees nor more than leaves half of its own free.
func TestSpareReservationsOfPools(t *testing.T) {
	shared := NewSharedLimit(100)
	a := NewSharedBytes(shared.Join("a", 40, nil))
	b := NewSharedBytes(shared.Join("b", 40, nil))
	for a.TryReserveSpare(1) {
		continue
	}
	if a.Held() != 40 { // 20 borrowed, and half of the guarantee left free
		t.Errorf("%d held by a", a.Held())
	}
	if !b.TryReserve(40) {
		t.Error("the guarantee of b is used by a")
	}
}

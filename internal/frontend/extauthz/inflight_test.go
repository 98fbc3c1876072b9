package extauthz

import (
	"testing"
	"time"

	"gapgap/internal/proxy"
)

// TestForwardAuthHolds verifies that the number of tracked requests is limited, and that they can be removed once and
// not after they have expired.
func TestForwardAuthHolds(t *testing.T) {
	table := newInFlightTable(3)
	for i, id := range []uint64{1, 2, 3, 4} {
		if ok := table.add(id, &proxy.Request{}, time.Duration(10+i), 0); ok != (i < 3) {
			t.Errorf("add of request %d: %v", id, ok)
		}
	}
	if table.remove(2, 1) == nil || table.remove(2, 1) != nil ||
		table.remove(1, 10) != nil || table.remove(3, 11) == nil {
		t.Error("a request can be removed twice or after it has expired, or not at all")
	}
	if len(table.byID) != 0 || table.byExpiry.Len() != 0 {
		t.Errorf("%d requests are still tracked", len(table.byID))
	}
}

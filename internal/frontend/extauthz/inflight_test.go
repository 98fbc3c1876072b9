package extauthz

import (
	"testing"
	"time"

	"gapgap/internal/proxy"
)

// Requests whose end calls are awaited are bounded, end once, and are forgotten when they expire.
func TestForwardAuthHolds(t *testing.T) {
	table := newInFlightTable(3)
	for i, id := range []uint64{1, 2, 3, 4} {
		if ok := table.add(id, &proxy.Request{}, time.Duration(10+i), 0); ok != (i < 3) {
			t.Errorf("%d: %v", id, ok)
		}
	}
	if table.remove(2, 1) == nil || table.remove(2, 1) != nil ||
		table.remove(1, 10) != nil || table.remove(3, 11) == nil {
		t.Error("a request ends twice, or after it has expired")
	}
	if len(table.byID) != 0 || table.byExpiry.Len() != 0 {
		t.Errorf("%d are kept", len(table.byID))
	}
}

package idempotency

import (
	"testing"
	"time"
)

// TestKeyInTwoPeriodsCountsOnce verifies that a key stored again in a later period has a single entry with the later
// owner, so that it counts only once towards the limit of retained keys.
func TestKeyInTwoPeriodsCountsOnce(t *testing.T) {
	table := newKeyTable(0)
	key := Key{1}
	table.put(key, entry{owner: Owner{Sequence: 1}})
	table.rotate(time.Minute)
	table.put(key, entry{owner: Owner{Sequence: 2}, released: true})
	e, ok := table.get(key)
	if size, records := table.size(), table.records(); size != 1 || len(records) != 1 || !ok || e.owner.Sequence != 2 {
		t.Errorf("got size %d, records %+v, entry %+v, want one entry with sequence 2", size, records, e)
	}
}

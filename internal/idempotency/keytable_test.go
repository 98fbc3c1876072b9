package idempotency

import (
	"testing"
	"time"
)

// A key that is put again in a later period is one entry, by the later owner: it must not take two of the voter's
// places.
func TestKeyInTwoPeriodsCountsOnce(t *testing.T) {
	table := newKeyTable(0)
	key := Key{1}
	table.put(key, entry{owner: Owner{Sequence: 1}})
	table.rotate(time.Minute)
	table.put(key, entry{owner: Owner{Sequence: 2}, released: true})
	e, ok := table.get(key)
	if size, records := table.size(), table.records(); size != 1 || len(records) != 1 || !ok || e.owner.Sequence != 2 {
		t.Errorf("size %d, records %+v, entry %+v", size, records, e)
	}
}

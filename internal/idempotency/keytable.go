package idempotency

import "time"

// entry is what a voter retains of a key.
type entry struct {
	owner Owner
	// released tells whether the owner has released the key, so that another reservation may take it.
	released bool
}

// keyTable has the keys of the current retention period and of the one before. Dropping the older period as a whole
// retains each key for one period at least and two at most.
type keyTable struct {
	current, previous map[Key]entry
	rotatedAt         time.Duration
}

func newKeyTable(now time.Duration) keyTable {
	return keyTable{current: map[Key]entry{}, previous: map[Key]entry{}, rotatedAt: now}
}

// get returns the entry of a key.
func (t *keyTable) get(key Key) (e entry, ok bool) {
	if e, ok = t.current[key]; ok {
		return e, true
	}
	e, ok = t.previous[key]
	return e, ok
}

// put sets the entry of a key in the current period, in place of one of the period before.
func (t *keyTable) put(key Key, e entry) {
	delete(t.previous, key)
	t.current[key] = e
}

// size returns how many entries are retained.
func (t *keyTable) size() int { return len(t.current) + len(t.previous) }

// rotate drops the previous period and begins a new one.
func (t *keyTable) rotate(now time.Duration) {
	t.previous, t.current = t.current, map[Key]entry{}
	t.rotatedAt = now
}

// records returns all entries, older ones first, so that reading them in order restores the table.
func (t *keyTable) records() (records []Record) {
	for _, period := range []map[Key]entry{t.previous, t.current} {
		for key, e := range period {
			kind := RecordReserved
			if e.released {
				kind = RecordReleased
			}
			records = append(records, Record{Kind: kind, Key: key, Owner: e.owner})
		}
	}
	return records
}

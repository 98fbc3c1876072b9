package idempotency

import "time"

// entry is the state of a key that a voter retains.
type entry struct {
	// owner is the reservation that holds the key or held it last.
	owner Owner
	// released reports whether the owner has released the key, so that it can be granted to another reservation.
	released bool
}

// keyTable holds the keys of the current and the previous retention period. Dropping the previous period as a whole
// retains each key for at least one and at most two periods.
type keyTable struct {
	current, previous map[Key]entry
	// rotatedAt is when the current period began.
	rotatedAt time.Duration
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

// put stores the entry of a key in the current period and removes an entry of the previous period.
func (t *keyTable) put(key Key, e entry) {
	delete(t.previous, key)
	t.current[key] = e
}

// size returns the number of retained entries.
func (t *keyTable) size() int { return len(t.current) + len(t.previous) }

// rotate drops the previous period and begins a new current one.
func (t *keyTable) rotate(now time.Duration) {
	t.previous, t.current = t.current, map[Key]entry{}
	t.rotatedAt = now
}

// records returns a record for each entry, those of the previous period first. Applying them in order restores all
// entries.
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

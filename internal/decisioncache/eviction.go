package decisioncache

import "time"

// makeRoom evicts a decision if that is needed to track another check of an account, and reports whether there is room.
// The account is nil if it has no checks yet.
//
// An account at its own limit loses its oldest decision. At the limit for all accounts the account with the most checks
// loses its oldest decision; if the account of the new check is among the largest, it is that one. If the selected
// account has only pending checks, nothing is evicted.
func (c *Cache[V, W]) makeRoom(a *account) bool {
	if a != nil && a.size >= c.config.MaxPerAccount {
		return c.evictOldest(a)
	}
	if c.Len() < c.config.MaxEntries {
		return true
	}
	largest := c.accounts.bySize.First().Value
	if a != nil && a.size >= largest.size {
		largest = a
	}
	return c.evictOldest(largest)
}

// evictOldest removes an account's oldest decision. It returns false if there is none.
func (c *Cache[V, W]) evictOldest(a *account) bool {
	if a.decided.first == noEntry {
		return false
	}
	c.Stats.Evicted++
	c.removeDecided(a.decided.first)
	return true
}

// expire removes decisions whose TTL has passed, in the order in which they were made, up to the first that has not
// expired. An expired decision with a short TTL may therefore stay behind an older one with a longer TTL; find does not
// return it.
func (c *Cache[V, W]) expire(now time.Duration) {
	for c.decided.first != noEntry && c.slots.at(c.decided.first).expiresAt <= now {
		c.removeDecided(c.decided.first)
	}
}

// removeDecided removes a decided check.
func (c *Cache[V, W]) removeDecided(entry Entry) {
	id := c.slots.at(entry).id
	a := c.accounts.byNumber[id.account]
	c.slots.remove(&a.decided, entry)
	c.slots.remove(&c.decided, entry)
	delete(c.entries, id)
	c.slots.release(entry)
	c.accounts.resize(a, -1)
}

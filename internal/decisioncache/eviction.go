package decisioncache

import "time"

// makeRoom evicts a decision if that is needed to track one more check of an account, and returns whether there is
// room. The account is nil if it has no checks yet.
func (c *Cache[V, W]) makeRoom(a *account) bool {
	if a != nil && a.size >= c.config.PerAccount {
		return c.evictOldest(a)
	}
	if c.Len() < c.config.Most {
		return true
	}
	largest := c.accounts.bySize.First().Value
	if a != nil && a.size >= largest.size {
		largest = a
	}
	return c.evictOldest(largest)
}

// evictOldest forgets an account's oldest decision and returns false if it has none.
func (c *Cache[V, W]) evictOldest(a *account) bool {
	if a.decided.first == noEntry {
		return false
	}
	c.Stats.Evicted++
	c.forget(a.decided.first)
	return true
}

// expire forgets decisions whose time is over. One that was kept for less than Config.Keep may stay in memory behind an
// older one that was kept for longer; find does not return it any more.
func (c *Cache[V, W]) expire(now time.Duration) {
	for c.decided.first != noEntry && c.slots.at(c.decided.first).expiresAt <= now {
		c.forget(c.decided.first)
	}
}

// forget forgets a decided check.
func (c *Cache[V, W]) forget(entry Entry) {
	id := c.slots.at(entry).id
	a := c.accounts.byNumber[id.account]
	c.slots.remove(&a.decided, entry)
	c.slots.remove(&c.decided, entry)
	delete(c.entries, id)
	c.slots.release(entry)
	c.accounts.resize(a, -1)
}

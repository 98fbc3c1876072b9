package decisioncache

import "time"

// makeRoom evicts a decision if that is needed to track one more check of an account, and returns whether there is
// room. The account is nil if it has no checks yet.
//
// An account at its own limit loses its own oldest decision. At the limit for all accounts the account with the most
// checks loses its oldest one; among several, the account that asks. If the account selected has only pending checks,
// nothing is evicted.
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

// evictOldest forgets an account's oldest decision and returns false if it has none.
func (c *Cache[V, W]) evictOldest(a *account) bool {
	if a.decided.first == noEntry {
		return false
	}
	c.Stats.Evicted++
	c.forget(a.decided.first)
	return true
}

// expire forgets decisions whose TTL is over, in the order in which they were made. One whose TTL is below
// Config.MaxTTL may so stay in memory behind an older one with a longer TTL; find does not return it any more.
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

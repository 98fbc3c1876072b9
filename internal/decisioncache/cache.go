package decisioncache

import "time"

// Key identifies a check of an account. It is a digest of everything that must be equal for one check to be a repeat of
// another.
type Key [16]byte

// State is the state of a check in a [Cache].
type State int

const (
	// Miss means that the check was unknown and is tracked from now on. The caller must decide it and call Complete.
	Miss State = iota
	// Pending means that the check is not decided yet. Complete will return the waiter.
	Pending
	// Hit means that the check is decided: see [Cache.Decision].
	Hit
	// Untracked means that the check was unknown and there is no room to track it. The caller must decide it.
	Untracked
	// Exhausted means that the check was repeated more often than Config.MaxRepeats allows. The caller must reject it.
	Exhausted
)

// Stats are the statistics of a [Cache].
type Stats struct {
	// Joined is the number of checks that joined a pending one.
	Joined uint64
	// Hits is the number of checks that got a cached decision.
	Hits uint64
	// Evicted is the number of decisions evicted to make room.
	Evicted uint64
	// Untracked is the number of checks for which there was no room.
	Untracked uint64
	// Exhausted is the number of checks that were repeated too often.
	Exhausted uint64
}

// Cache holds pending checks, and decided checks with their decisions. V is the type of a decision and W that of a
// waiter for one. V should have no pointers: see slot. A Cache must be made by [NewCache].
type Cache[V, W any] struct {
	// Stats belongs to the goroutine that uses the Cache.
	Stats Stats

	config   Config
	accounts accountSet
	slots    slotPool[V]
	// entries has the entry of each check, pending or decided.
	entries map[checkID]Entry
	// waiters has the waiters of repeats that joined a pending check.
	waiters map[Entry][]W
	// decided lists the decided checks of all accounts.
	decided list
}

// NewCache returns an empty Cache. Its error is a [*ConfigError].
func NewCache[V, W any](config Config) (*Cache[V, W], error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Cache[V, W]{
		config:   config,
		accounts: newAccountSet(),
		slots:    newSlotPool[V](),
		entries:  map[checkID]Entry{},
		waiters:  map[Entry][]W{},
		decided:  newList(listOfAll),
	}, nil
}

// Len returns the number of checks, pending and decided.
func (c *Cache[V, W]) Len() int {
	return len(c.entries)
}

// AccountLen returns the number of checks of one account, pending and decided.
func (c *Cache[V, W]) AccountLen(name string) int {
	if a := c.accounts.byName[name]; a != nil {
		return a.size
	}
	return 0
}

// Decision returns the decision of a check that is a Hit.
func (c *Cache[V, W]) Decision(entry Entry) V {
	return c.slots.at(entry).decision
}

// TTL returns how long a decided check stays in the cache, or 0 for a pending one.
func (c *Cache[V, W]) TTL(now time.Duration, entry Entry) time.Duration {
	if s := c.slots.at(entry); s.decided {
		return max(0, s.expiresAt-now)
	}
	return 0
}

// Lookup returns the entry and the state of an account's check and starts to track an unknown one. An Untracked check
// has no Entry. The waiter is kept only if the check is Pending.
func (c *Cache[V, W]) Lookup(now time.Duration, account string, key Key, waiter W) (Entry, State) {
	c.expire(now)
	if entry, known := c.find(now, account, key); known {
		return entry, c.repeat(entry, waiter)
	}
	if !c.makeRoom(c.accounts.byName[account]) {
		c.Stats.Untracked++
		return noEntry, Untracked
	}
	return c.track(account, key), Miss
}

// find returns the entry of a check that is pending, or decided and not expired.
func (c *Cache[V, W]) find(now time.Duration, name string, key Key) (entry Entry, known bool) {
	a := c.accounts.byName[name]
	if a == nil {
		return noEntry, false
	}
	entry, known = c.entries[checkID{account: a.number, key: key}]
	if !known {
		return noEntry, false
	}
	if s := c.slots.at(entry); s.decided && s.expiresAt <= now {
		c.removeDecided(entry) // expire does not reach it behind an older decision with a longer TTL
		return noEntry, false
	}
	return entry, true
}

// repeat counts a repeat of a known check and returns its state.
func (c *Cache[V, W]) repeat(entry Entry, waiter W) State {
	s := c.slots.at(entry)
	if s.repeats >= c.config.MaxRepeats {
		c.Stats.Exhausted++
		return Exhausted
	}
	s.repeats++
	if s.decided {
		c.Stats.Hits++
		return Hit
	}
	c.Stats.Joined++
	c.waiters[entry] = append(c.waiters[entry], waiter)
	return Pending
}

// track adds a pending check, for which there must be room.
func (c *Cache[V, W]) track(name string, key Key) Entry {
	a := c.accounts.getOrAdd(name)
	id := checkID{account: a.number, key: key}
	entry := c.slots.allocate(id)
	c.entries[id] = entry
	c.accounts.resize(a, 1)
	return entry
}

// Complete sets the decision of a pending check and returns the waiters that joined it; the one whose Lookup was a Miss
// is not among them. The decision is cached for ttl, but not longer than Config.MaxTTL; with a ttl of 0 or less the
// check is removed at once. For a check that is already decided Complete does nothing.
func (c *Cache[V, W]) Complete(now time.Duration, entry Entry, decision V, ttl time.Duration) []W {
	s := c.slots.at(entry)
	if s.decided {
		return nil
	}
	waiters, joined := c.waiters[entry]
	if joined {
		delete(c.waiters, entry)
	}
	s.decision = decision
	s.decided = true
	c.slots.pushBack(&c.accounts.byNumber[s.id.account].decided, entry)
	c.slots.pushBack(&c.decided, entry)
	ttl = min(ttl, c.config.MaxTTL)
	if ttl <= 0 {
		c.removeDecided(entry)
		return waiters
	}
	s.expiresAt = now + ttl
	return waiters
}

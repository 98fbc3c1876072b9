package decisioncache

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testConfig is the configuration of most tests.
var testConfig = Config{
	MaxTTL:        10 * time.Second,
	MaxEntries:    100,
	MaxPerAccount: 10,
	MaxRepeats:    3,
}

// numberedKey returns the key of a number.
func numberedKey(n int) (key Key) {
	binary.BigEndian.PutUint64(key[:], uint64(n))
	return key
}

// newTestCache returns an empty Cache.
func newTestCache(t *testing.T, config Config) *Cache[int, int] {
	t.Helper()
	cache, err := NewCache[int, int](config)
	if err != nil {
		t.Fatal(err)
	}
	return cache
}

// TestForwardAuthJoinAndRepeat verifies that a repeat of a pending check joins it, and that a repeat of a decided check
// is a hit until the decision expires or the check has been repeated too often.
func TestForwardAuthJoinAndRepeat(t *testing.T) {
	cache := newTestCache(t, testConfig)
	entry, state := cache.Lookup(0, "a", numberedKey(1), 1)
	if state != Miss {
		t.Fatal(state)
	}
	if _, state := cache.Lookup(1, "a", numberedKey(1), 2); state != Pending {
		t.Errorf("a pending check: %v", state)
	}
	if _, state := cache.Lookup(1, "b", numberedKey(1), 9); state != Miss {
		t.Errorf("a check of another account with the same key: %v", state)
	}
	if waiters := cache.Complete(2, entry, 7, time.Hour); !slices.Equal(waiters, []int{2}) {
		t.Errorf("waiters %v", waiters)
	}
	if waiters := cache.Complete(2, entry, 8, time.Hour); waiters != nil || cache.Decision(entry) != 7 {
		t.Errorf("completed twice: waiters %v, %d", waiters, cache.Decision(entry))
	}
	for range 2 {
		if entry, state := cache.Lookup(3, "a", numberedKey(1), 3); state != Hit || cache.Decision(entry) != 7 {
			t.Errorf("a decided check: %v", state)
		}
	}
	entry, state = cache.Lookup(4, "a", numberedKey(1), 4)
	if state != Exhausted || cache.TTL(4, entry) != testConfig.MaxTTL-2 {
		t.Errorf("a check that is repeated too often: %v", state)
	}
	if _, state := cache.Lookup(2+testConfig.MaxTTL, "a", numberedKey(1), 4); state != Miss {
		t.Errorf("an exhausted check after its TTL: %v", state)
	}
	entry, _ = cache.Lookup(5, "a", numberedKey(2), 1)
	cache.Complete(5, entry, 1, time.Second)
	if _, state := cache.Lookup(5+time.Second, "a", numberedKey(2), 1); state != Miss {
		t.Errorf("a check after its TTL of a second: %v", state)
	}
	entry, _ = cache.Lookup(6, "a", numberedKey(3), 1)
	cache.Complete(6, entry, 1, 0)
	if _, state := cache.Lookup(6, "a", numberedKey(3), 1); state != Miss {
		t.Errorf("a check with a TTL of 0: %v", state)
	}
}

// modelCheck identifies a check of the model.
type modelCheck struct {
	account string
	key     int
}

// modelDecision is a decision in the model.
type modelDecision struct {
	value     int
	expiresAt time.Duration
	// repeats is how often the check was repeated.
	repeats int
}

// model holds the expected result of each check, without the limits of a Cache.
type model struct {
	config  Config
	decided map[modelCheck]*modelDecision
	pending map[modelCheck]Entry
	waiters map[modelCheck][]int
}

// complete sets the decision of a pending check in the cache and in the model.
func (m *model) complete(
	t *rapid.T, cache *Cache[int, int], now time.Duration, check modelCheck, value int, ttl time.Duration,
) {
	waiters := cache.Complete(now, m.pending[check], value, ttl)
	if !slices.Equal(waiters, m.waiters[check]) {
		t.Fatalf("returned waiters %v, want %v", waiters, m.waiters[check])
	}
	m.decided[check] = &modelDecision{
		value:     value,
		expiresAt: now + min(ttl, m.config.MaxTTL),
		repeats:   len(m.waiters[check]),
	}
	delete(m.pending, check)
	delete(m.waiters, check)
}

// lookup looks up a check and compares the result with the model.
func (m *model) lookup(t *rapid.T, cache *Cache[int, int], now time.Duration, check modelCheck, waiter int) {
	entry, state := cache.Lookup(now, check.account, numberedKey(check.key), waiter)
	pending, isPending := m.pending[check]
	decided := m.decided[check]
	switch state {
	case Miss:
		if isPending {
			t.Fatal("a pending check is a miss")
		}
		m.pending[check] = entry
		m.waiters[check] = nil
		delete(m.decided, check)
	case Pending:
		if !isPending || pending != entry {
			t.Fatal("joined a check that is not pending")
		}
		m.waiters[check] = append(m.waiters[check], waiter)
		if len(m.waiters[check]) > m.config.MaxRepeats {
			t.Fatal("joined too often")
		}
	case Hit:
		if decided == nil || decided.expiresAt <= now || cache.Decision(entry) != decided.value {
			t.Fatalf("hit decision %d, which was not made or has expired", cache.Decision(entry))
		}
		decided.repeats++
		if decided.repeats > m.config.MaxRepeats {
			t.Fatal("hit too often")
		}
	case Exhausted:
		early := decided != nil && (decided.repeats < m.config.MaxRepeats || decided.expiresAt <= now) ||
			decided == nil && len(m.waiters[check]) < m.config.MaxRepeats
		if early {
			t.Fatal("exhausted too early")
		}
	case Untracked:
		if !isPending && cache.AccountLen(check.account) < m.config.MaxPerAccount && cache.Len() < m.config.MaxEntries {
			t.Fatal("untracked although there is room")
		}
	}
}

// checkBounds verifies that the limits of a cache are kept and that its tables agree.
func (m *model) checkBounds(t *rapid.T, cache *Cache[int, int]) {
	n := 0
	for _, name := range []string{"a", "b", "c"} {
		if cache.AccountLen(name) > m.config.MaxPerAccount {
			t.Fatalf("%d checks of one account", cache.AccountLen(name))
		}
		n += cache.AccountLen(name)
	}
	accounts := &cache.accounts
	if n != cache.Len() || n > m.config.MaxEntries ||
		len(cache.entries) != n || cache.slots.allocated > m.config.MaxEntries ||
		accounts.bySize.Len() != len(accounts.byName) || len(accounts.byName) != len(accounts.byNumber) ||
		len(cache.waiters) > len(m.pending) {
		t.Fatalf("the accounts have %d checks; Len is %d, %d entries, %d slots",
			n, cache.Len(), len(cache.entries), cache.slots.allocated)
	}
}

// TestForwardAuthMemoryAgainstModel compares random operations with a model without limits: a hit returns the decision
// that was made and has not expired, each waiter is returned once, and no limit is exceeded.
func TestForwardAuthMemoryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			MaxTTL:        time.Duration(rapid.IntRange(1, 20).Draw(t, "keep")),
			MaxPerAccount: rapid.IntRange(1, 4).Draw(t, "per account"),
			MaxRepeats:    rapid.IntRange(1, 3).Draw(t, "repeats"),
		}
		config.MaxEntries = config.MaxPerAccount + rapid.IntRange(0, 6).Draw(t, "more")
		cache, err := NewCache[int, int](config)
		if err != nil {
			t.Fatal(err)
		}
		reference := &model{
			config:  config,
			decided: map[modelCheck]*modelDecision{},
			pending: map[modelCheck]Entry{},
			waiters: map[modelCheck][]int{},
		}
		var now time.Duration
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "gap"))
			check := modelCheck{
				account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				key:     rapid.IntRange(0, 5).Draw(t, "key"),
			}
			if _, isPending := reference.pending[check]; isPending && rapid.Bool().Draw(t, "settle") {
				ttl := time.Duration(rapid.IntRange(0, 25).Draw(t, "for"))
				reference.complete(t, cache, now, check, step, ttl)
				continue
			}
			reference.lookup(t, cache, now, check, step)
			reference.checkBounds(t, cache)
		}
	})
}

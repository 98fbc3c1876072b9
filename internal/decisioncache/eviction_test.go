package decisioncache

import (
	"fmt"
	"testing"
	"time"
)

// TestForwardAuthFloodPushesOutItsOwn verifies that a flood of checks from one account, decided or left pending, evicts
// no decision of another account.
func TestForwardAuthFloodPushesOutItsOwn(t *testing.T) {
	for _, complete := range []bool{true, false} {
		cache := newTestCache(t, testConfig)
		for i := range 9 {
			entry, _ := cache.Lookup(0, "quiet", numberedKey(i), 0)
			cache.Complete(0, entry, i, time.Hour)
		}
		for i := range 5000 {
			entry, state := cache.Lookup(1, "loud", numberedKey(i), 0)
			if state == Miss && complete {
				cache.Complete(1, entry, i, time.Hour)
			}
		}
		kept := 0
		for i := range 9 {
			entry, state := cache.Lookup(3, "quiet", numberedKey(i), 0)
			if state == Hit && cache.Decision(entry) == i {
				kept++
			}
		}
		if complete && cache.Stats.Evicted == 0 || !complete && cache.Stats.Untracked == 0 {
			t.Errorf("complete %v: the flood reached no limit: %+v", complete, cache.Stats)
		}
		if cache.Len() > testConfig.MaxEntries || cache.AccountLen("loud") > testConfig.MaxPerAccount {
			t.Errorf("%d checks, %d of one account", cache.Len(), cache.AccountLen("loud"))
		}
		if kept != 9 {
			t.Errorf("complete %v: %d of 9 decisions kept", complete, kept)
		}
	}
}

// TestForwardAuthThreeFloodsKeepAQuietAccount verifies that floods from several accounts at once evict only their own
// decisions.
func TestForwardAuthThreeFloodsKeepAQuietAccount(t *testing.T) {
	cache := newTestCache(t, testConfig)
	entry, _ := cache.Lookup(0, "quiet", numberedKey(1), 0)
	cache.Complete(0, entry, 1, time.Hour)
	for i := range 100_000 {
		entry, state := cache.Lookup(1, fmt.Sprint("loud", i%3), numberedKey(i), 0)
		if state == Miss {
			cache.Complete(1, entry, i, time.Hour)
		}
	}
	if _, state := cache.Lookup(2, "quiet", numberedKey(1), 0); state != Hit {
		t.Errorf("three floods evicted the decision of a quiet account")
	}
}

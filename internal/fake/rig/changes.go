package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// changeRetryLimit is how long a client retries a change.
	changeRetryLimit = 15 * time.Second
	// changeRetryJitter is the upper bound of the random pause before a retry.
	changeRetryJitter = 50 * time.Millisecond
	// maxRetryAfter is the longest that a client waits because of a Retry-After.
	maxRetryAfter = 400 * time.Millisecond
)

// ChangeBook holds what the clients of Rig.Changes have recorded.
type ChangeBook struct {
	// Keys are the attempts by idempotency key, in order.
	Keys map[string][]Try
}

// Served returns the number of keys with an attempt that was served.
func (b *ChangeBook) Served() (keys int) {
	for _, tries := range b.Keys {
		for _, try := range tries {
			if try.Served {
				keys++
				break
			}
		}
	}
	return keys
}

// Twice returns the keys that had an effect more than once, according to the endpoints' record, and the number of all
// keys that had an effect.
func (r *Rig) Twice() (twice []string, all int) {
	effects := map[string]int{}
	for _, effect := range r.DedupScope.Effects() {
		effects[effect.Key]++
		if effects[effect.Key] == 2 {
			twice = append(twice, effect.Key)
		}
	}
	return twice, len(effects)
}

// changeClient makes changes with its own keys, one after another. It is not safe for concurrent use.
type changeClient struct {
	pool *clientPool
	rng  *rand.Rand
	// record takes the outcome of each attempt.
	record func(key string, try Try)
}

// Changes runs clients that make changes until the context ends, with a pause after each change. Each change has its
// own key. It is sent to a random gateway, and retried with the same key at a random gateway until it is served.
func (r *Rig) Changes(ctx context.Context, clients int, pause time.Duration, seed uint64) *ChangeBook {
	book := &ChangeBook{Keys: map[string][]Try{}}
	var mu sync.Mutex // guards book
	record := func(key string, try Try) {
		mu.Lock()
		defer mu.Unlock()
		book.Keys[key] = append(book.Keys[key], try)
	}
	var running sync.WaitGroup
	beganAt := time.Now()
	for n := range clients {
		running.Go(func() {
			client := &changeClient{
				pool:   newClientPool(r, beganAt),
				rng:    rand.New(rand.NewPCG(seed, uint64(n))),
				record: record,
			}
			defer client.pool.close()
			for i := 0; ctx.Err() == nil; i++ {
				client.change(ctx, fmt.Sprintf("%016x", seed<<40|uint64(n)<<24|uint64(i)))
				sleep(ctx, pause)
			}
		})
	}
	running.Wait()
	return book
}

// change makes attempts with a key until one is served, changeRetryLimit expires or the context ends.
func (c *changeClient) change(ctx context.Context, key string) {
	gateways := len(c.pool.rig.Doors)
	parameters := changeParameters(attemptTimeout, key, gateways)
	for beganAt := time.Now(); ctx.Err() == nil && time.Since(beganAt) < changeRetryLimit; {
		try := c.pool.attempt(c.rng.IntN(gateways), "Q.DO", changeCustomer, parameters)
		c.record(key, try)
		if try.Served {
			return
		}
		wait := time.Duration(c.rng.Int64N(int64(changeRetryJitter)))
		if try.Busy {
			wait += min(try.RetryAfter, maxRetryAfter)
		}
		sleep(ctx, wait)
	}
}

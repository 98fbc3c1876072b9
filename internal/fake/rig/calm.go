package rig

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Calm runs the Config.Calm accounts that stay within their quota until the context ends. Each account sends a request
// per interval, to the gateways in turn. Calm returns all attempts that ended before the context did.
func (r *Rig) Calm(ctx context.Context, each time.Duration) []Try {
	var tries []Try
	var mu sync.Mutex // guards tries
	record := func(try Try) {
		mu.Lock()
		defer mu.Unlock()
		tries = append(tries, try)
	}
	var running sync.WaitGroup
	beganAt := time.Now()
	accounts := r.Config.Calm
	for n := range accounts {
		running.Go(func() {
			pool := newClientPool(r, beganAt)
			defer pool.close()
			sleep(ctx, each*time.Duration(n)/time.Duration(accounts))
			r.runInQuotaAccount(ctx, pool, n, each, record)
		})
	}
	running.Wait()
	return tries
}

// runInQuotaAccount sends the requests of one account until the context ends.
func (r *Rig) runInQuotaAccount(ctx context.Context, pool *clientPool, n int, each time.Duration, record func(Try)) {
	customer := fmt.Sprintf("%016x", firstInQuotaAccount+n)
	parameters := evaluateParameters(attemptTimeout, len(r.Doors))
	for i := n; ctx.Err() == nil; i++ {
		try := pool.attempt(i%len(r.Doors), "Q.ASK", customer, parameters)
		if ctx.Err() == nil {
			record(try)
		}
		sleep(ctx, each-(time.Since(pool.beganAt)-try.Asked))
	}
}

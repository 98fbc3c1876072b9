package rig

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Calm has Config.Calm accounts, each inside its quota, make a request every interval at each gateway in turn, until
// the context ends. It returns all attempts that ended before.
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
			r.runCalmAccount(ctx, pool, n, each, record)
		})
	}
	running.Wait()
	return tries
}

// runCalmAccount makes the requests of one account until the context ends.
func (r *Rig) runCalmAccount(ctx context.Context, pool *clientPool, n int, each time.Duration, record func(Try)) {
	customer := fmt.Sprintf("%016x", firstCalmAccount+n)
	parameters := evaluateParameters(attemptTimeout, len(r.Doors))
	for i := n; ctx.Err() == nil; i++ {
		try := pool.attempt(i%len(r.Doors), "Q.ASK", customer, parameters)
		if ctx.Err() == nil {
			record(try)
		}
		sleep(ctx, each-(time.Since(pool.beganAt)-try.Asked))
	}
}

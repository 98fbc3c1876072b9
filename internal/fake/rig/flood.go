package rig

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// InQuotaInterval is the pause between two checks of the account that stays within its quota, at each gateway. With
// five gateways that makes 3 checks per second of the 5 that Plan allows, less than each gateway's even share.
const InQuotaInterval = 1650 * time.Millisecond

// fullShareDelay is the time from its start until a gateway serves every request within a quota. Its shares start
// empty, because the previous process may have spent them. Plan's ceiling fills in 2 s, and a share is available after
// at most 1.1 s.
const fullShareDelay = 3500 * time.Millisecond

const (
	// checkTimeout is the timeout of one check of a flood.
	checkTimeout = 2 * time.Second
	// checkIdleConnections is the maximum number of idle connections of a client for checks.
	checkIdleConnections = 2
)

// flood is one run of Rig.Flood.
type flood struct {
	rig      *Rig
	beganAt  time.Time
	gateways []int
	// pause is the pause between two requests of a client.
	pause time.Duration

	// mu guards book.
	mu   sync.Mutex
	book *Book
}

// Flood runs two clients per given gateway until the context ends: one sends checks, the other sends requests over
// RESP2, each with a pause between an answer and the next request. In addition, an account that stays within its quota
// sends a check to each of these gateways every InQuotaInterval.
func (r *Rig) Flood(ctx context.Context, pause time.Duration, gateways ...int) *Book {
	f := &flood{
		rig:      r,
		beganAt:  time.Now(),
		gateways: gateways,
		pause:    pause,
		book:     &Book{},
	}
	var clients sync.WaitGroup
	for _, n := range gateways {
		gateway := r.Doors[n]
		clients.Go(func() { f.sendRequests(ctx, gateway) })
		clients.Go(func() { f.sendChecks(ctx, gateway, Key, pause, f.recordCheck) })
		clients.Go(func() { f.sendChecks(ctx, gateway, inQuotaKey, InQuotaInterval, f.recordInQuotaCheck) })
	}
	clients.Wait()
	f.recordSentRequests()
	return f.book
}

// sendRequests sends requests to a gateway over RESP2 until the context ends.
func (f *flood) sendRequests(ctx context.Context, d *Door) {
	client := &requestClient{gateway: d}
	defer client.close()
	for ctx.Err() == nil {
		time.Sleep(f.pause)
		askedAt, err := client.request()
		if ctx.Err() != nil {
			return
		}
		f.mu.Lock()
		f.book.recordAnswer(d, f.beganAt, askedAt, err)
		f.mu.Unlock()
	}
}

// floodCheck is a check of a flood with its outcome.
type floodCheck struct {
	gateway *Door
	askedAt time.Time
	answer  checkAnswer
	err     error
}

// sendChecks sends checks to a gateway until the context ends. It calls record with mu locked.
func (f *flood) sendChecks(ctx context.Context, d *Door, key string, pause time.Duration, record func(*floodCheck)) {
	client := &http.Client{
		Timeout:   checkTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: checkIdleConnections},
	}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		check := &floodCheck{gateway: d, askedAt: time.Now()}
		check.answer, check.err = d.check(ctx, client, key)
		if ctx.Err() != nil {
			return
		}
		f.mu.Lock()
		f.book.recordAnswer(d, f.beganAt, check.askedAt, check.err)
		f.recordDecision(check)
		record(check)
		f.mu.Unlock()
		sleep(ctx, pause)
	}
}

// recordDecision records the policy version that decided a check, if it is known. The caller must hold mu.
func (f *flood) recordDecision(c *floodCheck) {
	if c.answer.policyVersion == 0 {
		return
	}
	f.book.Decided = append(f.book.Decided, Decided{
		Asked:    c.askedAt.Sub(f.beganAt),
		Answered: time.Since(f.beganAt),
		Door:     c.gateway.index,
		Version:  c.answer.policyVersion,
	})
}

// recordCheck records the outcome of a check of Customer. The caller must hold mu.
func (f *flood) recordCheck(c *floodCheck) {
	switch {
	case c.answer.allowed:
		f.book.Served = append(f.book.Served, Served{
			Asked: c.askedAt.Sub(f.beganAt),
			At:    time.Since(f.beganAt),
			Door:  c.gateway.index,
		})
	case c.err == nil:
		f.book.Refused++
	}
}

// recordInQuotaCheck records the outcome of a check of the account that stays within its quota. The caller must hold
// mu.
func (f *flood) recordInQuotaCheck(c *floodCheck) {
	if c.err != nil || c.gateway.WasUnreachable(c.askedAt.Add(-fullShareDelay), time.Now()) {
		return
	}
	f.book.Calm++
	if !c.answer.allowed {
		f.book.CalmDenied = append(f.book.CalmDenied,
			fmt.Sprintf("%s: sent %.3f s after the start, answered %.3f s later: %s",
				c.gateway.Name, c.askedAt.Sub(f.beganAt).Seconds(), time.Since(c.askedAt).Seconds(), c.answer))
	}
}

// recordSentRequests records the flood's requests that endpoints received. It is called after all clients have ended.
func (f *flood) recordSentRequests() {
	for _, server := range f.rig.Servers {
		for _, sent := range server.Sent() {
			gateway, askedAt, ok := parseRequestID(sent.ID)
			if !ok || !slices.Contains(f.gateways, gateway) || sent.At.Before(f.beganAt) {
				continue
			}
			f.book.Served = append(f.book.Served, Served{
				Asked: askedAt.Sub(f.beganAt),
				At:    sent.At.Sub(f.beganAt),
				Door:  gateway,
			})
		}
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

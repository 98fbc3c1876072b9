// Package quota implements a fake shared counter for tests: named totals that expire, served over a line-based text
// protocol on loopback.
package quota

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"gapgap/internal/fake/serve"
)

const (
	// maxNameBytes is the maximum length of a total's name.
	maxNameBytes = 64
	// maxAmount is the most that one call may add or subtract.
	maxAmount = 1e9
	// maxLifeMS is the maximum lifetime of a total in milliseconds. Longer lifetimes are reduced to it.
	maxLifeMS = 60_000
	// errorAnswer is the response to a call that is malformed or out of bounds.
	errorAnswer = "error"
)

// Counter is a fake counter. It is safe for concurrent use.
type Counter struct {
	*serve.Server

	// mu guards the fields below.
	mu     sync.Mutex
	totals map[string]*total
	// stall is closed when delayed responses may be sent. It is nil while responses are not delayed.
	stall chan struct{}
	calls int
}

// total is the value of a named total and when it expires.
type total struct {
	value     float64
	expiresAt time.Time
}

// Start starts a counter without totals on a free loopback port.
func Start() (c *Counter, err error) {
	c = &Counter{totals: map[string]*total{}}
	c.Server, err = serve.Start(c.serve)
	return c, err
}

// Calls returns the number of valid calls so far, not counting pings.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Stall delays all responses until the returned function is called. The calls themselves still take effect.
func (c *Counter) Stall() (resume func()) {
	stall := make(chan struct{})
	c.mu.Lock()
	c.stall = stall
	c.mu.Unlock()
	return sync.OnceFunc(func() {
		c.mu.Lock()
		c.stall = nil
		c.mu.Unlock()
		close(stall)
	})
}

// Reset removes all totals, as a restart of the counter does.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals = map[string]*total{}
}

// Numbers takes a snapshot of all totals and returns a function that restores it, to simulate a counter that has lost
// its latest updates. The returned function may be called more than once.
func (c *Counter) Numbers() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	saved := map[string]total{}
	for name, t := range c.totals {
		saved[name] = *t
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.totals = map[string]*total{}
		for name, t := range saved {
			c.totals[name] = &t
		}
	}
}

// Close releases delayed responses and closes the listener and all connections.
func (c *Counter) Close() {
	c.mu.Lock()
	if c.stall != nil {
		close(c.stall)
		c.stall = nil
	}
	c.mu.Unlock()
	c.Server.Close()
}

// serve handles the calls on one connection until it is closed.
func (c *Counter) serve(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		answer := c.call(strings.Fields(lines.Text()))
		c.mu.Lock()
		stall := c.stall
		c.mu.Unlock()
		if stall != nil {
			<-stall
		}
		if _, err := conn.Write([]byte(answer + "\r\n")); err != nil {
			return
		}
	}
}

// call executes one call, "ping" or "add NAME AMOUNT LIFETIME_MS", and returns the response.
func (c *Counter) call(words []string) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "add" || len(words[1]) > maxNameBytes {
		return errorAnswer
	}
	amount, amountErr := strconv.ParseFloat(words[2], 64)
	lifeMS, lifeErr := strconv.Atoi(words[3])
	if amountErr != nil || lifeErr != nil || lifeMS < 1 || math.Abs(amount) > maxAmount {
		return errorAnswer
	}
	return fmt.Sprintf("ok %.7g", c.add(words[1], amount, lifeMS))
}

// add adds an amount to a total and returns the new value. A total that is new or has expired starts at zero and
// expires after lifeMS milliseconds.
func (c *Counter) add(name string, amount float64, lifeMS int) float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	t := c.totals[name]
	if t == nil || !now.Before(t.expiresAt) {
		t = &total{expiresAt: now.Add(time.Duration(min(lifeMS, maxLifeMS)) * time.Millisecond)}
		c.totals[name] = t
	}
	t.value += amount
	return t.value
}

// Package quota is a fake of the shared counter service: named totals that expire, over lines of text on loopback.
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
	// maxNameBytes bounds a total's name.
	maxNameBytes = 64
	// maxAmount bounds what one call adds or subtracts.
	maxAmount = 1e9
	// maxLifeMS bounds a total's life in milliseconds; a longer one is cut to it.
	maxLifeMS = 60_000
	// errorAnswer answers a call that is malformed or out of bounds.
	errorAnswer = "error"
)

// Counter is one fake counter. It is safe for concurrent use.
type Counter struct {
	*serve.Server

	// mu guards the fields below.
	mu     sync.Mutex
	totals map[string]*total
	// stall is closed when stalled answers may go out; nil while answers go out at once.
	stall chan struct{}
	calls int
}

// total is a named total until it expires.
type total struct {
	value     float64
	expiresAt time.Time
}

// Start starts a counter without totals on a free port of loopback.
func Start() (c *Counter, err error) {
	c = &Counter{totals: map[string]*total{}}
	c.Server, err = serve.Start(c.serve)
	return c, err
}

// Calls returns the number of valid calls so far, pings excluded.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Stall holds all answers back until the function that it returns is called. The calls themselves take effect.
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

// Empty drops all totals, like a counter that was started anew.
func (c *Counter) Empty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals = map[string]*total{}
}

// Numbers copies all totals and returns a function that restores them, for a counter that has lost its latest ones.
// The function may be called more than once.
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

// Close releases stalled answers, and closes the listener and all connections.
func (c *Counter) Close() {
	c.mu.Lock()
	if c.stall != nil {
		close(c.stall)
		c.stall = nil
	}
	c.mu.Unlock()
	c.Server.Close()
}

// serve answers the calls of one connection until it ends.
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

// call carries out one call, "ping" or "add name amount life", and returns its answer.
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

// add adds to a total and returns it. A total that is new or has expired begins at zero, with a life in milliseconds.
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

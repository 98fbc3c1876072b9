// Package quota is a stand-in for the quota counter: named numbers with a life, over lines of text on loopback.
package quota

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"gapgap/internal/fake/serve"
)

// Counter is one counter.
type Counter struct {
	*serve.Server
	mu    sync.Mutex
	names map[string]*number
	stall chan struct{} // answers wait while it is not nil
	calls int
}

type number struct {
	total float64
	until time.Time
}

// Start listens on loopback.
func Start() (c *Counter, err error) {
	c = &Counter{names: map[string]*number{}}
	c.Server, err = serve.Start(c.serve)
	return c, err
}

// Calls is how many calls have come.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Stall holds all answers back until the function that it returns is called.
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

// Empty forgets all numbers, as a counter that was started anew.
func (c *Counter) Empty() {
	c.mu.Lock()
	c.names = map[string]*number{}
	c.mu.Unlock()
}

// Numbers copies what it knows. What it returns puts that back: a counter that has its numbers from before, or older ones.
func (c *Counter) Numbers() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := map[string]number{}
	for name, n := range c.names {
		kept[name] = *n
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.names = map[string]*number{}
		for name, n := range kept {
			c.names[name] = &n
		}
	}
}

// Close ends it; its connections end too.
func (c *Counter) Close() {
	c.mu.Lock()
	if c.stall != nil {
		close(c.stall)
		c.stall = nil
	}
	c.mu.Unlock()
	c.Server.Close()
}

func (c *Counter) serve(nc net.Conn) {
	for in := bufio.NewScanner(nc); in.Scan(); {
		answer := c.call(strings.Fields(in.Text()))
		c.mu.Lock()
		stall := c.stall
		c.mu.Unlock()
		if stall != nil {
			<-stall
		}
		if _, err := nc.Write([]byte(answer + "\r\n")); err != nil {
			return
		}
	}
}

func (c *Counter) call(words []string) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong"
	}
	if len(words) != 4 || words[0] != "add" || len(words[1]) > 64 {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.Atoi(words[3])
	if err != nil || err2 != nil || life < 1 || amount > 1e9 || amount < -1e9 {
		return "error"
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	n := c.names[words[1]]
	if n == nil || !now.Before(n.until) {
		n = &number{until: now.Add(time.Duration(min(life, 60_000)) * time.Millisecond)}
		c.names[words[1]] = n
	}
	n.total += amount
	return fmt.Sprintf("ok %.7g", n.total)
}

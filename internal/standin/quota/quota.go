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
)

// Counter is one counter.
type Counter struct {
	ln    net.Listener
	mu    sync.Mutex
	names map[string]*number
	open  map[net.Conn]bool
	stall chan struct{} // answers wait while it is not nil
	calls int
	wg    sync.WaitGroup
}

type number struct {
	total float64
	until time.Time
}

// Start listens on loopback.
func Start() (*Counter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Counter{ln: ln, names: map[string]*number{}, open: map[net.Conn]bool{}}
	c.wg.Add(1)
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Counter) Addr() string { return c.ln.Addr().String() }

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

// Close ends it; its connections end too.
func (c *Counter) Close() {
	c.ln.Close()
	c.mu.Lock()
	if c.stall != nil {
		close(c.stall)
		c.stall = nil
	}
	for nc := range c.open {
		nc.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Counter) accept() {
	defer c.wg.Done()
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.open[nc] = true
		c.mu.Unlock()
		c.wg.Add(1)
		go c.serve(nc)
	}
}

func (c *Counter) serve(nc net.Conn) {
	defer c.wg.Done()
	defer func() {
		nc.Close()
		c.mu.Lock()
		delete(c.open, nc)
		c.mu.Unlock()
	}()
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

package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// answerPlan is how an endpoint answers one request. It is drawn from the request's ID, so that each attempt is alike.
type answerPlan struct {
	text string
	// pauseAt is the offset in text at which the endpoint pauses.
	pauseAt int
	// before is the time before the first byte, and pause that at pauseAt.
	before time.Duration
	pause  time.Duration
	// readPause is the time that the endpoint takes to read a body.
	readPause time.Duration
}

// planAnswer draws the answer to a request: short or long, with a pause at any place or without.
func planAnswer(seed uint64, id string) answerPlan {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	rng := rand.New(rand.NewPCG(seed, hash.Sum64()))
	size := []int{20, 3000, 30_000, 70_000, 300_000}[rng.IntN(5)]
	value := id + strings.Repeat("v", size)
	head := fmt.Sprintf("*3\r\n$%d\r\n", len(value))
	plan := answerPlan{
		text:   head + value + "\r\n$7\r\nused=37\r\n$-1\r\n",
		before: time.Duration(rng.ExpFloat64() * float64(15*time.Millisecond)),
	}
	places := []int{0, 1, len(head) - 2, len(head), len(head) + 7, len(head) + len(value)/2, len(head) + len(value),
		len(head) + len(value) + 2, len(plan.text) - 3}
	if strings.HasPrefix(id, floodPrefix) {
		return plan
	}
	if rng.IntN(3) == 0 {
		plan.pauseAt = places[rng.IntN(len(places))]
		plan.pause = time.Duration(rng.Float64() * float64(1500*time.Millisecond))
	}
	if rng.IntN(20) == 0 {
		plan.readPause = time.Duration(rng.Float64() * float64(1200*time.Millisecond))
	}
	return plan
}

// soakEndpoint is an endpoint of a soak.
type soakEndpoint struct {
	world    *soakWorld
	name     string
	listener net.Listener
	// drainsAt is the Unix time in nanoseconds at which the endpoint was told to drain; 0: not yet.
	drainsAt atomic.Int64
}

// startEndpoint starts an endpoint whose connections come up late for a time.
func (w *soakWorld) startEndpoint(name string, lateFor time.Duration) *soakEndpoint {
	listener, admit := peer.ListenFull(w.t)
	e := &soakEndpoint{world: w, name: name, listener: listener}
	time.AfterFunc(lateFor, func() {
		admit()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	})
	return e
}

// soakConnection is a connection to an endpoint. A goroutine reads commands, so that its end is seen at once.
type soakConnection struct {
	endpoint *soakEndpoint
	conn     net.Conn
	in       *bufio.Reader

	mu sync.Mutex
	// begunAt is when the first byte of the current answer was written; zero: none is on its way.
	begunAt time.Time
	// request is what the current answer belongs to.
	request *soakRequest
}

// serve answers the commands of a connection until it ends.
func (e *soakEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	c := &soakConnection{endpoint: e, conn: conn, in: bufio.NewReader(conn)}
	for {
		if _, err := c.in.Peek(1); err != nil {
			break
		}
		firstByteAt := time.Now()
		command, err := c.readCommand()
		if err != nil {
			break
		}
		if len(command) < 4 {
			io.WriteString(conn, "+PONG\r\n")
			continue
		}
		request := e.world.recordArrival(e, command, firstByteAt)
		if request == nil {
			break
		}
		go c.answer(request)
	}
	c.checkEnd(time.Now())
}

// readCommand reads a command, its body slowly if the plan says so.
func (c *soakConnection) readCommand() ([]string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	var command []string
	for i := range count {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
		if i == 4 {
			time.Sleep(planAnswer(c.endpoint.world.seed, command[2]).readPause)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, text); err != nil {
			return nil, err
		}
		command = append(command, string(text[:size]))
	}
	return command, nil
}

// answer writes the answer to a request by its plan.
func (c *soakConnection) answer(request *soakRequest) {
	plan := planAnswer(c.endpoint.world.seed, request.id)
	time.Sleep(plan.before)
	c.mu.Lock()
	c.request = request
	c.mu.Unlock()
	if plan.pauseAt > 0 {
		c.write(plan.text[:plan.pauseAt], false)
	}
	time.Sleep(plan.pause)
	c.write(plan.text[plan.pauseAt:], true)
}

// write writes a piece of an answer. While the last one is written the client sees whether it comes.
func (c *soakConnection) write(piece string, isLast bool) {
	c.mu.Lock()
	if c.begunAt.IsZero() {
		c.begunAt = time.Now()
	}
	if isLast {
		c.begunAt = time.Time{}
	}
	c.mu.Unlock()
	io.WriteString(c.conn, piece)
}

// checkEnd checks that a connection has not ended amid an answer for which its client still waits.
func (c *soakConnection) checkEnd(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	const noticeTime = 50 * time.Millisecond // in which the gateway sees that the answer has begun
	if c.begunAt.IsZero() || at.Sub(c.begunAt) < noticeTime {
		return
	}
	if c.request.isAwaited(at) && !c.endpoint.world.wasKilled(at) {
		c.endpoint.world.fail("%s: cut off %v after its answer began, %v before its deadline", c.request.id,
			at.Sub(c.begunAt), c.request.deadline().Sub(at))
	}
}

// close ends an endpoint after its drain.
func (e *soakEndpoint) close(t testing.TB) {
	if err := e.listener.Close(); err != nil {
		t.Log(err)
	}
}

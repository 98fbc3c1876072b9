package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gapgap/internal/fake/peer"
)

// answerSlack is how long after its time a request may get its final answer, by the operators' page.
const answerSlack = 500 * time.Millisecond

// soakRequest is a request of a soak and what became of it.
type soakRequest struct {
	id       string
	customer soakCustomer
	class    soakClass
	sentAt   time.Time
	timeout  time.Duration

	mu sync.Mutex
	// arrivals is the number of attempts that came whole to an endpoint.
	arrivals int
	// answeredAt is when the client had its final answer; leftAt when it closed its connection.
	answeredAt time.Time
	leftAt     time.Time
}

// deadline returns until when the client waits.
func (r *soakRequest) deadline() time.Time { return r.sentAt.Add(r.timeout) }

// isAwaited reports whether the client waits at a time, and for a while longer.
func (r *soakRequest) isAwaited(at time.Time) bool {
	const margin = 100 * time.Millisecond // in which the final answer is given
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt.IsZero() && r.leftAt.IsZero() && at.Add(margin).Before(r.deadline())
}

// soakClient sends requests one after another, on a connection that it keeps.
type soakClient struct {
	world  *soakWorld
	rng    *rand.Rand
	number int
	// customer is the customer whose requests the client sends.
	customer soakCustomer
	gateway  int
	conn     net.Conn
	in       *bufio.Reader
	// used reports that the connection has carried a request before.
	used bool
}

// run sends requests until the soak ends.
func (c *soakClient) run(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		class := c.world.classes[c.rng.IntN(len(c.world.classes))]
		request := &soakRequest{
			id:       fmt.Sprintf("%d.%d", c.number, n),
			customer: c.customer,
			class:    class,
			timeout:  time.Duration((0.3 + 0.7*c.rng.Float64()) * float64(class.timeout)),
		}
		c.world.register(request)
		c.ask(request)
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(40*time.Millisecond)))
	}
	c.drop()
}

// floodPrefix is that of the IDs of requests of a flood, which are answered quickly.
const floodPrefix = "f"

// flood rests and then sends requests of the capped customer as fast as they are answered, in turns.
func (c *soakClient) flood(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		if time.Now().Unix()%4 < 2 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		request := &soakRequest{
			id:       fmt.Sprintf("%s%d.%d", floodPrefix, c.number, n),
			customer: c.customer,
			class:    c.world.classes[0],
			timeout:  c.world.classes[0].timeout,
		}
		c.world.register(request)
		c.ask(request)
		time.Sleep(10 * time.Millisecond)
	}
	c.drop()
}

// drop closes the connection.
func (c *soakClient) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect dials a gateway that accepts connections.
func (c *soakClient) connect() error {
	for range 4 * c.customer.spread {
		c.gateway = (c.customer.first + c.rng.IntN(c.customer.spread)) % len(c.world.nodes)
		if !c.world.acceptsClients(c.gateway) {
			continue
		}
		conn, err := net.Dial("tcp", c.world.nodes[c.gateway].listen)
		if err == nil {
			c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
			return nil
		}
	}
	return errors.New("no gateway accepts connections")
}

// ask sends a request and checks its answer. If its connection ends before anything of it was read, it is sent once
// more on a new one, as the operators' clients do.
func (c *soakClient) ask(request *soakRequest) {
	command := []string{"Q.ASK", c.customer.id, request.id}
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", request.class.name, c.customer.plan,
		request.timeout.Milliseconds(), c.customer.spread, c.customer.first)
	if request.class.effect != "safe" {
		command[0] = "Q.DO"
		list = strings.Replace(list, ",units", ",k="+fmt.Sprintf("%016x", c.rng.Uint64())+",units", 1)
		command = append(command, list, strings.Repeat("b", []int{10, 60_000}[c.rng.IntN(2)]))
	} else {
		command = append(command, list)
	}
	leaves := c.rng.IntN(25) == 0
	for try := 0; ; try++ {
		if c.conn == nil {
			if err := c.connect(); err != nil {
				return // nothing was sent
			}
		}
		request.mu.Lock()
		request.sentAt = time.Now()
		request.mu.Unlock()
		if leaves {
			c.leave(request, command)
			return
		}
		wasUsed := c.used
		err := c.exchange(request, command)
		if err == nil {
			c.used = true
			return
		}
		killed := c.world.wasKilled(time.Now())
		c.drop()
		request.mu.Lock()
		arrivals := request.arrivals
		request.mu.Unlock()
		isUnread := wasUsed && arrivals == 0 && errors.Is(err, errNoAnswer)
		if isUnread && try < 2 || c.world.hasCrowd && arrivals == 0 {
			continue
		}
		c.world.fail("%s (%s, gateway %d, %v of %v, %d arrivals, used %t, killed %t): %v",
			request.id, request.class.name, c.gateway, time.Since(request.sentAt), request.timeout,
			arrivals, wasUsed, killed, err)
		return
	}
}

// leave sends a request and closes the connection before its answer.
func (c *soakClient) leave(request *soakRequest, command []string) {
	io.WriteString(c.conn, peer.Command(command...))
	time.Sleep(time.Duration(c.rng.Float64() * float64(300*time.Millisecond)))
	request.mu.Lock()
	request.leftAt = time.Now() // before the close, which the endpoint may see at once
	request.mu.Unlock()
	c.drop()
}

// errNoAnswer reports that a connection ended before the first byte of an answer.
var errNoAnswer = errors.New("the connection ended without an answer")

// exchange sends a command and reads its answer. It returns an error if the request was lost.
func (c *soakClient) exchange(request *soakRequest, command []string) error {
	latest := request.deadline().Add(answerSlack)
	c.conn.SetDeadline(latest)
	if _, err := io.WriteString(c.conn, peer.Command(command...)); err != nil {
		return errNoAnswer
	}
	first, err := c.in.ReadByte()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.New("no final answer in time")
	}
	if err != nil {
		return errNoAnswer
	}
	c.conn.SetDeadline(time.Now().Add(peer.Patient)) // a value that has begun has no deadline
	line, err := c.in.ReadString('\n')
	if err != nil {
		return err
	}
	if first == '$' {
		size, err := strconv.Atoi(strings.TrimSpace(line))
		if err != nil {
			return err
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, value); err != nil {
			return fmt.Errorf("a value of %d bytes is cut off: %w", size, err)
		}
		if !strings.HasPrefix(string(value), request.id+"v") {
			return fmt.Errorf("another request's value: %.20q", value)
		}
	}
	c.world.count(first, line)
	request.mu.Lock()
	request.answeredAt = time.Now()
	request.mu.Unlock()
	return nil
}

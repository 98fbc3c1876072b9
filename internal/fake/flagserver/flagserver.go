// Package flagserver implements a fake endpoint for tests that answers the platform's RESP2 commands on loopback. It
// can be slow, silent, limited in capacity or warming up. It records the requests that it reads and the effects of
// keyed commands.
package flagserver

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"gapgap/internal/fake/serve"
)

const (
	// keyedCommand is the command that has an effect if its parameters contain a key.
	keyedCommand = "Q.DO"
	// pingAnswer is the answer to a command that is not a request.
	pingAnswer = "+PONG\r\n"
)

// Positions of a request's arguments in its command.
const (
	argumentName = iota
	argumentCustomer
	argumentID
	argumentList
)

// Sent is a request that a server has read.
type Sent struct {
	// At is when the request was read.
	At time.Time
	// Customer is the second argument, the customer's ID.
	Customer string
	// ID is the third argument, the request's ID.
	ID string
	// Name is the command's name.
	Name string
}

// Server is a fake endpoint. It is safe for concurrent use.
type Server struct {
	*serve.Server

	// mu guards the fields below.
	mu     sync.Mutex
	config Config
	sent   []Sent
	// busyUntil is when all requests so far are served, if Config.ServiceTime is set.
	busyUntil time.Time
}

// Start starts a server on a free loopback port.
func Start(cfg Config) (s *Server, err error) {
	s = &Server{config: cfg}
	s.Server, err = serve.Start(s.serve)
	return s, err
}

// Set replaces the configuration for the commands received from now on.
func (s *Server) Set(cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg
}

// Sent returns the recorded requests in the order in which they were read.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// Restart makes the server start its warm-up at a time and clears the queue.
func (s *Server) Restart(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.StartedAt = at
	s.busyUntil = at
}

// serve handles the commands on one connection until it is closed or a command is malformed.
func (s *Server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		arguments, err := readCommand(reader)
		if err != nil {
			return
		}
		answer := s.run(arguments)
		if answer == "" {
			continue
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// run records a command, applies its effect, waits for as long as it takes and returns the answer. Empty means that
// there is no answer.
func (s *Server) run(arguments []string) string {
	now := time.Now()
	isRequest := len(arguments) > argumentID
	config := s.record(now, arguments)
	if config.DedupScope != nil && len(arguments) > argumentList && arguments[argumentName] == keyedCommand {
		config.DedupScope.run(now, arguments[argumentList])
	}
	if !isRequest {
		return pingAnswer
	}
	if config.Silent {
		return ""
	}
	value := config.Value
	if value == "" {
		value = arguments[argumentName] + " " + arguments[argumentID]
	}
	time.Sleep(config.Delay + s.queue(now))
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// record records a request if Config.Keep is set, and returns the configuration that applies to the command.
func (s *Server) record(at time.Time, arguments []string) Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Keep && len(arguments) > argumentID {
		s.sent = append(s.sent, Sent{
			At:       at,
			Customer: arguments[argumentCustomer],
			ID:       arguments[argumentID],
			Name:     arguments[argumentName],
		})
	}
	return s.config
}

// queue adds a request received at a time to the queue and returns how long it takes until the request is served.
func (s *Server) queue(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ServiceTime <= 0 {
		return 0
	}
	if s.busyUntil.Before(at) || s.busyUntil.Before(s.config.StartedAt) {
		s.busyUntil = at
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(s.config.ServiceTime) / s.config.CapacityAt(at)))
	return s.busyUntil.Sub(at)
}

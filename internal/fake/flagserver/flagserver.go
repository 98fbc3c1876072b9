// Package flagserver is a fake endpoint: it answers the platform's RESP2 commands on loopback. It can be slow,
// silent, of limited capacity or warming up, and records what it was sent and which keyed commands had their effect.
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
	// keyedCommand is the command that may have an effect.
	keyedCommand = "Q.DO"
	// pingAnswer answers a command that is no request.
	pingAnswer = "+PONG\r\n"
)

// Positions of a request's arguments.
const (
	argumentName = iota
	argumentCustomer
	argumentID
	argumentList
)

// Sent is one command that was read completely.
type Sent struct {
	// At is when it was read.
	At time.Time
	// Customer is its second argument.
	Customer string
	// ID is its third argument, the request's id.
	ID string
	// Name is the command's name.
	Name string
}

// Server is one fake endpoint. It is safe for concurrent use.
type Server struct {
	*serve.Server

	// mu guards the fields below.
	mu     sync.Mutex
	config Config
	sent   []Sent
	// busyUntil is when the work of all commands so far is done, if Config.Work is set.
	busyUntil time.Time
}

// Start starts a server on a free port of loopback.
func Start(cfg Config) (s *Server, err error) {
	s = &Server{config: cfg}
	s.Server, err = serve.Start(s.serve)
	return s, err
}

// Set replaces the configuration, for the commands that come from now on.
func (s *Server) Set(cfg Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg
}

// Sent returns the commands that were recorded, in the order in which they were read.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent)
}

// Restart makes the server begin to warm up at a time, with no work queued.
func (s *Server) Restart(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Started = at
	s.busyUntil = at
}

// serve answers the commands of one connection until it ends or a command is malformed.
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

// run records a command, has its effect, waits as long as it takes and returns its answer; empty: none.
func (s *Server) run(arguments []string) string {
	now := time.Now()
	isRequest := len(arguments) > argumentID
	config := s.record(now, arguments)
	if config.Group != nil && len(arguments) > argumentList && arguments[argumentName] == keyedCommand {
		config.Group.run(now, arguments[argumentList])
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

// record notes a request if the configuration says so, and returns the configuration that the command runs by.
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

// queue adds a command that came at a time to the queued work and returns how long it takes to be done.
func (s *Server) queue(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Work <= 0 {
		return 0
	}
	if s.busyUntil.Before(at) || s.busyUntil.Before(s.config.Started) {
		s.busyUntil = at
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(s.config.Work) / s.config.Bears(at)))
	return s.busyUntil.Sub(at)
}

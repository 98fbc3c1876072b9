// Package flagserver is a stand-in for a backend: it answers the platform's RESP2 commands on loopback.
package flagserver

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

// Sent is one command that came whole.
type Sent struct {
	At       time.Time
	Customer string
	ID       string
	Name     string
}

// Server is one flag server.
type Server struct {
	*serve.Server
	mu   sync.Mutex
	cfg  Config
	sent []Sent
	busy time.Time // until then, with what has come so far
}

// Config says how it behaves. It may be changed while it runs.
type Config struct {
	Delay  time.Duration // before an answer
	Silent bool          // commands are read and never answered
	Value  string        // of each answer; empty: one that names the command
	Keep   bool          // what comes is kept for Sent
	Group  *Group        // remembers what keyed commands have run; nil: they have no effect

	// Work is what a command takes of a server that is warm, one after another; 0: any number at once. It bears From of that when it is started, and all
	// after Within.
	Work, Within time.Duration
	From         float64
	Started      time.Time
}

// Start listens on loopback.
func Start(cfg Config) (s *Server, err error) {
	s = &Server{cfg: cfg}
	s.Server, err = serve.Start(s.serve)
	return s, err
}

// Set changes how it behaves.
func (s *Server) Set(cfg Config) {
	s.mu.Lock()
	s.cfg = cfg
	s.mu.Unlock()
}

// Sent returns the commands that came, in their order.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sent(nil), s.sent...)
}

func (s *Server) serve(nc net.Conn) {
	in := bufio.NewReader(nc)
	for {
		args, err := command(in)
		if err != nil {
			return
		}
		at := time.Now()
		s.mu.Lock()
		cfg := s.cfg
		if cfg.Keep && len(args) > 2 {
			s.sent = append(s.sent, Sent{at, args[1], args[2], args[0]})
		}
		s.mu.Unlock()
		if cfg.Group != nil && len(args) > 3 && args[0] == "Q.DO" {
			cfg.Group.run(at, args[3])
		}
		answer := "+PONG\r\n"
		if len(args) > 2 {
			if cfg.Silent {
				continue
			}
			v := cfg.Value
			if v == "" {
				v = args[0] + " " + args[2]
			}
			answer = fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(v), v)
			time.Sleep(cfg.Delay + s.queue(at))
		}
		if _, err := nc.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// Bears is the part of its work that the server can do at a time.
func (c *Config) Bears(at time.Time) float64 {
	if c.Within <= 0 || c.Started.IsZero() {
		return 1
	}
	return c.From + (1-c.From)*max(0, min(1, at.Sub(c.Started).Seconds()/c.Within.Seconds()))
}

// queue is how long a command takes that comes now, behind those that came before it.
func (s *Server) queue(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Work <= 0 {
		return 0
	}
	if s.busy.Before(at) || s.busy.Before(s.cfg.Started) {
		s.busy = at
	}
	s.busy = s.busy.Add(time.Duration(float64(s.cfg.Work) / s.cfg.Bears(at)))
	return s.busy.Sub(at)
}

// Restart has it begin anew, cold, with nothing to do.
func (s *Server) Restart(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Started, s.busy = at, at
}

// command reads an array of bulk strings.
func command(in *bufio.Reader) ([]string, error) {
	n, err := number(in, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, n)
	for range n {
		size, err := number(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		for at := 0; at < len(b); {
			m, err := in.Read(b[at:])
			if err != nil {
				return nil, err
			}
			at += m
		}
		args = append(args, string(b[:size]))
	}
	return args, nil
}

func number(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("%q does not begin with %q", line, kind)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("length %q", line)
	}
	return n, nil
}

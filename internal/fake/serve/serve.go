// Package serve is what stand-ins that speak over plain connections have in common: a listener on loopback, its
// connections, and an end as that of a process that dies.
package serve

import (
	"net"
	"sync"
)

// Server takes connections and hands each to a function.
type Server struct {
	ln   net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
	most int // connections at once so far
	came int // connections so far
	wg   sync.WaitGroup
}

// Start listens. Each connection is closed when the function returns.
func Start(handle func(net.Conn)) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, open: map[net.Conn]bool{}}
	s.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[nc] = true
			s.came++
			s.most = max(s.most, len(s.open))
			s.mu.Unlock()
			s.wg.Go(func() {
				handle(nc)
				nc.Close()
				s.mu.Lock()
				delete(s.open, nc)
				s.mu.Unlock()
			})
		}
	})
	return s, nil
}

// Conns tells of its connections: those open now, the most at once, and all that came.
func (s *Server) Conns() (open, most, came int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.most, s.came
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Drop ends all connections, as a machine that has lost its power and has it back; new ones are taken.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.open {
		nc.Close()
	}
}

// Close ends the listener and all connections, and waits for the functions to return.
func (s *Server) Close() {
	s.ln.Close()
	s.Drop()
	s.wg.Wait()
}

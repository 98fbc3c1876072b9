// Package serve holds what fakes that speak over plain TCP connections have in common: a listener on loopback, its
// connections, and an end like that of a process that dies.
package serve

import (
	"net"
	"sync"
)

// Server accepts connections and hands each to a function. It is safe for concurrent use.
type Server struct {
	listener net.Listener

	// mu guards the fields below.
	mu   sync.Mutex
	open map[net.Conn]bool
	// maxOpen is the largest number of connections that were open at once.
	maxOpen int
	// accepted counts all connections.
	accepted int

	// waitGroup counts the goroutines of the listener and of the connections.
	waitGroup sync.WaitGroup
}

// Start listens on a free port of loopback and calls handle for each connection on a goroutine of its own. A
// connection is closed when handle returns.
func Start(handle func(net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, open: map[net.Conn]bool{}}
	s.waitGroup.Go(func() { s.accept(handle) })
	return s, nil
}

// accept accepts connections until the listener is closed.
func (s *Server) accept(handle func(net.Conn)) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.add(conn)
		s.waitGroup.Go(func() {
			handle(conn)
			_ = conn.Close() // it may be closed already
			s.remove(conn)
		})
	}
}

func (s *Server) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = true
	s.accepted++
	s.maxOpen = max(s.maxOpen, len(s.open))
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// Conns returns the number of connections that are open, the most that were open at once, and all that were accepted.
func (s *Server) Conns() (open, most, came int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.maxOpen, s.accepted
}

// Addr returns the host and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Drop closes all connections, like a machine that has lost its power and has it back. New ones are accepted.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close() // it may be closed already
	}
}

// Close closes the listener and all connections, and waits for their handlers to return.
func (s *Server) Close() {
	_ = s.listener.Close() // it may be closed already
	s.Drop()
	s.waitGroup.Wait()
}

// Package serve is the TCP server that the fakes share: it listens on loopback, tracks its connections and can close
// them abruptly, as the death of a process does.
package serve

import (
	"net"
	"sync"
)

// Server accepts connections and passes each to a handler. It is safe for concurrent use.
type Server struct {
	listener net.Listener

	// mu guards the fields below.
	mu   sync.Mutex
	open map[net.Conn]bool
	// maxOpen is the largest number of connections that were open at the same time.
	maxOpen int
	// accepted counts all connections accepted so far.
	accepted int

	// waitGroup tracks the goroutines of the listener and of the connections.
	waitGroup sync.WaitGroup
}

// Start listens on a free loopback port and calls handle for each connection on its own goroutine. A connection is
// closed when handle returns.
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

// Conns returns the number of open connections, the largest number that were open at the same time, and the number
// accepted so far.
func (s *Server) Conns() (open, maxOpen, accepted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.maxOpen, s.accepted
}

// Addr returns the host and port that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// CloseConns closes all connections, as when a host loses power and comes back. New connections are still accepted.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close() // it may be closed already
	}
}

// Close closes the listener and all connections and waits for the handlers to return.
func (s *Server) Close() {
	_ = s.listener.Close() // it may be closed already
	s.CloseConns()
	s.waitGroup.Wait()
}

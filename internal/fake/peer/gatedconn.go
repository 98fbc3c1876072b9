package peer

import "net"

// GatedConn is the server's side of a connection whose reader can be held back, as by a process that is late. Set its
// fields before the first read.
type GatedConn struct {
	*net.TCPConn
	// Before holds back each read until it is closed. nil: reads are not held back.
	Before chan struct{}
	// Taken is closed once bytes were read, which Read returns only after Release is closed. nil: they are returned at
	// once.
	Taken   chan struct{}
	Release chan struct{}

	hasTaken bool
}

// Read implements [net.Conn]. Only one goroutine may call it.
func (g *GatedConn) Read(b []byte) (int, error) {
	if g.Before != nil {
		<-g.Before
	}
	n, err := g.TCPConn.Read(b)
	if n > 0 && g.Taken != nil && !g.hasTaken {
		g.hasTaken = true
		close(g.Taken)
		<-g.Release
	}
	return n, err
}

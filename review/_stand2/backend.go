package main

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// backend is a stand-in for a backend. Each request is handled on its connection, in order.
type backend struct {
	name    string
	addr    string
	ln      net.Listener
	startMS int64
	// handle answers a request. It runs on the connection's goroutine.
	handle func(b *backend, c *backendConn, words []string)

	mu    sync.Mutex
	conns map[*backendConn]bool
}

// backendConn is a connection to a backend.
type backendConn struct {
	net.Conn
	in *bufio.Reader
	wr sync.Mutex
}

func (c *backendConn) send(b []byte) error {
	c.wr.Lock()
	defer c.wr.Unlock()
	_, err := c.Conn.Write(b)
	return err
}

// startBackend starts a backend on a free port.
func startBackend(name string, handle func(*backend, *backendConn, []string)) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("backend: %v", err)
	}
	b := &backend{name: name, addr: ln.Addr().String(), ln: ln, handle: handle, conns: map[*backendConn]bool{}}
	go b.accept()
	return b
}

func (b *backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		c := &backendConn{Conn: nc, in: bufio.NewReaderSize(nc, 64<<10)}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

func (b *backend) serve(c *backendConn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	for {
		words, err := readCommand(c.in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "PING":
			err = c.send([]byte("+PONG\r\n"))
		case len(words) >= 2 && words[0] == "INFO":
			err = c.send([]byte("$21\r\nlatency_ms=10,queue=0\r\n"))
		case len(words) < 4:
			err = c.send([]byte("-SYNTAX\r\n"))
		default:
			b.handle(b, c, words)
		}
		if err != nil {
			return
		}
	}
}

// entry is the backend's entry in discovery's list.
func (b *backend) entry(status string) object {
	return object{"name": b.name, "address": b.addr, "zone": "cluj-dc1", "type": "std-3c", "group": 1,
		"status": status, "weight": 1.0, "since_ms": b.startMS}
}

// after runs f once, later.
func after(d time.Duration, f func()) { time.AfterFunc(d, f) }

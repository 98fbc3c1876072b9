package main

import (
	"net"
	"sync/atomic"
	"time"
)

// link is a network link with a constant delay each way between the gateway and one backend.
type link struct {
	addr  string
	to    string
	delay time.Duration
}

// startLink starts a link to an address.
func startLink(to string, delay time.Duration) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("link: %v", err)
	}
	l := &link{addr: ln.Addr().String(), to: to, delay: delay}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(near)
		}
	}()
	return l
}

func (l *link) carry(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		near.Close()
		return
	}
	var ended atomic.Int32
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			l.pump(way[0], way[1])
			if ended.Add(1) == 2 {
				near.Close()
				far.Close()
			}
		}()
	}
}

// pump carries bytes one way, each piece for the delay, and then the end.
func (l *link) pump(from, to net.Conn) {
	type piece struct {
		due time.Time
		b   []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(l.delay), b[:n]}
			}
			if err != nil {
				pieces <- piece{time.Now().Add(l.delay), nil}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if p.b == nil {
			to.(*net.TCPConn).CloseWrite()
			continue
		}
		if _, err := to.Write(p.b); err != nil {
			from.Close()
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// backend is one flag server.
type backend struct {
	name string
	addr string
	rec  *record
	// cores holds a token for each request in work: a server has three cores and works on that many requests at once.
	cores chan struct{}
	// work returns how long a request takes.
	work func() time.Duration
	// reply writes the answer to a request. It returns false if the connection is of no further use.
	reply func(conn net.Conn, id string) (ok bool)

	mu  sync.Mutex
	rng *rand.Rand
}

// startBackend serves a backend on a free port.
func startBackend(name string, seed uint64, rec *record, reply func(net.Conn, string) bool) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{name: name, addr: ln.Addr().String(), rec: rec, cores: make(chan struct{}, 3), reply: reply,
		rng: rand.New(rand.NewPCG(seed, 7))}
	b.work = b.exponentialWork
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// exponentialWork draws a time with a mean of 100 ms, as in the site file (work_ms 77 to 130, dist exp).
func (b *backend) exponentialWork() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.ExpFloat64() * float64(100*time.Millisecond))
}

// serve answers the commands of one connection in order.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 128<<10)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "PING":
			fmt.Fprint(conn, "+PONG\r\n")
		case words[0] == "INFO":
			text := "latency_ms=100,queue=0"
			fmt.Fprintf(conn, "$%d\r\n%s\r\n", len(text), text)
		case (words[0] == "Q.ASK" || words[0] == "Q.DO") && len(words) >= 4:
			id := words[2]
			b.rec.line("backend %s begins %s %s", b.name, id, words[3])
			b.rec.sentOn(id)
			b.cores <- struct{}{}
			time.Sleep(b.work())
			<-b.cores
			b.rec.line("backend %s ran %s", b.name, id)
			if !b.reply(conn, id) {
				in.WriteTo(discard{}) // the connection stays open and is of no further use
				return
			}
		default:
			fmt.Fprint(conn, "-ERR unknown command\r\n")
		}
	}
}

// discard drops what is written to it.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// valueFor returns the value made for a request: its id, repeated up to a size.
func valueFor(id string, size int) string {
	return strings.Repeat(id+" ", size/(len(id)+1)+1)[:size]
}

// bulk encodes a bulk string.
func bulk(value string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value) }

package peer

import (
	"io"
	"net"
	"testing"
)

// Serve plays an endpoint that answers commands on whichever connection they come: health checks, and each request by
// the message that answer returns for its ID. answer is called by several goroutines and may block. Serve does not
// block; the endpoint ends with its listener and the test.
func Serve(t testing.TB, ln net.Listener, answer func(id string) string) {
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go New(t, conn).serve(answer)
		}
	}()
}

// serve answers the commands of one connection until it ends.
func (p *Peer) serve(answer func(id string) string) {
	for {
		command, err := p.Try()
		if err != nil {
			return
		}
		message := "+PONG\r\n"
		if len(command) > 2 {
			message = answer(command[2])
		}
		if _, err := io.WriteString(p.NC, message); err != nil {
			return
		}
	}
}

// Answer encodes the answer of an endpoint with a value and no usage figures.
func Answer(value string) string { return "*3\r\n" + Bulk(value) + "$-1\r\n$-1\r\n" }

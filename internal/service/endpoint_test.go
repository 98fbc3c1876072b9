package service

import (
	"io"
	"net"
	"testing"

	"gapgap/internal/fake/peer"
)

// serveEndpoint plays an endpoint that answers commands on whichever connection they come: health checks, and each
// request by the message that answer returns for its id. answer is called by several goroutines and may block.
func serveEndpoint(t *testing.T, ln net.Listener, answer func(id string) string) {
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCommands(peer.New(t, nc), answer)
		}
	}()
}

// serveCommands answers the commands of one connection until it ends.
func serveCommands(p *peer.Peer, answer func(id string) string) {
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

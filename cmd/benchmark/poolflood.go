package main

import (
	"net"
	"sync"
	"time"
)

const (
	// poolFloodConnections is how many connections a flood has.
	poolFloodConnections = 64
	// poolFloodWriteTimeout is how long a flood waits for the gateway to take a request.
	poolFloodWriteTimeout = 100 * time.Millisecond
)

// runPoolFlood floods a gateway's second pool until the parent closes the pipe.
func runPoolFlood(address string) error {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for connection := range poolFloodConnections {
		running.Go(func() { floodPool(address, connection, stop) })
	}
	reportUsage()
	close(stop)
	running.Wait()
	return nil
}

// floodPool writes requests to the second pool as fast as they are taken, and reads what comes, until stop is closed.
func floodPool(address string, connection int, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // this also ends the reader
	go discardAnswers(conn)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(poolFloodWriteTimeout))
		_, _ = conn.Write(poolRequest(1, connection, n)) // it goes on until it is stopped, also after a timeout
	}
}

// discardAnswers reads what comes until the connection ends.
func discardAnswers(conn net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

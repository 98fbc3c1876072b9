package main

import (
	"net"
	"sync"
	"time"
)

const (
	// poolFloodConnections is the number of connections of a flood.
	poolFloodConnections = 64
	// poolFloodWriteTimeout bounds the time to write a request.
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

// floodPool writes requests to the second pool as fast as they are accepted, and discards the responses, until stop is
// closed.
func floodPool(address string, connection int, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // this also stops the reader
	go discardAnswers(conn)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(poolFloodWriteTimeout))
		_, _ = conn.Write(poolRequest(1, connection, n)) // the flood continues after a timeout
	}
}

// discardAnswers reads and discards all data until the connection is closed.
func discardAnswers(conn net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

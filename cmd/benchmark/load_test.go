package main

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// TestPercentile verifies percentiles, among them that of no values, which is 0, and the 100th, which is the maximum.
func TestPercentile(t *testing.T) {
	if got := percentile(nil, 99); got != 0 {
		t.Errorf("percentile of no values is %v", got)
	}
	durations := []time.Duration{3, 1, 2, 4}
	for percent, want := range map[int]time.Duration{0: 1, 50: 3, 99: 4, 100: 4} {
		if got := percentile(durations, percent); got != want {
			t.Errorf("percentile %d is %v, not %v", percent, got, want)
		}
	}
}

// TestLoadAtRate verifies that a load sends requests at about its rate on all of its connections, and counts those that
// are not served.
func TestLoadAtRate(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go echoConnections(listener)
	requests := load{
		address:     listener.Addr().String(),
		connections: 4,
		request: func(connection, _ int) []byte {
			return []byte{byte('0' + connection), '\n'}
		},
		readAnswer: func(answers *bufio.Reader) (bool, error) {
			line, err := answers.ReadString('\n')
			return line != "0\n", err
		},
		rate:     100,
		duration: 500 * time.Millisecond,
	}
	result, err := requests.run()
	if err != nil {
		t.Fatal(err)
	}
	// Each connection may send its last request after the end, if it waited for its due time.
	if result.answered < 4 || result.answered > 60 {
		t.Errorf("%d requests in half a second at 100 per second", result.answered)
	}
	if result.unserved == 0 || result.unserved > result.answered/2 {
		t.Errorf("%d of %d not served, of one connection in four", result.unserved, result.answered)
	}
	if len(result.latencies) != result.answered {
		t.Errorf("%d latencies of %d answers", len(result.latencies), result.answered)
	}
}

// echoConnections echoes lines on all connections until the listener is closed.
func echoConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			lines := bufio.NewReader(conn)
			for {
				line, err := lines.ReadBytes('\n')
				if err != nil {
					return
				}
				if _, err := conn.Write(line); err != nil {
					return
				}
			}
		}()
	}
}

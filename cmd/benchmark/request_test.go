package main

import (
	"bufio"
	"strings"
	"testing"
)

// TestRESP2Request verifies that a RESP2 request is encoded as an array of bulk strings.
func TestRESP2Request(t *testing.T) {
	want := "*4\r\n$5\r\nQ.ASK\r\n$1\r\nc\r\n$3\r\n1-2\r\n$7\r\nunits=1\r\n"
	if got := string(resp2Request("c", "1-2", "units=1")); got != want {
		t.Errorf("%q, not %q", got, want)
	}
}

// TestReadHTTP verifies that a check counts as served if its response has status 200, and that each response is read
// completely.
func TestReadHTTP(t *testing.T) {
	answers := bufio.NewReader(strings.NewReader("HTTP/1.1 403 Forbidden\r\nContent-Length: 5\r\n\r\nHTTP/" +
		"HTTP/1.1 200 OK\r\n\r\n"))
	for _, want := range []bool{false, true} {
		served, err := readHTTP(answers)
		if err != nil || served != want {
			t.Errorf("served %t, not %t: %v", served, want, err)
		}
	}
	if _, err := readHTTP(answers); err == nil {
		t.Error("a response was read after the last one")
	}
}

// TestReadRESP2 verifies that a request counts as served if its response is a bulk string, and that each response is
// read completely.
func TestReadRESP2(t *testing.T) {
	answers := bufio.NewReader(strings.NewReader("-BUSY\r\n$3\r\n$1\r\r\n$1\r\nx\r\n"))
	for _, want := range []bool{false, true, true} {
		served, err := readRESP2(answers)
		if err != nil || served != want {
			t.Errorf("served %t, not %t: %v", served, want, err)
		}
	}
	if _, err := readRESP2(answers); err == nil {
		t.Error("a response was read after the last one")
	}
}

package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"
)

// Listen listens on a free loopback port until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// FreeAddr returns an address on which nothing listens and which is unlikely to be allocated before the test uses it.
// Its host is a random loopback address: a free port on 127.0.0.1 may be taken by a client connection a moment later.
func FreeAddr(t testing.TB) string {
	t.Helper()
	octet := func() int { return 1 + rand.IntN(254) }
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", octet(), octet(), octet()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // it was never used
	return listener.Addr().String()
}

// Accept returns the next connection of a TCP listener. It waits for at most Patient.
func Accept(t testing.TB, ln net.Listener) *Peer {
	t.Helper()
	if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(Patient)); err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return New(t, conn)
}

// ListenWithReadBuffer is Listen with a receive buffer of about the given size for each accepted connection, so that an
// endpoint that does not read holds up a writer early.
func ListenWithReadBuffer(t testing.TB, bytes int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

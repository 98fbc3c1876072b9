package peer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenLate listens on loopback with a full accept queue, so that a connection to addr comes up only after let has
// made room, with the system's next attempt: a second after the first. let returns that connection, or nil if none
// has come within a time.
func ListenLate(t testing.TB) (addr string, let func(within time.Duration) *Peer) {
	t.Helper()
	listener, err := listenWithoutQueue()
	if err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", listener.Addr().String()) // the queue holds one
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = filler.Close()
		_ = listener.Close()
	})
	return listener.Addr().String(), func(within time.Duration) *Peer {
		if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(within)); err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = accepted.Close() // the filler's
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		return New(t, conn)
	}
}

// listenWithoutQueue listens on a free port of loopback with the shortest accept queue.
func listenWithoutQueue() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	err = errors.Join(
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, 0),
		syscall.SetNonblock(fd, true),
	)
	listener, listenErr := net.FileListener(file)
	_ = file.Close() // the listener has a descriptor of its own
	if err = errors.Join(err, listenErr); err != nil {
		return nil, err
	}
	return listener, nil
}

package peer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenLate listens on loopback with a full accept queue. A connection to addr is therefore established only after
// accept has made room, when the kernel retransmits the SYN: one second after the first attempt. accept returns that
// connection, or nil if none is established within the timeout.
func ListenLate(t testing.TB) (addr string, accept func(timeout time.Duration) *Peer) {
	t.Helper()
	listener, admit := ListenFull(t)
	return listener.Addr().String(), func(timeout time.Duration) *Peer {
		if err := listener.SetDeadline(time.Now().Add(timeout)); err != nil {
			t.Fatal(err)
		}
		admit()
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		return New(t, conn)
	}
}

// ListenFull listens on loopback with a full accept queue, as ListenLate. After admit, which blocks until it has made
// room, the listener accepts as usual.
func ListenFull(t testing.TB) (listener *net.TCPListener, admit func()) {
	t.Helper()
	withoutQueue, err := listenWithoutQueue()
	if err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", withoutQueue.Addr().String()) // fills the queue, which holds one connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = filler.Close()
		_ = withoutQueue.Close()
	})
	return withoutQueue.(*net.TCPListener), func() {
		accepted, err := withoutQueue.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		_ = accepted.Close() // the filler's connection
	}
}

// listenWithoutQueue listens on a free loopback port with a backlog of 0, the shortest accept queue possible.
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
	_ = file.Close() // the listener has its own file descriptor
	if err = errors.Join(err, listenErr); err != nil {
		return nil, err
	}
	return listener, nil
}

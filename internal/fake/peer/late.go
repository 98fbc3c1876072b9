package peer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenLate is a listener whose queue is full, so that a connection to it comes up when let makes room: with the system's next try, a second after the
// first. let returns that connection; nil: none has come in time.
func ListenLate(t testing.TB) (addr string, let func(within time.Duration) *Peer) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0), syscall.SetNonblock(fd, true))
	ln, lnErr := net.FileListener(f)
	f.Close()
	if err = errors.Join(err, lnErr); err != nil {
		t.Fatal(err)
	}
	filler, err := net.Dial("tcp", ln.Addr().String()) // the queue holds one
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		filler.Close()
		ln.Close()
	})
	return ln.Addr().String(), func(within time.Duration) *Peer {
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(within))
		if nc, err := ln.Accept(); err != nil {
			t.Fatal(err)
		} else {
			nc.Close() // the filler's
		}
		nc, err := ln.Accept()
		if err != nil {
			return nil
		}
		return New(t, nc)
	}
}

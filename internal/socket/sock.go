// Package socket uses sockets without waiting.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WriteNow writes what the socket takes at once, without waiting, and returns how much that was. Nothing else may be
// writing. It spares a goroutine for each short message.
func WriteNow(nc net.Conn, b []byte) (int, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	done := 0
	var failed error
	err = rc.Write(func(fd uintptr) bool {
		for done < len(b) {
			n, err := syscall.Write(int(fd), b[done:])
			if n > 0 {
				done += n
			}
			if err == syscall.EINTR {
				continue
			}
			if err != nil && err != syscall.EAGAIN {
				failed = err
			}
			if err != nil || n <= 0 {
				break
			}
		}
		return true
	})
	if err != nil {
		return done, err
	}
	return done, failed
}

// Quiet says whether the other side has neither sent anything nor ended the connection. It works beside a
// goroutine that reads.
func Quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && still
}

// Left says whether the other side has ended the connection, also behind bytes that nobody has read yet. It works beside a goroutine
// that reads. Where the system can't tell, it says no.
func Left(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = rc.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || left
}

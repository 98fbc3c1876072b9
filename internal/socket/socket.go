// Package socket reads the state of sockets and writes to them without blocking.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WriteNow writes as much as the socket takes without blocking and returns how many bytes that was. Nothing else may be
// writing. It spares a goroutine for each short message. A connection that is no system socket takes nothing.
func WriteNow(conn net.Conn, b []byte) (written int, err error) {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return 0, err
	}
	var failed error
	err = raw.Write(func(fd uintptr) bool {
		written, failed = writeAll(int(fd), b)
		return true
	})
	if err != nil {
		return written, err
	}
	return written, failed
}

// writeAll writes until all is written, the socket is full or an error occurs. A full socket is no error.
func writeAll(fd int, b []byte) (written int, err error) {
	for written < len(b) {
		n, err := syscall.Write(fd, b[written:])
		if n > 0 {
			written += n
		}
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return written, nil
		case err != nil:
			return written, err
		case n <= 0:
			return written, nil
		}
	}
	return written, nil
}

// IsQuiet tells whether the peer has neither sent anything that is unread nor closed the connection. It may be called
// while another goroutine reads. A connection that is no system socket is quiet.
func IsQuiet(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if err != nil {
		return false
	}
	if raw == nil {
		return true
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && quiet
}

// HasPeerClosed tells whether the peer has closed the connection, also behind bytes that nobody has read yet. It may be
// called while another goroutine reads. Where the system can't tell, it returns false.
func HasPeerClosed(conn net.Conn) bool {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		closed = err == nil && n > 0 && poll[0].Revents&ended != 0
	})
	return err != nil || closed
}

// rawConn returns access to the socket of a connection; nil if it is no system socket.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return socket.SyscallConn()
}

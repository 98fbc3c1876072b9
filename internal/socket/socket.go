// Package socket checks the state of sockets and writes to them without blocking.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WriteNow writes as much as the socket accepts without blocking and returns the number of bytes. There must be no
// concurrent writes. It saves a goroutine for each short message. For a connection that is no system socket it writes
// nothing and returns 0.
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

// writeAll writes until all bytes are written, the send buffer is full or an error occurs. A full buffer is no error.
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

// IsQuiet reports whether there is no unread input and the peer has not closed the connection. It may be called while
// another goroutine reads. For a connection that is no system socket it returns true.
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

// HasPeerClosed reports whether the peer has closed the connection, even if there is unread input before the close. It
// may be called while another goroutine reads. It returns false if the connection is no system socket or polling fails.
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

// SendQueue returns how many bytes the system still keeps for the peer, which has not accepted them. It may be called
// while another goroutine writes. It returns 0 if the connection is no system socket or the number is not known.
func SendQueue(conn net.Conn) int { return queueSize(conn, unix.SIOCOUTQ) }

// ReceiveQueue returns how many bytes have arrived and are not read. It may be called while another goroutine reads. It
// returns 0 if the connection is no system socket or the number is not known.
func ReceiveQueue(conn net.Conn) int { return queueSize(conn, unix.SIOCINQ) }

// queueSize returns the number of bytes in one of the queues of a socket, or 0 if it is not known.
func queueSize(conn net.Conn, request uint) int {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), request)
		if err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return queued
}

// rawConn returns the raw connection of a system socket, or nil for any other connection.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return socket.SyscallConn()
}

package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Version is that of the packets and of the state's form. Processes of two versions hand nothing over: the new one
// starts as after a restart.
const Version = 1

const (
	// maxStateBytes bounds the state.
	maxStateBytes = 8 << 20
	// chunkBytes is how much of it is in a packet.
	chunkBytes = 48 << 10
	// maxPacketBytes bounds a packet.
	maxPacketBytes = 80 << 10
	// MaxUnreadBytes bounds the bytes that were read from a connection and may go along with it.
	MaxUnreadBytes = 64 << 10
	// stepTimeout is for the other side's next packet until all is agreed, and to send one.
	stepTimeout = 2 * time.Second
	// maxFiles is how many descriptors a packet may bring before the system cuts them off. One is expected.
	maxFiles = 4
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
)

// Kinds of packets, their first byte.
const (
	// kindHello is from the new process, with its version.
	kindHello = 'H'
	// kindRefused is from the old process, with a reason.
	kindRefused = 'R'
	// kindState has a part of the state.
	kindState = 'S'
	// kindListen ends the state: its length and checksum, and the listening socket.
	kindListen = 'L'
	// kindConfirm is from the new process: it serves from now on.
	kindConfirm = 'K'
	// kindConn has a client's connection, with what was read from it and not used.
	kindConn = 'C'
)

// ErrRefused says that the other process hands nothing over now.
var ErrRefused = errors.New("refused")

// errMalformedPacket says that a packet was cut off, empty, or had several descriptors.
var errMalformedPacket = errors.New("a packet that makes no sense")

// hello is the body of kindHello.
type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

// Link is the connection between the two processes.
type Link struct {
	conn *net.UnixConn
	// sending is held by who sends.
	sending sync.Mutex
	buffer  [maxPacketBytes]byte
}

// packet is a packet that was received. Its body is valid until the next one; its file, if it has one, is the caller's.
type packet struct {
	kind byte
	body []byte
	file *os.File
}

// closeFile closes the file of a packet that is not wanted.
func (p packet) closeFile() {
	if p.file != nil {
		closeIgnoring(p.file)
	}
}

// closeIgnoring closes what is not used any more, so its error says nothing.
func closeIgnoring(c io.Closer) { _ = c.Close() }

// Close ends the link. The other side reads an end.
func (l *Link) Close() error { return l.conn.Close() }

// send sends a packet with descriptors. Any goroutine may call it.
func (l *Link) send(kind byte, body []byte, files ...int) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	var control []byte
	if len(files) > 0 {
		control = syscall.UnixRights(files...)
	}
	_, _, err := l.conn.WriteMsgUnix(append([]byte{kind}, body...), control, nil)
	return err
}

// sendFile sends a packet with a socket.
func (l *Link) sendFile(kind byte, body []byte, socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) { sent = l.send(kind, body, int(fd)) }); err != nil {
		return err
	}
	return sent
}

// receive reads a packet, within a time; 0: it waits until the other side has gone.
func (l *Link) receive(within time.Duration) (packet, error) {
	var deadline time.Time
	if within > 0 {
		deadline = time.Now().Add(within)
	}
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return packet{}, err
	}
	control := make([]byte, syscall.CmsgSpace(maxFiles*descriptorBytes))
	n, controlBytes, flags, _, err := l.conn.ReadMsgUnix(l.buffer[:], control)
	if err != nil {
		return packet{}, err
	}
	files := filesOf(control[:controlBytes])
	const cutOff = syscall.MSG_TRUNC | syscall.MSG_CTRUNC
	if n == 0 || flags&cutOff != 0 || len(files) > 1 {
		for _, file := range files {
			closeIgnoring(file)
		}
		return packet{}, errMalformedPacket
	}
	received := packet{kind: l.buffer[0], body: l.buffer[1:n]}
	if len(files) > 0 {
		received.file = files[0]
	}
	return received, nil
}

// filesOf returns the descriptors in control messages as files.
func filesOf(control []byte) (files []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range descriptors {
			syscall.CloseOnExec(fd)
			// sockets of Go processes are, and a descriptor that is none fails when it is used
			_ = syscall.SetNonblock(fd, true)
			files = append(files, os.NewFile(uintptr(fd), "handed"))
		}
	}
	return files
}

// Ended waits until the other side has gone.
func (l *Link) Ended() {
	for {
		received, err := l.receive(0)
		received.closeFile()
		if err != nil {
			return
		}
	}
}

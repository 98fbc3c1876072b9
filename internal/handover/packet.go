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

// Version is the version of the packets and of the state's format. Between processes of different versions nothing is
// handed over: the new process starts as after a restart.
const Version = 1

const (
	// maxStateBytes is the limit on the state.
	maxStateBytes = 8 << 20
	// chunkBytes is the largest part of the state in a packet.
	chunkBytes = 48 << 10
	// maxPacketBytes is the limit on a packet.
	maxPacketBytes = 80 << 10
	// MaxUnreadBytes is the limit on the bytes that were read from a connection, not used, and handed over with it.
	MaxUnreadBytes = 64 << 10
	// stepTimeout limits the wait for the other side's next packet until the confirmation, and the sending of a packet.
	stepTimeout = 2 * time.Second
	// maxFiles is the number of descriptors received with a packet before the system truncates them. One is expected.
	maxFiles = 4
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
)

// Kinds of packets. The kind is a packet's first byte.
const (
	// kindHello is the new process's greeting, with its version.
	kindHello = 'H'
	// kindRefused is the old process's refusal, with a reason.
	kindRefused = 'R'
	// kindState carries a part of the state.
	kindState = 'S'
	// kindListen ends the state. It carries the state's length and checksum, and the listening socket.
	kindListen = 'L'
	// kindConfirm is the new process's confirmation that it serves from now on.
	kindConfirm = 'K'
	// kindConn carries a client connection, with the bytes that were read from it and not used.
	kindConn = 'C'
	// kindUpdate carries a change of the state after the confirmation. A process of an older program ignores it.
	kindUpdate = 'U'
)

// ErrRefused is returned when the old process refuses the handover.
var ErrRefused = errors.New("refused")

// errMalformedPacket is returned for a packet that was truncated or empty, or had several descriptors.
var errMalformedPacket = errors.New("malformed packet")

// hello is the body of kindHello.
type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

// Link is the connection between the two processes.
type Link struct {
	conn *net.UnixConn
	// sendMu is held while a packet is sent.
	sendMu sync.Mutex
	// buffer holds the packet received last.
	buffer [maxPacketBytes]byte
	// OnUpdate is called by Next with each change of the state that the old process sends. It must not keep the bytes.
	// Nil ignores them. It is set before Next is called.
	OnUpdate func(change []byte)
}

// packet is a received packet. Its body is valid until the next one is received. The caller closes its file, if it has
// one.
type packet struct {
	kind byte
	body []byte
	file *os.File
}

// closeFile closes the packet's file, if it has one.
func (p packet) closeFile() {
	if p.file != nil {
		closeIgnoring(p.file)
	}
}

// closeIgnoring closes a file or connection that is no longer used, whose close error does not matter.
func closeIgnoring(c io.Closer) { _ = c.Close() }

// Close closes the link. The other side reads the end of it.
func (l *Link) Close() error { return l.conn.Close() }

// send sends a packet with descriptors. It is safe for concurrent use.
func (l *Link) send(kind byte, body []byte, files ...int) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
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

// sendFile sends a packet with the descriptor of a socket.
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

// receive reads the next packet within a timeout; 0: it waits until the other side closes the link.
func (l *Link) receive(timeout time.Duration) (packet, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
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
	const truncated = syscall.MSG_TRUNC | syscall.MSG_CTRUNC
	if n == 0 || flags&truncated != 0 || len(files) > 1 {
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
			// Sockets of Go processes are nonblocking already. A descriptor that is no socket fails when it is used.
			_ = syscall.SetNonblock(fd, true)
			files = append(files, os.NewFile(uintptr(fd), "handed"))
		}
	}
	return files
}

// Ended waits until the other side has closed the link.
func (l *Link) Ended() {
	for {
		received, err := l.receive(0)
		received.closeFile()
		if err != nil {
			return
		}
	}
}

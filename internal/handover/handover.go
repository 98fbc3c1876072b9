// Package handover carries what an old process of a front door gives to the new one that takes its place: a state, the listening
// socket and clients' connections, over a Unix socket of sequenced packets in a directory that both have. It knows nothing of
// what the state says. Each side has one goroutine that reads; sending may be done by many.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Version is that of the packets and of the state's form. Processes of two versions hand nothing over: the new one starts as
// after a restart.
const Version = 1

const (
	socketName = "gapgap-upgrade.sock"
	mostState  = 8 << 20  // bytes of a state
	chunk      = 48 << 10 // bytes of it in a packet
	packet     = 80 << 10 // bytes of a packet

	// MostUnread is how many bytes that were read from a connection may go along with it.
	MostUnread = 64 << 10

	stepWithin = 2 * time.Second // for the other side's next packet until all is agreed, and to take one
)

// Kinds of packets, their first byte.
const (
	kindHello   = 'H' // from the new one, with its version
	kindRefused = 'R' // with a reason
	kindState   = 'S' // a part of the state
	kindListen  = 'L' // the end of the state: its length and checksum, and the listening socket
	kindConfirm = 'K' // from the new one: it serves from now on
	kindConn    = 'C' // a client's connection, with what was read from it and not used
)

// ErrRefused says that the other side hands nothing over now.
var ErrRefused = errors.New("refused")

type hello struct {
	Version int `json:"version"`
	PID     int `json:"pid"`
}

// Link is the connection between the two processes.
type Link struct {
	c  *net.UnixConn
	mu sync.Mutex // held by who sends
	in [packet]byte
}

// Close ends it. The other side reads an end.
func (l *Link) Close() error { return l.c.Close() }

func (l *Link) send(kind byte, body []byte, files ...int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(stepWithin))
	var oob []byte
	if len(files) > 0 {
		oob = syscall.UnixRights(files...)
	}
	_, _, err := l.c.WriteMsgUnix(append([]byte{kind}, body...), oob, nil)
	return err
}

// receive reads a packet. Its body is good until the next call; its file, if it has one, is the caller's.
func (l *Link) receive(within time.Duration) (kind byte, body []byte, file *os.File, err error) {
	var limit time.Time
	if within > 0 {
		limit = time.Now().Add(within)
	}
	l.c.SetReadDeadline(limit)
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, oobn, flags, _, err := l.c.ReadMsgUnix(l.in[:], oob)
	if err != nil {
		return 0, nil, nil, err
	}
	files := rights(oob[:oobn])
	if len(files) > 0 {
		file = files[0]
	}
	if n == 0 || flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 || len(files) > 1 {
		for _, f := range files {
			f.Close()
		}
		return 0, nil, nil, errors.New("a packet that makes no sense")
	}
	return l.in[0], l.in[1:n], file, nil
}

// rights makes files of the descriptors in control messages.
func rights(oob []byte) (files []*os.File) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range msgs {
		fds, err := syscall.ParseUnixRights(&msgs[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			syscall.SetNonblock(fd, true)
			files = append(files, os.NewFile(uintptr(fd), "handed"))
		}
	}
	return files
}

// at is the socket's address in a directory. The path of a Unix socket is short, so a long one goes by the directory's
// descriptor, which is to be closed when the address is no longer needed.
func at(dir, name string) (*net.UnixAddr, func(), error) {
	path := filepath.Join(dir, name)
	done := func() {}
	if len(path) > 100 {
		d, err := os.Open(dir)
		if err != nil {
			return nil, nil, err
		}
		path, done = "/proc/self/fd/"+strconv.Itoa(int(d.Fd()))+"/"+name, func() { d.Close() }
	}
	return &net.UnixAddr{Name: path, Net: "unixpacket"}, done, nil
}

// Listen makes the socket in a directory, in the place of one that was there, without a moment in which there is none.
func Listen(dir string) (*net.UnixListener, error) {
	name := socketName + "." + strconv.Itoa(os.Getpid())
	os.Remove(filepath.Join(dir, name))
	addr, done, err := at(dir, name)
	if err != nil {
		return nil, err
	}
	defer done()
	ln, err := net.ListenUnix("unixpacket", addr)
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then it may be another's
	if err := os.Rename(filepath.Join(dir, name), filepath.Join(dir, socketName)); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Taken is what the new process got.
type Taken struct {
	State    []byte
	Listener net.Listener
	Link     *Link // for connections; to be confirmed first
}

// Take asks the process that listens in the directory to hand over. Nothing has changed when it returns an error: an old
// process that is not told of a confirmation goes on.
func Take(dir string) (*Taken, error) {
	addr, done, err := at(dir, socketName)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, addr)
	if err != nil {
		return nil, err
	}
	t, err := take(&Link{c: c})
	if err != nil {
		c.Close()
	}
	return t, err
}

func take(l *Link) (*Taken, error) {
	text, err := json.Marshal(hello{Version, os.Getpid()})
	if err != nil {
		return nil, err
	}
	if err := l.send(kindHello, text); err != nil {
		return nil, err
	}
	t := &Taken{Link: l}
	for {
		kind, body, file, err := l.receive(stepWithin)
		if err != nil {
			return nil, err
		}
		if file != nil && kind != kindListen {
			file.Close()
			file = nil
		}
		switch kind {
		case kindRefused:
			return nil, fmt.Errorf("%w: %.200s", ErrRefused, body)
		case kindState:
			if len(t.State)+len(body) > mostState {
				return nil, fmt.Errorf("a state of more than %d bytes", mostState)
			}
			t.State = append(t.State, body...)
		case kindListen:
			if file == nil || len(body) != 8 {
				return nil, errors.New("no listening socket came")
			}
			defer file.Close()
			if n, sum := binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]); int(n) != len(t.State) || sum != crc32.ChecksumIEEE(t.State) {
				return nil, errors.New("the state's checksum is wrong")
			}
			if t.Listener, err = net.FileListener(file); err != nil {
				return nil, fmt.Errorf("the listening socket: %w", err)
			}
			return t, nil
		default:
			return nil, fmt.Errorf("a packet of kind %q came out of turn", kind)
		}
	}
}

// Confirm says that this process serves from now on, by the listener that it got.
func (l *Link) Confirm() error { return l.send(kindConfirm, nil) }

// Next waits for the next connection that is handed over, and what was read from it. An error ends it: the old process has gone.
func (l *Link) Next() (net.Conn, []byte, error) {
	for {
		kind, body, file, err := l.receive(0)
		if err != nil {
			return nil, nil, err
		}
		if file == nil {
			continue
		}
		nc, err := net.FileConn(file)
		file.Close()
		if kind != kindConn || err != nil {
			if err == nil {
				nc.Close()
			}
			continue
		}
		return nc, append([]byte(nil), body...), nil
	}
}

// Hello waits until the new process has said what it is. An error, also of another version, has been told to it.
func Hello(c *net.UnixConn) (*Link, error) {
	l := &Link{c: c}
	kind, body, file, err := l.receive(stepWithin)
	if file != nil {
		file.Close()
	}
	if err != nil {
		return nil, err
	}
	var h hello
	if kind != kindHello || json.Unmarshal(body, &h) != nil {
		return nil, errors.New("no hello came")
	}
	if h.Version != Version {
		err := fmt.Errorf("version %d asks, this one is %d", h.Version, Version)
		l.Refuse(err)
		return nil, err
	}
	return l, nil
}

// Refuse tells the new process why nothing is handed over.
func (l *Link) Refuse(reason error) { l.send(kindRefused, []byte(reason.Error())) }

// Offer hands over the state and the listening socket, and waits for the confirmation.
func (l *Link) Offer(state []byte, ln syscall.Conn) error {
	if len(state) > mostState {
		return fmt.Errorf("a state of %d bytes, %d at most", len(state), mostState)
	}
	for at := 0; at < len(state); at += chunk {
		if err := l.send(kindState, state[at:min(len(state), at+chunk)]); err != nil {
			return err
		}
	}
	end := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	end = binary.BigEndian.AppendUint32(end, crc32.ChecksumIEEE(state))
	if err := l.sendFile(kindListen, end, ln); err != nil {
		return err
	}
	kind, _, file, err := l.receive(stepWithin)
	if file != nil {
		file.Close()
	}
	if err == nil && kind != kindConfirm {
		err = fmt.Errorf("a packet of kind %q came instead of a confirmation", kind)
	}
	return err
}

// Hand gives a connection away, with what was read from it and not used, MostUnread bytes at most. The caller still has to
// close its own end of it. Any goroutine may call it.
func (l *Link) Hand(c syscall.Conn, unread []byte) error {
	if len(unread) > MostUnread {
		return fmt.Errorf("%d bytes unread, %d at most", len(unread), MostUnread)
	}
	return l.sendFile(kindConn, unread, c)
}

func (l *Link) sendFile(kind byte, body []byte, c syscall.Conn) error {
	rc, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := rc.Control(func(fd uintptr) { sent = l.send(kind, body, int(fd)) }); err != nil {
		return err
	}
	return sent
}

// Ended waits until the other side has gone.
func (l *Link) Ended() {
	for {
		_, _, file, err := l.receive(0)
		if file != nil {
			file.Close()
		}
		if err != nil {
			return
		}
	}
}

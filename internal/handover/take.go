package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"os"
)

// stateEndBytes is the size of the body of kindListen: the state's length and its checksum.
const stateEndBytes = 8

// Taken is what the new process received.
type Taken struct {
	State    []byte
	Listener net.Listener
	// Link delivers connections after Link.Confirm.
	Link *Link
}

// Take requests a handover from the process that listens in the directory. After an error nothing has changed, as an
// old process that gets no confirmation goes on serving. The error is ErrRefused if the old process refuses.
func Take(dir string) (*Taken, error) {
	addr, done, err := address(dir, socketName)
	if err != nil {
		return nil, err
	}
	defer done()
	conn, err := net.DialUnix(network, nil, addr)
	if err != nil {
		return nil, err
	}
	taken, err := take(&Link{conn: conn})
	if err != nil {
		closeIgnoring(conn)
	}
	return taken, err
}

// take sends the greeting and receives the state and the listening socket.
func take(link *Link) (*Taken, error) {
	text, err := json.Marshal(hello{Version: Version, PID: os.Getpid()})
	if err != nil {
		return nil, err
	}
	if err := link.send(kindHello, text); err != nil {
		return nil, err
	}
	taken := &Taken{Link: link}
	for {
		received, err := link.receive(stepTimeout)
		if err != nil {
			return nil, err
		}
		done, err := taken.handle(received)
		received.closeFile()
		if err != nil {
			return nil, err
		}
		if done {
			return taken, nil
		}
	}
}

// handle processes one packet and reports whether it was the last one.
func (t *Taken) handle(received packet) (done bool, err error) {
	switch received.kind {
	case kindRefused:
		return false, fmt.Errorf("%w: %.200s", ErrRefused, received.body)
	case kindState:
		if len(t.State)+len(received.body) > maxStateBytes {
			return false, fmt.Errorf("the state has more than %d bytes", maxStateBytes)
		}
		t.State = append(t.State, received.body...)
		return false, nil
	case kindListen:
		return true, t.finish(received)
	}
	return false, fmt.Errorf("unexpected packet of kind %q", received.kind)
}

// finish verifies the state's length and checksum and opens the listening socket.
func (t *Taken) finish(received packet) error {
	if received.file == nil || len(received.body) != stateEndBytes {
		return errors.New("the listening socket is missing")
	}
	length := binary.BigEndian.Uint32(received.body)
	sum := binary.BigEndian.Uint32(received.body[4:])
	if int(length) != len(t.State) || sum != crc32.ChecksumIEEE(t.State) {
		return errors.New("the state's length or checksum is wrong")
	}
	listener, err := net.FileListener(received.file)
	if err != nil {
		return fmt.Errorf("the listening socket: %w", err)
	}
	t.Listener = listener
	return nil
}

// Confirm tells the old process that this one serves from now on, with the listener that it received.
func (l *Link) Confirm() error { return l.send(kindConfirm, nil) }

// Next returns the next connection that is handed over, with the bytes that were read from it and not used. After an
// error no more connections follow: the old process has closed the link.
func (l *Link) Next() (net.Conn, []byte, error) {
	for {
		received, err := l.receive(0)
		if err != nil {
			return nil, nil, err
		}
		if received.kind == kindUpdate && l.OnUpdate != nil {
			l.OnUpdate(received.body)
		}
		if received.file == nil {
			continue
		}
		conn, err := net.FileConn(received.file)
		received.closeFile()
		if err != nil {
			continue
		}
		if received.kind != kindConn {
			closeIgnoring(conn)
			continue
		}
		return conn, append([]byte(nil), received.body...), nil
	}
}

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

// Taken is what the new process got.
type Taken struct {
	State    []byte
	Listener net.Listener
	// Link brings connections, once it is confirmed.
	Link *Link
}

// Take asks the process that listens in the directory to hand over. Nothing has changed when it returns an error: an
// old process that gets no confirmation goes on. ErrRefused says that it was refused.
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

// take says hello and receives the state and the listening socket.
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

// handle takes one packet and tells whether all has come.
func (t *Taken) handle(received packet) (done bool, err error) {
	switch received.kind {
	case kindRefused:
		return false, fmt.Errorf("%w: %.200s", ErrRefused, received.body)
	case kindState:
		if len(t.State)+len(received.body) > maxStateBytes {
			return false, fmt.Errorf("a state of more than %d bytes", maxStateBytes)
		}
		t.State = append(t.State, received.body...)
		return false, nil
	case kindListen:
		return true, t.finish(received)
	}
	return false, fmt.Errorf("a packet of kind %q came out of turn", received.kind)
}

// finish checks the state against its length and checksum, and takes the listening socket.
func (t *Taken) finish(received packet) error {
	if received.file == nil || len(received.body) != stateEndBytes {
		return errors.New("no listening socket came")
	}
	length := binary.BigEndian.Uint32(received.body)
	sum := binary.BigEndian.Uint32(received.body[4:])
	if int(length) != len(t.State) || sum != crc32.ChecksumIEEE(t.State) {
		return errors.New("the state's checksum is wrong")
	}
	listener, err := net.FileListener(received.file)
	if err != nil {
		return fmt.Errorf("the listening socket: %w", err)
	}
	t.Listener = listener
	return nil
}

// Confirm says that this process serves from now on, by the listener that it got.
func (l *Link) Confirm() error { return l.send(kindConfirm, nil) }

// Next waits for the next connection that is handed over, and returns it with what was read from it. An error ends it:
// the old process has gone.
func (l *Link) Next() (net.Conn, []byte, error) {
	for {
		received, err := l.receive(0)
		if err != nil {
			return nil, nil, err
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

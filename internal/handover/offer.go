package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"syscall"
)

// Hello waits until the new process has said what it is. An error, also of another version, has been told to it.
func Hello(conn *net.UnixConn) (*Link, error) {
	link := &Link{conn: conn}
	received, err := link.receive(stepTimeout)
	received.closeFile()
	if err != nil {
		return nil, err
	}
	var greeting hello
	if received.kind != kindHello || json.Unmarshal(received.body, &greeting) != nil {
		return nil, errors.New("no hello came")
	}
	if greeting.Version != Version {
		err := fmt.Errorf("version %d asks, this one is %d", greeting.Version, Version)
		link.Refuse(err)
		return nil, err
	}
	return link, nil
}

// Refuse tells the new process why nothing is handed over. A process that can't be told sees the end of the link.
func (l *Link) Refuse(reason error) { _ = l.send(kindRefused, []byte(reason.Error())) }

// Offer hands over the state and the listening socket, and waits for the confirmation.
func (l *Link) Offer(state []byte, listener syscall.Conn) error {
	if len(state) > maxStateBytes {
		return fmt.Errorf("a state of %d bytes, %d at most", len(state), maxStateBytes)
	}
	for at := 0; at < len(state); at += chunkBytes {
		if err := l.send(kindState, state[at:min(len(state), at+chunkBytes)]); err != nil {
			return err
		}
	}
	end := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	end = binary.BigEndian.AppendUint32(end, crc32.ChecksumIEEE(state))
	if err := l.sendFile(kindListen, end, listener); err != nil {
		return err
	}
	received, err := l.receive(stepTimeout)
	received.closeFile()
	if err == nil && received.kind != kindConfirm {
		err = fmt.Errorf("a packet of kind %q came instead of a confirmation", received.kind)
	}
	return err
}

// Hand gives a connection away, with what was read from it and not used, MaxUnreadBytes at most. The caller still has
// to close its own end. Any goroutine may call it.
func (l *Link) Hand(conn syscall.Conn, unread []byte) error {
	if len(unread) > MaxUnreadBytes {
		return fmt.Errorf("%d bytes unread, %d at most", len(unread), MaxUnreadBytes)
	}
	return l.sendFile(kindConn, unread, conn)
}

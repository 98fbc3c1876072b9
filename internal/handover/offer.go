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

// Hello waits for the new process's greeting. A process of another version is refused and told the reason.
func Hello(conn *net.UnixConn) (*Link, error) {
	link := &Link{conn: conn}
	received, err := link.receive(stepTimeout)
	received.closeFile()
	if err != nil {
		return nil, err
	}
	var greeting hello
	if received.kind != kindHello || json.Unmarshal(received.body, &greeting) != nil {
		return nil, errors.New("the first packet is not a greeting")
	}
	if greeting.Version != Version {
		err := fmt.Errorf("version %d asks, this one is %d", greeting.Version, Version)
		link.Refuse(err)
		return nil, err
	}
	return link, nil
}

// Refuse tells the new process why nothing is handed over. If sending fails, the new process sees the link close.
func (l *Link) Refuse(reason error) { _ = l.send(kindRefused, []byte(reason.Error())) }

// Offer sends the state and the listening socket, and waits for the confirmation.
func (l *Link) Offer(state []byte, listener syscall.Conn) error {
	if len(state) > maxStateBytes {
		return fmt.Errorf("the state has %d bytes, the limit is %d", len(state), maxStateBytes)
	}
	for offset := 0; offset < len(state); offset += chunkBytes {
		if err := l.send(kindState, state[offset:min(len(state), offset+chunkBytes)]); err != nil {
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
		err = fmt.Errorf("received a packet of kind %q instead of a confirmation", received.kind)
	}
	return err
}

// SendUpdate sends a change of the state, chunkBytes at most, after Offer has returned without an error. It is safe for
// concurrent use.
func (l *Link) SendUpdate(change []byte) error {
	if len(change) > chunkBytes {
		return fmt.Errorf("a change of %d bytes, the limit is %d", len(change), chunkBytes)
	}
	return l.send(kindUpdate, change)
}

// Hand sends a connection with the bytes that were read from it and not used, MaxUnreadBytes at most. The caller still
// has to close its own descriptor of the connection. Hand is safe for concurrent use.
func (l *Link) Hand(conn syscall.Conn, unread []byte) error {
	if len(unread) > MaxUnreadBytes {
		return fmt.Errorf("%d unread bytes, the limit is %d", len(unread), MaxUnreadBytes)
	}
	return l.sendFile(kindConn, unread, conn)
}

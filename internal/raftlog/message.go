package raftlog

import (
	"encoding/binary"
	"errors"
)

// Kinds of messages between voters. The kind is a message's first byte.
const (
	kindRaft      = 'S'
	kindBootstrap = 'B'
	kindTail      = 'T'
)

// ErrMalformed is returned for bytes that are not a valid message of a voter.
var ErrMalformed = errors.New("malformed voter message")

// uvarintReader reads consecutive uvarints from a byte slice.
type uvarintReader struct {
	rest   []byte
	failed bool // an uvarint was missing or invalid
}

// next returns the next uvarint, or zero if there is none.
func (r *uvarintReader) next() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// appendUvarints appends values in the encoding that uvarintReader reads.
func appendUvarints(b []byte, values ...uint64) []byte {
	for _, value := range values {
		b = binary.AppendUvarint(b, value)
	}
	return b
}

// raftEnvelope is a raft message with the disk numbers of its sender and receiver.
type raftEnvelope struct {
	fromDisk, toDisk uint64
	message          []byte
}

func (e raftEnvelope) encode() []byte {
	return append(appendUvarints([]byte{kindRaft}, e.fromDisk, e.toDisk), e.message...)
}

func decodeRaftEnvelope(body []byte) (e raftEnvelope, err error) {
	r := uvarintReader{rest: body}
	e.fromDisk, e.toDisk = r.next(), r.next()
	if r.failed {
		return raftEnvelope{}, ErrMalformed
	}
	e.message = r.rest
	return e, nil
}

// bootstrapMessage describes the sender's disk and whether its log is bootstrapped.
type bootstrapMessage struct {
	disk  uint64         // number of the sender's disk
	disks map[int]uint64 // disk numbers of the sender's log, by voter; empty: it has no log
	term  uint64         // the sender's; zero: it has no log
}

// encode returns the message with the disk numbers of the given voters.
func (m bootstrapMessage) encode(voters []int) []byte {
	b := appendUvarints([]byte{kindBootstrap}, m.disk, uint64(len(m.disks)))
	for _, voter := range voters {
		if number, ok := m.disks[voter]; ok {
			b = appendUvarints(b, uint64(voter), number)
		}
	}
	if m.term > 0 {
		b = appendUvarints(b, m.term)
	}
	return b
}

func decodeBootstrap(body []byte, maxDisks int) (m bootstrapMessage, err error) {
	r := uvarintReader{rest: body}
	m.disk = r.next()
	count := r.next()
	if m.disk == 0 || count > uint64(maxDisks) {
		return bootstrapMessage{}, ErrMalformed
	}
	m.disks = map[int]uint64{}
	for range count {
		voter, number := r.next(), r.next()
		m.disks[int(voter)] = number
	}
	m.term = r.next() // zero if the message has no term
	return m, nil
}

// tailMessage reports the last entry of a voter's log. Voters without a leader send it.
type tailMessage struct {
	disk         uint64 // number of the sender's disk
	term, index  uint64 // of the sender's last entry
	receiverDisk uint64 // number of the receiver's disk, as known to the sender
}

func (m tailMessage) encode() []byte {
	return appendUvarints([]byte{kindTail}, m.disk, m.term, m.index, m.receiverDisk)
}

func decodeTail(body []byte) (m tailMessage, err error) {
	r := uvarintReader{rest: body}
	m = tailMessage{disk: r.next(), term: r.next(), index: r.next(), receiverDisk: r.next()}
	if r.failed {
		return tailMessage{}, ErrMalformed
	}
	return m, nil
}

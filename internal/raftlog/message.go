package raftlog

import (
	"encoding/binary"
	"errors"
)

// Kinds of messages between voters, their first byte.
const (
	kindRaft      = 'S'
	kindBootstrap = 'B'
	kindTail      = 'T'
)

// ErrMalformed says that bytes are no message of a voter.
var ErrMalformed = errors.New("no message of a voter")

// uvarintReader reads numbers from the beginning of bytes.
type uvarintReader struct {
	rest   []byte
	failed bool // there was no number
}

// next returns the next number; zero if there is none.
func (r *uvarintReader) next() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// appendUvarints appends numbers as uvarintReader reads them.
func appendUvarints(b []byte, values ...uint64) []byte {
	for _, value := range values {
		b = binary.AppendUvarint(b, value)
	}
	return b
}

// raftEnvelope is one of raft's own messages with the numbers of the disks that it is from and to.
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

// bootstrapMessage says whether the sender's log is bootstrapped.
type bootstrapMessage struct {
	disk  uint64         // number of the sender's own
	disks map[int]uint64 // numbers of all disks of the sender's log, by voter; empty: it has none
	term  uint64         // of the sender; zero without a log
}

// encode writes the disks of the given voters.
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
	m.term = r.next() // zero if there is none
	return m, nil
}

// tailMessage says how long the log of a voter is that knows no leader.
type tailMessage struct {
	disk         uint64 // number of the sender's own
	term, index  uint64 // of the sender's last entry
	receiverDisk uint64 // number of the receiver's disk as the sender knows it
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

package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a request across all gateways. It is a hash of the request's customer, class and idempotency key.
type Key [16]byte

// KeyOf returns the key for a list of parts that identify a request. It hashes the length of each part with the part,
// so that different lists whose concatenation is equal have different keys.
func KeyOf(parts ...string) (key Key) {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	copy(key[:], hash.Sum(nil))
	return key
}

// Owner identifies the reservation that holds a key.
type Owner struct {
	// Process is the random number that identifies the coordinator's process.
	Process uint64 `cbor:"1,keyasint"`
	// Sequence is the number of the reservation in that process.
	Sequence uint64 `cbor:"2,keyasint"`
}

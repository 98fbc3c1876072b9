package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a request over all gateways: a hash of its customer, class and idempotency key.
type Key [16]byte

// KeyOf returns the key of a request that the parts identify. Lists of parts that differ have different keys.
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
	// Process is the random number of the coordinator's process.
	Process uint64 `cbor:"1,keyasint"`
	// Sequence is the reservation's number in that process.
	Sequence uint64 `cbor:"2,keyasint"`
}

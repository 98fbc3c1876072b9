package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"gapgap/internal/membership"
)

// Hash identifies a policy document by its content.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 hash of a document.
func HashOf(document []byte) Hash { return sha256.Sum256(document) }

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// HashError reports that a text is not a hash in hexadecimal.
type HashError struct {
	Text string
}

func (e *HashError) Error() string {
	return fmt.Sprintf("%q is not a hexadecimal SHA-256 hash", e.Text)
}

// UnmarshalText implements [encoding.TextUnmarshaler]. Its error is a [*HashError].
func (h *Hash) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(h[:], text); err != nil || n != len(h) {
		return &HashError{Text: string(text)}
	}
	return nil
}

// Version is a committed policy version. The zero value means that there is none.
type Version struct {
	// Number is the position among the committed versions, starting from 1.
	Number uint64 `cbor:"1,keyasint" json:"version"`
	// Hash is the hash of the policy document.
	Hash Hash `cbor:"2,keyasint" json:"hash"`
}

// Process identifies one process of a gateway, from its start to its end.
type Process struct {
	_ struct{} `cbor:",toarray"`
	// Gateway is the index of the gateway in the list of all gateways.
	Gateway uint16 `json:"rank"`
	// ID distinguishes the processes of one gateway and orders them by age.
	ID membership.ID `json:"id"`
}

package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"gapgap/internal/membership"
)

// Hash identifies a policy document by its content.
type Hash [sha256.Size]byte

// HashOf returns the hash of a document.
func HashOf(document []byte) Hash { return sha256.Sum256(document) }

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// HashError says that a text is not a hash in hexadecimal.
type HashError struct {
	Text string
}

func (e *HashError) Error() string { return fmt.Sprintf("%q is no hash", e.Text) }

// UnmarshalText implements [encoding.TextUnmarshaler]. Its error is a [*HashError].
func (h *Hash) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(h[:], text); err != nil || n != len(h) {
		return &HashError{Text: string(text)}
	}
	return nil
}

// Version is a committed policy. The zero value stands for none.
type Version struct {
	// Number counts committed versions from 1.
	Number uint64 `cbor:"1,keyasint" json:"version"`
	// Hash identifies the document.
	Hash Hash `cbor:"2,keyasint" json:"hash"`
}

// Process is one process lifetime of a gateway.
type Process struct {
	_ struct{} `cbor:",toarray"`
	// Gateway is the index in the list of all gateways.
	Gateway uint16 `json:"rank"`
	// ID tells the processes of one gateway apart.
	ID membership.ID `json:"id"`
}

package policy

import "github.com/fxamacker/cbor/v2"

// Entry is one entry of the replicated log. Exactly one field is set.
type Entry struct {
	Propose      *Change       `cbor:"1,keyasint,omitempty"`
	Join         *Process      `cbor:"2,keyasint,omitempty"`
	Leave        *Process      `cbor:"3,keyasint,omitempty"`
	Commit       *Commit       `cbor:"4,keyasint,omitempty"`
	Abort        *Abort        `cbor:"5,keyasint,omitempty"`
	SwitchReport *SwitchReport `cbor:"6,keyasint,omitempty"`
	Recovery     *Recovery     `cbor:"7,keyasint,omitempty"`
}

// Encode returns the bytes that [Node.Apply] reads.
func (e Entry) Encode() ([]byte, error) { return cbor.Marshal(e) }

// Commit makes the pending change the current version. It is void unless it names all processes that may decide.
type Commit struct {
	// Index is that of the change.
	Index uint64 `cbor:"1,keyasint"`
	// Locked are the processes that have locked.
	Locked []Process `cbor:"2,keyasint,omitempty"`
	// Fenced are the processes whose leases have expired; they have to join again.
	Fenced []Process `cbor:"3,keyasint,omitempty"`
	// DecidedAt is wall time in Unix milliseconds.
	DecidedAt int64 `cbor:"4,keyasint"`
}

// Abort ends the pending change without effect.
type Abort struct {
	// Index is that of the change.
	Index uint64 `cbor:"1,keyasint"`
	// Reason is for people to read.
	Reason string `cbor:"2,keyasint"`
	// DecidedAt is wall time in Unix milliseconds.
	DecidedAt int64 `cbor:"3,keyasint"`
}

// SwitchReport records when gateways have switched to a version.
type SwitchReport struct {
	// Version is the number of the version.
	Version uint64 `cbor:"1,keyasint"`
	// SwitchedAt is each gateway's wall time in Unix milliseconds, by index.
	SwitchedAt map[uint16]int64 `cbor:"2,keyasint"`
}

// Recovery records that a majority of the voters' disks was given up and that the log goes on with what one of them
// had.
type Recovery struct {
	// Author is the operator.
	Author string `cbor:"1,keyasint,omitempty"`
	// Lost are the voters that were named as lost.
	Lost []uint16 `cbor:"2,keyasint,omitempty"`
	// RecoveredAt is wall time in Unix milliseconds.
	RecoveredAt int64 `cbor:"3,keyasint"`
}

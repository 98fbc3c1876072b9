package policy

import "github.com/fxamacker/cbor/v2"

// Entry is an entry of the replicated log. Exactly one field is set.
type Entry struct {
	Propose      *Change       `cbor:"1,keyasint,omitempty"`
	Join         *Process      `cbor:"2,keyasint,omitempty"`
	Leave        *Process      `cbor:"3,keyasint,omitempty"`
	Commit       *Commit       `cbor:"4,keyasint,omitempty"`
	Abort        *Abort        `cbor:"5,keyasint,omitempty"`
	SwitchReport *SwitchReport `cbor:"6,keyasint,omitempty"`
	Recovery     *Recovery     `cbor:"7,keyasint,omitempty"`
}

// Encode returns the encoding that [Node.Apply] decodes.
func (e Entry) Encode() ([]byte, error) { return cbor.Marshal(e) }

// Commit makes the pending change the current version. It has no effect unless Locked and Fenced together name every
// process that may decide.
type Commit struct {
	// Index is the log index of the change.
	Index uint64 `cbor:"1,keyasint"`
	// Locked lists the processes that have locked the change.
	Locked []Process `cbor:"2,keyasint,omitempty"`
	// Fenced lists the processes whose leases have expired. They have to join again.
	Fenced []Process `cbor:"3,keyasint,omitempty"`
	// DecidedAt is the wall-clock time of the decision in Unix milliseconds.
	DecidedAt int64 `cbor:"4,keyasint"`
}

// Abort ends the pending change without committing it.
type Abort struct {
	// Index is the log index of the change.
	Index uint64 `cbor:"1,keyasint"`
	// Reason explains the abort; informational.
	Reason string `cbor:"2,keyasint"`
	// DecidedAt is the wall-clock time of the decision in Unix milliseconds.
	DecidedAt int64 `cbor:"3,keyasint"`
}

// SwitchReport records when gateways have switched to a version.
type SwitchReport struct {
	// Version is the version number.
	Version uint64 `cbor:"1,keyasint"`
	// SwitchedAt maps a gateway's index to the time at which it switched, by its own wall clock, in Unix milliseconds.
	SwitchedAt map[uint16]int64 `cbor:"2,keyasint"`
}

// Recovery records that an operator gave up a majority of the voters' disks and that the log continues from the data of
// one remaining voter.
type Recovery struct {
	// Author names the operator.
	Author string `cbor:"1,keyasint,omitempty"`
	// Lost lists the voters that the operator declared lost.
	Lost []uint16 `cbor:"2,keyasint,omitempty"`
	// RecoveredAt is the wall-clock time of the recovery in Unix milliseconds.
	RecoveredAt int64 `cbor:"3,keyasint"`
}

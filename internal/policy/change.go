package policy

import (
	"fmt"
)

// Limits on stored and transmitted data.
const (
	// MaxOutcomes is the number of decided changes whose outcomes are kept.
	MaxOutcomes = 200
	// MaxIDBytes is the maximum length of a change's ID and of its author.
	MaxIDBytes = 64
	// MaxReasonBytes is the maximum length of a reason and of a note.
	MaxReasonBytes = 512
	// MaxDocumentBytes is the maximum length of a policy document.
	MaxDocumentBytes = 32 << 20
)

// Mode determines how a change handles unreachable gateways.
type Mode uint8

const (
	// Wait waits for unreachable gateways and aborts the change after a timeout.
	Wait Mode = iota
	// Fence waits until the leases of unreachable gateways have expired and commits without them.
	Fence
	modeCount
)

func (m Mode) String() string {
	if m == Fence {
		return "fence"
	}
	return "wait"
}

// MarshalText implements [encoding.TextMarshaler].
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. Its error is a [*ModeError].
func (m *Mode) UnmarshalText(text []byte) (err error) {
	*m, err = ParseMode(string(text))
	return err
}

// ModeError reports that a text is not the name of a mode.
type ModeError struct {
	Text string
}

func (e *ModeError) Error() string { return fmt.Sprintf("%q is not wait or fence", e.Text) }

// ParseMode returns the mode with the given name. Its error is a [*ModeError].
func ParseMode(name string) (Mode, error) {
	switch name {
	case "wait":
		return Wait, nil
	case "fence":
		return Fence, nil
	}
	return 0, &ModeError{Text: name}
}

// Change is a proposal to replace the current version with another document.
type Change struct {
	// Index is the log index of the proposal's entry, and therefore unique. It is zero until the entry is committed.
	Index uint64 `cbor:"1,keyasint" json:"-"`
	// ID is chosen by the proposer. A change with a known ID is never decided again.
	ID string `cbor:"2,keyasint" json:"id"`
	// Base is the number of the version that the change replaces.
	Base uint64 `cbor:"3,keyasint" json:"base"`
	// Hash is the hash of the new document.
	Hash Hash `cbor:"4,keyasint" json:"hash"`
	// Bytes is the length of the new document in bytes.
	Bytes int64 `cbor:"5,keyasint" json:"bytes"`
	// Mode determines how unreachable gateways are handled.
	Mode Mode `cbor:"6,keyasint" json:"mode"`
	// Author names the proposer; informational.
	Author string `cbor:"7,keyasint,omitempty" json:"who,omitempty"`
	// Note is a free-form comment; informational.
	Note string `cbor:"8,keyasint,omitempty" json:"note,omitempty"`
	// ProposedAt is the wall-clock time of the proposal in Unix milliseconds.
	ProposedAt int64 `cbor:"9,keyasint" json:"at"`
	// Source is the index of a gateway that has the document.
	Source uint16 `cbor:"10,keyasint" json:"from"`
	// Initial marks the first version of the cluster, which takes effect without the commit protocol.
	Initial bool `cbor:"11,keyasint,omitempty" json:"begin,omitempty"`
}

// InvalidChangeError describes why a proposal is invalid.
type InvalidChangeError struct {
	Reason string
}

func (e *InvalidChangeError) Error() string { return e.Reason }

func invalidChange(format string, args ...any) error {
	return &InvalidChangeError{Reason: fmt.Sprintf(format, args...)}
}

// Validate checks a proposal against the size limits and the known modes. Its error is an [*InvalidChangeError].
func (c *Change) Validate() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes || len(c.Author) > MaxIDBytes:
		return invalidChange("the ID must have 1 to %[1]d bytes and the author at most %[1]d", MaxIDBytes)
	case len(c.Note) > MaxReasonBytes:
		return invalidChange("the note is longer than %d bytes", MaxReasonBytes)
	case c.Bytes < 0 || c.Bytes > MaxDocumentBytes:
		return invalidChange("document length %d is out of range: at most %d bytes", c.Bytes, MaxDocumentBytes)
	case c.Mode >= modeCount:
		return invalidChange("unknown mode")
	}
	return nil
}

// Outcome is the result of a decided change.
type Outcome struct {
	// Change is the decided proposal.
	Change Change `cbor:"1,keyasint" json:"change"`
	// Committed is true for a commit and false for an abort.
	Committed bool `cbor:"2,keyasint" json:"taken"`
	// Version is the version number that a committed change was given.
	Version uint64 `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Reason explains why the change was aborted.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	// DecidedAt is the wall-clock time of the decision in Unix milliseconds.
	DecidedAt int64 `cbor:"5,keyasint" json:"at"`
	// Locked lists the processes that had locked the change.
	Locked []Process `cbor:"6,keyasint,omitempty" json:"locked,omitempty"`
	// Fenced lists the processes that were fenced because their leases had expired.
	Fenced []Process `cbor:"7,keyasint,omitempty" json:"fenced,omitempty"`
	// SwitchedAt maps each gateway's index to the time at which it switched, by its own wall clock, in Unix
	// milliseconds.
	SwitchedAt map[uint16]int64 `cbor:"8,keyasint,omitempty" json:"switched,omitempty"`
}

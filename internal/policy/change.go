package policy

import (
	"fmt"
)

// Bounds of what is stored and sent.
const (
	// MaxOutcomes is the number of decided changes whose outcome is kept.
	MaxOutcomes = 200
	// MaxIDBytes bounds the id and the author of a change.
	MaxIDBytes = 64
	// MaxReasonBytes bounds a reason and a note.
	MaxReasonBytes = 512
	// MaxDocumentBytes bounds a policy document.
	MaxDocumentBytes = 32 << 20
)

// Mode is what a change does about gateways that can't be reached.
type Mode uint8

const (
	// Wait aborts the change after a time.
	Wait Mode = iota
	// Fence waits until the leases of those gateways have expired and commits without them.
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

// ModeError says that a text names no mode.
type ModeError struct {
	Text string
}

func (e *ModeError) Error() string { return fmt.Sprintf("%q is not wait or fence", e.Text) }

// ParseMode returns the mode with a name. Its error is a [*ModeError].
func ParseMode(name string) (Mode, error) {
	switch name {
	case "wait":
		return Wait, nil
	case "fence":
		return Fence, nil
	}
	return 0, &ModeError{Text: name}
}

// Change is a proposal to replace the current version by another document.
type Change struct {
	// Index is that of the proposal's entry in the log, so no two changes have the same. Zero before it is committed.
	Index uint64 `cbor:"1,keyasint" json:"-"`
	// ID is chosen by who proposes; the same id is never decided twice.
	ID string `cbor:"2,keyasint" json:"id"`
	// Base is the number of the version that the change replaces.
	Base uint64 `cbor:"3,keyasint" json:"base"`
	// Hash identifies the new document.
	Hash Hash `cbor:"4,keyasint" json:"hash"`
	// Bytes is the length of the new document.
	Bytes int64 `cbor:"5,keyasint" json:"bytes"`
	// Mode says what to do about gateways that can't be reached.
	Mode Mode `cbor:"6,keyasint" json:"mode"`
	// Author is who proposes, for people to read.
	Author string `cbor:"7,keyasint,omitempty" json:"who,omitempty"`
	// Note is for people to read.
	Note string `cbor:"8,keyasint,omitempty" json:"note,omitempty"`
	// ProposedAt is wall time in Unix milliseconds.
	ProposedAt int64 `cbor:"9,keyasint" json:"at"`
	// Source is the index of a gateway that has the document.
	Source uint16 `cbor:"10,keyasint" json:"from"`
	// Initial marks the first version of all gateways, for which nobody has to prepare.
	Initial bool `cbor:"11,keyasint,omitempty" json:"begin,omitempty"`
}

// InvalidChangeError says what is wrong with a proposal.
type InvalidChangeError struct {
	Reason string
}

func (e *InvalidChangeError) Error() string { return e.Reason }

func invalidChange(format string, args ...any) error {
	return &InvalidChangeError{Reason: fmt.Sprintf(format, args...)}
}

// Validate checks the bounds of a proposal. Its error is an [*InvalidChangeError].
func (c *Change) Validate() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes || len(c.Author) > MaxIDBytes:
		return invalidChange("an id and who proposes have up to %d bytes", MaxIDBytes)
	case len(c.Note) > MaxReasonBytes:
		return invalidChange("a note has up to %d bytes", MaxReasonBytes)
	case c.Bytes < 0 || c.Bytes > MaxDocumentBytes:
		return invalidChange("a document of %d bytes, %d at most", c.Bytes, MaxDocumentBytes)
	case c.Mode >= modeCount:
		return invalidChange("no such mode")
	}
	return nil
}

// Outcome is a change that was decided.
type Outcome struct {
	// Change is the proposal.
	Change Change `cbor:"1,keyasint" json:"change"`
	// Committed tells a commit from an abort.
	Committed bool `cbor:"2,keyasint" json:"taken"`
	// Version is the number that a committed change got.
	Version uint64 `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Reason says why the change was aborted.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	// DecidedAt is wall time in Unix milliseconds.
	DecidedAt int64 `cbor:"5,keyasint" json:"at"`
	// Locked are the processes that had locked.
	Locked []Process `cbor:"6,keyasint,omitempty" json:"locked,omitempty"`
	// Fenced are the processes whose leases had expired.
	Fenced []Process `cbor:"7,keyasint,omitempty" json:"fenced,omitempty"`
	// SwitchedAt is when each gateway switched, by its own wall clock in Unix milliseconds.
	SwitchedAt map[uint16]int64 `cbor:"8,keyasint,omitempty" json:"switched,omitempty"`
}

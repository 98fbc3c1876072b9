// Package policy is how a change of policy takes hold at all doors of a fleet or at none (docs/design/policy.md has the promise and the
// argument). It has three parts: [State], what the voters' log makes of its entries; [Coordinator], what the leader of the log does; and [Door],
// which version a door may decide by and until when.
//
// Nothing here does input or output; time, messages and the log's entries are handed in. All times are those of one monotonic clock of the
// door's own, which runs on while a process is stopped. Wall times are for people to read. Each value belongs to one goroutine.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/membership"
)

// Bounds.
const (
	MaxOutcomes      = 200      // changes whose outcome is kept
	MaxIDBytes       = 64       // bytes of a change's id, and of who proposed it
	MaxReasonBytes   = 512      // bytes of a reason and of a note
	MaxDocumentBytes = 32 << 20 // of a document
)

// Hash names a document.
type Hash [sha256.Size]byte

// HashOf is a document's.
func HashOf(doc []byte) Hash { return sha256.Sum256(doc) }

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText and UnmarshalText are for JSON.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (h *Hash) UnmarshalText(b []byte) error {
	if n, err := hex.Decode(h[:], b); err != nil || n != len(h) {
		return fmt.Errorf("%q is no hash", b)
	}
	return nil
}

// Version is a policy that was taken. Number 0: there is none yet.
type Version struct {
	Number uint64 `cbor:"1,keyasint" json:"version"`
	Hash   Hash   `cbor:"2,keyasint" json:"hash"`
}

// Process is one process of a door.
type Process struct {
	_       struct{}      `cbor:",toarray"`
	Gateway uint16        `json:"rank"`
	ID      membership.ID `json:"id"`
}

// Mode is what a change does about doors that can't be reached.
type Mode uint8

const (
	Wait  Mode = iota // it is dropped after a time
	Fence             // it waits until they have stopped deciding
	modes
)

func (m Mode) String() string {
	if m == Fence {
		return "fence"
	}
	return "wait"
}

// MarshalText is for JSON.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (m *Mode) UnmarshalText(b []byte) (err error) {
	*m, err = ParseMode(string(b))
	return err
}

// ParseMode reads a mode's name.
func ParseMode(s string) (Mode, error) {
	switch s {
	case "wait":
		return Wait, nil
	case "fence":
		return Fence, nil
	}
	return 0, fmt.Errorf("%q is not wait or fence", s)
}

// Change is a proposal.
type Change struct {
	Index      uint64 `cbor:"1,keyasint" json:"-"` // of its entry in the log: no two changes have the same
	ID         string `cbor:"2,keyasint" json:"id"`
	Base       uint64 `cbor:"3,keyasint" json:"base"` // the version that it changes
	Hash       Hash   `cbor:"4,keyasint" json:"hash"`
	Bytes      int64  `cbor:"5,keyasint" json:"bytes"`
	Mode       Mode   `cbor:"6,keyasint" json:"mode"`
	Author     string `cbor:"7,keyasint,omitempty" json:"who,omitempty"`
	Note       string `cbor:"8,keyasint,omitempty" json:"note,omitempty"`
	ProposedAt int64  `cbor:"9,keyasint" json:"at"`                         // wall clock, Unix milliseconds
	Source     uint16 `cbor:"10,keyasint" json:"from"`                      // the door that has the document
	Initial    bool   `cbor:"11,keyasint,omitempty" json:"begin,omitempty"` // the first of a fleet: there is nobody to ask
}

// Validate says what is wrong with a proposal.
func (c *Change) Validate() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxIDBytes || len(c.Author) > MaxIDBytes:
		return fmt.Errorf("an id and who proposes have up to %d bytes", MaxIDBytes)
	case len(c.Note) > MaxReasonBytes:
		return fmt.Errorf("a note has up to %d bytes", MaxReasonBytes)
	case c.Bytes < 0 || c.Bytes > MaxDocumentBytes:
		return fmt.Errorf("a document of %d bytes, %d at most", c.Bytes, MaxDocumentBytes)
	case c.Mode >= modes:
		return errors.New("no such mode")
	}
	return nil
}

// Outcome is a change that was decided.
type Outcome struct {
	Change     Change           `cbor:"1,keyasint" json:"change"`
	Committed  bool             `cbor:"2,keyasint" json:"taken"`
	Version    uint64           `cbor:"3,keyasint,omitempty" json:"version,omitempty"` // that it became
	Reason     string           `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`  // why it was dropped
	DecidedAt  int64            `cbor:"5,keyasint" json:"at"`                          // wall clock, Unix milliseconds
	Locked     []Process        `cbor:"6,keyasint,omitempty" json:"locked,omitempty"`
	Fenced     []Process        `cbor:"7,keyasint,omitempty" json:"fenced,omitempty"`
	SwitchedAt map[uint16]int64 `cbor:"8,keyasint,omitempty" json:"switched,omitempty"` // when each door did, by its wall clock
}

// Entry is one of the log's: one field is set.
type Entry struct {
	Propose      *Change       `cbor:"1,keyasint,omitempty"`
	Join         *Process      `cbor:"2,keyasint,omitempty"`
	Leave        *Process      `cbor:"3,keyasint,omitempty"`
	Commit       *Commit       `cbor:"4,keyasint,omitempty"`
	Abort        *Abort        `cbor:"5,keyasint,omitempty"`
	SwitchReport *SwitchReport `cbor:"6,keyasint,omitempty"`

	Recovery *Recovery `cbor:"7,keyasint,omitempty"`
}

// Recovery records that a majority of the voters' disks was given up, and that the log goes on by what one of them had.
type Recovery struct {
	Author      string   `cbor:"1,keyasint,omitempty"`
	Lost        []uint16 `cbor:"2,keyasint,omitempty"` // voters that were named as lost
	RecoveredAt int64    `cbor:"3,keyasint"`           // wall clock, Unix milliseconds
}

// RecoveryVersionSkip is by how much the version goes up then: no door may go by a higher one that only the lost voters knew of, as none goes back.
const RecoveryVersionSkip = 1000

// Encode makes an entry's bytes as Node.Applied reads them.
func (e Entry) Encode() ([]byte, error) { return cbor.Marshal(e) }

// Commit decides a change.
type Commit struct {
	Index     uint64    `cbor:"1,keyasint"` // of the change
	Locked    []Process `cbor:"2,keyasint,omitempty"`
	Fenced    []Process `cbor:"3,keyasint,omitempty"`
	DecidedAt int64     `cbor:"4,keyasint"`
}

// Abort decides it the other way.
type Abort struct {
	Index     uint64 `cbor:"1,keyasint"`
	Reason    string `cbor:"2,keyasint"`
	DecidedAt int64  `cbor:"3,keyasint"`
}

// SwitchReport says when doors have switched to a version.
type SwitchReport struct {
	Version    uint64           `cbor:"1,keyasint"`
	SwitchedAt map[uint16]int64 `cbor:"2,keyasint"`
}

// State is what the log's entries come to. All voters have the same at the same index.
type State struct {
	Current      Version                  `cbor:"1,keyasint"`
	Participants map[uint16]membership.ID `cbor:"2,keyasint"` // which process of each door may decide
	Pending      *Change                  `cbor:"3,keyasint,omitempty"`
	Outcomes     []Outcome                `cbor:"4,keyasint"`           // the last MostPast
	Mode         Mode                     `cbor:"5,keyasint,omitempty"` // of the fleet, from its beginning: whether doors hold leases
}

// NewState is that of an empty log.
func NewState() *State { return &State{Participants: map[uint16]membership.ID{}} }

// FindOutcome is the outcome of the change with an id; nil: it is not known.
func (s *State) FindOutcome(id string) *Outcome {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].Change.ID == id {
			return &s.Outcomes[i]
		}
	}
	return nil
}

// MayDecide says whether a process may decide by the present version.
func (s *State) MayDecide(r Process) bool { return s.Participants[r.Gateway] == r.ID }

// Processes are those that may decide, by rank.
func (s *State) Processes() (all []Process) {
	for _, rank := range slices.Sorted(maps.Keys(s.Participants)) {
		all = append(all, Process{Gateway: rank, ID: s.Participants[rank]})
	}
	return all
}

// Apply takes the entry with an index. What can't be is passed over: a take that misses somebody, a second decision, a proposal that is known.
func (s *State) Apply(index uint64, e Entry) {
	switch {
	case e.Propose != nil:
		s.propose(index, *e.Propose)
	case e.Join != nil:
		if was, ok := s.Participants[e.Join.Gateway]; s.Current.Number > 0 && (!ok || was.Before(e.Join.ID)) {
			s.Participants[e.Join.Gateway] = e.Join.ID
		}
	case e.Leave != nil:
		if s.MayDecide(*e.Leave) {
			delete(s.Participants, e.Leave.Gateway)
		}
	case e.Commit != nil:
		s.commit(*e.Commit)
	case e.Abort != nil:
		if c := s.Pending; c != nil && c.Index == e.Abort.Index {
			s.Pending = nil
			s.addOutcome(Outcome{Change: *c, Reason: e.Abort.Reason, DecidedAt: e.Abort.DecidedAt})
		}
	case e.Recovery != nil:
		s.recover(*e.Recovery)
	case e.SwitchReport != nil:
		for i := len(s.Outcomes) - 1; i >= 0; i-- {
			if o := &s.Outcomes[i]; o.Committed && o.Version == e.SwitchReport.Version {
				o.SwitchedAt = maps.Clone(o.SwitchedAt)
				if o.SwitchedAt == nil {
					o.SwitchedAt = map[uint16]int64{}
				}
				maps.Copy(o.SwitchedAt, e.SwitchReport.SwitchedAt)
				return
			}
		}
	}
}

func (s *State) propose(index uint64, c Change) {
	if c.Validate() != nil || s.FindOutcome(c.ID) != nil || s.Pending != nil && s.Pending.ID == c.ID {
		return
	}
	c.Index = index
	reason := ""
	switch {
	case c.Initial && s.Current.Number > 0:
		reason = fmt.Sprintf("the fleet has a policy, version %d", s.Current.Number)
	case c.Initial:
		s.Current, s.Mode = Version{1, c.Hash}, c.Mode
		s.addOutcome(Outcome{Change: c, Committed: true, Version: 1, DecidedAt: c.ProposedAt})
		return
	case s.Current.Number == 0:
		reason = "the fleet has not begun"
	case s.Pending != nil:
		reason = fmt.Sprintf("it conflicts with the change %q by %q, which is being decided", s.Pending.ID, s.Pending.Author)
	case c.Mode == Fence && s.Mode != Fence:
		reason = "the doors of this fleet hold no leases, so none can be fenced: its mode is wait"
	case c.Base != s.Current.Number:
		reason = fmt.Sprintf("it changes version %d, and the present one is %d", c.Base, s.Current.Number)
	default:
		s.Pending = &c
		return
	}
	s.addOutcome(Outcome{Change: c, Reason: reason, DecidedAt: c.ProposedAt})
}

func (s *State) recover(r Recovery) {
	if c := s.Pending; c != nil {
		s.Pending = nil
		s.addOutcome(Outcome{Change: *c, Reason: "a majority of the voters' disks was given up while it was decided", DecidedAt: r.RecoveredAt})
	}
	if s.Current.Number == 0 {
		return
	}
	c := Change{ID: fmt.Sprint("recover-", r.RecoveredAt), Base: s.Current.Number, Hash: s.Current.Hash, Mode: s.Mode, Author: r.Author, ProposedAt: r.RecoveredAt,
		Note: "a majority of the voters' disks was given up; versions that only they knew of are lost"}
	s.Current.Number += RecoveryVersionSkip
	s.addOutcome(Outcome{Change: c, Committed: true, Version: s.Current.Number, DecidedAt: r.RecoveredAt})
}

func (s *State) commit(t Commit) {
	c := s.Pending
	if c == nil || c.Index != t.Index || len(t.Fenced) > 0 && c.Mode != Fence {
		return
	}
	for _, r := range s.Processes() {
		if !slices.Contains(t.Locked, r) && !slices.Contains(t.Fenced, r) {
			return
		}
	}
	for _, r := range t.Fenced {
		if s.MayDecide(r) {
			delete(s.Participants, r.Gateway)
		}
	}
	s.Pending = nil
	s.Current = Version{s.Current.Number + 1, c.Hash}
	s.addOutcome(Outcome{Change: *c, Committed: true, Version: s.Current.Number, DecidedAt: t.DecidedAt, Locked: t.Locked, Fenced: t.Fenced})
}

func (s *State) addOutcome(o Outcome) {
	if s.Outcomes = append(s.Outcomes, o); len(s.Outcomes) > MaxOutcomes {
		s.Outcomes = slices.Clone(s.Outcomes[len(s.Outcomes)-MaxOutcomes:])
	}
}

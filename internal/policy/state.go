// Package policy is how a change of policy takes hold at all doors of a fleet or at none (docs/design/policy.md has the promise and the
// argument). It has three parts: [State], what the voters' log makes of its entries; [Chair], what the leader of the log does; and [Door],
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
	MostPast   = 200      // changes whose outcome is kept
	MostID     = 64       // bytes of a change's id, and of who proposed it
	MostReason = 512      // bytes of a reason and of a note
	MostBytes  = 32 << 20 // of a document
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
	N    uint64 `cbor:"1,keyasint" json:"version"`
	Hash Hash   `cbor:"2,keyasint" json:"hash"`
}

// Ref is one process of a door.
type Ref struct {
	_    struct{}      `cbor:",toarray"`
	Rank uint16        `json:"rank"`
	ID   membership.ID `json:"id"`
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
	Index uint64 `cbor:"1,keyasint" json:"-"` // of its entry in the log: no two changes have the same
	ID    string `cbor:"2,keyasint" json:"id"`
	Base  uint64 `cbor:"3,keyasint" json:"base"` // the version that it changes
	Hash  Hash   `cbor:"4,keyasint" json:"hash"`
	Bytes int64  `cbor:"5,keyasint" json:"bytes"`
	Mode  Mode   `cbor:"6,keyasint" json:"mode"`
	Who   string `cbor:"7,keyasint,omitempty" json:"who,omitempty"`
	Note  string `cbor:"8,keyasint,omitempty" json:"note,omitempty"`
	At    int64  `cbor:"9,keyasint" json:"at"`                         // wall clock, Unix milliseconds
	From  uint16 `cbor:"10,keyasint" json:"from"`                      // the door that has the document
	Begin bool   `cbor:"11,keyasint,omitempty" json:"begin,omitempty"` // the first of a fleet: there is nobody to ask
}

// Check says what is wrong with a proposal.
func (c *Change) Check() error {
	switch {
	case c.ID == "" || len(c.ID) > MostID || len(c.Who) > MostID:
		return fmt.Errorf("an id and who proposes have up to %d bytes", MostID)
	case len(c.Note) > MostReason:
		return fmt.Errorf("a note has up to %d bytes", MostReason)
	case c.Bytes < 0 || c.Bytes > MostBytes:
		return fmt.Errorf("a document of %d bytes, %d at most", c.Bytes, MostBytes)
	case c.Mode >= modes:
		return errors.New("no such mode")
	}
	return nil
}

// Outcome is a change that was decided.
type Outcome struct {
	Change   Change           `cbor:"1,keyasint" json:"change"`
	Taken    bool             `cbor:"2,keyasint" json:"taken"`
	N        uint64           `cbor:"3,keyasint,omitempty" json:"version,omitempty"` // that it became
	Reason   string           `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`  // why it was dropped
	At       int64            `cbor:"5,keyasint" json:"at"`                          // wall clock, Unix milliseconds
	Locked   []Ref            `cbor:"6,keyasint,omitempty" json:"locked,omitempty"`
	Fenced   []Ref            `cbor:"7,keyasint,omitempty" json:"fenced,omitempty"`
	Switched map[uint16]int64 `cbor:"8,keyasint,omitempty" json:"switched,omitempty"` // when each door did, by its wall clock
}

// Entry is one of the log's: one field is set.
type Entry struct {
	Propose *Change `cbor:"1,keyasint,omitempty"`
	Join    *Ref    `cbor:"2,keyasint,omitempty"`
	Leave   *Ref    `cbor:"3,keyasint,omitempty"`
	Take    *Take   `cbor:"4,keyasint,omitempty"`
	Drop    *Drop   `cbor:"5,keyasint,omitempty"`
	Report  *Report `cbor:"6,keyasint,omitempty"`

	Recover *Recover `cbor:"7,keyasint,omitempty"`
}

// Recover records that a majority of the voters' disks was given up, and that the log goes on by what one of them had.
type Recover struct {
	Who  string   `cbor:"1,keyasint,omitempty"`
	Lost []uint16 `cbor:"2,keyasint,omitempty"` // voters that were named as lost
	At   int64    `cbor:"3,keyasint"`           // wall clock, Unix milliseconds
}

// RecoverSkip is by how much the version goes up then: no door may go by a higher one that only the lost voters knew of, as none goes back.
const RecoverSkip = 1000

// Encode makes an entry's bytes as Node.Applied reads them.
func (e Entry) Encode() ([]byte, error) { return cbor.Marshal(e) }

// Take decides a change.
type Take struct {
	Index  uint64 `cbor:"1,keyasint"` // of the change
	Locked []Ref  `cbor:"2,keyasint,omitempty"`
	Fenced []Ref  `cbor:"3,keyasint,omitempty"`
	At     int64  `cbor:"4,keyasint"`
}

// Drop decides it the other way.
type Drop struct {
	Index  uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	At     int64  `cbor:"3,keyasint"`
}

// Report says when doors have switched to a version.
type Report struct {
	N        uint64           `cbor:"1,keyasint"`
	Switched map[uint16]int64 `cbor:"2,keyasint"`
}

// State is what the log's entries come to. All voters have the same at the same index.
type State struct {
	Present Version                  `cbor:"1,keyasint"`
	Serving map[uint16]membership.ID `cbor:"2,keyasint"` // which process of each door may decide
	Change  *Change                  `cbor:"3,keyasint,omitempty"`
	Past    []Outcome                `cbor:"4,keyasint"`           // the last MostPast
	Mode    Mode                     `cbor:"5,keyasint,omitempty"` // of the fleet, from its beginning: whether doors hold leases
}

// NewState is that of an empty log.
func NewState() *State { return &State{Serving: map[uint16]membership.ID{}} }

// Find is the outcome of the change with an id; nil: it is not known.
func (s *State) Find(id string) *Outcome {
	for i := len(s.Past) - 1; i >= 0; i-- {
		if s.Past[i].Change.ID == id {
			return &s.Past[i]
		}
	}
	return nil
}

// May says whether a process may decide by the present version.
func (s *State) May(r Ref) bool { return s.Serving[r.Rank] == r.ID }

// Refs are those that may decide, by rank.
func (s *State) Refs() (all []Ref) {
	for _, rank := range slices.Sorted(maps.Keys(s.Serving)) {
		all = append(all, Ref{Rank: rank, ID: s.Serving[rank]})
	}
	return all
}

// Apply takes the entry with an index. What can't be is passed over: a take that misses somebody, a second decision, a proposal that is known.
func (s *State) Apply(index uint64, e Entry) {
	switch {
	case e.Propose != nil:
		s.propose(index, *e.Propose)
	case e.Join != nil:
		if was, ok := s.Serving[e.Join.Rank]; s.Present.N > 0 && (!ok || was.Before(e.Join.ID)) {
			s.Serving[e.Join.Rank] = e.Join.ID
		}
	case e.Leave != nil:
		if s.May(*e.Leave) {
			delete(s.Serving, e.Leave.Rank)
		}
	case e.Take != nil:
		s.take(*e.Take)
	case e.Drop != nil:
		if c := s.Change; c != nil && c.Index == e.Drop.Index {
			s.Change = nil
			s.past(Outcome{Change: *c, Reason: e.Drop.Reason, At: e.Drop.At})
		}
	case e.Recover != nil:
		s.recover(*e.Recover)
	case e.Report != nil:
		for i := len(s.Past) - 1; i >= 0; i-- {
			if o := &s.Past[i]; o.Taken && o.N == e.Report.N {
				o.Switched = maps.Clone(o.Switched)
				if o.Switched == nil {
					o.Switched = map[uint16]int64{}
				}
				maps.Copy(o.Switched, e.Report.Switched)
				return
			}
		}
	}
}

func (s *State) propose(index uint64, c Change) {
	if c.Check() != nil || s.Find(c.ID) != nil || s.Change != nil && s.Change.ID == c.ID {
		return
	}
	c.Index = index
	reason := ""
	switch {
	case c.Begin && s.Present.N > 0:
		reason = fmt.Sprintf("the fleet has a policy, version %d", s.Present.N)
	case c.Begin:
		s.Present, s.Mode = Version{1, c.Hash}, c.Mode
		s.past(Outcome{Change: c, Taken: true, N: 1, At: c.At})
		return
	case s.Present.N == 0:
		reason = "the fleet has not begun"
	case s.Change != nil:
		reason = fmt.Sprintf("it conflicts with the change %q by %q, which is being decided", s.Change.ID, s.Change.Who)
	case c.Mode == Fence && s.Mode != Fence:
		reason = "the doors of this fleet hold no leases, so none can be fenced: its mode is wait"
	case c.Base != s.Present.N:
		reason = fmt.Sprintf("it changes version %d, and the present one is %d", c.Base, s.Present.N)
	default:
		s.Change = &c
		return
	}
	s.past(Outcome{Change: c, Reason: reason, At: c.At})
}

func (s *State) recover(r Recover) {
	if c := s.Change; c != nil {
		s.Change = nil
		s.past(Outcome{Change: *c, Reason: "a majority of the voters' disks was given up while it was decided", At: r.At})
	}
	if s.Present.N == 0 {
		return
	}
	c := Change{ID: fmt.Sprint("recover-", r.At), Base: s.Present.N, Hash: s.Present.Hash, Mode: s.Mode, Who: r.Who, At: r.At,
		Note: "a majority of the voters' disks was given up; versions that only they knew of are lost"}
	s.Present.N += RecoverSkip
	s.past(Outcome{Change: c, Taken: true, N: s.Present.N, At: r.At})
}

func (s *State) take(t Take) {
	c := s.Change
	if c == nil || c.Index != t.Index || len(t.Fenced) > 0 && c.Mode != Fence {
		return
	}
	for _, r := range s.Refs() {
		if !slices.Contains(t.Locked, r) && !slices.Contains(t.Fenced, r) {
			return
		}
	}
	for _, r := range t.Fenced {
		if s.May(r) {
			delete(s.Serving, r.Rank)
		}
	}
	s.Change = nil
	s.Present = Version{s.Present.N + 1, c.Hash}
	s.past(Outcome{Change: *c, Taken: true, N: s.Present.N, At: t.At, Locked: t.Locked, Fenced: t.Fenced})
}

func (s *State) past(o Outcome) {
	if s.Past = append(s.Past, o); len(s.Past) > MostPast {
		s.Past = slices.Clone(s.Past[len(s.Past)-MostPast:])
	}
}

package idempotency

import (
	"fmt"
	"iter"
	"slices"
	"time"
)

// Record is what a voter keeps on its disk: one field beside Kind says what of.
type Record struct {
	Kind   RecordKind `cbor:"1,keyasint"`
	Key    Key        `cbor:"2,keyasint,omitempty"`
	Ticket Ticket     `cbor:"3,keyasint,omitempty"`
	Number uint64     `cbor:"4,keyasint,omitempty"` // of the disk, by chance; with Known: of a process
	Disks  []uint64   `cbor:"5,keyasint,omitempty"` // with Begun: those that the fleet's keys began with; with Known: that voter's
	Rank   int        `cbor:"6,keyasint,omitempty"` // with Known: of a voter ...
	Inc    uint32     `cbor:"7,keyasint,omitempty"` // ... and the highest incarnation that was heard of
	Seq    uint64     `cbor:"8,keyasint,omitempty"` // with Disk and Known: how many records that disk has had so far
}

// RecordKind says what a record is.
type RecordKind uint8

const (
	Disk    RecordKind = iota + 1 // the disk's number: the first record
	Begun                         // this disk takes part
	Claimed                       // Ticket has Key
	Freed                         // Ticket has given Key back
	Known                         // a voter was heard of
)

// Hello is what voters tell each other now and then, of what their disks have.
type Hello struct {
	Process uint64   `cbor:"1,keyasint"`
	Inc     uint32   `cbor:"2,keyasint"` // the door's incarnation, by its disk
	Disk    uint64   `cbor:"3,keyasint"`
	Begun   bool     `cbor:"4,keyasint,omitempty"`
	Disks   []uint64 `cbor:"5,keyasint,omitempty"`
	Had     uint64   `cbor:"8,keyasint,omitempty"` // records that its disk had at the process's start ...
	Seq     uint64   `cbor:"9,keyasint,omitempty"` // ... and has kept by now

	// Of the process that this is said to: it was heard of and no later one of its door was, or else a later one was.
	Of     uint64 `cbor:"6,keyasint,omitempty"`
	Newest bool   `cbor:"7,keyasint,omitempty"`
}

// VoterConfig is one voter.
type VoterConfig struct {
	Rank    int
	Voters  []int
	Process uint64        // a random number of this process
	Keep    time.Duration // for which a key is remembered at least, from its claim or from the voter's start on
	Most    int           // keys
	Number  uint64        // by chance, for a disk that is empty
	Inc     uint32        // the incarnation with which the process started
}

// Voter says yes to one request for each key.
type Voter struct {
	cfg    VoterConfig
	begunA time.Duration // when the process began

	disk   uint64
	disks  []uint64
	begun  bool   // by its disk
	had    uint64 // records at the start ...
	seq    uint64 // ... and by now ...
	kept   uint64 // ... of which so many outlive a power loss
	known  map[int]Record
	agreed map[int]bool // voters that say that this process is the newest that they heard of
	fresh  map[int]uint64
	old    bool // another voter knows a later process of this door: the disk is an older one
	lost   bool // others have begun, and not with this disk
	alone  bool

	now, before map[Key]holder // claims of this stretch and of the one before
	turned      time.Duration
}

type holder struct {
	t     Ticket
	freed bool
}

// NewVoter is a voter that has just started, with what its disk has, in order. What it returns is to be kept before anything is said.
func NewVoter(cfg VoterConfig, now time.Duration, kept iter.Seq[Record]) (*Voter, []Record) {
	v := &Voter{cfg: cfg, begunA: now, turned: now, known: map[int]Record{}, agreed: map[int]bool{}, fresh: map[int]uint64{}, now: map[Key]holder{}, before: map[Key]holder{},
		alone: len(cfg.Voters) == 1}
	for r := range kept {
		v.seq++
		switch r.Kind {
		case Disk:
			v.disk, v.seq = r.Number, max(v.seq, r.Seq)
		case Begun:
			v.begun, v.disks = true, r.Disks
		case Claimed:
			v.now[r.Key] = holder{t: r.Ticket}
		case Freed:
			v.now[r.Key] = holder{r.Ticket, true}
		case Known:
			v.known[r.Rank] = r
		}
	}
	v.had, v.kept = v.seq, v.seq
	var out []Record
	if v.disk == 0 {
		v.disk = cfg.Number
		out = append(out, Record{Kind: Disk, Number: v.disk})
	}
	if v.alone && !v.begun && cfg.Inc <= 1 { // it never ran before
		v.begun, v.disks = true, []uint64{v.disk}
		out = append(out, Record{Kind: Begun, Disks: v.disks})
	}
	return v, v.count(out)
}

// count counts records that are to be kept.
func (v *Voter) count(out []Record) []Record {
	v.seq += uint64(len(out))
	return out
}

// Kept says that all that was returned so far outlives a power loss.
func (v *Voter) Kept() { v.kept = v.seq }

// Head is what stands before the claims of a stretch, so that what lies before it can be dropped.
func (v *Voter) Head() []Record {
	out := []Record{{Kind: Disk, Number: v.disk, Seq: v.seq}}
	if v.begun {
		out = append(out, Record{Kind: Begun, Disks: v.disks})
	}
	for _, k := range v.known {
		out = append(out, k)
	}
	return v.count(out)
}

// Snapshot is all that the disk has to have.
func (v *Voter) Snapshot() []Record {
	out := v.Head()
	head := len(out)
	for _, all := range []map[Key]holder{v.before, v.now} {
		for key, h := range all {
			r := Record{Kind: Claimed, Key: key, Ticket: h.t}
			if h.freed {
				r.Kind = Freed
			}
			out = append(out, r)
		}
	}
	v.count(out[head:])
	return out
}

// Ready says whether the voter may speak of keys, and if not, why.
func (v *Voter) Ready(now time.Duration) (bool, string) {
	over := now-v.begunA >= v.cfg.Keep // whatever it has forgotten is over
	switch {
	case over && v.begun:
		return true, ""
	case v.old:
		return false, "its disk is older than one that it had: keys that it has forgotten must be over first"
	case !v.begun && (v.lost || v.alone):
		return false, "its disk is empty: keys that it may have forgotten must be over first"
	case !v.begun:
		return false, "it has not heard whether the others have begun"
	case v.alone || len(v.agreed) >= len(v.cfg.Voters)/2:
		return true, ""
	}
	return false, "it has not heard whether its disk is its newest one"
}

// Tick is the time that goes by. What it returns is to be kept. turned says that all claims so far but those of the last stretch are forgotten.
func (v *Voter) Tick(now time.Duration) (out []Record, turned bool) {
	if !v.begun && now-v.begunA >= v.cfg.Keep {
		v.begun, v.disks = true, []uint64{v.disk}
		out = append(out, Record{Kind: Begun, Disks: v.disks})
	}
	if now-v.turned >= v.cfg.Keep {
		v.before, v.now, v.turned = v.now, map[Key]holder{}, now
		turned = true
	}
	return v.count(out), turned
}

// Hello is what is to be told a voter.
func (v *Voter) Hello(to int) Hello {
	h := Hello{Process: v.cfg.Process, Inc: v.cfg.Inc, Disk: v.disk, Begun: v.begun, Disks: v.disks, Had: v.had, Seq: v.kept}
	if k, ok := v.known[to]; ok {
		h.Of, h.Newest = k.Number, true
	}
	return h
}

// Heard takes another voter's. What it returns is to be kept before the answer, which goes back.
func (v *Voter) Heard(now time.Duration, from int, h Hello) (out []Record, answer Hello) {
	if from == v.cfg.Rank || !slices.Contains(v.cfg.Voters, from) || h.Process == 0 {
		return nil, v.Hello(from)
	}
	k, ok := v.known[from]
	same := ok && slices.Equal(k.Disks, []uint64{h.Disk})
	newest := !ok || h.Process == k.Number || h.Inc > k.Inc && (!same && h.Begun || h.Had >= k.Seq)
	if newest && (!ok || k.Number != h.Process || h.Seq > k.Seq) {
		k = Record{Kind: Known, Rank: from, Inc: max(h.Inc, k.Inc), Number: h.Process, Disks: []uint64{h.Disk}, Seq: max(h.Seq, h.Had)}
		v.known[from] = k
		out = append(out, k)
	}
	if h.Of == v.cfg.Process {
		if h.Newest {
			v.agreed[from] = true
		} else if !v.old && !v.agreed[from] {
			v.old = v.begun
		}
	}
	if !v.begun {
		if h.Begun {
			delete(v.fresh, from)
			if slices.Contains(h.Disks, v.disk) {
				out = append(out, v.begin(h.Disks))
			} else {
				v.lost = true
			}
		} else {
			v.fresh[from] = h.Disk
			if len(v.fresh) == len(v.cfg.Voters)-1 && !v.lost {
				disks := []uint64{v.disk}
				for _, d := range v.fresh {
					disks = append(disks, d)
				}
				out = append(out, v.begin(disks))
			}
		}
	}
	answer = v.Hello(from)
	answer.Of, answer.Newest = h.Process, newest
	return v.count(out), answer
}

// begin takes part from now on, on a disk that is new with the fleet's: there is nothing that it may have forgotten.
func (v *Voter) begin(disks []uint64) Record {
	v.begun, v.disks = true, slices.Clone(disks)
	return Record{Kind: Begun, Disks: v.disks}
}

// Ask answers a door, by a process's number. What it returns is to be kept before the answer is said; so must be all that was returned before. No answer: it may not
// speak yet.
func (v *Voter) Ask(now time.Duration, process uint64, a Ask) (answer Answer, out []Record, ok bool) {
	if ready, _ := v.Ready(now); !ready {
		return answer, nil, false
	}
	t := Ticket{process, a.N}
	h, has := v.now[a.Key]
	if !has {
		h, has = v.before[a.Key]
	}
	answer.N = a.N
	switch {
	case a.Release && has && h.t == t && h.freed:
		answer.Said = Gone
	case a.Release && has && h.t != t:
		answer.Said = Gone // another has the key by now
	case a.Release && !has && v.full():
		answer.Said = Gone
	case a.Release:
		v.now[a.Key] = holder{t, true} // also where the claim has not come: it may yet
		out, answer.Said = []Record{{Kind: Freed, Key: a.Key, Ticket: t}}, Gone
	case has && h.t == t && !h.freed:
		answer.Said = Yes
	case has && (h.t == t || !h.freed):
		answer.Said = Held
	case v.full():
		answer.Said = Full
	default:
		v.now[a.Key] = holder{t: t}
		out, answer.Said = []Record{{Kind: Claimed, Key: a.Key, Ticket: t}}, Yes
	}
	return answer, v.count(out), true
}

func (v *Voter) full() bool { return v.Keys() >= v.cfg.Most }

// Keys is how many are remembered.
func (v *Voter) Keys() int { return len(v.now) + len(v.before) }

// Check says what is wrong with a configuration.
func (c *VoterConfig) Check() error {
	if len(c.Voters) > mostVoters || !slices.Contains(c.Voters, c.Rank) || c.Keep <= 0 || c.Most <= 0 {
		return fmt.Errorf("no voter: %+v", *c)
	}
	return nil
}

// Bounds of what voters remember: for how long, and how many keys.
const (
	LeastKeep = 10 * time.Second
	MostKeep  = 24 * time.Hour
	MostKeys  = 4_000_000
)

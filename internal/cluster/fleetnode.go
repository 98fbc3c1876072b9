// Package cluster is one door's part in a fleet: it knows the others (package members), holds and gives leases (package seats), and says
// what this door may hand out now. Messages and time come in, messages and a [Standing] go out. It does no input or output; a [Node] belongs
// to one goroutine, which drives it by Tick some ten times a second and by Heard.
package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// TickEvery is how often Tick is to be called.
const TickEvery = 50 * time.Millisecond

// Times of a start; ours.
const (
	// beginLeast is how long a door that has started waits before it takes a part: a second process of its name is told of by then, and what
	// an earlier self has lent (share.LoanHold) is given back.
	beginLeast = 1100 * time.Millisecond
	beginMost  = 2 * time.Second // ... and after so long it does, whoever has answered
)

// Msg is what one door tells another: one of its fields is set.
type Msg struct {
	Beat  *membership.Beat  `cbor:"1,keyasint,omitempty"`
	Claim *quotalease.Claim `cbor:"2,keyasint,omitempty"`
	Grant *quotalease.Grant `cbor:"3,keyasint,omitempty"`
}

// Out is a message to a door.
type Out struct {
	To   int
	Msg  Msg
	Back bool // to where what it answers came from as well
}

// Standing is what this door may hand out.
type Standing struct {
	Gen   uint64        // grows when something is taken away; see Applied
	Part  float64       // of what is leased
	Until time.Duration // it is nothing from then on
	Out   bool          // not even what is kept without a lease: it is joining, has left, or is not the process that has its name
	Gone  []int         // ranks of doors that do not serve
}

// Config says which door this is, of how many.
type Config struct {
	Rank, Doors int
	ID          membership.ID
}

// Node is one door.
type Node struct {
	cfg           Config
	table         *membership.Table
	holder        *quotalease.Holder
	voter         *quotalease.Voter // nil: this door does not vote
	begun         time.Duration
	heard         map[int]bool // doors that have spoken since the start; until it serves
	serves        bool
	left, leaving bool
	rival         bool
	gen           uint64
	used          uint64 // the generation that is applied
	due           uint64 // the generation before whose use no claim may give seats up
	gone          []int
}

// New makes a door that has just started.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Node {
	n := &Node{cfg: cfg, begun: now, heard: map[int]bool{}, table: membership.New(membership.Config{Rank: cfg.Rank, Doors: cfg.Doors, Hubs: quotalease.Voters(cfg.Doors), ID: cfg.ID}, now, rng),
		holder: quotalease.NewHolder(cfg.Doors, cfg.Rank, cfg.ID)}
	if cfg.Rank < quotalease.Voters(cfg.Doors) {
		n.voter = quotalease.NewVoter(cfg.Doors, now)
	}
	return n
}

// Tick does what the time brings, and returns what is to be sent.
func (n *Node) Tick(now time.Duration) []Out {
	var out []Out
	if n.leaving && !n.left && n.used >= n.due {
		out = n.goes(now)
	}
	for _, o := range n.table.Tick(now) {
		out = append(out, Out{To: o.To, Msg: Msg{Beat: &o.Beat}})
	}
	n.look(now)
	if !n.out() {
		out = append(out, n.claim(now)...)
	}
	return out
}

// out says that this door takes part in nothing.
func (n *Node) out() bool { return !n.serves || n.leaving || n.rival }

// look sees what has become of this door and of the others.
func (n *Node) look(now time.Duration) {
	_, rival := n.table.Rival(now)
	if rival && !n.rival {
		n.gen++
		n.holder.Drop()
	}
	n.rival = rival
	if n.table.ID() != n.cfg.ID {
		n.cfg.ID = n.table.ID()
		n.gen++
		n.holder.Renamed(n.cfg.ID)
	}
	if since := now - n.begun; !n.serves && !rival && (since >= beginMost || since >= beginLeast && 2*len(n.heard) >= n.cfg.Doors-1) {
		n.serves = true
		n.table.Begin(now)
	}
	voters := 0
	for v := range quotalease.Voters(n.cfg.Doors) {
		if v == n.cfg.Rank || !n.isGone(now, v) {
			voters++
		}
	}
	if 2*voters <= quotalease.Voters(n.cfg.Doors) {
		return // it is rather this door that is cut off: others are taken to be where they were
	}
	n.gone = n.gone[:0]
	for r := range n.cfg.Doors {
		if r != n.cfg.Rank && n.isGone(now, r) {
			n.gone = append(n.gone, r)
		}
	}
}

// isGone says that others may use what a door had. One that was never heard of may still come, for as long as a door is given to die.
func (n *Node) isGone(now time.Duration, rank int) bool {
	switch s := n.table.State(rank); s {
	case membership.Dead, membership.Left:
		return true
	case membership.Absent:
		return now-n.begun >= beginMost
	}
	return false
}

func (n *Node) there(rank int) bool {
	s := n.table.State(rank)
	return s.Serves() && s != membership.Joining
}

// claim asks the voters for what this door wants. What it gives up it first ceases to use.
func (n *Node) claim(now time.Duration) []Out {
	want := quotalease.Wanted(n.cfg.Doors, n.cfg.Rank, func(r int) bool { return n.isGone(now, r) }, n.there)
	if n.holder.Cease(now, want) {
		n.gen++
		n.due = n.gen
	}
	if n.used < n.due {
		want = n.holder.Wants()
	}
	c, ok := n.holder.Claim(now, want)
	if !ok {
		return nil
	}
	return n.ask(now, c)
}

func (n *Node) ask(now time.Duration, c quotalease.Claim) (out []Out) {
	for v := range quotalease.Voters(n.cfg.Doors) {
		if v != n.cfg.Rank {
			out = append(out, Out{To: v, Msg: Msg{Claim: &c}})
		} else if g, ok := n.voter.Asked(now, v, c); ok {
			n.holder.Granted(v, g)
		}
	}
	return out
}

// Errors of Heard.
var (
	errEmpty   = errors.New("message with nothing in it")
	errNoVoter = errors.New("claim to a door that does not vote")
)

// Heard takes a message from a door and returns what is to be sent in answer. An error says what is wrong with it; then it has changed
// nothing.
func (n *Node) Heard(now time.Duration, from int, m Msg) ([]Out, error) {
	if from < 0 || from >= n.cfg.Doors {
		return nil, fmt.Errorf("message from door %d of %d", from, n.cfg.Doors)
	}
	switch {
	case m.Beat != nil:
		if err := n.table.Check(from, m.Beat); err != nil {
			return nil, err
		}
		if !n.serves && from != n.cfg.Rank {
			n.heard[from] = true
		}
		var out []Out
		for _, o := range n.table.Heard(now, from, *m.Beat) {
			out = append(out, Out{To: o.To, Msg: Msg{Beat: &o.Beat}, Back: o.Back})
		}
		n.look(now)
		return out, nil
	case m.Claim != nil:
		if err := quotalease.Check(n.cfg.Doors, m.Claim.Seats); err != nil {
			return nil, err
		}
		if n.voter == nil {
			return nil, errNoVoter
		}
		if n.rival || from == n.cfg.Rank {
			return nil, nil
		}
		if g, ok := n.voter.Asked(now, from, *m.Claim); ok {
			return []Out{{To: from, Msg: Msg{Grant: &g}}}, nil
		}
		return nil, nil
	case m.Grant != nil:
		if err := quotalease.Check(n.cfg.Doors, m.Grant.Seats); err != nil {
			return nil, err
		}
		n.holder.Granted(from, *m.Grant)
		return nil, nil
	}
	return nil, errEmpty
}

// Standing is what this door may hand out at a time.
func (n *Node) Standing(now time.Duration) Standing {
	s := Standing{Gen: n.gen, Out: n.out(), Gone: append([]int(nil), n.gone...)}
	if !s.Out {
		s.Part, s.Until = n.holder.Part(now)
	}
	return s
}

// Applied says that all who hand out go by the Standing of a generation, or a later one.
func (n *Node) Applied(gen uint64) { n.used = max(n.used, gen) }

// Leave gives all up, as soon as nobody hands out by it any more; Tick then tells the others, until Gone.
func (n *Node) Leave() {
	if !n.leaving {
		n.leaving = true
		n.gen++
		n.due = n.gen
	}
}

// goes tells the voters that this door has no seats.
func (n *Node) goes(now time.Duration) (out []Out) {
	if c, ok := n.holder.Claim(now, quotalease.NewSet(n.cfg.Doors)); ok && n.serves && !n.rival {
		out = n.ask(now, c)
	}
	n.left = true
	n.holder.Drop()
	n.table.Leave(now)
	return out
}

// Gone says that the others have been told that this door leaves.
func (n *Node) Gone() bool { return n.table.Gone() }

// Forget takes a door that does not serve as gone for good.
func (n *Node) Forget(now time.Duration, rank int) error { return n.table.Forget(now, rank) }

// Members tells of all doors as they are seen from here.
func (n *Node) Members() []membership.Member { return n.table.Members() }

// Changes returns the transitions since it was last called.
func (n *Node) Changes() []membership.Change { return n.table.Changes() }

// Rival says that another process has this door's name, and goes before it.
func (n *Node) Rival(now time.Duration) (membership.ID, bool) { return n.table.Rival(now) }

// ID is this process. It may take a higher incarnation than it started with; Adopted says so once.
func (n *Node) ID() membership.ID { return n.cfg.ID }

// Adopted says, once, that the incarnation has changed and is to be kept on disk.
func (n *Node) Adopted() bool { return n.table.Adopted() }

// Seats is how many seats this door holds, of how many.
func (n *Node) Seats(now time.Duration) (held, of int) {
	held, _ = n.holder.Held(now)
	return held, n.cfg.Doors * quotalease.Each(n.cfg.Doors)
}

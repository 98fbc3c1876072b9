// Package decisioncache remembers what was decided for a check, so that a check that is asked again (by a proxy whose own
// timeout was shorter than the answer's way) joins the open one or is told the same, and is charged once.
//
// It decides without I/O: the time is handed in, nothing is started. One goroutine at a time may use a Cache.
//
// The memory is bounded three ways: by the time a verdict is kept, by a number for each account, and by a number in all.
// An account that is at its number gives up its own oldest verdict; where all of its checks are open the newcomer is
// not remembered. At the number in all the account that holds most gives way, so one account's flood can't push out
// the verdicts of the others. A check is told a bounded number of times and then turned away until it is forgotten: a
// client that sends one nonce for everything gets no further than that, and what is known is never charged twice.
package decisioncache

import (
	"errors"
	"time"

	"gapgap/internal/priorityqueue"
)

// Config bounds a Cache.
type Config struct {
	Keep       time.Duration // for which a verdict is remembered, from when it was given
	Most       int           // checks remembered in all
	PerAccount int           // and of one account
	Repeats    int           // how often one check may be asked again
}

// Validate says what is wrong with the bounds.
func (c Config) Validate() error {
	switch {
	case c.Keep <= 0:
		return errors.New("keep is not above 0")
	case c.PerAccount < 1:
		return errors.New("per-account is under 1")
	case c.Most < c.PerAccount:
		return errors.New("most is under per-account")
	case c.Repeats < 1:
		return errors.New("repeats is under 1")
	}
	return nil
}

// Key tells checks apart: a digest over all that makes a check the same one.
type Key [16]byte

// State says how a check stands that is asked.
type State int

const (
	New       State = iota // not known: it is to be decided, and the Entry to be settled
	Open                   // known and not yet decided: the waiter has joined it
	Given                  // decided: Entry.Verdict
	Unwatched              // there is no room to remember it: it is to be decided alone
	Worn                   // asked more often than may be: it is to be turned away
)

// Entry names a check that is remembered, until it is forgotten.
type Entry int32

// none is no entry, and the end of a list.
const none Entry = -1

// slot holds one check. Slots lie in pages and are linked by their numbers: with a V that has no pointers the
// collector has nothing to follow in them, however many there are.
type slot[V any] struct {
	verdict V
	id      id
	repeats int
	until   time.Duration // once settled: when it is forgotten
	settled bool
	// Neighbours among the settled ones of the account and of all; next of all also links free slots.
	account, all links
}

type links struct{ prev, next Entry }

type id struct {
	account uint32
	key     Key
}

// ends are the ends of a list of settled checks, the oldest first.
type ends struct{ first, last Entry }

type account struct {
	name  string
	no    uint32
	size  int
	given ends
	place priorityqueue.Item[*account] // among the accounts by size
}

// Stats count what a Cache did.
type Stats struct {
	Joined    uint64 // checks that joined an open one
	Repeated  uint64 // checks that were told a verdict already given
	Forgotten uint64 // verdicts given up for want of room before their time
	Unwatched uint64 // checks that could not be remembered
	Worn      uint64 // checks asked more often than may be, and turned away
}

// Cache remembers checks. V is what is decided, W who waits for it.
type Cache[V, W any] struct {
	cfg     Config
	names   map[string]*account
	numbers map[uint32]*account
	lastNo  uint32
	bySize  *priorityqueue.Queue[*account] // the one with most checks first
	pages   [][]slot[V]                    // a page has pageSize slots and never moves, so growing costs no copy
	made    int                            // slots in pages, used or free
	free    Entry
	find    map[id]Entry
	waiting map[Entry][]W // of the open ones that were asked again
	size    int
	given   ends // of all accounts, by when they were settled
	Figures Stats
}

// NewCache makes an empty memory.
func NewCache[V, W any](cfg Config) (*Cache[V, W], error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Cache[V, W]{cfg: cfg, names: map[string]*account{}, numbers: map[uint32]*account{}, free: none,
		find: map[id]Entry{}, waiting: map[Entry][]W{}, given: ends{none, none},
		bySize: priorityqueue.New(func(a, b *account) bool { return a.size > b.size })}, nil
}

// pageSize is how many slots are made at a time.
const pageSize = 1 << 10

func (m *Cache[V, W]) at(e Entry) *slot[V] { return &m.pages[e/pageSize][e%pageSize] }

// Len is how many checks are remembered.
func (m *Cache[V, W]) Len() int { return m.size }

// Of is how many of an account are remembered.
func (m *Cache[V, W]) Of(name string) int {
	if a := m.names[name]; a != nil {
		return a.size
	}
	return 0
}

// Decision is what was decided for a check that is Given.
func (m *Cache[V, W]) Decision(e Entry) V { return m.at(e).verdict }

// TTL is for how long a check is still remembered; 0: it is open.
func (m *Cache[V, W]) TTL(now time.Duration, e Entry) time.Duration {
	if s := m.at(e); s.settled {
		return max(0, s.until-now)
	}
	return 0
}

// Lookup takes a check. With New the caller decides it, calls Settle and tells the asker; with Open the waiter comes back
// from that Settle. Unwatched has no Entry.
func (m *Cache[V, W]) Lookup(now time.Duration, name string, key Key, who W) (Entry, State) {
	m.expire(now)
	if a := m.names[name]; a != nil {
		if e, ok := m.find[id{a.no, key}]; ok {
			s := m.at(e)
			switch {
			case s.settled && s.until <= now: // kept for less than the one settled before it
				m.forget(e)
			case s.repeats < m.cfg.Repeats:
				s.repeats++
				if s.settled {
					m.Figures.Repeated++
					return e, Given
				}
				m.Figures.Joined++
				m.waiting[e] = append(m.waiting[e], who)
				return e, Open
			default:
				m.Figures.Worn++
				return e, Worn
			}
		}
	}
	if !m.room(m.names[name]) {
		m.Figures.Unwatched++
		return none, Unwatched
	}
	a := m.names[name] // making room may have emptied it
	if a == nil {
		for m.lastNo++; m.numbers[m.lastNo] != nil; m.lastNo++ { // after four billion
		}
		a = &account{name: name, no: m.lastNo, given: ends{none, none}}
		m.names[name], m.numbers[a.no] = a, a
		a.place.Value = a
		m.bySize.Put(&a.place)
	}
	e := m.free
	if e == none {
		if m.made%pageSize == 0 {
			m.pages = append(m.pages, make([]slot[V], pageSize))
		}
		e = Entry(m.made)
		m.made++
	} else {
		m.free = m.at(e).all.next
	}
	*m.at(e) = slot[V]{id: id{a.no, key}}
	m.find[m.at(e).id] = e
	m.size++
	a.size++
	m.bySize.Moved(&a.place)
	return e, New
}

// room sees to it that one more check of an account can be remembered.
func (m *Cache[V, W]) room(a *account) bool {
	if a != nil && a.size >= m.cfg.PerAccount {
		return m.giveUp(a)
	}
	if m.size < m.cfg.Most {
		return true
	}
	largest := m.bySize.First().Value
	if a != nil && a.size >= largest.size {
		largest = a
	}
	return m.giveUp(largest)
}

// giveUp forgets an account's oldest verdict, if there is one.
func (m *Cache[V, W]) giveUp(a *account) bool {
	if a.given.first == none {
		return false
	}
	m.Figures.Forgotten++
	m.forget(a.given.first)
	return true
}

// Complete gives an open check its verdict, once, and returns who has joined it since; the first asker is the caller's
// own. It is remembered for the time given, and no longer than the bound; 0 forgets it at once.
func (m *Cache[V, W]) Complete(now time.Duration, e Entry, v V, keep time.Duration) []W {
	s := m.at(e)
	if s.settled {
		return nil
	}
	who, joined := m.waiting[e]
	if joined {
		delete(m.waiting, e)
	}
	s.verdict, s.settled = v, true
	a := m.numbers[s.id.account]
	m.link(&a.given, e, func(s *slot[V]) *links { return &s.account })
	m.link(&m.given, e, func(s *slot[V]) *links { return &s.all })
	if keep = min(keep, m.cfg.Keep); keep <= 0 {
		m.forget(e)
		return who
	}
	s.until = now + keep
	return who
}

// link puts a check at the end of a list.
func (m *Cache[V, W]) link(l *ends, e Entry, of func(*slot[V]) *links) {
	*of(m.at(e)) = links{l.last, none}
	if l.last == none {
		l.first = e
	} else {
		of(m.at(l.last)).next = e
	}
	l.last = e
}

// unlink takes a check out of a list.
func (m *Cache[V, W]) unlink(l *ends, e Entry, of func(*slot[V]) *links) {
	at := *of(m.at(e))
	if at.prev == none {
		l.first = at.next
	} else {
		of(m.at(at.prev)).next = at.next
	}
	if at.next == none {
		l.last = at.prev
	} else {
		of(m.at(at.next)).prev = at.prev
	}
}

// forget forgets a settled check.
func (m *Cache[V, W]) forget(e Entry) {
	s := m.at(e)
	a := m.numbers[s.id.account]
	m.unlink(&a.given, e, func(s *slot[V]) *links { return &s.account })
	m.unlink(&m.given, e, func(s *slot[V]) *links { return &s.all })
	delete(m.find, s.id)
	*s = slot[V]{all: links{none, m.free}}
	m.free = e
	m.size--
	a.size--
	if a.size == 0 {
		m.bySize.Remove(&a.place)
		delete(m.names, a.name)
		delete(m.numbers, a.no)
		return
	}
	m.bySize.Moved(&a.place)
}

// expire forgets what has been kept for its time. A verdict kept for less than the bound may stay a little longer in
// memory, behind one kept for the whole of it, but is not told any more.
func (m *Cache[V, W]) expire(now time.Duration) {
	for m.given.first != none && m.at(m.given.first).until <= now {
		m.forget(m.given.first)
	}
}

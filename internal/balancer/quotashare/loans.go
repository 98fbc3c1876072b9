package quotashare

import (
	"math"
	"slices"
	"time"
)

// Doors lend each other parts of one customer's ceiling where the demand is at one of them and nobody else lends
// (package ceiling does, by the counter). A loan is for LoanLength, counted by the borrower from when it asked and by
// the lender from when it heard, and longer by what clocks may drift apart. While it lasts the lender's store is
// smaller by it and the borrower's greater: so the doors' stores together
// stay what they were.
const (
	LoanLength = time.Second
	LoanHold   = LoanLength * 103 / 100 // by the lender's clock

	mostLenders   = 16   // loans that a door has of one customer at once
	mostBorrowers = 32   // ... and gives
	enough        = 1.25 // times its demand is what a lender keeps for itself ...
	littleLeft    = 0.02 // ... and less than this part of its store is not worth lending
)

// Plus is both.
func (s Store) Plus(o Store) Store { return Store{s.Rate + o.Rate, s.Depth + o.Depth} }

// Less is what remains without the other; it is nothing rather than less than that.
func (s Store) Less(o Store) Store { return Store{max(0, s.Rate-o.Rate), max(0, s.Depth-o.Depth)} }

// Times is a part of it.
func (s Store) Times(part float64) Store { return Store{s.Rate * part, s.Depth * part} }

type loan struct {
	door  int
	store Store
	until time.Duration
}

// Loans are those of one customer. The zero value has none.
type Loans struct {
	in  []loan // one a lender
	out []loan // of one borrower's the greatest counts, as it may go by any that is not over
}

// Borrow takes what a door has lent, in the place of what it lent before. What is over or no number is passed over.
func (l *Loans) Borrow(now time.Duration, door int, s Store, until time.Duration) {
	bad := func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }
	if until <= now || until > now+LoanLength || bad(s.Rate) || bad(s.Depth) {
		return
	}
	i := slices.IndexFunc(l.in, func(o loan) bool { return o.door == door })
	switch {
	case i >= 0 && until >= l.in[i].until:
		l.in[i] = loan{door, s, until}
	case i < 0 && len(l.in) < mostLenders:
		l.in = append(l.in, loan{door, s, until})
	}
}

// Due is when the first loan ended that this door has and that is over by now; 0: none is.
func (l *Loans) Due(now time.Duration) (at time.Duration) {
	for _, o := range l.in {
		if o.until <= now && (at == 0 || o.until < at) {
			at = o.until
		}
	}
	return at
}

// Drop forgets what is over.
func (l *Loans) Drop(now time.Duration) {
	over := func(o loan) bool { return o.until <= now }
	l.in, l.out = slices.DeleteFunc(l.in, over), slices.DeleteFunc(l.out, over)
}

// In is what this door has of others at a time.
func (l *Loans) In(now time.Duration) (s Store) {
	for _, o := range l.in {
		if now < o.until {
			s = s.Plus(o.store)
		}
	}
	return s
}

// Out is what others have of this door, but for one of them; negative: for none.
func (l *Loans) Out(now time.Duration, but int) (s Store) {
	for i, o := range l.out {
		if o.door == but || slices.ContainsFunc(l.out[:i], func(p loan) bool { return p.door == o.door }) {
			continue // it was counted with its first
		}
		var most Store
		for _, p := range l.out[i:] {
			if p.door == o.door && now < p.until {
				most = Store{max(most.Rate, p.store.Rate), max(most.Depth, p.store.Depth)}
			}
		}
		s = s.Plus(most)
	}
	return s
}

// Lend decides what a door that asks is lent of this door's own store, which is not to be lent for longer than until;
// demand is what this door itself needs, units a second. It returns the loan and when it is over by this door's clock;
// ok: no, there is none.
func (l *Loans) Lend(
	now time.Duration,
	to int,
	own Store,
	until time.Duration,
	demand float64,
) (s Store, end time.Duration, ok bool) {
	l.Drop(now)
	if end = now + LoanHold; end > until || own.Rate <= 0 || len(l.out) >= mostBorrowers {
		return Store{}, 0, false
	}
	need := min(1, enough*demand/own.Rate)
	if s = own.Times(1 - need).Less(l.Out(now, to)); s.Rate < littleLeft*own.Rate {
		return Store{}, 0, false
	}
	l.out = append(l.out, loan{to, s, end})
	return s, end, true
}

// Some says that there are loans.
func (l *Loans) Some() bool { return len(l.in)+len(l.out) > 0 }

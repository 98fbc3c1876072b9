package resourcelimit

import (
	"fmt"
	"sync"
)

// SharedLimit shares a whole among parties, each with a guaranteed minimum. What no guarantee covers is common: parties borrow of
// it, and are asked to give back when another wants some of it and has borrowed less. A guarantee that its party does not
// use is lent to nobody, so that it is there at once when it is wanted: that costs what lies idle of it, which is why a
// guarantee is to be a part of what a party usually needs (the ways weighed stand in docs/design/pools.md).
//
// A SharedLimit decides only and holds nothing itself; its units are the caller's: bytes, connections. Any goroutine may use it.
type SharedLimit struct {
	mu               sync.Mutex
	total            int64
	held             int64 // by all parties
	unusedGuarantees int64 // of the guarantees: what their parties do not hold of them
	allotments       map[*Allotment]struct{}
}

// Allotment is one that shares in a SharedLimit.
type Allotment struct {
	name      string
	shared    *SharedLimit
	guarantee int64
	held      int64
	reclaim   func(n int64)
	stats     AllotmentStats
}

// AllotmentStats tell of a party so far.
type AllotmentStats struct {
	Held, Guarantee   int64
	Refused, Reclaims uint64 // takes that got nothing; times that it was asked to give back
}

// NewSharedLimit makes a pot of so many units.
func NewSharedLimit(total int64) *SharedLimit {
	return &SharedLimit{total: max(0, total), allotments: map[*Allotment]struct{}{}}
}

// Join makes a party with a guarantee. The function, if there is one, is called when the party is asked to give back so many
// units of what it has borrowed; it must neither wait nor call the SharedLimit. What guarantees are worth when their sum is over
// the whole is first come, first served: SharedLimit.Fits tells beforehand.
func (p *SharedLimit) Join(name string, guarantee int64, lowered func(n int64)) *Allotment {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &Allotment{name: name, shared: p, guarantee: max(0, guarantee), reclaim: lowered}
	p.allotments[a] = struct{}{}
	p.unusedGuarantees += a.guarantee
	return a
}

// CheckGuarantees says whether guarantees can all be kept by a whole.
func CheckGuarantees(total int64, guarantees ...int64) error {
	sum := int64(0)
	for _, g := range guarantees {
		if sum += g; g < 0 || sum > total {
			return fmt.Errorf("guarantees of %d and more are over the whole of %d", sum, total)
		}
	}
	return nil
}

// SetTotal changes the whole. What is held beyond a lowered one stays until it is given back.
func (p *SharedLimit) SetTotal(n int64) {
	p.mu.Lock()
	p.total = max(0, n)
	p.mu.Unlock()
}

// Total is the whole.
func (p *SharedLimit) Total() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Held is what all parties hold.
func (p *SharedLimit) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Len is how many share in it.
func (p *SharedLimit) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.allotments)
}

// Leave takes a party out. What it still holds stays counted until it is given; a party that has left borrows all of that.
func (a *Allotment) Leave() {
	a.SetGuarantee(0)
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	delete(a.shared.allotments, a)
}

// SetGuarantee changes the guaranteed minimum. A raised one may not be there until others have given back.
func (a *Allotment) SetGuarantee(n int64) {
	p := a.shared
	p.mu.Lock()
	defer p.mu.Unlock()
	before := a.unusedGuarantee()
	a.guarantee = max(0, n)
	p.unusedGuarantees += a.unusedGuarantee() - before
}

// unusedGuarantee is what is left of the guarantee.
func (a *Allotment) unusedGuarantee() int64 { return max(0, a.guarantee-a.held) }

// Borrowed is how much the party has borrowed.
func (a *Allotment) Borrowed() int64 {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	return max(0, a.held-a.guarantee)
}

// TryReserve takes units: of the guarantee, and beyond it of what no other party's guarantee needs. If there are none, the party
// that has borrowed most is asked to give as many back, where that is not this one.
func (a *Allotment) TryReserve(n int64) bool {
	p := a.shared
	p.mu.Lock()
	free := a.unusedGuarantee()
	others := p.unusedGuarantees - free
	beyond := max(0, n-free)
	if p.held+n <= p.total && (beyond == 0 || p.held+n+others <= p.total) {
		a.adjustLocked(n)
		p.mu.Unlock()
		return true
	}
	a.stats.Refused++
	most, over := a, max(0, a.held+n-a.guarantee)
	for o := range p.allotments {
		if has := o.held - o.guarantee; o != a && has > over {
			most, over = o, has
		}
	}
	var ask func(int64)
	if most != a {
		most.stats.Reclaims++
		ask = most.reclaim
	}
	p.mu.Unlock()
	if ask != nil {
		ask(n)
	}
	return false
}

// Adjust takes units, or gives some back, whatever there is: for what is held already and only now known.
func (a *Allotment) Adjust(n int64) {
	a.shared.mu.Lock()
	a.adjustLocked(n)
	a.shared.mu.Unlock()
}

// Release gives units back.
func (a *Allotment) Release(n int64) { a.Adjust(-n) }

// adjustLocked counts units. The caller holds mu.
func (a *Allotment) adjustLocked(n int64) {
	before := a.unusedGuarantee()
	a.held += n
	a.shared.held += n
	a.shared.unusedGuarantees += a.unusedGuarantee() - before
}

// IsExceeded says that more is held than the whole, and by this party more than its guarantee: what it asks for by Force must end.
func (a *Allotment) IsExceeded() bool {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	return a.shared.held > a.shared.total && a.held > a.guarantee
}

// Held is what the party holds.
func (a *Allotment) Held() int64 {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	return a.held
}

// Name is the party's name, for figures.
func (a *Allotment) Name() string { return a.name }

// Stats tells of the party.
func (a *Allotment) Stats() AllotmentStats {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	f := a.stats
	f.Held, f.Guarantee = a.held, a.guarantee
	return f
}

package resourcelimit

import "cmp"

// Allotment is the part of a SharedLimit that belongs to one participant, such as a pool. It is safe for concurrent
// use.
type Allotment struct {
	// name identifies the allotment in statistics.
	name   string
	shared *SharedLimit
	// guarantee is the number of units that no other allotment can borrow.
	guarantee int64
	// held is the number of units held.
	held int64
	// reclaim asks the holder to release n borrowed units; nil if the holder cannot do so.
	reclaim func(n int64)
	// stats holds the counters; Held and Guarantee are filled in by Stats.
	stats AllotmentStats
}

// AllotmentStats is a snapshot of an allotment's counters.
type AllotmentStats struct {
	// Held is the number of units held.
	Held int64
	// Guarantee is the guaranteed number of units.
	Guarantee int64
	// Refused is the number of failed reservations.
	Refused uint64
	// Reclaims is how often the allotment was asked to release borrowed units.
	Reclaims uint64
}

// Leave removes the allotment. Units it still holds stay counted, as borrowed, until they are released.
func (a *Allotment) Leave() {
	a.SetGuarantee(0)
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	delete(a.shared.allotments, a)
}

// SetGuarantee changes the guaranteed minimum. After an increase, units may be unavailable until other allotments
// release some.
func (a *Allotment) SetGuarantee(n int64) {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	before := a.unusedGuarantee()
	a.guarantee = max(0, n)
	a.shared.unusedGuarantees += a.unusedGuarantee() - before
}

// unusedGuarantee returns the part of the guarantee that is not held. The caller holds mu.
func (a *Allotment) unusedGuarantee() int64 {
	return max(0, a.guarantee-a.held)
}

// TryReserve reserves n units and returns true if the guarantee covers them or no other allotment's guarantee needs
// them. Otherwise it asks the largest borrower, if that is another allotment, to release n units.
func (a *Allotment) TryReserve(n int64) bool {
	reserved, reclaim := a.reserveOrReclaim(n)
	if reclaim != nil {
		reclaim(n)
	}
	return reserved
}

// TryReserveSpare is like TryReserve for what can wait: it leaves half of the guarantee free, or half of the total if
// there is no guarantee, and asks nobody to release units.
func (a *Allotment) TryReserveSpare(n int64) bool {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	spare := cmp.Or(a.guarantee, a.shared.total) / spareDivisor
	if !a.shared.canReserve(a, n+spare) {
		return false
	}
	a.adjustLocked(n)
	return true
}

// reserveOrReclaim reserves n units. If it cannot, it returns the reclaim function of the largest borrower, unless that
// is a itself or has none. The caller must call the function without holding mu.
func (a *Allotment) reserveOrReclaim(n int64) (reserved bool, reclaim func(int64)) {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	if a.shared.canReserve(a, n) {
		a.adjustLocked(n)
		return true, nil
	}
	a.stats.Refused++
	borrower := a.shared.largestBorrower(a, n)
	if borrower == a {
		return false, nil
	}
	borrower.stats.Reclaims++
	return false, borrower.reclaim
}

// Adjust adds n units to those held, regardless of the limit, to account for units already in use. A negative n
// releases units.
func (a *Allotment) Adjust(n int64) {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	a.adjustLocked(n)
}

// Release releases n units.
func (a *Allotment) Release(n int64) {
	a.Adjust(-n)
}

// adjustLocked adds n units to those held. The caller holds mu.
func (a *Allotment) adjustLocked(n int64) {
	before := a.unusedGuarantee()
	a.held += n
	a.shared.held += n
	a.shared.unusedGuarantees += a.unusedGuarantee() - before
}

// Held returns the number of units held.
func (a *Allotment) Held() int64 {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	return a.held
}

// Name returns the name given to [SharedLimit.Join].
func (a *Allotment) Name() string {
	return a.name
}

// Stats returns the current values of the counters.
func (a *Allotment) Stats() AllotmentStats {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	stats := a.stats
	stats.Held = a.held
	stats.Guarantee = a.guarantee
	return stats
}

package resourcelimit

import (
	"fmt"
	"sync"
)

// SharedLimit divides a total among allotments, each with a guaranteed minimum. Allotments may borrow the units that no
// guarantee covers; when another allotment needs units, the largest borrower is asked to release some. The unused part
// of a guarantee is never lent, so that it is available immediately (for alternatives see docs/design/pools.md).
//
// A SharedLimit only counts: the caller defines the unit, such as bytes or connections. It is safe for concurrent use.
type SharedLimit struct {
	mu sync.Mutex
	// total is the maximum number of units held.
	total int64
	// held is the number of units that all allotments hold, including those that have left.
	held int64
	// unusedGuarantees is the sum of the allotments' unused guarantees.
	unusedGuarantees int64
	allotments       map[*Allotment]struct{}
}

// NewSharedLimit returns a limit with a total number of units. A negative total means 0.
func NewSharedLimit(total int64) *SharedLimit {
	return &SharedLimit{
		total:      max(0, total),
		allotments: map[*Allotment]struct{}{},
	}
}

// Join adds an allotment with a guarantee. If reclaim is not nil, it is called when the allotment should release n of
// its borrowed units; it must neither block nor call the SharedLimit. If the sum of the guarantees exceeds the total,
// they are served first come, first served; see [CheckGuarantees].
func (l *SharedLimit) Join(name string, guarantee int64, reclaim func(n int64)) *Allotment {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &Allotment{
		name:      name,
		shared:    l,
		guarantee: max(0, guarantee),
		reclaim:   reclaim,
	}
	l.allotments[a] = struct{}{}
	l.unusedGuarantees += a.guarantee
	return a
}

// GuaranteeError reports that a guarantee is negative or that the guarantees exceed the total.
type GuaranteeError struct {
	// Sum is the sum of the guarantees up to and including the first invalid one.
	Sum int64
	// Total is the number of units to divide.
	Total int64
}

// Error implements error.
func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("guarantees of %d or more exceed the total of %d", e.Sum, e.Total)
}

// CheckGuarantees returns a *GuaranteeError if a guarantee is negative or their sum exceeds the total.
func CheckGuarantees(total int64, guarantees ...int64) error {
	sum := int64(0)
	for _, guarantee := range guarantees {
		sum += guarantee
		if guarantee < 0 || sum > total {
			return &GuaranteeError{Sum: sum, Total: total}
		}
	}
	return nil
}

// SetTotal changes the total. After a decrease, excess units stay counted until they are released.
func (l *SharedLimit) SetTotal(total int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total = max(0, total)
}

// Total returns the maximum number of units held.
func (l *SharedLimit) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Held returns the number of units that all allotments hold.
func (l *SharedLimit) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Len returns the number of allotments.
func (l *SharedLimit) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.allotments)
}

// canReserve reports whether an allotment can reserve n more units without using units that other allotments'
// guarantees cover. The caller holds mu.
func (l *SharedLimit) canReserve(a *Allotment, n int64) bool {
	if l.held+n > l.total {
		return false
	}
	unused := a.unusedGuarantee()
	if n <= unused {
		return true
	}
	othersUnused := l.unusedGuarantees - unused
	return l.held+n+othersUnused <= l.total
}

// largestBorrower returns the allotment that has borrowed most. It returns a if no other allotment has borrowed more
// than a would have with n more units. The caller holds mu.
func (l *SharedLimit) largestBorrower(a *Allotment, n int64) *Allotment {
	largest := a
	mostBorrowed := max(0, a.held+n-a.guarantee)
	for other := range l.allotments {
		borrowed := other.held - other.guarantee
		if other != a && borrowed > mostBorrowed {
			largest = other
			mostBorrowed = borrowed
		}
	}
	return largest
}

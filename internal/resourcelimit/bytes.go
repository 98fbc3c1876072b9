// Package resourcelimit bounds what clients together, over all fronts, can make the process hold: bytes and connections. Where
// there are several pools, each has a guaranteed minimum and borrows beyond it.
package resourcelimit

import "sync/atomic"

// Bytes bounds bytes held. Any goroutine may call it.
type Bytes struct {
	limit     int64
	held      atomic.Int64
	allotment *Allotment // nil: the bytes are not shared
}

// NewBytes makes a bound of so many bytes.
func NewBytes(most int64) *Bytes { return &Bytes{limit: most} }

// NewSharedBytes makes a bound that is a party's part of a SharedLimit.
func NewSharedBytes(p *Allotment) *Bytes { return &Bytes{allotment: p} }

// TryReserve holds so many more bytes if that stays within the bound.
func (b *Bytes) TryReserve(n int64) bool {
	if b.allotment != nil {
		return b.allotment.TryReserve(n)
	}
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Adjust holds more or fewer bytes, whatever the bound.
func (b *Bytes) Adjust(n int64) {
	if b.allotment != nil {
		b.allotment.Adjust(n)
		return
	}
	b.held.Add(n)
}

// Release gives bytes back.
func (b *Bytes) Release(n int64) { b.Adjust(-n) }

// IsExceeded says that more is held than the bound.
func (b *Bytes) IsExceeded() bool {
	if b.allotment != nil {
		return b.allotment.IsExceeded()
	}
	return b.held.Load() > b.limit
}

// Held is how many bytes are held.
func (b *Bytes) Held() int64 {
	if b.allotment != nil {
		return b.allotment.Held()
	}
	return b.held.Load()
}

// Allotment is the share of a SharedLimit that this is; nil: it is not shared.
func (b *Bytes) Allotment() *Allotment { return b.allotment }

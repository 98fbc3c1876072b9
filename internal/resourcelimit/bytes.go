// Package resourcelimit bounds what clients together, over all fronts, can make the process hold: bytes and connections. Where
// there are several pools, each has a guaranteed minimum and borrows beyond it.
package resourcelimit

import "sync/atomic"

// Bytes bounds bytes held. Any goroutine may call it.
type Bytes struct {
	most  int64
	held  atomic.Int64
	party *Allotment // nil: the bytes are not shared
}

// NewBytes makes a bound of so many bytes.
func NewBytes(most int64) *Bytes { return &Bytes{most: most} }

// SharedBytes makes a bound that is a party's part of a SharedLimit.
func SharedBytes(p *Allotment) *Bytes { return &Bytes{party: p} }

// Take holds so many more bytes if that stays within the bound.
func (b *Bytes) Take(n int64) bool {
	if b.party != nil {
		return b.party.Take(n)
	}
	if b.held.Add(n) > b.most {
		b.held.Add(-n)
		return false
	}
	return true
}

// Force holds more or fewer bytes, whatever the bound.
func (b *Bytes) Force(n int64) {
	if b.party != nil {
		b.party.Force(n)
		return
	}
	b.held.Add(n)
}

// Give gives bytes back.
func (b *Bytes) Give(n int64) { b.Force(-n) }

// Over says that more is held than the bound.
func (b *Bytes) Over() bool {
	if b.party != nil {
		return b.party.Full()
	}
	return b.held.Load() > b.most
}

// Held is how many bytes are held.
func (b *Bytes) Held() int64 {
	if b.party != nil {
		return b.party.Held()
	}
	return b.held.Load()
}

// Allotment is the share of a SharedLimit that this is; nil: it is not shared.
func (b *Bytes) Allotment() *Allotment { return b.party }

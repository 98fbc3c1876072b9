// Package budget bounds what clients together, over all fronts, can make the process hold: bytes and connections.
package budget

import "sync/atomic"

// Bytes bounds bytes held. Any goroutine may call it.
type Bytes struct {
	most int64
	held atomic.Int64
}

// NewBytes makes a bound of so many bytes.
func NewBytes(most int64) *Bytes { return &Bytes{most: most} }

// Take holds so many more bytes if that stays within the bound.
func (b *Bytes) Take(n int64) bool {
	if b.held.Add(n) > b.most {
		b.held.Add(-n)
		return false
	}
	return true
}

// Force holds more or fewer bytes, whatever the bound.
func (b *Bytes) Force(n int64) { b.held.Add(n) }

// Give gives bytes back.
func (b *Bytes) Give(n int64) { b.held.Add(-n) }

// Over says that more is held than the bound.
func (b *Bytes) Over() bool { return b.held.Load() > b.most }

// Held is how many bytes are held.
func (b *Bytes) Held() int64 { return b.held.Load() }

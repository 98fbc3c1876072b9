package resourcelimit

import "sync/atomic"

// Bytes bounds the number of bytes held at the same time. It is safe for concurrent use.
type Bytes struct {
	// limit is the maximum number of bytes held. It is not used with an allotment.
	limit int64
	// held is the number of bytes held. It is not used with an allotment.
	held atomic.Int64
	// allotment accounts for the bytes in a SharedLimit; nil means that the limit is not shared.
	allotment *Allotment
	// queue holds the calls of Reserve that wait.
	queue waitQueue
}

// NewBytes returns a limit of that many bytes.
func NewBytes(limit int64) *Bytes {
	return &Bytes{limit: limit}
}

// NewSharedBytes returns a limit that counts its bytes against an allotment of a SharedLimit.
func NewSharedBytes(allotment *Allotment) *Bytes {
	return &Bytes{allotment: allotment}
}

// TryReserve reserves n bytes and returns true if they are within the limit; otherwise it reserves nothing.
func (b *Bytes) TryReserve(n int64) bool {
	if b.allotment != nil {
		return b.allotment.TryReserve(n)
	}
	return b.reserveWithin(n, b.limit)
}

// spareDivisor determines the part of a limit that TryReserveSpare leaves free: one in so many.
const spareDivisor = 2

// TryReserveSpare is like TryReserve for what can wait: it leaves half of the limit free for others. For a shared limit
// see [Allotment.TryReserveSpare].
func (b *Bytes) TryReserveSpare(n int64) bool {
	if b.allotment != nil {
		return b.allotment.TryReserveSpare(n)
	}
	return b.reserveWithin(n, b.limit-b.limit/spareDivisor)
}

// reserveWithin reserves n bytes if no more than limit are held then. It never holds more in between, so that a call
// that fails does not make another one fail.
func (b *Bytes) reserveWithin(n, limit int64) bool {
	for {
		held := b.held.Load()
		if held+n > limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Adjust adds n bytes to those held, regardless of the limit. A negative n releases bytes.
func (b *Bytes) Adjust(n int64) {
	b.adjust(n)
	if n < 0 {
		b.grant()
	}
}

// adjust is like Adjust, but leaves those that wait waiting.
func (b *Bytes) adjust(n int64) {
	if b.allotment != nil {
		b.allotment.Adjust(n)
		return
	}
	b.held.Add(n)
}

// Release releases n bytes.
func (b *Bytes) Release(n int64) {
	b.Adjust(-n)
}

// Held returns the number of bytes held.
func (b *Bytes) Held() int64 {
	if b.allotment != nil {
		return b.allotment.Held()
	}
	return b.held.Load()
}

// Allotment returns the allotment that the bytes count against, or nil if the limit is not shared.
func (b *Bytes) Allotment() *Allotment {
	return b.allotment
}

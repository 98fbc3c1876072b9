package front

import "sync/atomic"

// budget bounds the bytes that all clients together make the front door hold.
type budget struct {
	most int64
	held atomic.Int64
}

func newBudget(most int64) *budget { return &budget{most: most} }

// take holds so many more bytes if that stays within the bound.
func (b *budget) take(n int64) bool {
	if b.held.Add(n) > b.most {
		b.held.Add(-n)
		return false
	}
	return true
}

// force holds more or fewer bytes, whatever the bound.
func (b *budget) force(n int64) { b.held.Add(n) }

func (b *budget) give(n int64) { b.held.Add(-n) }

func (b *budget) over() bool { return b.held.Load() > b.most }

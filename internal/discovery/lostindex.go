package discovery

import (
	"errors"
	"time"
)

// errIndexLost is returned for a watch of an agent that has lost its index: see lostIndex.
var errIndexLost = errors.New("the agent counts its lists from the beginning")

// lostIndex detects a new discovery process at the agent's address that does not know the index of the one before and
// counts its lists anew. An agent that lags behind sends lower indexes as well, and its lists must be ignored: it
// catches up within lostIndexTimeout, and only an agent that has sent the higher index itself can have lost it.
type lostIndex struct {
	// hasCurrent tells that the agent has sent the list with the current index.
	hasCurrent bool
	// lowerSince is when the first of the lists with a lower index arrived on this watch; zero: the last list had none.
	lowerSince time.Time
}

// beginWatch records that a watch begins: the agent has the whole lostIndexTimeout to catch up on it.
func (l *lostIndex) beginWatch() { l.lowerSince = time.Time{} }

// recordCurrent records a list that is not older than the current one.
func (l *lostIndex) recordCurrent() { *l = lostIndex{hasCurrent: true} }

// recordLower records a list with a lower index than the current one.
func (l *lostIndex) recordLower() {
	if l.hasCurrent && l.lowerSince.IsZero() {
		l.lowerSince = time.Now()
	}
}

// isLost reports whether the agent has lost its index.
func (l *lostIndex) isLost() bool {
	return !l.lowerSince.IsZero() && time.Since(l.lowerSince) >= lostIndexTimeout
}

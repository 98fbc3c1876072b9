package peer

import (
	"bytes"
	"slices"
	"time"
)

// Settings are checked FileSettings.
type Settings struct {
	Listen   string
	StateDir string
	Control  string
	Gateways []Gateway
	// Index is this gateway's position in the list.
	Index int
	// Key is the shared key.
	Key []byte
	// Policy is nil if each gateway applies the policy of its own file.
	Policy *PolicySettings
	// KeyRetention is nil if no class's keys are kept.
	KeyRetention *KeyRetention
}

// PolicySettings are checked PolicyFileSettings.
type PolicySettings struct {
	// Fence is whether a gateway that missed a commit decides nothing, rather than that others wait for it.
	Fence bool
	// GiveUp is after how long a proposal is aborted.
	GiveUp time.Duration
	// LastKnownWait is after how long a gateway that has started without a quorum applies the policy on its disk, if
	// UseLastKnown is set.
	LastKnownWait time.Duration
	UseLastKnown  bool
}

// KeyRetention is how long idempotency keys are kept on disk, and how many.
type KeyRetention struct {
	Duration time.Duration
	// MaxKeys is how many keys a voter keeps.
	MaxKeys int
}

// Same reports whether two settings are equal. A change of them takes a restart.
func (s *Settings) Same(other *Settings) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.Listen == other.Listen && s.StateDir == other.StateDir && s.Control == other.Control &&
		s.Index == other.Index && bytes.Equal(s.Key, other.Key) &&
		slices.Equal(s.Gateways, other.Gateways) &&
		isSame(s.Policy, other.Policy) && isSame(s.KeyRetention, other.KeyRetention)
}

// isSame reports whether two values are equal, or both are missing.
func isSame[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

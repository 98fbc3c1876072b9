package peer

import (
	"bytes"
	"slices"
	"time"
)

// Settings are validated FileSettings.
type Settings struct {
	Listen   string
	StateDir string
	Control  string
	Gateways []Gateway
	// Index is this gateway's index in the list.
	Index int
	// Key is the shared key.
	Key []byte
	// Policy is nil if each gateway applies the policy of its own file.
	Policy *PolicySettings
	// KeyRetention is nil if no class keeps idempotency keys over a power loss.
	KeyRetention *KeyRetention
}

// PolicySettings are validated PolicyFileSettings.
type PolicySettings struct {
	// Fence is whether a gateway that may have missed a commit stops deciding. Otherwise commits wait for all gateways.
	Fence bool
	// GiveUp is the time after which a proposal is aborted.
	GiveUp time.Duration
	// LastKnownWait is the time after a start without a quorum at which a gateway applies the policy on its disk. It
	// is used only if UseLastKnown is set.
	LastKnownWait time.Duration
	UseLastKnown  bool
}

// KeyRetention says for how long idempotency keys are kept on disk, and how many.
type KeyRetention struct {
	Duration time.Duration
	// MaxKeys is the maximum number of keys that a voter keeps.
	MaxKeys int
}

// Same reports whether two settings are equal, where nil equals only nil. A change of them requires a restart.
func (s *Settings) Same(other *Settings) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.Listen == other.Listen && s.StateDir == other.StateDir && s.Control == other.Control &&
		s.Index == other.Index && bytes.Equal(s.Key, other.Key) &&
		slices.Equal(s.Gateways, other.Gateways) &&
		equalOrBothNil(s.Policy, other.Policy) && equalOrBothNil(s.KeyRetention, other.KeyRetention)
}

// equalOrBothNil reports whether both pointers are nil or point to equal values.
func equalOrBothNil[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

package quotalease

import (
	"errors"
	"fmt"
)

// Number of slots.
const (
	// targetSlots is the approximate number of slots of a small cluster.
	targetSlots        = 60
	maxSlotsPerGateway = 20
	minSlotsPerGateway = 2
)

// ErrMalformedSlots is wrapped by the errors of [ValidateSlots].
var ErrMalformedSlots = errors.New("malformed set of slots")

// SlotsPerGateway returns how many slots each gateway in the list owns.
func SlotsPerGateway(gateways int) int {
	return min(maxSlotsPerGateway, max(minSlotsPerGateway, targetSlots/max(1, gateways)))
}

// slotCount returns the total number of slots.
func slotCount(gateways int) int { return gateways * SlotsPerGateway(gateways) }

// SlotSet is a set of slots, one bit per slot. Slots are numbered in the list order of their owners.
type SlotSet []byte

// NewSlotSet returns an empty set for a list of gateways.
func NewSlotSet(gateways int) SlotSet { return make(SlotSet, (slotCount(gateways)+7)/8) }

// Has reports whether a slot is in the set.
func (s SlotSet) Has(slot int) bool { return s[slot/8]&(1<<(slot%8)) != 0 }

// Add adds a slot to the set.
func (s SlotSet) Add(slot int) { s[slot/8] |= 1 << (slot % 8) }

// isEmpty reports whether the set has no slots.
func (s SlotSet) isEmpty() bool {
	for _, b := range s {
		if b != 0 {
			return false
		}
	}
	return true
}

// ValidateSlots checks a received set. Its error wraps ErrMalformedSlots.
func ValidateSlots(gateways int, set SlotSet) error {
	if want := len(NewSlotSet(gateways)); len(set) != want {
		return fmt.Errorf("%w: %d bytes, want %d", ErrMalformedSlots, len(set), want)
	}
	if usedBits := slotCount(gateways) % 8; usedBits > 0 && set[len(set)-1]>>usedBits != 0 {
		return fmt.Errorf("%w: slot number out of range", ErrMalformedSlots)
	}
	return nil
}

// WantedSlots returns the slots that a gateway should request given its view of the others: its own slots, and its
// share of the slots of dead gateways, which are distributed evenly among the active ones. isDead reports whether
// others may use a gateway's slots, isActive whether a gateway uses slots.
func WantedSlots(gateways, index int, isDead, isActive func(index int) bool) SlotSet {
	perGateway := SlotsPerGateway(gateways)
	wanted := NewSlotSet(gateways)
	users, position := 0, -1
	for other := range gateways {
		if other == index {
			position = users
		}
		if other == index || isActive(other) {
			users++
		}
	}
	for owner := range gateways {
		for i := range perGateway {
			slot := owner*perGateway + i
			if owner == index || isDead(owner) && slot%users == position {
				wanted.Add(slot)
			}
		}
	}
	return wanted
}

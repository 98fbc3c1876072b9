package quotalease

import (
	"errors"
	"fmt"
)

// Number of slots.
const (
	// targetSlots is about how many slots a small cluster has.
	targetSlots        = 60
	maxSlotsPerGateway = 20
	minSlotsPerGateway = 2
)

// ErrMalformedSlots is wrapped by the errors of [ValidateSlots].
var ErrMalformedSlots = errors.New("malformed set of slots")

// SlotsPerGateway returns how many slots each gateway of a list has.
func SlotsPerGateway(gateways int) int {
	return min(maxSlotsPerGateway, max(minSlotsPerGateway, targetSlots/max(1, gateways)))
}

// slotCount returns how many slots a list of gateways has together.
func slotCount(gateways int) int { return gateways * SlotsPerGateway(gateways) }

// SlotSet is a set of slots, a bit each. Slots are numbered by their owners' places in the list.
type SlotSet []byte

// NewSlotSet returns an empty set for a list of gateways.
func NewSlotSet(gateways int) SlotSet { return make(SlotSet, (slotCount(gateways)+7)/8) }

// Has reports whether a slot is in the set.
func (s SlotSet) Has(slot int) bool { return s[slot/8]&(1<<(slot%8)) != 0 }

// Add puts a slot into the set.
func (s SlotSet) Add(slot int) { s[slot/8] |= 1 << (slot % 8) }

// isEmpty reports whether the set has no slot.
func (s SlotSet) isEmpty() bool {
	for _, b := range s {
		if b != 0 {
			return false
		}
	}
	return true
}

// ValidateSlots checks a set that was received. Its error wraps ErrMalformedSlots.
func ValidateSlots(gateways int, set SlotSet) error {
	if want := len(NewSlotSet(gateways)); len(set) != want {
		return fmt.Errorf("%w: %d bytes, not %d", ErrMalformedSlots, len(set), want)
	}
	if usedBits := slotCount(gateways) % 8; usedBits > 0 && set[len(set)-1]>>usedBits != 0 {
		return fmt.Errorf("%w: a slot that does not exist", ErrMalformedSlots)
	}
	return nil
}

// WantedSlots returns the slots that a gateway is to request, by how it sees the others: its own, and those of dead
// gateways, dealt out evenly to the active ones. IsDead reports that others may use a gateway's slots, isActive that a
// gateway uses slots.
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

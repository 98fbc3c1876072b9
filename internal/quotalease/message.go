package quotalease

import "gapgap/internal/membership"

// Request asks a voter for a lease of slots.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID is the requesting process.
	ID membership.ID
	// Sequence increases with each request of a process, starting at 1.
	Sequence uint32
	// Slots are all slots that the process holds or wants; it gives up all others.
	Slots SlotSet
}

// Grant answers a Request.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// ID and Sequence are those of the request.
	ID       membership.ID
	Sequence uint32
	// Slots are the slots that the voter granted.
	Slots SlotSet
}

package quotalease

import "gapgap/internal/membership"

// Request asks a voter for a lease of slots.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID is the process that asks.
	ID membership.ID
	// Sequence grows with each request of a process, from 1.
	Sequence uint32
	// Slots are all that the process holds or wants; all others are free of it.
	Slots SlotSet
}

// Grant answers a Request.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// ID and Sequence are those of the request.
	ID       membership.ID
	Sequence uint32
	// Slots are those that the voter has granted.
	Slots SlotSet
}

package decisioncache

import "time"

// Entry identifies a check in a Cache until it is removed.
type Entry int32

// noEntry identifies no check. It marks the ends of lists.
const noEntry Entry = -1

// checkID identifies a check across all accounts.
type checkID struct {
	// account is the number of the check's account.
	account uint32
	key     Key
}

// slot holds one check. Slots are linked by index: if V has no pointers, the garbage collector need not scan them,
// however many there are.
type slot[V any] struct {
	decision V
	id       checkID
	// repeats is how often the check was repeated.
	repeats int
	// decided is true once the check has its decision.
	decided bool
	// expiresAt is when a decided check expires.
	expiresAt time.Duration
	// links are the slot's neighbors in each list of decided checks. Those of listOfAll also link the unused slots.
	links [listCount]links
}

// slotsPerPage is how many slots are allocated at a time.
const slotsPerPage = 1 << 10

// slotPool allocates the slots of a Cache. Pages are never moved, so growing copies no slots.
type slotPool[V any] struct {
	// pages have slotsPerPage slots each.
	pages [][]slot[V]
	// allocated is the number of slots that have been in use at some time.
	allocated int
	// unused is the first slot of the free list, or noEntry.
	unused Entry
}

// newSlotPool returns a pool without slots.
func newSlotPool[V any]() slotPool[V] {
	return slotPool[V]{unused: noEntry}
}

// at returns the slot of an entry.
func (p *slotPool[V]) at(entry Entry) *slot[V] {
	return &p.pages[entry/slotsPerPage][entry%slotsPerPage]
}

// allocate returns the entry of a slot for a pending check.
func (p *slotPool[V]) allocate(id checkID) Entry {
	entry := p.unused
	if entry == noEntry {
		if p.allocated%slotsPerPage == 0 {
			p.pages = append(p.pages, make([]slot[V], slotsPerPage))
		}
		entry = Entry(p.allocated)
		p.allocated++
	} else {
		p.unused = p.at(entry).links[listOfAll].next
	}
	*p.at(entry) = slot[V]{id: id}
	return entry
}

// release clears a slot for reuse. It must be in no list.
func (p *slotPool[V]) release(entry Entry) {
	released := p.at(entry)
	*released = slot[V]{}
	released.links[listOfAll].next = p.unused
	p.unused = entry
}

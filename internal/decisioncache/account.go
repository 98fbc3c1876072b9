package decisioncache

import "gapgap/internal/priorityqueue"

// account has the checks of one account in a Cache.
type account struct {
	name string
	// number identifies the account in the slots, which must have no pointers.
	number uint32
	// size is the number of the account's checks, pending or decided.
	size int
	// decided lists the account's decided checks.
	decided list
	// rank is the account's item in accountSet.bySize.
	rank priorityqueue.Item[*account]
}

// accountSet holds the accounts that have checks in a Cache.
type accountSet struct {
	byName   map[string]*account
	byNumber map[uint32]*account
	// lastNumber is the number that was assigned last.
	lastNumber uint32
	// bySize orders the accounts by size, largest first.
	bySize *priorityqueue.Queue[*account]
}

// newAccountSet returns a set without accounts.
func newAccountSet() accountSet {
	return accountSet{
		byName:   map[string]*account{},
		byNumber: map[uint32]*account{},
		bySize:   priorityqueue.New(func(a, b *account) bool { return a.size > b.size }),
	}
}

// getOrAdd returns the account of a name and adds it if it is unknown.
func (s *accountSet) getOrAdd(name string) *account {
	if known := s.byName[name]; known != nil {
		return known
	}
	added := &account{
		name:    name,
		number:  s.nextNumber(),
		decided: newList(listOfAccount),
	}
	added.rank.Value = added
	s.byName[name] = added
	s.byNumber[added.number] = added
	s.bySize.Put(&added.rank)
	return added
}

// nextNumber returns a number that no account has. Numbers wrap around after 2^32.
func (s *accountSet) nextNumber() uint32 {
	s.lastNumber++
	for s.byNumber[s.lastNumber] != nil {
		s.lastNumber++
	}
	return s.lastNumber
}

// resize adds a number to an account's size. An account whose size becomes 0 is removed.
func (s *accountSet) resize(a *account, by int) {
	a.size += by
	if a.size > 0 {
		s.bySize.Moved(&a.rank)
		return
	}
	s.bySize.Remove(&a.rank)
	delete(s.byName, a.name)
	delete(s.byNumber, a.number)
}

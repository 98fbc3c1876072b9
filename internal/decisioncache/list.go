package decisioncache

// listKind distinguishes the lists that a decided check is in.
type listKind int

const (
	// listOfAccount lists the decided checks of one account.
	listOfAccount listKind = iota
	// listOfAll lists the decided checks of all accounts.
	listOfAll
	listCount
)

// links are the neighbors of a slot in a list. At the ends of the list they are noEntry.
type links struct {
	previous Entry
	next     Entry
}

// list is a doubly linked list of decided checks, oldest decision first.
type list struct {
	kind  listKind
	first Entry
	last  Entry
}

// newList returns an empty list.
func newList(kind listKind) list {
	return list{kind: kind, first: noEntry, last: noEntry}
}

// pushBack adds a slot at the end of a list.
func (p *slotPool[V]) pushBack(l *list, entry Entry) {
	p.at(entry).links[l.kind] = links{previous: l.last, next: noEntry}
	if l.last == noEntry {
		l.first = entry
	} else {
		p.at(l.last).links[l.kind].next = entry
	}
	l.last = entry
}

// remove removes a slot from a list.
func (p *slotPool[V]) remove(l *list, entry Entry) {
	removed := p.at(entry).links[l.kind]
	if removed.previous == noEntry {
		l.first = removed.next
	} else {
		p.at(removed.previous).links[l.kind].next = removed.next
	}
	if removed.next == noEntry {
		l.last = removed.previous
	} else {
		p.at(removed.next).links[l.kind].previous = removed.previous
	}
}

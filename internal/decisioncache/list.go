package decisioncache

// listKind tells the lists apart that a decided check is in.
type listKind int

const (
	// listOfAccount has the decided checks of one account.
	listOfAccount listKind = iota
	// listOfAll has the decided checks of all accounts.
	listOfAll
	listCount
)

// links are the neighbors of a slot in a list; noEntry at its ends.
type links struct {
	previous Entry
	next     Entry
}

// list is a doubly linked list of decided checks, the oldest decision first.
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

// remove takes a slot out of a list.
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

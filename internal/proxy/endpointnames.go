package proxy

import (
	"cmp"
	"errors"
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// maxDepartedNames bounds the remembered names of endpoints that are no longer listed.
const maxDepartedNames = 8192

// ErrNeverListed reports that no endpoint list has contained the name.
var ErrNeverListed = errors.New("never listed")

// endpointNames is the set of names that endpoint lists have contained. The number of names no longer listed is
// bounded, except for ejected ones, which must stay known so that they can be restored.
type endpointNames struct {
	// departedAt maps each name to the sequence number of its removal from the list. 0 means that it is listed now.
	departedAt map[string]uint64
	// departures is the last sequence number used.
	departures uint64
	// departed is the number of names that are not listed now.
	departed int
	// ejected holds the names ejected by operators.
	ejected map[string]bool
}

// newEndpointNames returns an empty set.
func newEndpointNames() endpointNames {
	return endpointNames{departedAt: map[string]uint64{}, ejected: map[string]bool{}}
}

// update applies an endpoint list or a change to it.
func (n *endpointNames) update(update endpoint.Update) {
	named := map[string]bool{}
	for _, entry := range update.Entries {
		at, known := n.departedAt[entry.Name]
		switch {
		case entry.State != balancer.Removed:
			if at > 0 {
				n.departed--
			}
			n.departedAt[entry.Name] = 0
			named[entry.Name] = true
		case known:
			n.markDeparted(entry.Name)
		}
	}
	if update.Kind == balancer.Delta {
		return
	}
	for name, at := range n.departedAt {
		if at == 0 && !named[name] {
			n.markDeparted(name)
		}
	}
}

// markDeparted records that a name is no longer listed. If there are too many such names, the oldest are forgotten
// until half of the limit remain.
func (n *endpointNames) markDeparted(name string) {
	if at, known := n.departedAt[name]; !known || at == 0 {
		n.departed++
	}
	n.departures++
	n.departedAt[name] = n.departures
	if n.departed <= maxDepartedNames {
		return
	}
	for _, old := range n.oldestDeparted()[:n.departed-maxDepartedNames/2] {
		if !n.ejected[old] {
			delete(n.departedAt, old)
			n.departed--
		}
	}
}

// oldestDeparted returns the names that are no longer listed, the earliest removed first.
func (n *endpointNames) oldestDeparted() (names []string) {
	for name, at := range n.departedAt {
		if at > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(n.departedAt[a], n.departedAt[b]) })
	return names
}

// contains reports whether any list has contained the name.
func (n *endpointNames) contains(name string) bool {
	_, ok := n.departedAt[name]
	return ok
}

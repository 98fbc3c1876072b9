package proxy

import (
	"cmp"
	"errors"
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// maxDepartedNames is how many names of endpoints are remembered that were listed once and are not now.
const maxDepartedNames = 8192

// ErrNeverListed says that no endpoint list has had a name.
var ErrNeverListed = errors.New("never listed")

// endpointNames are the names that endpoint lists have had. Those not listed now are bounded in number, except for
// ejected ones: the call that restores one must find it.
type endpointNames struct {
	// departedAt tells when each name left the list, by a count that only grows; 0: it is listed now.
	departedAt map[string]uint64
	// departures is the last of these counts.
	departures uint64
	// departed is how many names are not listed now.
	departed int
	// ejected are the names that operators have ejected.
	ejected map[string]bool
}

// newEndpointNames returns an empty set of names.
func newEndpointNames() endpointNames {
	return endpointNames{departedAt: map[string]uint64{}, ejected: map[string]bool{}}
}

// update takes an endpoint list or a change of it.
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

// markDeparted notes that a name is not listed now. When too many are not, half of them are forgotten, oldest first.
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

// oldestDeparted returns the names that are not listed now, in the order in which they departed.
func (n *endpointNames) oldestDeparted() (names []string) {
	for name, at := range n.departedAt {
		if at > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(n.departedAt[a], n.departedAt[b]) })
	return names
}

// contains tells whether a list has had a name.
func (n *endpointNames) contains(name string) bool {
	_, ok := n.departedAt[name]
	return ok
}

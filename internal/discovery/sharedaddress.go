package discovery

import (
	"slices"

	"gapgap/internal/endpoint"
)

// listedEndpoint is an entry of the current list.
type listedEndpoint struct {
	Endpoint
	// isPlaceUncertain tells that another endpoint in another zone or cell has the same address.
	isPlaceUncertain bool
}

// markUncertainPlaces determines anew which endpoints have the address of one in another zone or cell: a process may
// have gone and another one come up at its address while both are listed, and requests for either reach the one that is
// there. It returns the names of the endpoints for which that has changed, in alphabetical order.
func markUncertainPlaces(endpoints map[string]*listedEndpoint) (changed []string) {
	type place struct {
		zone string
		cell int
	}
	places := make(map[string]place, len(endpoints)) // by address
	uncertain := map[string]bool{}
	for _, listed := range endpoints {
		own := place{listed.Zone, listed.Group}
		if other, ok := places[listed.Address]; ok && other != own {
			uncertain[listed.Address] = true
		}
		places[listed.Address] = own
	}
	for name, listed := range endpoints {
		if isUncertain := uncertain[listed.Address]; isUncertain != listed.isPlaceUncertain {
			listed.isPlaceUncertain = isUncertain
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// withUncertainPlaces marks the entries of an update whose place is uncertain, and adds those of other endpoints for
// which that has changed.
func (w *Watch) withUncertainPlaces(entries []endpoint.Entry) []endpoint.Entry {
	changed := markUncertainPlaces(w.endpoints)
	reported := map[string]bool{}
	for i := range entries {
		entry := &entries[i]
		reported[entry.Name] = true
		if listed := w.endpoints[entry.Name]; listed != nil {
			entry.PlaceUncertain = listed.isPlaceUncertain
		}
	}
	for _, name := range changed {
		listed := w.endpoints[name]
		w.log.Info("endpoints in two places share an address",
			"endpoint", name, "address", listed.Address, "shared", listed.isPlaceUncertain)
		if !reported[name] {
			entry := w.entry(listed.Endpoint, states[listed.Status])
			entry.PlaceUncertain = listed.isPlaceUncertain
			entries = append(entries, entry)
		}
	}
	return entries
}

package proxy

import (
	"fmt"
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// newUpdate returns an update with entries of the given names, all in the same state.
func newUpdate(kind balancer.UpdateKind, state balancer.EndpointState, names ...string) (u endpoint.Update) {
	u.Kind = kind
	for _, n := range names {
		u.Entries = append(u.Entries, endpoint.Entry{Endpoint: balancer.Endpoint{Name: n, State: state}})
	}
	return u
}

// TestEndpointNamesAreBounded verifies that a million names that are listed and removed use bounded memory, that listed
// and ejected names are never forgotten, and that repeating the same list does not displace any name.
func TestEndpointNamesAreBounded(t *testing.T) {
	names := newEndpointNames()
	names.update(newUpdate(balancer.Snapshot, balancer.Serving, "stays", "banned", "left"))
	names.ejected["banned"] = true
	names.update(newUpdate(balancer.Delta, balancer.Removed, "banned", "left", "never listed"))
	if names.contains("never listed") || !names.contains("left") || names.departed != 2 {
		t.Errorf("after the removals: %v", names.departedAt)
	}
	for range 20000 {
		names.update(newUpdate(balancer.Snapshot, balancer.Serving, "stays"))
	}
	if !names.contains("left") || names.departed != 2 {
		t.Errorf("repeating a list displaced names: %v", names.departedAt)
	}
	for i := range 1000 {
		all := []string{"stays"}
		for j := range 1000 {
			all = append(all, fmt.Sprint(i, "-", j))
		}
		names.update(newUpdate(balancer.Snapshot, balancer.Serving, all...))
		if len(names.departedAt) > maxDepartedNames+1100 {
			t.Fatalf("%d names are kept", len(names.departedAt))
		}
	}
	if !names.contains("stays") || !names.contains("banned") || names.contains("left") || !names.contains("998-7") {
		t.Errorf("contains the listed name %t, the ejected %t, one removed long ago %t, one removed last %t",
			names.contains("stays"), names.contains("banned"), names.contains("left"), names.contains("998-7"))
	}
}

package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
)

// TestPlaceOfASharedAddressIsUncertain guards against keyed requests that reach a process in another place: the process
// of an endpoint has gone, and that of another one has come up at its address while both are listed.
func TestPlaceOfASharedAddressIsUncertain(t *testing.T) {
	entry := func(name, address, zone string, cell int, status string) Endpoint {
		return Endpoint{Name: name, Address: address, Zone: zone, Group: cell, Status: status, Weight: 1}
	}
	old := entry("old", "127.0.0.1:1", "a", 1, "SERVING")
	for name, test := range map[string]struct {
		first []Endpoint
		// changes are applied one by one, and uncertain is what is reported after each list: "new", "old" or both.
		changes   []Endpoint
		uncertain []string
	}{
		"another zone": {
			first: []Endpoint{old},
			changes: []Endpoint{
				entry("new", old.Address, "b", 1, "SERVING"),
				entry("new", old.Address, "b", 1, "DRAINING"),
				entry("old", old.Address, "a", 1, "SERVING"),
				entry("old", old.Address, "a", 1, "DELETED"),
			},
			uncertain: []string{"[]", "[new old]", "[new old]", "[new old]", "[]"},
		},
		"another cell": {
			first: []Endpoint{old, entry("new", old.Address, "a", 2, "SERVING")},
			changes: []Endpoint{
				entry("new", "127.0.0.1:2", "a", 2, "SERVING"),
				entry("old", "127.0.0.1:2", "a", 1, "SERVING"),
				entry("old", "127.0.0.1:2", "a", 2, "SERVING"),
			},
			uncertain: []string{"[new old]", "[]", "[new old]", "[]"},
		},
		"the same place": {
			first:     []Endpoint{old, entry("new", old.Address, "a", 1, "SERVING")},
			changes:   []Endpoint{entry("new", old.Address, "a", 1, "DELETED")},
			uncertain: []string{"[]", "[]"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			known := map[string]balancer.Endpoint{}
			watch := New(eventloop.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), Config{},
				func(u endpoint.Update) {
					for _, e := range u.Entries {
						known[e.Name] = e.Endpoint
					}
				})
			apply := func(step int, list EndpointList) {
				list.Index = int64(step + 1)
				watch.handleList(list)
				var got []string
				for _, name := range []string{"new", "old"} {
					if known[name].PlaceUncertain && known[name].State != balancer.Removed {
						got = append(got, name)
					}
				}
				if fmt.Sprint(got) != test.uncertain[step] {
					t.Errorf("after list %d the places of %v are uncertain, want %s", step, got, test.uncertain[step])
				}
			}
			apply(0, EndpointList{Snapshot: true, Endpoints: test.first})
			for i, change := range test.changes {
				apply(i+1, EndpointList{Endpoints: []Endpoint{change}})
			}
			snapshot := watch.List()
			snapshot.Index = watch.index
			clear(known)
			watch.handleList(snapshot) // a whole list without a change
			for name, e := range known {
				if e.PlaceUncertain != (test.uncertain[len(test.changes)] != "[]") {
					t.Errorf("the whole list without a change: %s is uncertain: %t", name, e.PlaceUncertain)
				}
			}
		})
	}
}

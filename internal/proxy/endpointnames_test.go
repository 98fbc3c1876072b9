package proxy

import (
	"fmt"
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

func newUpdate(kind balancer.UpdateKind, state balancer.EndpointState, names ...string) (u endpoint.Update) {
	u.Kind = kind
	for _, n := range names {
		u.Entries = append(u.Entries, endpoint.Entry{Endpoint: balancer.Endpoint{Name: n, State: state}})
	}
	return u
}

// A million names that come and go take bounded room; what is listed, or banned, is never forgotten, and whole lists
// that say the same again push nothing out.
func TestEndpointNamesAreBounded(t *testing.T) {
	names := newEndpointNames()
	names.update(newUpdate(balancer.Snapshot, balancer.Serving, "stays", "banned", "left"))
	names.ejected["banned"] = true
	names.update(newUpdate(balancer.Delta, balancer.Removed, "banned", "left", "never listed"))
	if names.contains("never listed") || !names.contains("left") || names.departed != 2 {
		t.Errorf("%v", names.departedAt)
	}
	for range 20000 {
		names.update(newUpdate(balancer.Snapshot, balancer.Serving, "stays"))
	}
	if !names.contains("left") || names.departed != 2 {
		t.Errorf("lists that say the same push names out: %v", names.departedAt)
	}
	for i := range 1000 {
		all := []string{"stays"}
		for j := range 1000 {
			all = append(all, fmt.Sprint(i, "-", j))
		}
		names.update(newUpdate(balancer.Snapshot, balancer.Serving, all...))
		if len(names.departedAt) > maxDepartedNames+1100 {
			t.Fatalf("%d names", len(names.departedAt))
		}
	}
	if !names.contains("stays") || !names.contains("banned") || names.contains("left") || !names.contains("998-7") {
		t.Errorf("stays %t, banned %t, left long ago %t, left last %t", names.contains("stays"),
			names.contains("banned"), names.contains("left"), names.contains("998-7"))
	}
}

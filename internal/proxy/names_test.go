package proxy

import (
	"fmt"
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

func named(scope balancer.UpdateKind, state balancer.EndpointState, all ...string) (u endpoint.Update) {
	u.Kind = scope
	for _, n := range all {
		u.Entries = append(u.Entries, endpoint.Entry{Endpoint: balancer.Endpoint{Name: n, State: state}})
	}
	return u
}

// A million names that come and go take bounded room; what is listed, or banned, is never forgotten, and whole lists that say the
// same again push nothing out.
func TestNamesAreBounded(t *testing.T) {
	n := newNames()
	n.listed(named(balancer.Snapshot, balancer.Serving, "stays", "banned", "left"))
	n.banned["banned"] = true
	n.listed(named(balancer.Delta, balancer.Removed, "banned", "left", "never listed"))
	if n.has("never listed") || !n.has("left") || n.gone != 2 {
		t.Errorf("%v", n.all)
	}
	for range 20000 {
		n.listed(named(balancer.Snapshot, balancer.Serving, "stays"))
	}
	if !n.has("left") || n.gone != 2 {
		t.Errorf("lists that say the same push names out: %v", n.all)
	}
	for i := range 1000 {
		all := []string{"stays"}
		for j := range 1000 {
			all = append(all, fmt.Sprint(i, "-", j))
		}
		n.listed(named(balancer.Snapshot, balancer.Serving, all...))
		if len(n.all) > mostNames+1100 {
			t.Fatalf("%d names", len(n.all))
		}
	}
	if !n.has("stays") || !n.has("banned") || n.has("left") || !n.has("998-7") {
		t.Errorf("stays %t, banned %t, left long ago %t, left last %t", n.has("stays"), n.has("banned"), n.has("left"), n.has("998-7"))
	}
}

package stats

import (
	"fmt"
	"strings"
	"testing"
)

// TestWrite verifies the names, values and order of the lines that Write produces.
func TestWrite(t *testing.T) {
	counters := New()
	for range 3 {
		counters.Taken.Add(1)
	}
	counters.Class("order").Record(Fulfilled)
	counters.Class("order").Record(Throttled)
	counters.Class("lookup")
	counters.Relayed.Add(2)
	counters.Listed.Store(10)
	counters.Avoided.Store(1)
	counters.Invalid.Add(1)
	var b strings.Builder
	if err := counters.Write(&b); err != nil {
		t.Fatal(err)
	}
	want := "svc.operations.lookup.fulfilled=0\nsvc.operations.lookup.throttled=0\nsvc.operations.lookup.faulted=0\n" +
		"svc.operations.order.fulfilled=1\nsvc.operations.order.throttled=1\nsvc.operations.order.faulted=0\n" +
		"svc.relayed=2\nsvc.open_requests=1\nsvc.registry_entries=10\nsvc.out_of_rotation=1\n" +
		"svc.cfg_accepted=0\nsvc.cfg_invalid=1\n"
	if b.String() != want {
		t.Errorf("got\n%s", b.String())
	}
}

// TestClassesAreBounded verifies that an unbounded sequence of class names uses bounded memory and that every request
// is still counted.
func TestClassesAreBounded(t *testing.T) {
	counters := New()
	for i := range 4 * MaxClasses {
		counters.Taken.Add(1)
		counters.Class(fmt.Sprint("c", i)).Record(Faulted)
	}
	if len(counters.classes) > MaxClasses+1 {
		t.Errorf("%d classes are kept", len(counters.classes))
	}
	if counters.Open() != 0 {
		t.Errorf("%d requests are counted as open, want 0", counters.Open())
	}
	if n := counters.Class(OtherClasses).Count(Faulted); n != 3*MaxClasses {
		t.Errorf("%d requests are counted under OtherClasses", n)
	}
}

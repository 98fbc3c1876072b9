package stats

import (
	"fmt"
	"strings"
	"testing"
)

func TestWrite(t *testing.T) {
	f := New()
	for range 3 {
		f.Taken.Add(1)
	}
	f.Class("order").Ended(Fulfilled)
	f.Class("order").Ended(Throttled)
	f.Class("lookup")
	f.Relayed.Add(2)
	f.Listed.Store(10)
	f.Avoided.Store(1)
	f.Invalid.Add(1)
	var b strings.Builder
	if err := f.Write(&b); err != nil {
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

// Names of classes that come and go for ever take bounded room, and no request is counted nowhere.
func TestClassesAreBounded(t *testing.T) {
	f := New()
	for i := range 4 * MaxClasses {
		f.Taken.Add(1)
		f.Class(fmt.Sprint("c", i)).Ended(Faulted)
	}
	if len(f.classes) > MaxClasses+1 {
		t.Errorf("%d classes", len(f.classes))
	}
	if f.Open() != 0 {
		t.Errorf("%d open", f.Open())
	}
	if n := f.Class(Others).Count(Faulted); n != 3*MaxClasses {
		t.Errorf("%d counted among the others", n)
	}
}

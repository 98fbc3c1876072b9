package snowhall_test

import (
	"fmt"
	"time"

	"gapgap"
)

func Example() {
	door, err := snowhall.New(snowhall.Settings{
		Doors: 1, MaxAttempts: 2,
		Classes: []snowhall.Class{{Worth: 1, Aim: 300 * time.Millisecond, GiveUp: time.Second}},
		Plans:   []snowhall.Plan{{Rate: 10, Burst: 20, Factor: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	acts := door.Step(0, []snowhall.Event{
		snowhall.List{Scope: snowhall.Whole, Entries: []snowhall.Backend{{Name: "10.0.0.1:80", Weight: 1}}},
		snowhall.Request{ID: 7, Customer: "ann", Left: time.Second, Units: 1},
	})
	for _, a := range acts {
		if s, ok := a.(snowhall.Send); ok {
			fmt.Println("send", s.ID, "to", s.Backend, "for", s.Timeout)
		}
	}
	// Output: send 7 to 10.0.0.1:80 for 300ms
}

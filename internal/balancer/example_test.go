package balancer_test

import (
	"fmt"
	"time"

	"gapgap/internal/balancer"
)

func Example() {
	gateway, err := balancer.New(balancer.Settings{
		Gateways:    1,
		MaxAttempts: 2,
		Classes: []balancer.Class{
			{PriorityWeight: 1, LatencyObjective: 300 * time.Millisecond, ClientTimeout: time.Second},
		},
		Plans: []balancer.Plan{{Rate: 10, Burst: 20, PriorityFactor: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := gateway.Step(0, []balancer.Event{
		balancer.EndpointUpdate{
			Kind:    balancer.Snapshot,
			Entries: []balancer.Endpoint{{Name: "10.0.0.1:80", Weight: 1}},
		},
		balancer.Request{ID: 7, Customer: "ann", TimeLeft: time.Second, Units: 1},
	})
	for _, a := range actions {
		if dispatch, ok := a.(balancer.Dispatch); ok {
			fmt.Println("send", dispatch.ID, "to", dispatch.Endpoint, "for", dispatch.Timeout)
		}
	}
	// Output: send 7 to 10.0.0.1:80 for 300ms
}

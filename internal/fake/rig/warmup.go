package rig

import (
	"math"
	"time"

	"gapgap/internal/fake/flagserver"
)

// The warm-up of endpoints, with the values that the gateways' configuration has by default.
const (
	// initialCapacity is the fraction of its capacity that an endpoint has at its start.
	initialCapacity = 0.26
	// warmUpDuration is the time from its start until an endpoint has its full capacity.
	warmUpDuration = 15 * time.Second
)

// The condition under which an endpoint that is warming up counts as overloaded.
const (
	// overloadMultiple is the multiple of its capacity that an overloaded endpoint is sent within overloadWindow.
	overloadMultiple = 3.0
	// overloadWindow is the length of the window in which the requests sent are counted.
	overloadWindow = 3 * time.Second
)

// Pushed returns the largest number of requests by which an endpoint that was warming up was overloaded in any window,
// beyond random variation. It requires Config.Work.
func (r *Rig) Pushed() (over float64) {
	commandsPerSecond := float64(time.Second) / float64(r.Work)
	for _, server := range r.Servers {
		sent := server.Sent()
		for n, startedAt := range r.poweredOnAt {
			until := startedAt.Add(warmUpDuration)
			if n+1 < len(r.poweredOnAt) && r.poweredOnAt[n+1].Before(until) {
				until = r.poweredOnAt[n+1]
			}
			over = max(over, overloadOf(sent, startedAt, until, commandsPerSecond))
		}
	}
	return over
}

// overloadOf returns the largest excess of requests in any window that begins with a request sent between an endpoint's
// start and the end of its warm-up. 3*sqrt(n)+3 requests beyond the allowed number n count as random variation.
func overloadOf(sent []flagserver.Sent, startedAt, until time.Time, commandsPerSecond float64) (over float64) {
	warmUp := &flagserver.Config{InitialCapacity: initialCapacity, WarmUpDuration: warmUpDuration, StartedAt: startedAt}
	end := 0
	for i, first := range sent {
		if first.At.Before(startedAt) || !first.At.Before(until) {
			continue
		}
		end = max(end, i)
		for end < len(sent) && sent[end].At.Before(until) && sent[end].At.Sub(first.At) < overloadWindow {
			end++
		}
		allowed := overloadMultiple * warmUp.CapacityAt(first.At) * commandsPerSecond * overloadWindow.Seconds()
		over = max(over, float64(end-i)-allowed-3*math.Sqrt(allowed)-3)
	}
	return over
}

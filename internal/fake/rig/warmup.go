package rig

import (
	"math"
	"time"

	"gapgap/internal/fake/flagserver"
)

// How endpoints warm up, as the gateways' files have it by default.
const (
	// coldFraction is the fraction of its capacity that an endpoint has when it is started.
	coldFraction = 0.26
	// warmUpDuration is the time after which it has all.
	warmUpDuration = 15 * time.Second
)

// When an endpoint that is warming up counts as overloaded.
const (
	// overloadMultiple is the multiple of its capacity that it must be sent within overloadWindow.
	overloadMultiple = 3.0
	// overloadWindow is the time in which it must be sent so much.
	overloadWindow = 3 * time.Second
)

// Pushed returns by how many commands an endpoint that was warming up had more in some window, at worst, than it
// bears, beyond what chance explains. It needs Config.Work.
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

// overloadOf returns the largest excess of commands in a window that begins with one of those sent between an
// endpoint's start and the end of its warm-up.
func overloadOf(sent []flagserver.Sent, startedAt, until time.Time, commandsPerSecond float64) (over float64) {
	warmUp := &flagserver.Config{From: coldFraction, Within: warmUpDuration, Started: startedAt}
	end := 0
	for i, first := range sent {
		if first.At.Before(startedAt) || !first.At.Before(until) {
			continue
		}
		end = max(end, i)
		for end < len(sent) && sent[end].At.Before(until) && sent[end].At.Sub(first.At) < overloadWindow {
			end++
		}
		bears := overloadMultiple * warmUp.Bears(first.At) * commandsPerSecond * overloadWindow.Seconds()
		over = max(over, float64(end-i)-bears-3*math.Sqrt(bears)-3)
	}
	return over
}

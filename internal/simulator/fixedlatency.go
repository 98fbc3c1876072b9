package simulator

import (
	"math"
	"time"
)

// defaultFixedLatency is the latency of the endpoints that [New] creates.
const defaultFixedLatency = 20 * time.Millisecond

// infiniteLatency is the latency of an endpoint that does not exist.
const infiniteLatency = time.Duration(math.MaxInt64)

// FixedLatencyEndpoint is an endpoint that answers each attempt after the same time, with no queue and no limit.
type FixedLatencyEndpoint struct {
	Name    string
	Latency time.Duration
}

// fixedLatency returns the latency of the fixed-latency endpoint with the given name.
func (w *World) fixedLatency(name string) time.Duration {
	for _, endpoint := range w.FixedLatencyEndpoints {
		if endpoint.Name == name {
			return endpoint.Latency
		}
	}
	return infiniteLatency
}

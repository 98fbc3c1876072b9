package discovery

import (
	"time"

	"gapgap/internal/backoff"
)

// Time-outs of a watch.
const (
	// signTimeout ends a watch that is silent: it gives a sign of life every 2 s.
	signTimeout = 3 * time.Second
	// answerTimeout is how long a call waits for its answer to begin: discovery may let it wait for 2 s.
	answerTimeout = 2200 * time.Millisecond
	// dialTimeout is the part of that for connecting.
	dialTimeout = time.Second
	// listTimeout is how long a list may take from its first byte to its last.
	listTimeout = 1300 * time.Millisecond
	// maxListTimeout is its bound while none has come whole in time: the agent may be slow.
	maxListTimeout = 4 * time.Second
)

// Pauses between watches.
const (
	// watchesPerSecond is how many watches discovery, which is behind all agents, should answer.
	watchesPerSecond = 20.0
	// maxEndedPause bounds the mean pause after a watch that ended or never began.
	maxEndedPause = 200 * time.Millisecond
	// maxRejectedPause bounds the mean pause after a rejected one.
	maxRejectedPause = 2200 * time.Millisecond
	// pushedPause is the pause where lists are pushed.
	pushedPause = 30 * time.Millisecond
)

// retryPolicy is the least backoff: with few gateways asking costs nothing, as the agent is on the same machine.
var retryPolicy = backoff.Policy{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond, Multiplier: 1.5}

// Calls in parallel. Where lists are pushed a drain binds a quarter of a second after the agent has it, and an agent
// that was silent with discovery gets all at once. So while a call is not answered further ones are made beside it,
// and the first one after the agent's return is soon.
const (
	// minParallelInterval is the time between calls to an agent that answered the last watch at once.
	minParallelInterval = 150 * time.Millisecond
	// maxParallelInterval is the longest.
	maxParallelInterval = 600 * time.Millisecond
	// parallelIntervalGrowth is the factor from one to the next for an agent that has answered none. It may have a
	// queue, in which a call that is given up has taken its place all the same.
	parallelIntervalGrowth = 1.3
	// answerTimeFactor times what the last watch took to begin is the interval to an agent that has answered.
	answerTimeFactor = 4
	// maxParallelCalls bounds the calls at once; the oldest is given up for a further one.
	maxParallelCalls = 6
	// maxParallelWait is when a call is given up.
	maxParallelWait = 2500 * time.Millisecond
)

// callInterval is the time between calls that are made in parallel.
type callInterval struct {
	interval time.Duration
	// answered says that a watch has begun.
	answered bool
}

// newCallInterval returns the interval for an agent that has answered nothing yet.
func newCallInterval() callInterval { return callInterval{interval: minParallelInterval} }

// next returns the time to the next call.
func (c *callInterval) next() time.Duration {
	interval := c.interval
	if !c.answered {
		grown := time.Duration(parallelIntervalGrowth * float64(interval))
		c.interval = min(maxParallelInterval, grown)
	}
	return interval
}

// recordAnswer takes how long the last watch took to begin.
func (c *callInterval) recordAnswer(took time.Duration) {
	c.answered = true
	c.interval = min(maxParallelInterval, max(minParallelInterval, answerTimeFactor*took))
}

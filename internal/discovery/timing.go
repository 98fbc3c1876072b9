package discovery

import (
	"time"

	"gapgap/internal/backoff"
)

// Timeouts of a watch.
const (
	// silenceTimeout ends a watch on which nothing arrives. The agent sends a keep-alive every 2 s.
	silenceTimeout = 3 * time.Second
	// answerTimeout is how long a call waits for its answer to begin. Discovery may queue a call for 2 s.
	answerTimeout = 2200 * time.Millisecond
	// dialTimeout is the part of answerTimeout for connecting.
	dialTimeout = time.Second
	// listTimeout is how long a list may take from its first byte to its last.
	listTimeout = 1300 * time.Millisecond
	// maxListTimeout bounds the list timeout, which doubles after each incomplete list in case the agent is slow.
	maxListTimeout = 4 * time.Second
	// lostIndexTimeout is how long an agent may send lists with a lower index than its own last one before it counts as
	// a new process that has lost its state. One that only lags behind has caught up by then.
	lostIndexTimeout = 2 * time.Second
)

// Pauses between watches.
const (
	// watchesPerSecond is the rate of new watches that all gateways together should impose on discovery, which serves
	// all agents.
	watchesPerSecond = 20.0
	// maxEndedPause bounds the mean pause after a watch that ended or could not be opened.
	maxEndedPause = 200 * time.Millisecond
	// maxRejectedPause bounds the mean pause after a watch that was rejected.
	maxRejectedPause = 2200 * time.Millisecond
	// pushedPause is the pause if lists are pushed.
	pushedPause = 30 * time.Millisecond
)

// minBackoff is the minimum backoff. It is short because with few gateways calls are cheap: the agent runs on the same
// machine.
var minBackoff = backoff.Policy{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond, Multiplier: 1.5}

// Parallel calls, which are made if lists are pushed. A drain then takes effect 250 ms after the agent has it, and an
// agent that was cut off from discovery gets all changes at once when discovery returns. Further calls are therefore
// made while one is unanswered, so that one of them starts soon after the agent can answer again.
const (
	// minParallelInterval is the time between calls to an agent that answered the last watch at once.
	minParallelInterval = 150 * time.Millisecond
	// maxParallelInterval is the maximum time between calls.
	maxParallelInterval = 600 * time.Millisecond
	// parallelIntervalGrowth is the growth factor of the interval while the agent has answered no call. The agent may
	// queue calls, and a canceled call still occupies a place in its queue.
	parallelIntervalGrowth = 1.3
	// answerTimeFactor is the ratio of the interval to the answer time of the last watch, once there was one.
	answerTimeFactor = 4
	// maxParallelCalls bounds the number of open calls; the oldest is canceled to make room for another.
	maxParallelCalls = 6
	// maxParallelWait is the age at which a call is canceled when another one starts.
	maxParallelWait = 2500 * time.Millisecond
)

// callInterval adapts the time between parallel calls to how fast the agent answers.
type callInterval struct {
	interval time.Duration
	// answered reports whether the agent has answered a watch.
	answered bool
}

// newCallInterval returns the interval for an agent that has not answered yet.
func newCallInterval() callInterval { return callInterval{interval: minParallelInterval} }

// next returns the time until the next call, and increases it if the agent has not answered yet.
func (c *callInterval) next() time.Duration {
	interval := c.interval
	if !c.answered {
		grown := time.Duration(parallelIntervalGrowth * float64(interval))
		c.interval = min(maxParallelInterval, grown)
	}
	return interval
}

// recordAnswer sets the interval from the time that the agent took to answer.
func (c *callInterval) recordAnswer(answerTime time.Duration) {
	c.answered = true
	c.interval = min(maxParallelInterval, max(minParallelInterval, answerTimeFactor*answerTime))
}

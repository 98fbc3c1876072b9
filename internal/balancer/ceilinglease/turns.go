package ceilinglease

import (
	"math"
	"time"
)

// Turns lets gateways share a bucket of which each would hold less than one unit. Each gateway has one unit for a
// limited time at its own turn. If it does not use the unit by then, the unit expires.
type Turns struct {
	// interval is the time from one turn of a gateway to its next turn.
	interval time.Duration
	// length is how long the unit is available in each turn.
	length time.Duration
	// gateways is the number of gateways that take turns.
	gateways int64
}

// NewTurns computes the turns of gateways that share a bucket with a rate in units per second and a depth in units. It
// returns false if each gateway holds at least one unit or if there is nothing to share. The turns of all gateways are
// evenly spaced, so in any time t they use at most rate*t+depth units, plus one for the instant at which they begin.
func NewTurns(rate, depth, gateways float64) (Turns, bool) {
	count := math.Ceil(gateways)
	if !(rate > 0 && depth > 0 && count >= 1) || depth >= count {
		return Turns{}, false
	}
	interval := count / rate * float64(time.Second)
	if !(interval < float64(math.MaxInt64/4)) || interval < 1 {
		return Turns{}, false
	}
	return Turns{
		interval: time.Duration(interval),
		length:   time.Duration(interval * depth / count),
		gateways: int64(count),
	}, true
}

// At returns the number of a gateway's turn at a time and whether its unit is available then.
func (turns Turns) At(now time.Duration, gateway int) (turn int64, open bool) {
	since := now - turns.offset(gateway)
	turn = int64(since / turns.interval)
	if since < 0 {
		return turn - 1, false
	}
	return turn, since%turns.interval < turns.length
}

// StartOf returns when a gateway's turn with the given number begins.
func (turns Turns) StartOf(turn int64, gateway int) time.Duration {
	return turns.offset(gateway) + time.Duration(turn)*turns.interval
}

// offset returns when a gateway's turn 0 begins.
func (turns Turns) offset(gateway int) time.Duration {
	return turns.interval / time.Duration(turns.gateways) * time.Duration(int64(max(0, gateway))%turns.gateways)
}

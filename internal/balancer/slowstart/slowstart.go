// Package slowstart limits what one of many gateways sends to an endpoint that has started lately and has only part
// of its capacity. It decides by values alone: no clock, no random source, no input or output.
//
// An endpoint falls over when all gateways together send it more than a multiple of its present capacity over a
// window. A gateway knows neither what the others send nor the capacity. Two things it does know:
//
//   - The rate at which a warm endpoint answers this gateway, of which a warming one can do a known part. The rates of
//     all gateways add up to the capacity of an endpoint, so the budgets add up to a part of what it can take.
//   - What this endpoint has answered this gateway in the last window. The answers to all gateways add up to what
//     the endpoint has done, so a multiple of them is within the same multiple of its capacity. If an endpoint can't
//     follow, its answers shrink, and with them the budgets.
//
// The larger of the two is the budget. If both are under one attempt, each gateway gets a turn now and then, the
// first one at a random time.
package slowstart

import (
	"slices"
	"time"
)

// Terms are what endpoints can take, and how many gateways there are.
type Terms struct {
	// OverloadMultiple is the multiple of its capacity that makes an endpoint fall over.
	OverloadMultiple float64
	// Window is the time over which it must be sent so much.
	Window time.Duration
	// Gateways is the number of gateways that use the endpoint, whether they are up or not.
	Gateways float64
}

const (
	// warmBudgetFraction is the part that is used of a budget by the rate of warm endpoints: endpoints differ, and
	// demand is uneven.
	warmBudgetFraction = 0.5
	// answeredBudgetFraction is the part that is used of a budget by answers: requests differ from the mean one.
	answeredBudgetFraction = 0.8
	// maxRoundingGateways is the number of gateways up to which each may round its budget up.
	maxRoundingGateways = 4.0
	// firstDispatches is the number of attempts that all gateways together send in a window to an endpoint of which
	// nothing is known.
	firstDispatches = 3.0
	// tolerance absorbs rounding errors in the sum of costs.
	tolerance = 1e-9
)

// Dispatch is an attempt sent to a warming endpoint.
type Dispatch struct {
	// At is when it was sent.
	At time.Duration
	// Cost is its work, in mean requests.
	Cost float64
}

// Budget counts what one gateway has sent to one warming endpoint and got answered. The zero value is empty.
type Budget struct {
	dispatched []Dispatch
	answered   []Dispatch
	// pausedUntil is when the next attempt may go out; 0: not set.
	pausedUntil time.Duration
	// nextFraction is how much of a whole attempt the budget must have left for the next one; 0: not drawn yet.
	nextFraction float64
}

// RecordDispatch counts an attempt of a cost in mean requests.
func (b *Budget) RecordDispatch(now time.Duration, cost float64) {
	b.dispatched = append(b.dispatched, Dispatch{now, cost})
	b.nextFraction = 0
}

// CancelDispatch takes back an attempt that was never sent.
func (b *Budget) CancelDispatch(at time.Duration, cost float64) {
	if i := slices.Index(b.dispatched, Dispatch{at, cost}); i >= 0 {
		b.dispatched = slices.Delete(b.dispatched, i, i+1)
	}
}

// RecordAnswer counts an answer in time to an attempt of a cost in mean requests.
func (b *Budget) RecordAnswer(now time.Duration, cost float64) {
	b.answered = append(b.answered, Dispatch{now, cost})
}

// PauseUntil lets no attempt go out before a time.
func (b *Budget) PauseUntil(until time.Duration) { b.pausedUntil = until }

// Dispatches returns the attempts that still count.
func (b *Budget) Dispatches() []Dispatch { return slices.Clone(b.dispatched) }

// Capacity is the part of its capacity that an endpoint has, from 0 to 1. A budget counts for a window, so it goes by
// the capacity when that began.
type Capacity struct {
	// Then is the part a window ago.
	Then float64
	// Now is the part now.
	Now float64
}

// IsExhausted reports whether the endpoint has had its budget. rate is the rate at which a warm endpoint of this
// one's weight answers this gateway, in mean requests a second. random draws from 0 to 1.
func (b *Budget) IsExhausted(now time.Duration, t Terms, rate float64, capacity Capacity, random func() float64) bool {
	span := t.Window
	required := 0.0
	budget := b.budget(now, t, rate, capacity)
	if budget < 1 {
		span = turnInterval(t, budget)
		budget = 1
		b.drawFirstTurn(now, t, span, random)
	} else if t.Gateways > maxRoundingGateways {
		required = b.drawFraction(random)
	}
	b.dispatched = dropUntil(b.dispatched, now-max(span, t.Window))
	used := costAfter(b.dispatched, now-span)
	return now < b.pausedUntil || used > budget-tolerance || used+required > budget+tolerance
}

// budget is what this gateway may send in a window, in mean requests.
func (b *Budget) budget(now time.Duration, t Terms, rate float64, capacity Capacity) float64 {
	byRate := warmBudgetFraction * t.OverloadMultiple * capacity.Then * rate * t.Window.Seconds()
	b.answered = dropUntil(b.answered, now-t.Window)
	byAnswers := answeredBudgetFraction * t.OverloadMultiple * costAfter(b.answered, 0) * 2 * capacity.Then /
		(capacity.Then + capacity.Now)
	return max(byRate, byAnswers)
}

// turnInterval is the time between two attempts where the budget of a window is under one.
func turnInterval(t Terms, budget float64) time.Duration {
	interval := time.Duration(t.Gateways / firstDispatches * float64(t.Window))
	if budget > 0 {
		interval = min(interval, time.Duration(float64(t.Window)/budget))
	}
	return interval
}

// drawFirstTurn sets the time of the first attempt, unless it is set. So few gateways that they may all send in one
// window need not wait.
func (b *Budget) drawFirstTurn(now time.Duration, t Terms, interval time.Duration, random func() float64) {
	if b.pausedUntil != 0 {
		return
	}
	longest := interval
	if t.Gateways <= 2*firstDispatches {
		longest = max(0, interval-t.Window)
	}
	b.pausedUntil = now + time.Duration(random()*float64(longest))
}

// drawFraction returns how much of a whole attempt the budget must have left for the next one. It is random: thirty
// gateways that each round a budget of 1.4 up would send sixty attempts.
func (b *Budget) drawFraction(random func() float64) float64 {
	if b.nextFraction == 0 {
		b.nextFraction = 1 - random()
	}
	return b.nextFraction
}

// dropUntil drops what is not later than a time.
func dropUntil(all []Dispatch, until time.Duration) []Dispatch {
	count := 0
	for count < len(all) && all[count].At <= until {
		count++
	}
	return slices.Delete(all, 0, count)
}

// costAfter is the cost of what is later than a time.
func costAfter(all []Dispatch, after time.Duration) float64 {
	sum := 0.0
	for _, d := range all {
		if d.At > after {
			sum += d.Cost
		}
	}
	return sum
}

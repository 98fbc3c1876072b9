// Package slowstart limits what one of many gateways sends to a recently started endpoint, which has only part of its
// capacity. Its decisions depend only on the values passed in: it reads no clock and no random source and does no input
// or output.
//
// An endpoint fails when all gateways together send it more than a multiple of its present capacity within a window. A
// gateway knows neither what the others send nor the capacity, but it knows two things:
//
//   - The rate at which a warm endpoint answers this gateway. A warming endpoint can do a known fraction of that. The
//     rates of all gateways add up to the capacity of an endpoint, so the budgets add up to a fraction of what the
//     endpoint can take.
//   - What this endpoint answered to this gateway in the last window. The answers to all gateways add up to the work
//     that the endpoint has done, so a multiple of them is within the same multiple of its capacity. If an endpoint
//     cannot keep up, it answers less and the budgets shrink.
//
// The budget is the larger of the two. If both are below one attempt, each gateway gets a turn at intervals, the first
// one at a random time.
package slowstart

import (
	"slices"
	"time"
)

// Terms are the load that endpoints can take and the number of gateways.
type Terms struct {
	// OverloadMultiple is the multiple of its capacity at which an endpoint fails.
	OverloadMultiple float64
	// Window is the time over which the load is measured.
	Window time.Duration
	// Gateways is the number of gateways that use the endpoint, whether they are up or not.
	Gateways float64
}

const (
	// warmBudgetFraction is the usable fraction of the budget by the rate of warm endpoints. It allows for differences
	// between endpoints and uneven demand.
	warmBudgetFraction = 0.5
	// answeredBudgetFraction is the usable fraction of the budget by answers. It allows for requests that differ from
	// the mean one.
	answeredBudgetFraction = 0.8
	// maxGatewaysRoundingUp is the largest number of gateways at which each may round its budget up.
	maxGatewaysRoundingUp = 4.0
	// initialDispatches is the number of attempts per window that all gateways together send to an endpoint of which
	// nothing is known.
	initialDispatches = 3.0
	// tolerance absorbs rounding errors in sums of costs.
	tolerance = 1e-9
)

// Dispatch is an attempt sent to a warming endpoint.
type Dispatch struct {
	// At is when the attempt was sent.
	At time.Duration
	// Cost is the work of the attempt, in mean requests.
	Cost float64
}

// Budget tracks what one gateway has sent to one warming endpoint, and what was answered. The zero value is empty.
type Budget struct {
	dispatched []Dispatch
	answered   []Dispatch
	// pausedUntil is the earliest time of the next attempt; 0 means not set.
	pausedUntil time.Duration
	// nextFraction is the fraction of a whole attempt that the budget must have left for the next one; 0 means not
	// drawn yet.
	nextFraction float64
}

// RecordDispatch counts an attempt. cost is in mean requests.
func (b *Budget) RecordDispatch(now time.Duration, cost float64) {
	b.dispatched = append(b.dispatched, Dispatch{now, cost})
	b.nextFraction = 0
}

// CancelDispatch removes an attempt that was recorded but never sent.
func (b *Budget) CancelDispatch(at time.Duration, cost float64) {
	if i := slices.Index(b.dispatched, Dispatch{at, cost}); i >= 0 {
		b.dispatched = slices.Delete(b.dispatched, i, i+1)
	}
}

// RecordAnswer counts an attempt that was answered in time. cost is in mean requests.
func (b *Budget) RecordAnswer(now time.Duration, cost float64) {
	b.answered = append(b.answered, Dispatch{now, cost})
}

// PauseUntil blocks attempts before the given time.
func (b *Budget) PauseUntil(until time.Duration) { b.pausedUntil = until }

// Dispatches returns the attempts that still count against the budget.
func (b *Budget) Dispatches() []Dispatch { return slices.Clone(b.dispatched) }

// Capacity is the fraction of its full capacity that an endpoint has, from 0 to 1. A budget applies to a whole window,
// so it is based on the capacity at the beginning of the window.
type Capacity struct {
	// Then is the fraction one window ago.
	Then float64
	// Now is the current fraction.
	Now float64
}

// IsExhausted reports whether the budget is used up. rate is the rate, in mean requests per second, at which a warm
// endpoint of the same weight answers this gateway. random returns numbers from 0 to 1.
func (b *Budget) IsExhausted(now time.Duration, t Terms, rate float64, capacity Capacity, random func() float64) bool {
	span := t.Window
	required := 0.0
	budget := b.budget(now, t, rate, capacity)
	if budget < 1 {
		span = turnInterval(t, budget)
		budget = 1
		b.drawFirstTurn(now, t, span, random)
	} else if t.Gateways > maxGatewaysRoundingUp {
		required = b.drawFraction(random)
	}
	b.dispatched = dropUntil(b.dispatched, now-max(span, t.Window))
	used := costAfter(b.dispatched, now-span)
	return now < b.pausedUntil || used > budget-tolerance || used+required > budget+tolerance
}

// budget returns what this gateway may send in a window, in mean requests.
func (b *Budget) budget(now time.Duration, t Terms, rate float64, capacity Capacity) float64 {
	byRate := warmBudgetFraction * t.OverloadMultiple * capacity.Then * rate * t.Window.Seconds()
	b.answered = dropUntil(b.answered, now-t.Window)
	byAnswers := answeredBudgetFraction * t.OverloadMultiple * costAfter(b.answered, 0) * 2 * capacity.Then /
		(capacity.Then + capacity.Now)
	return max(byRate, byAnswers)
}

// turnInterval returns the time between two attempts for a budget below one attempt per window.
func turnInterval(t Terms, budget float64) time.Duration {
	interval := time.Duration(t.Gateways / initialDispatches * float64(t.Window))
	if budget > 0 {
		interval = min(interval, time.Duration(float64(t.Window)/budget))
	}
	return interval
}

// drawFirstTurn draws the time of the first attempt, unless it is already set. If the gateways are few enough that all
// of them may send in one window, the first attempt need not wait.
func (b *Budget) drawFirstTurn(now time.Duration, t Terms, interval time.Duration, random func() float64) {
	if b.pausedUntil != 0 {
		return
	}
	longest := interval
	if t.Gateways <= 2*initialDispatches {
		longest = max(0, interval-t.Window)
	}
	b.pausedUntil = now + time.Duration(random()*float64(longest))
}

// drawFraction returns the fraction of a whole attempt that the budget must have left for the next one. It is random
// because rounding up would add up over the gateways: thirty gateways that each round a budget of 1.4 up would send
// sixty attempts.
func (b *Budget) drawFraction(random func() float64) float64 {
	if b.nextFraction == 0 {
		b.nextFraction = 1 - random()
	}
	return b.nextFraction
}

// dropUntil removes the attempts at or before a time.
func dropUntil(all []Dispatch, until time.Duration) []Dispatch {
	count := 0
	for count < len(all) && all[count].At <= until {
		count++
	}
	return slices.Delete(all, 0, count)
}

// costAfter returns the summed cost of the attempts after a time.
func costAfter(all []Dispatch, after time.Duration) float64 {
	sum := 0.0
	for _, d := range all {
		if d.At > after {
			sum += d.Cost
		}
	}
	return sum
}

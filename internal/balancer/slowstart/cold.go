// Package slowstart is how much one of many doors may send to a backend that has started a short while ago and does not
// bear yet what it will. It
// decides by values alone: no clock, no random source, no input or output.
//
// A backend falls over when all doors together send it more than a multiple of what it can do then, over a window. A
// door knows neither what the
// others send nor what the backend can do. Two things it does know:
//
// - what a warm backend is seen to carry from this door (rate), of which a cold one can do a share (warmth). The rates
// of all doors add up to what
//
//	a backend carries, so the budgets add up to a part of what it may be sent.
//
// - what this backend has answered to this door in the last window. The answers to all doors add up to what the backend
// has done, so a multiple of them is within the same multiple of what it can do. Where a backend can't follow, its
// answers and with them the budgets shrink.
//
// The larger of the two is the budget. Where both are under one send, a door has a turn now and then, the first by
// chance.
package slowstart

import (
	"slices"
	"time"
)

// Terms are what backends of a deployment bear, and how many doors there are.
type Terms struct {
	Multiple float64       // a backend falls over when sent this many times what it can do ...
	Window   time.Duration // ... for this long
	Doors    float64       // that use it, whether they are up or not
}

// Tuned values, ours.
const (
	margin     = 0.5 // part of a budget by what warm ones carry that is used: servers differ, and demand lies unevenly
	answeredBy = 0.8 // ... and of one by what it has answered: work differs from mean work
	fewDoors   = 4.0 // that may each round a budget up: together they stay within what a backend bears by chance
	firstSends = 3.0 // that all doors together make in a window to a backend of which nothing is known: within any backend's slack
)

type entry struct {
	at   time.Duration
	size float64
}

// Book is what one door has sent to one cold backend and was answered, in mean requests. The zero value is empty.
type Book struct {
	sent, answered []entry
	turn           time.Duration // none is sent before
	part           float64       // of the next send: from so much of it on a budget allows it; 0: not drawn yet
}

// Send is one send, for who hands a book on.
type Send struct {
	At   time.Duration
	Size float64
}

// Sent notes a send.
func (b *Book) Sent(now time.Duration, size float64) {
	b.sent = append(b.sent, entry{now, size})
	b.part = 0
}

// Unsent takes a send back that never went out.
func (b *Book) Unsent(at time.Duration, size float64) {
	if i := slices.Index(b.sent, entry{at, size}); i >= 0 {
		b.sent = slices.Delete(b.sent, i, i+1)
	}
}

// Answered notes an answer in time.
func (b *Book) Answered(now time.Duration, size float64) {
	b.answered = append(b.answered, entry{now, size})
}

// Hold has nothing sent before a time.
func (b *Book) Hold(until time.Duration) { b.turn = until }

// Sends are those that still count.
func (b *Book) Sends() (all []Send) {
	for _, e := range b.sent {
		all = append(all, Send{e.at, e.size})
	}
	return all
}

// Warmth is what part of its usual work a backend can do, by the settings. What a budget allows counts for a window, so
// it goes by how warm the backend was
// when that began.
type Warmth struct{ Then, Now float64 } // a window ago, and now

// Full says that the backend has had its budget. rate is what a warm backend is seen to carry from this door, a second,
// with this one's weight and this door's share in it. chance draws from 0 to 1. A budget holds a part of a send for
// some of the doors and not for others, by chance: rounded up at each, thirty
// budgets of 1.4 would be sixty sends. A few doors round up.
func (b *Book) Full(now time.Duration, t Terms, rate float64, w Warmth, chance func() float64) bool {
	span := t.Window
	budget := margin * t.Multiple * w.Then * rate * span.Seconds()
	b.answered = since(b.answered, now-span)
	borne := answeredBy * t.Multiple * work(b.answered, 0) * 2 * w.Then / (w.Then + w.Now)
	part := 0.0
	if budget = max(budget, borne); budget < 1 {
		span = time.Duration(t.Doors / firstSends * float64(t.Window))
		if budget > 0 {
			span = min(span, time.Duration(float64(t.Window)/budget))
		}
		budget = 1
		if b.turn == 0 {
			wait := span
			if t.Doors <= 2*firstSends { // so few may come in one window
				wait = max(0, span-t.Window)
			}
			b.turn = now + time.Duration(chance()*float64(wait))
		}
	} else if t.Doors > fewDoors {
		if b.part == 0 {
			b.part = 1 - chance()
		}
		part = b.part
	}
	b.sent = since(b.sent, now-max(span, t.Window))
	had := work(b.sent, now-span)
	const exact = 1e-9
	return now < b.turn || had > budget-exact || had+part > budget+exact
}

// since drops what is as old as a time.
func since(all []entry, from time.Duration) []entry {
	n := 0
	for n < len(all) && all[n].at <= from {
		n++
	}
	return slices.Delete(all, 0, n)
}

// work is the sum of what came after a time.
func work(all []entry, from time.Duration) (sum float64) {
	for _, e := range all {
		if e.at > from {
			sum += e.size
		}
	}
	return sum
}

package simulator

import (
	"fmt"
	"testing"
	"time"
)

// Three front doors that meet an account for the first time at the same instant, far into a window of the counter's numbers, must not
// each put its store right: it would be empty for the rest of the window.
func TestCeilingsAllDoorsMeetAnAccountAtOnce(t *testing.T) {
	t.Parallel()
	for _, from := range []time.Duration{0, 2500 * time.Millisecond, 2999 * time.Millisecond, 9 * time.Second} {
		t.Run(fmt.Sprint("after ", from), func(t *testing.T) {
			f := newFlood(t, 1, 3, true, business)
			for i := range 3 { // each door's own clients, a little apart
				f.asks(from+time.Duration(i)*700*time.Microsecond, from+12*time.Second, 33, true, func(time.Duration, int) int { return i })
			}
			f.Run(Start + from + 12*time.Second)
			if low := f.store.low; low < -2 {
				t.Errorf("%.2f under the ceiling's store", -low)
			}
			least := 0.9 * 140
			if from == 0 {
				least = 0.9 * 120 // what the store holds at first is not there for doors that have just started
			}
			if got := f.store.sent; got < least {
				t.Errorf("%.0f of 140 in 12 s; by second %v", got, f.second)
			}
		})
	}
}

// An account inside its quota whose requests come to all doors at the same instants, as a page's do that asks for several flags: the doors
// all see that its store has overflowed, and must not each add that to its number, or it is refused for as long again.
func TestCeilingsCalmAccountAtAllDoorsAtOnce(t *testing.T) {
	t.Parallel()
	for _, doors := range []int{2, 3, 5, 8} {
		for _, gap := range []time.Duration{1650 * time.Millisecond, 2700 * time.Millisecond, 5 * time.Second} {
			f := newFlood(t, 1, doors, true, business)
			if float64(doors)/gap.Seconds() > 0.9*business.Rate {
				continue
			}
			const first, last = 3 * time.Second, 60 * time.Second // by then a door's share of the ceiling has filled
			asked, refused := 0, 0
			for i, d := range f.Doors {
				d.Done = func(_ *Request, a Answer) {
					if a != Served {
						refused++
					}
				}
				var next func()
				next = func() {
					asked++
					d.Ask(&Request{Customer: "calm", Units: 1, Grant: true, Left: 2 * time.Second})
					if f.Now < Start+last {
						f.After(gap, next)
					}
				}
				f.At(Start+first+time.Duration(i)*300*time.Microsecond, next)
			}
			f.Run(Start + last + 5*time.Second)
			if refused > 0 || asked < 10*doors {
				t.Errorf("%d doors, each %v: %d of %d refused inside the quota", doors, gap, refused, asked)
			}
		}
	}
}

// Clients that ask three doors at random moments, some for leave and some that may wait, have nearly all of a ceiling: what a door gets of the
// quota's store in parts of a unit must not lie there until it is lost.
func TestCeilingsNoPartOfAUnitIsLost(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		f := newFlood(t, seed, 3, true, business)
		const first, last = 3 * time.Second, 33 * time.Second
		rng := f.Rand("clients")
		for _, d := range f.Doors {
			d.Done = func(r *Request, _ Answer) {
				f.After(time.Duration(rng.ExpFloat64()*5*float64(time.Millisecond)), r.Of.(func()))
			}
			for _, grant := range []bool{true, false} {
				var ask func()
				ask = func() {
					if f.Now < Start+last {
						d.Ask(&Request{Customer: "c", Units: 1, Grant: grant, Left: time.Second, Of: ask})
					}
				}
				f.At(Start+first+time.Duration(rng.Float64()*5*float64(time.Millisecond)), ask)
			}
		}
		f.Run(Start + last)
		if got := f.between(8, 33); got < 0.96*250 {
			t.Errorf("seed %d: %.0f of 250 from the fifth second on", seed, got)
		}
		if f.store.low < -2 {
			t.Errorf("seed %d: %.2f under the ceiling's store", seed, -f.store.low)
		}
	}
}

// Floods by clients that ask again at each of several doors, once and with pauses in which the store overflows, at any place in a window of the counter's
// numbers: what was taken while the surplus is put right is not there once more. Beside them an account inside its quota asks all doors now and then.
func TestCeilingsHoldWhereFloodsBegin(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{0, 4 * time.Second, 12 * time.Second} {
		for _, doors := range []int{2, 3, 5} {
			takes := time.Millisecond // a call to the counter
			if pause == 0 {
				takes = 10 * time.Millisecond
			}
			denied, calm := 0, 0
			var sent, asked float64
			for seed := uint64(1); seed <= 8; seed++ {
				f := newFlood(t, seed, doors, true, business)
				f.Counter.Takes = takes
				first := time.Duration(2500+4000*seed) * time.Millisecond
				last := first + 45*time.Second
				rng := f.Rand("clients")
				for _, d := range f.Doors {
					count := d.Sent
					d.Sent = func(r *Request) {
						if r.Customer == "c" {
							count(r)
						}
					}
					d.Done = func(r *Request, a Answer) {
						if r.Customer != "calm" {
							f.After(20*time.Millisecond+time.Duration(rng.ExpFloat64()*5*float64(time.Millisecond)), r.Of.(func()))
						} else if a != Served {
							denied++
						}
					}
					for _, grant := range []bool{true, false} {
						var ask func()
						ask = func() {
							switch now := f.Now - Start; {
							case now >= last:
							case pause > 0 && (now-first)%(pause+3*time.Second) > 3*time.Second:
								f.After(10*time.Millisecond, ask)
							default:
								d.Ask(&Request{Customer: "c", Units: 1, Grant: grant, Left: time.Second, Of: ask})
							}
						}
						f.At(Start+first+time.Duration(rng.Float64()*5*float64(time.Millisecond)), ask)
					}
					var now func()
					now = func() {
						if f.Now < Start+last {
							calm++
							d.Ask(&Request{Customer: "calm", Units: 1, Grant: true, Left: 2 * time.Second})
							f.After(time.Duration(float64(doors)/3*float64(time.Second)), now)
						}
					}
					f.At(Start+first, now)
				}
				f.Run(Start + last)
				if f.store.low < -2 {
					t.Errorf("pause %v, %d doors, seed %d: %.2f under the ceiling's store", pause, doors, seed, -f.store.low)
				}
				sent += f.store.sent
				asked += 20 + 450
				if n := 45.0 / (pause + 3*time.Second).Seconds(); pause > 0 {
					asked += n*(30+min(20, 10*pause.Seconds())) - 470
				}
			}
			if denied > 0 || calm < 100 {
				t.Errorf("pause %v, %d doors: %d of %d refused inside the quota", pause, doors, denied, calm)
			}
			if sent < 0.82*asked {
				t.Errorf("pause %v, %d doors: %.0f of %.0f", pause, doors, sent, asked)
			}
		}
	}
}

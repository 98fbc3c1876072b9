package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// runRandomEvents plays a random but legal order of events, and checks after each step what must always hold.
func runRandomEvents(t testing.TB, seed uint64) (all []Action) {
	rng := rand.New(rand.NewPCG(seed, 2))
	settings := testSettings()
	list := testEndpoints(5)
	b := newTestBalancer(t, settings, list...)
	type sent struct {
		Dispatch
		no int
		at time.Duration
	}
	var results []sent
	var counts []CounterAdd
	var timers []SetTimer
	due, class := map[uint64]time.Duration{}, map[uint64]int{}
	tries, ran, dead, total := map[uint64]int{}, map[uint64]string{}, map[string]bool{}, map[uint64]float64{}
	live := map[uint64]int{}
	now, id := time.Duration(0), uint64(0)
	for step := range 600 {
		now += time.Duration(rng.IntN(12)) * ms
		var events []Event
		for range rng.IntN(4) {
			if step > 400 {
				break
			}
			id++
			request := Request{ID: id, Class: rng.IntN(3), Plan: rng.IntN(4), Customer: fmt.Sprint("c", rng.IntN(6)),
				TimeLeft: time.Duration(rng.IntN(2000)) * ms, Units: 1 + float64(rng.IntN(3)), Gateways: rng.IntN(3)}
			due[id], class[id] = now+request.TimeLeft, request.Class
			events = append(events, request)
		}
		for i := 0; i < len(results); i++ {
			if rng.IntN(8) != 0 {
				continue
			}
			o := results[i]
			results = append(results[:i], results[i+1:]...)
			st := Status(rng.IntN(8))
			if rng.IntN(2) == 0 {
				st = OK
			}
			live[o.ID]--
			_, owed := due[o.ID]
			if st == OK {
				delete(due, o.ID)
			} else if st != Rejected && st != ConnectFailed && st != NotSent {
				ran[o.ID] = o.Endpoint
			}
			events = append(
				events,
				AttemptResult{ID: o.ID, Attempt: o.no, Endpoint: o.Endpoint, Status: st, Latency: now - o.at,
					RequestClosed: st == OK || !owed},
			)
		}
		for len(counts) > 0 && rng.IntN(2) == 0 {
			call := counts[0]
			counts = counts[1:]
			st := []Status{OK, OK, OK, Timeout, Rejected}[rng.IntN(5)]
			if st != Rejected {
				total[call.Name] += call.Amount
			}
			if rng.IntN(50) == 0 {
				total[call.Name] = 0
			}
			events = append(events, CounterResult{call.Name, st, total[call.Name]})
		}
		if rng.IntN(40) == 0 {
			i := rng.IntN(len(list))
			entry := list[i]
			entry.State = EndpointState(rng.IntN(3))
			entry.StartedAt = now * time.Duration(rng.IntN(2))
			dead[entry.Name] = entry.State != Serving
			events = append([]Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{entry}}}, events...)
		}
		keep := timers[:0]
		for _, x := range timers {
			if x.At <= now {
				events = append(events, TimerFired{x.Cookie})
			} else {
				keep = append(keep, x)
			}
		}
		timers = keep
		actions := append([]Action(nil), b.Step(now, events)...)
		all = append(all, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case Dispatch:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: dispatched after the end: %v", seed, a)
				}
				if dead[a.Endpoint] {
					t.Fatalf("seed %d: dispatched to a draining endpoint: %v", seed, a)
				}
				if b, may := ran[a.ID]; may &&
					(class[a.ID] == 2 || class[a.ID] == 1 && cellOf(list, b) != cellOf(list, a.Endpoint)) {
					t.Fatalf("seed %d: an effect twice: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 || tries[a.ID] >= settings.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
				results = append(results, sent{a, tries[a.ID], now})
				tries[a.ID]++
			case Reject:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: rejected after the end: %v", seed, a)
				}
				if _, may := ran[a.ID]; (may || live[a.ID] > 0) && class[a.ID] != 0 {
					t.Fatalf("seed %d: rejected what may have run: %v", seed, a)
				}
				delete(due, a.ID)
			case Fail:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: failed after the end: %v", seed, a)
				}
				delete(due, a.ID)
			case CounterAdd:
				counts = append(counts, a)
			case SetTimer:
				if a.At <= now {
					a.At = now + ms
				}
				timers = append(timers, a)
			}
		}
		for id, at := range due {
			if now > at+20*ms {
				t.Fatalf("seed %d: request %d is lost", seed, id)
			}
		}
	}
	return all
}

// cellOf returns the cell of an endpoint, or -1.
func cellOf(list []Endpoint, name string) int {
	for _, entry := range list {
		if entry.Name == name {
			return entry.Cell
		}
	}
	return -1
}

// The same settings, seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// FuzzRandomEvents checks runRandomEvents for any seed.
func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

// Unusual indexes, zones and endpoint lists, as a configuration or discovery may have them, cause no panic and leave
// no request without an answer.
func TestUnusualSettingsAndLists(t *testing.T) {
	for _, gateways := range []int{1, 2, 12, 300} {
		for _, index := range []int{-1, 0, gateways - 1, gateways, 1 << 40} {
			for seed := range uint64(6) {
				rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
				settings := testSettings()
				settings.Gateways, settings.Index, settings.Zone = gateways, index, []int{0, -1, 99}[rng.IntN(3)]
				b, err := New(settings, seed)
				if err != nil {
					t.Fatal(err)
				}
				entries := func() (list []Endpoint) {
					for range rng.IntN(8) {
						list = append(
							list,
							Endpoint{
								Name: fmt.Sprint("b", rng.IntN(4)),
								Zone: rng.IntN(5) - 1,
								Cell: rng.IntN(3) - 1,
								State: EndpointState(
									rng.IntN(4),
								),
								Weight:         []float64{0, 1, -3, math.Inf(1), math.NaN(), 1e300}[rng.IntN(6)],
								SlowStartShare: []float64{0, 1, -1, math.NaN()}[rng.IntN(4)],
								StartedAt:      time.Duration(rng.IntN(3)-1) * 10 * time.Second,
							},
						)
					}
					return list
				}
				owed := map[uint64]bool{}
				at, id := time.Duration(0), uint64(0)
				var results []Dispatch
				take := func(actions []Action) {
					for _, a := range actions {
						switch a := a.(type) {
						case Dispatch:
							results = append(results, a)
						case Reject:
							delete(owed, a.ID)
						case Fail:
							delete(owed, a.ID)
						}
					}
				}
				for range 300 {
					at += tickInterval
					events := []Event{TimerFired{tickCookie}}
					switch rng.IntN(4) {
					case 0:
						events = append(events, EndpointUpdate{Kind: UpdateKind(rng.IntN(4)), Entries: entries()})
					case 1:
						name := fmt.Sprint("b", rng.IntN(5))
						events = append(
							events,
							AdminEject{Endpoint: name},
							AdminRestore{Endpoint: fmt.Sprint("b", rng.IntN(5))},
							HealthCheckResult{Endpoint: name, Status: OK},
						)
					default:
						for range 3 {
							id++
							request := testRequest(id, rng.IntN(3), rng.IntN(4))
							request.Gateways = rng.IntN(400) - 50
							request.Units = []float64{1, 0, -1, math.NaN(), 1e12}[rng.IntN(5)]
							owed[id] = true
							events = append(events, request)
						}
					}
					for len(results) > 0 && rng.IntN(3) > 0 {
						dispatch := results[0]
						results = results[1:]
						events = append(events, succeeded(dispatch, 0, 5*ms))
						delete(owed, dispatch.ID)
					}
					take(b.Step(at, events))
				}
				// By the end of this each request's own timer is due.
				for range 3 * int(time.Second/tickInterval) {
					at += tickInterval
					events := []Event{TimerFired{tickCookie}}
					for i := range owed {
						events = append(events, TimerFired{requestCookie(i)})
					}
					for _, dispatch := range results {
						events = append(events, resultOf(dispatch, Timeout, time.Second))
					}
					results = nil
					take(b.Step(at, events))
				}
				if len(owed) > 0 {
					t.Fatalf("gateways %d, index %d, seed %d: %d requests without an answer",
						gateways, index, seed, len(owed))
				}
			}
		}
	}
}

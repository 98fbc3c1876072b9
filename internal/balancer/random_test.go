package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// runRandomEvents plays a random but legal order of events and checks what must hold after any of them.
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
	var outs []sent
	var counts []CounterAdd
	var timers []SetTimer
	due, class := map[uint64]time.Duration{}, map[uint64]int{}
	tries, ran, dead, total := map[uint64]int{}, map[uint64]string{}, map[string]bool{}, map[uint64]float64{}
	live := map[uint64]int{}
	now, id := time.Duration(0), uint64(0)
	for step := range 600 {
		now += time.Duration(rng.IntN(12)) * ms
		var evs []Event
		for range rng.IntN(4) {
			if step > 400 {
				break
			}
			id++
			request := Request{ID: id, Class: rng.IntN(3), Plan: rng.IntN(4), Customer: fmt.Sprint("c", rng.IntN(6)),
				TimeLeft: time.Duration(rng.IntN(2000)) * ms, Units: 1 + float64(rng.IntN(3)), Gateways: rng.IntN(3)}
			due[id], class[id] = now+request.TimeLeft, request.Class
			evs = append(evs, request)
		}
		for i := 0; i < len(outs); i++ {
			if rng.IntN(8) != 0 {
				continue
			}
			o := outs[i]
			outs = append(outs[:i], outs[i+1:]...)
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
			evs = append(
				evs,
				AttemptResult{ID: o.ID, Attempt: o.no, Endpoint: o.Endpoint, Status: st, Latency: now - o.at,
					RequestClosed: st == OK || !owed},
			)
		}
		for len(counts) > 0 && rng.IntN(2) == 0 {
			c := counts[0]
			counts = counts[1:]
			st := []Status{OK, OK, OK, Timeout, Rejected}[rng.IntN(5)]
			if st != Rejected {
				total[c.Name] += c.Amount
			}
			if rng.IntN(50) == 0 {
				total[c.Name] = 0
			}
			evs = append(evs, CounterResult{c.Name, st, total[c.Name]})
		}
		if rng.IntN(40) == 0 {
			i := rng.IntN(len(list))
			entry := list[i]
			entry.State = EndpointState(rng.IntN(3))
			entry.StartedAt = now * time.Duration(rng.IntN(2))
			dead[entry.Name] = entry.State != Serving
			evs = append([]Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{entry}}}, evs...)
		}
		keep := timers[:0]
		for _, x := range timers {
			if x.At <= now {
				evs = append(evs, TimerFired{x.Cookie})
			} else {
				keep = append(keep, x)
			}
		}
		timers = keep
		acts := append([]Action(nil), b.Step(now, evs)...)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case Dispatch:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: sent after the end: %v", seed, a)
				}
				if dead[a.Endpoint] {
					t.Fatalf("seed %d: sent to a backend that is draining: %v", seed, a)
				}
				if b, may := ran[a.ID]; may &&
					(class[a.ID] == 2 || class[a.ID] == 1 && cellOf(list, b) != cellOf(list, a.Endpoint)) {
					t.Fatalf("seed %d: an effect twice: %v", seed, a)
				}
				if live[a.ID]++; live[a.ID] > 1 || tries[a.ID] >= settings.MaxAttempts {
					t.Fatalf("seed %d: too many attempts: %v", seed, a)
				}
				outs = append(outs, sent{a, tries[a.ID], now})
				tries[a.ID]++
			case Reject:
				if _, ok := due[a.ID]; !ok {
					t.Fatalf("seed %d: refused after the end: %v", seed, a)
				}
				if _, may := ran[a.ID]; (may || live[a.ID] > 0) && class[a.ID] != 0 {
					t.Fatalf("seed %d: refused what may have run: %v", seed, a)
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

func cellOf(list []Endpoint, name string) int {
	for _, entry := range list {
		if entry.Name == name {
			return entry.Cell
		}
	}
	return -1
}

func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

// Odd ranks, zones and lists, as a configuration or discovery may have them, end no process and leave no request
// unanswered.
func TestUnusualSettingsAndLists(t *testing.T) {
	for _, doors := range []int{1, 2, 12, 300} {
		for _, rank := range []int{-1, 0, doors - 1, doors, 1 << 40} {
			for seed := range uint64(6) {
				rng := rand.New(rand.NewPCG(seed, uint64(doors)))
				settings := testSettings()
				settings.Gateways, settings.Index, settings.Zone = doors, rank, []int{0, -1, 99}[rng.IntN(3)]
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
				var outs []Dispatch
				take := func(acts []Action) {
					for _, a := range acts {
						switch a := a.(type) {
						case Dispatch:
							outs = append(outs, a)
						case Reject:
							delete(owed, a.ID)
						case Fail:
							delete(owed, a.ID)
						}
					}
				}
				for range 300 {
					at += tickInterval
					evs := []Event{TimerFired{0}}
					switch rng.IntN(4) {
					case 0:
						evs = append(evs, EndpointUpdate{Kind: UpdateKind(rng.IntN(4)), Entries: entries()})
					case 1:
						name := fmt.Sprint("b", rng.IntN(5))
						evs = append(
							evs,
							AdminEject{Endpoint: name},
							AdminRestore{Endpoint: fmt.Sprint("b", rng.IntN(5))},
							HealthCheckResult{Endpoint: name, Status: OK},
						)
					default:
						for range 3 {
							id++
							request := testRequest(id, rng.IntN(3), rng.IntN(4))
							request.Gateways, request.Units = rng.IntN(400)-50, []float64{1, 0, -1, math.NaN(), 1e12}[rng.IntN(5)]
							owed[id] = true
							evs = append(evs, request)
						}
					}
					for len(outs) > 0 && rng.IntN(3) > 0 {
						s := outs[0]
						outs = outs[1:]
						evs = append(
							evs,
							AttemptResult{
								ID:            s.ID,
								Endpoint:      s.Endpoint,
								Status:        OK,
								Latency:       5 * ms,
								RequestClosed: true,
							},
						)
						delete(owed, s.ID)
					}
					take(b.Step(at, evs))
				}
				for range 3 * int(time.Second/tickInterval) { // every client has given up by then: a request's own timer is due
					at += tickInterval
					evs := []Event{TimerFired{0}}
					for i := range owed {
						evs = append(evs, TimerFired{i<<1 | 1})
					}
					for _, s := range outs {
						evs = append(
							evs,
							AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: Timeout, Latency: time.Second},
						)
					}
					outs = nil
					take(b.Step(at, evs))
				}
				if len(owed) > 0 {
					t.Fatalf("doors %d, rank %d, seed %d: %d requests without an answer", doors, rank, seed, len(owed))
				}
			}
		}
	}
}

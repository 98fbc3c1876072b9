package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
)

// notifyLimit is the maximum time until a change counts as notified, from when discovery had it and was reachable.
const notifyLimit = 6 * time.Second

// agent is a discovery agent on in-memory connections. Its behavior on a connection is chosen when the connection is
// made and does not change, so that a call that is not answered stays so. A watch may fall silent at any time.
type agent struct {
	startedAt time.Time
	drainAt   time.Duration // when the endpoint begins to drain
	// state, if set, returns the index and the endpoint's status in place of drainAt.
	state func(at time.Duration) (index int, status string)
	// restartAt, if not 0, is when another process takes the agent's address: the open watches break.
	restartAt time.Duration
	// behavior returns how to treat a new connection: "" (answer), refuse, silent, reject, incomplete (send half of a
	// list and stop) or trickle (send a list slowly).
	behavior       func(call int) string
	isSilent       func(openedAt, at time.Duration) bool // whether a watch has fallen silent at a time
	indented       bool
	chunkBytes     int  // size of the pieces in which a list is written; 0 means at once
	closeDelimited bool // the response has neither a length nor chunks
	calls          atomic.Int32
	open           atomic.Int32 // number of open connections
	maxOpen        atomic.Int32
}

// elapsed returns the time since the agent started.
func (a *agent) elapsed() time.Duration { return time.Since(a.startedAt) }

func (a *agent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	behavior := a.behavior(int(a.calls.Add(1)) - 1)
	if behavior == "refuse" {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	a.maxOpen.Store(max(a.maxOpen.Load(), a.open.Add(1)))
	go func() {
		defer func() { _ = far.Close(); a.open.Add(-1) }()
		a.serve(far, behavior)
	}()
	return near, nil
}

// list returns the current list. The endpoint's name contains the characters that delimit lists.
func (a *agent) list() string {
	index, status := 1, "SERVING"
	if a.elapsed() >= a.drainAt {
		index, status = 2, "DRAINING"
	}
	if a.state != nil {
		index, status = a.state(a.elapsed())
	}
	s := fmt.Sprintf(
		`{"index":%d,"snapshot":true,"endpoints":[{"name":"s\"}{","address":"127.0.0.1:1","status":"%s"}]}`,
		index,
		status,
	)
	if a.indented {
		s = strings.NewReplacer("[", "[\n  ", ",", ",\r\n  ", "}]", "\n}\n]").Replace(s)
	}
	return s + "\n"
}

func (a *agent) serve(conn net.Conn, behavior string) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	}()
	if behavior == "silent" {
		<-ended
		return
	}
	if behavior == "reject" {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	send := func(s string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(s), s) }
	if a.closeDelimited {
		head, send = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", func(s string) { _, _ = io.WriteString(conn, s) }
	}
	_, _ = io.WriteString(conn, head)
	list := a.list()
	switch behavior {
	case "incomplete":
		send(list[:len(list)/2])
		<-ended
		return
	case "trickle":
		for i := range list {
			send(list[i : i+1])
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}
	openedAt, known := a.elapsed(), req.URL.Query().Get("index")
	for {
		if list := a.list(); !strings.Contains(list, `"index":`+known) {
			known = list[len(`{"index":`):][:1]
			for n := a.chunkBytes; n > 0 && len(list) > n; list = list[n:] {
				send(list[:n])
				time.Sleep(time.Millisecond)
			}
			send(list)
		} else {
			send("\n")
		}
		wait := 2 * time.Second
		if untilDrain := a.drainAt - a.elapsed(); untilDrain > 0 {
			wait = min(wait, untilDrain)
		}
		if untilRestart := a.restartAt - a.elapsed(); untilRestart > 0 {
			wait = min(wait, untilRestart)
		}
		select {
		case <-time.After(wait):
		case <-ended:
			return
		}
		if openedAt < a.restartAt && a.elapsed() >= a.restartAt {
			return
		}
		if a.isSilent != nil && a.isSilent(openedAt, a.elapsed()) {
			<-ended
			return
		}
	}
}

// run follows an agent in virtual time and returns when the drain was reported, or an hour if it was not. If meanwhile
// is set, it runs concurrently with the watch.
func (a *agent) run(t *testing.T, cfg Config, meanwhile func(*eventloop.Loop, *Watch)) (notifiedAt time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a.startedAt = time.Now()
		if a.behavior == nil {
			a.behavior = func(int) string { return "" }
		}
		loop := eventloop.New()
		drains := make(chan time.Duration, 1)
		cfg.Addr, cfg.Dial = "agent:1", a.dial
		cfg.Known.Index = max(1, cfg.Known.Index)
		cfg.Known.Endpoints = []Endpoint{{Name: `s"}{`, Address: "127.0.0.1:1", Status: "SERVING"}}
		watch := New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), cfg, func(update endpoint.Update) {
			for _, entry := range update.Entries {
				if entry.State == balancer.Draining {
					select {
					case drains <- a.elapsed():
					default:
					}
				}
			}
		})
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for !loop.Wait(time.Hour, stop) {
			}
		}()
		loop.Post(func() {
			watch.Known()
			watch.Follow(watch.Addr())
		})
		if meanwhile != nil {
			go meanwhile(loop, watch)
		}
		select {
		case notifiedAt = <-drains:
		case <-time.After(5 * time.Minute):
			notifiedAt = time.Hour
		}
		loop.Post(func() {
			watch.Stop()
			close(stop)
		})
		<-ended
		loop.Close()
		synctest.Wait()
		time.Sleep(10 * time.Second) // let all goroutines and timers of the watch end
	})
	return notifiedAt
}

// TestWithinSixSeconds verifies that however a watch or a call fails, and at whatever times, a change is reported
// within notifyLimit of when discovery has it and is reachable.
func TestWithinSixSeconds(t *testing.T) {
	type scenario struct {
		agent       *agent
		availableAt time.Duration // when discovery has the change and is reachable
		moveAt      time.Duration // when a reload moves the watch to another agent; 0 means never
	}
	scenarios := map[string]func(rng *rand.Rand) scenario{
		"watch falls silent": func(rng *rand.Rand) scenario {
			silentAt := 3*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
			return scenario{
				agent: &agent{
					drainAt:  silentAt + 1,
					isSilent: func(openedAt, at time.Duration) bool { return openedAt < silentAt && at >= silentAt },
				},
				availableAt: silentAt,
			}
		},
		"connections refused until it is back": func(rng *rand.Rand) scenario {
			backAt := time.Duration(rng.Int64N(int64(12 * time.Second)))
			s := scenario{agent: &agent{drainAt: backAt / 2}, availableAt: backAt}
			s.agent.behavior = until(s.agent, backAt, "refuse")
			return s
		},
		"calls not answered until it is back": func(rng *rand.Rand) scenario {
			backAt := time.Duration(rng.Int64N(int64(12 * time.Second)))
			s := scenario{agent: &agent{drainAt: backAt / 2}, availableAt: backAt}
			s.agent.behavior = until(s.agent, backAt, "silent")
			return s
		},
		"calls rejected until it is back": func(rng *rand.Rand) scenario {
			backAt := time.Duration(rng.Int64N(int64(30 * time.Second)))
			s := scenario{agent: &agent{drainAt: backAt / 2}, availableAt: backAt}
			s.agent.behavior = until(s.agent, backAt, "reject")
			return s
		},
		"incomplete list, then silence": func(rng *rand.Rand) scenario {
			s := scenario{agent: &agent{}}
			s.agent.behavior = func(call int) string {
				if call == 0 {
					return "incomplete"
				}
				return ""
			}
			return s
		},
		"list that trickles": func(rng *rand.Rand) scenario {
			s := scenario{agent: &agent{}}
			s.agent.behavior = func(call int) string {
				if call == 0 {
					return "trickle"
				}
				return ""
			}
			return s
		},
		"silence, then an incomplete list": func(rng *rand.Rand) scenario {
			silentAt := 3*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
			s := scenario{agent: &agent{drainAt: silentAt + 1}, availableAt: silentAt + silenceTimeout}
			s.agent.isSilent = func(openedAt, at time.Duration) bool { return openedAt < silentAt && at >= silentAt }
			s.agent.behavior = func(call int) string {
				if call == 1 {
					return "incomplete"
				}
				return ""
			}
			return s
		},
		"moved by a reload to an agent that is not back yet": func(rng *rand.Rand) scenario {
			moveAt := time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			backAt := moveAt + time.Duration(rng.Int64N(int64(5*time.Second)))
			s := scenario{agent: &agent{drainAt: moveAt + 1}, availableAt: backAt, moveAt: moveAt}
			s.agent.isSilent = func(openedAt, at time.Duration) bool { return openedAt < moveAt && at >= moveAt }
			behavior := []string{"refuse", "silent", "reject"}[rng.IntN(3)]
			s.agent.behavior = func(call int) string {
				if at := s.agent.elapsed(); at >= moveAt && at < backAt {
					return behavior
				}
				return ""
			}
			return s
		},
	}
	for name, newScenario := range scenarios {
		for _, pushed := range []bool{true, false} {
			for _, gateways := range []int{3, 300} {
				t.Run(fmt.Sprintf("%s/pushed=%t/gateways=%d", name, pushed, gateways), func(t *testing.T) {
					worst := time.Duration(0)
					for seed := range uint64(60) {
						rng := rand.New(rand.NewPCG(seed, 5))
						s := newScenario(rng)
						s.agent.indented, s.agent.closeDelimited, s.agent.chunkBytes =
							seed%2 == 0, seed%3 == 0, []int{0, 1, 7}[seed%3]
						var meanwhile func(*eventloop.Loop, *Watch)
						if s.moveAt > 0 {
							meanwhile = func(loop *eventloop.Loop, watch *Watch) {
								time.Sleep(s.moveAt)
								loop.Post(func() { watch.Follow("other:1") })
							}
						}
						took := s.agent.run(t, Config{Gateways: gateways, Pushed: pushed, Seed: seed}, meanwhile) -
							s.availableAt
						if worst = max(worst, took); took > notifyLimit {
							t.Fatalf("seed %d: reported %v after it was available", seed, took)
						}
						if s.agent.maxOpen.Load() > maxParallelCalls+2 {
							t.Fatalf("seed %d: %d connections at once", seed, s.agent.maxOpen.Load())
						}
					}
					t.Logf("at most %v", worst)
				})
			}
		}
	}
}

// until returns a behavior that applies to connections made before backAt.
func until(a *agent, backAt time.Duration, behavior string) func(int) string {
	return func(int) string {
		if a.elapsed() < backAt {
			return behavior
		}
		return ""
	}
}

// TestOlderListChangesNothing verifies that a list or a change with a lower index than the current one has no effect:
// an agent that lags behind would otherwise bring back an endpoint that drains.
func TestOlderListChangesNothing(t *testing.T) {
	var reported []string
	watch := New(eventloop.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), Config{}, func(u endpoint.Update) {
		for _, entry := range u.Entries {
			reported = append(reported, fmt.Sprint(entry.Name, entry.State))
		}
	})
	handle := func(index int64, snapshot bool, status string) {
		watch.handleList(
			EndpointList{
				Index:     index,
				Snapshot:  snapshot,
				Endpoints: []Endpoint{{Name: "s", Address: "127.0.0.1:1", Status: status}},
			},
		)
	}
	handle(5, true, "SERVING")
	handle(6, false, "DRAINING")
	handle(5, true, "SERVING")
	handle(4, false, "SERVING")
	if want := []string{
		fmt.Sprint("s", balancer.Serving),
		fmt.Sprint("s", balancer.Draining),
	}; fmt.Sprint(
		reported,
	) != fmt.Sprint(
		want,
	) {
		t.Errorf("reported %v, want %v", reported, want)
	}
	if watch.index != 6 {
		t.Errorf("index %d, want 6", watch.index)
	}
	handle(6, true, "SERVING") // a list with the same index is not older
	if len(reported) != 3 {
		t.Errorf("a list with the same index is ignored")
	}
}

// TestFramer verifies that lists are split correctly however they are divided into reads and lines, and that anything
// that is not a list is an error.
func TestFramer(t *testing.T) {
	text := "\n\r\n  {\"index\":1,\"endpoints\":[{\"name\":\"a\\\\\\\"}{[\"}]}\n\n" +
		"{\n \"index\": 2,\n \"endpoints\": [\n ]\n}{\"index\":3}\t\n"
	for chunkBytes := 1; chunkBytes <= len(text); chunkBytes++ {
		var f framer
		var got []int64
		for rest := text; rest != ""; {
			b := []byte(rest[:min(chunkBytes, len(rest))])
			rest = rest[len(b):]
			for len(b) > 0 {
				list, used, err := f.next(b)
				if err != nil {
					t.Fatal(err)
				}
				if b = b[used:]; list != nil {
					got = append(got, list.Index)
				}
			}
		}
		if fmt.Sprint(got) != "[1 2 3]" || f.isInside() {
			t.Fatalf("reads of %d bytes: %v", chunkBytes, got)
		}
	}
	for _, bad := range []string{"x", "]", "{]", `{"index":}`, "{\"index\":\"" + strings.Repeat("x", maxListBytes+1)} {
		var f framer
		_, _, err := f.next([]byte(bad))
		if err == nil {
			t.Errorf("%.20q is accepted", bad)
		}
	}
}

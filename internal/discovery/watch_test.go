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

// toldWithin is when a change counts as told, from when discovery had it and could be reached.
const toldWithin = 6 * time.Second

// agent is a discovery agent on in-memory connections. What it does with a connection is settled when that is made, so
// that one which is swallowed
// stays so; what it does with a watch, as time goes on.
type agent struct {
	began  time.Time
	change time.Duration // when the backend begins to drain
	// does is what it does with a connection that is made now: "", refuse, silent, turn, half, trickle.
	does    func(call int) string
	mute    func(from, at time.Duration) bool // whether a watch opened at a time has fallen silent by another
	indent  bool
	pieces  int  // bytes of a list that are written at once; 0: all
	noEnd   bool // the answer has neither length nor chunks
	calls   atomic.Int32
	open    atomic.Int32 // connections
	mostAll atomic.Int32
}

func (a *agent) at() time.Duration { return time.Since(a.began) }

func (a *agent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	what := a.does(int(a.calls.Add(1)) - 1)
	if what == "refuse" {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	a.mostAll.Store(max(a.mostAll.Load(), a.open.Add(1)))
	go func() {
		defer func() { _ = far.Close(); a.open.Add(-1) }()
		a.serve(far, what)
	}()
	return near, nil
}

func (a *agent) list() string {
	index, status := 1, "SERVING"
	if a.at() >= a.change {
		index, status = 2, "DRAINING"
	}
	s := fmt.Sprintf(
		`{"index":%d,"snapshot":true,"endpoints":[{"name":"s\"}{","address":"127.0.0.1:1","status":"%s"}]}`,
		index,
		status,
	)
	if a.indent {
		s = strings.NewReplacer("[", "[\n  ", ",", ",\r\n  ", "}]", "\n}\n]").Replace(s)
	}
	return s + "\n"
}

func (a *agent) serve(nc net.Conn, what string) {
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, nc)
		close(ended)
	}()
	if what == "silent" {
		<-ended
		return
	}
	if what == "turn" {
		_, _ = io.WriteString(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	put := func(s string) { _, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(s), s) }
	if a.noEnd {
		head, put = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", func(s string) { _, _ = io.WriteString(nc, s) }
	}
	_, _ = io.WriteString(nc, head)
	list := a.list()
	switch what {
	case "half":
		put(list[:len(list)/2])
		<-ended
		return
	case "trickle":
		for i := range list {
			put(list[i : i+1])
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}
	from, known := a.at(), req.URL.Query().Get("index")
	for {
		if list := a.list(); !strings.Contains(list, `"index":`+known) {
			known = list[len(`{"index":`):][:1]
			for n := a.pieces; n > 0 && len(list) > n; list = list[n:] {
				put(list[:n])
				time.Sleep(time.Millisecond)
			}
			put(list)
		} else {
			put("\n")
		}
		wait := 2 * time.Second
		if left := a.change - a.at(); left > 0 {
			wait = min(wait, left)
		}
		select {
		case <-time.After(wait):
		case <-ended:
			return
		}
		if a.mute != nil && a.mute(from, a.at()) {
			<-ended
			return
		}
	}
}

// play follows an agent and returns when the change was heard, and the watch's loop for whoever moves it meanwhile.
func (a *agent) play(t *testing.T, cfg Config, meanwhile func(*eventloop.Loop, *Watch)) (heard time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a.began = time.Now()
		if a.does == nil {
			a.does = func(int) string { return "" }
		}
		l := eventloop.New()
		drains := make(chan time.Duration, 1)
		cfg.Addr, cfg.Dial = "agent:1", a.dial
		cfg.Known = EndpointList{
			Index:     1,
			Endpoints: []Endpoint{{Name: `s"}{`, Address: "127.0.0.1:1", Status: "SERVING"}},
		}
		d := New(l, slog.New(slog.NewTextHandler(io.Discard, nil)), cfg, func(u endpoint.Update) {
			for _, e := range u.Entries {
				if e.State == balancer.Draining {
					select {
					case drains <- a.at():
					default:
					}
				}
			}
		})
		stop, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			for !l.Wait(time.Hour, stop) {
			}
		}()
		l.Post(func() {
			d.Known()
			d.Follow(d.Addr())
		})
		if meanwhile != nil {
			go meanwhile(l, d)
		}
		select {
		case heard = <-drains:
		case <-time.After(5 * time.Minute):
			heard = time.Hour
		}
		l.Post(func() {
			d.Stop()
			close(stop)
		})
		<-ended
		l.Close()
		synctest.Wait()
		time.Sleep(10 * time.Second) // all that was made for it ends
	})
	return heard
}

// However a watch or a call fails, the change is heard within 6 s of discovery having it and being reachable, at
// whatever instants these fall.
func TestWithinSixSeconds(t *testing.T) {
	type script struct {
		agent *agent
		from  time.Duration // when the change counts as there to be had
		move  time.Duration // a reload goes to another agent then; 0: none
	}
	scripts := map[string]func(rng *rand.Rand) script{
		"a watch falls silent": func(rng *rand.Rand) script {
			silent := 3*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
			return script{
				agent: &agent{
					change: silent + 1,
					mute:   func(from, at time.Duration) bool { return from < silent && at >= silent },
				},
				from: silent,
			}
		},
		"refused until it is back": func(rng *rand.Rand) script {
			back := time.Duration(rng.Int64N(int64(12 * time.Second)))
			s := script{agent: &agent{change: back / 2}, from: back}
			s.agent.does = until(s.agent, back, "refuse")
			return s
		},
		"accepted and silent until it is back": func(rng *rand.Rand) script {
			back := time.Duration(rng.Int64N(int64(12 * time.Second)))
			s := script{agent: &agent{change: back / 2}, from: back}
			s.agent.does = until(s.agent, back, "silent")
			return s
		},
		"turned away until it is back": func(rng *rand.Rand) script {
			back := time.Duration(rng.Int64N(int64(30 * time.Second)))
			s := script{agent: &agent{change: back / 2}, from: back}
			s.agent.does = until(s.agent, back, "turn")
			return s
		},
		"half a list, then silence": func(rng *rand.Rand) script {
			s := script{agent: &agent{}}
			s.agent.does = func(call int) string {
				if call == 0 {
					return "half"
				}
				return ""
			}
			return s
		},
		"a list that trickles": func(rng *rand.Rand) script {
			s := script{agent: &agent{}}
			s.agent.does = func(call int) string {
				if call == 0 {
					return "trickle"
				}
				return ""
			}
			return s
		},
		"silent, then half a list": func(rng *rand.Rand) script {
			silent := 3*time.Second + time.Duration(rng.Int64N(int64(4*time.Second)))
			s := script{agent: &agent{change: silent + 1}, from: silent + signTimeout}
			s.agent.mute = func(from, at time.Duration) bool { return from < silent && at >= silent }
			s.agent.does = func(call int) string {
				if call == 1 {
					return "half"
				}
				return ""
			}
			return s
		},
		"moved by a reload to an agent that is not back yet": func(rng *rand.Rand) script {
			move := time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			back := move + time.Duration(rng.Int64N(int64(5*time.Second)))
			s := script{agent: &agent{change: move + 1}, from: back, move: move}
			s.agent.mute = func(from, at time.Duration) bool { return from < move && at >= move }
			what := []string{"refuse", "silent", "turn"}[rng.IntN(3)]
			s.agent.does = func(call int) string {
				if at := s.agent.at(); at >= move && at < back {
					return what
				}
				return ""
			}
			return s
		},
	}
	for name, make := range scripts {
		for _, pushed := range []bool{true, false} {
			for _, doors := range []int{3, 300} {
				t.Run(fmt.Sprintf("%s/pushed=%t/doors=%d", name, pushed, doors), func(t *testing.T) {
					worst := time.Duration(0)
					for seed := range uint64(60) {
						rng := rand.New(rand.NewPCG(seed, 5))
						s := make(rng)
						s.agent.indent, s.agent.noEnd, s.agent.pieces = seed%2 == 0, seed%3 == 0, []int{0, 1, 7}[seed%3]
						var meanwhile func(*eventloop.Loop, *Watch)
						if s.move > 0 {
							meanwhile = func(l *eventloop.Loop, d *Watch) {
								time.Sleep(s.move)
								l.Post(func() { d.Follow("other:1") })
							}
						}
						took := s.agent.play(t, Config{Gateways: doors, Pushed: pushed, Seed: seed}, meanwhile) - s.from
						if worst = max(worst, took); took > toldWithin {
							t.Fatalf("seed %d: heard %v after it was there to be had", seed, took)
						}
						if s.agent.mostAll.Load() > maxParallelCalls+2 {
							t.Fatalf("seed %d: %d connections at once", seed, s.agent.mostAll.Load())
						}
					}
					t.Logf("%v at worst", worst)
				})
			}
		}
	}
}

// until does something with the connections that are made before a time.
func until(a *agent, back time.Duration, what string) func(int) string {
	return func(int) string {
		if a.at() < back {
			return what
		}
		return ""
	}
}

// An older list, whole or not, changes nothing, wherever it comes from: one that is behind would bring back what
// drains.
func TestOlderListChangesNothing(t *testing.T) {
	var told []string
	d := New(eventloop.New(), slog.New(slog.NewTextHandler(io.Discard, nil)), Config{}, func(u endpoint.Update) {
		for _, e := range u.Entries {
			told = append(told, fmt.Sprint(e.Name, e.State))
		}
	})
	entry := func(index int64, whole bool, status string) {
		d.handleList(
			EndpointList{
				Index:     index,
				Snapshot:  whole,
				Endpoints: []Endpoint{{Name: "s", Address: "127.0.0.1:1", Status: status}},
			},
		)
	}
	entry(5, true, "SERVING")
	entry(6, false, "DRAINING")
	entry(5, true, "SERVING")
	entry(4, false, "SERVING")
	if want := []string{
		fmt.Sprint("s", balancer.Serving),
		fmt.Sprint("s", balancer.Draining),
	}; fmt.Sprint(
		told,
	) != fmt.Sprint(
		want,
	) {
		t.Errorf("told %v, want %v", told, want)
	}
	if d.index != 6 {
		t.Errorf("index %d", d.index)
	}
	entry(6, true, "SERVING") // the same again is no older
	if len(told) != 3 {
		t.Errorf("a list of the same index is passed over")
	}
}

// Whatever pieces lists come in, and on however many lines, they are cut where they end; what can't be one ends the
// watch.
func TestFramer(t *testing.T) {
	text := "\n\r\n  {\"index\":1,\"endpoints\":[{\"name\":\"a\\\\\\\"}{[\"}]}\n\n" +
		"{\n \"index\": 2,\n \"endpoints\": [\n ]\n}{\"index\":3}\t\n"
	for piece := 1; piece <= len(text); piece++ {
		var f framer
		var got []int64
		for rest := text; rest != ""; {
			b := []byte(rest[:min(piece, len(rest))])
			rest = rest[len(b):]
			for len(b) > 0 {
				m, used, err := f.next(b)
				if err != nil {
					t.Fatal(err)
				}
				if b = b[used:]; m != nil {
					got = append(got, m.Index)
				}
			}
		}
		if fmt.Sprint(got) != "[1 2 3]" || f.isInside() {
			t.Fatalf("pieces of %d bytes: %v", piece, got)
		}
	}
	for _, bad := range []string{"x", "]", "{]", `{"index":}`, "{\"index\":\"" + strings.Repeat("x", maxListBytes+1)} {
		var f framer
		_, _, err := f.next([]byte(bad))
		if err == nil {
			t.Errorf("%.20q is taken", bad)
		}
	}
}

package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
)

// follow starts a watch of an agent that turns the first calls away, and returns what it was told.
func follow(t *testing.T, doors, turnsAway int) (told <-chan endpoint.Update, calls *atomic.Int32) {
	t.Helper()
	return watch(t, Config{Gateways: doors}, turnsAway, nil)
}

// watch is follow with more of a configuration, of an agent that is silent, without an answer, until a channel is
// closed.
func watch(
	t *testing.T,
	cfg Config,
	turnsAway int,
	silent <-chan struct{},
) (told <-chan endpoint.Update, calls *atomic.Int32) {
	t.Helper()
	calls = &atomic.Int32{}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent != nil {
			select {
			case <-silent:
			default:
				calls.Add(1)
				<-r.Context().Done()
				return
			}
		}
		if int(calls.Add(1)) <= turnsAway {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(
			w,
			`{"index":9,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"SERVING"}]}`,
		)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	l := eventloop.New()
	updates := make(chan endpoint.Update, 16)
	cfg.Addr, cfg.Seed = strings.TrimPrefix(agent.URL, "http://"), 1
	d := New(l, slog.New(slog.NewTextHandler(io.Discard, nil)), cfg,
		func(u endpoint.Update) { updates <- u })
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for !l.Wait(time.Hour, stop) {
		}
	}()
	l.Post(func() {
		d.Follow(d.Addr())
		for range 5 {
			d.Fetch() // is no call of its own
		}
	})
	t.Cleanup(func() {
		d.Stop()
		close(stop)
		<-ended
		agent.CloseClientConnections()
		agent.Close()
		l.Close()
	})
	return updates, calls
}

// A watch that is turned away is asked for again until it is there, by one call at a time.
func TestTurnedAwayWatchIsAskedForAgain(t *testing.T) {
	told, calls := follow(t, 2, 3)
	if u := <-told; len(u.Entries) != 1 {
		t.Errorf("told %+v", u)
	}
	if n := calls.Load(); n != 4 {
		t.Errorf("%d calls, want the 3 that were turned away and the watch", n)
	}
}

// Where many front doors share a discovery that turns them away, each waits for longer, as it would never catch up; but
// for no longer than leaves time
// to be told within 6 s.
func TestManyFrontDoorsAskSeldom(t *testing.T) {
	l := eventloop.New()
	defer l.Close()
	few := New(l, nil, Config{Gateways: 3}, nil)
	many := New(l, nil, Config{Gateways: 80}, nil)
	if few.afterRejection.Initial > 200*time.Millisecond || few.afterRejection.Max > time.Second {
		t.Errorf("three front doors wait %v to %v", few.afterRejection.Initial, few.afterRejection.Max)
	}
	if all := time.Duration(
		80/watchesPerSecond,
	) * time.Second; many.afterRejection.Initial < all/2 ||
		many.afterRejection.Max < all/2 {
		t.Errorf(
			"80 front doors wait %v to %v; discovery needs %v to answer each once",
			many.afterRejection.Initial,
			many.afterRejection.Max,
			all,
		)
	}
	for _, doors := range []int{1, 3, 80, 300, 10_000} {
		d := New(l, nil, Config{Gateways: doors}, nil)
		const room = 200 * time.Millisecond // a call's own wait in discovery's queue counts for nobody
		if sum := signTimeout + d.afterEnd.Max*3/2 + listTimeout; sum > toldWithin-room {
			t.Errorf("%d front doors: %v after a watch that fell silent", doors, sum)
		}
		if sum := d.afterRejection.Max*3/2 + listTimeout; sum > toldWithin-room {
			t.Errorf("%d front doors: %v after a call that was turned away", doors, sum)
		}
		if sum := answerTimeout + d.afterEnd.Max*3/2 + listTimeout; sum > toldWithin-room {
			t.Errorf("%d front doors: %v after a call that was swallowed", doors, sum)
		}
	}
	a := newCallInterval() // one that waits for an agent with a queue, from when it was made
	for range 100 {
		a.next()
	}
	if sum := a.next() + maxParallelWait + listTimeout; sum > toldWithin-200*time.Millisecond {
		t.Errorf("%v until a list is read of an agent that is back and has a queue", sum)
	}
}

// Where lists are pushed the agent is silent while discovery is down, and has all at once when it is back: however many
// front doors there are, each
// hears it before a drain binds. Before, each of 321 waited for 4 to 12 seconds, and then for longer.
func TestSilentAgentIsHeardAtOnceWhenItIsBack(t *testing.T) {
	back := make(chan struct{})
	told, calls := watch(t, Config{Gateways: 321, Pushed: true}, 0, back)
	for calls.Load() < 4 { // without a word a watch has not begun
		time.Sleep(time.Millisecond)
	}
	close(back)
	select {
	case u := <-told:
		if len(u.Entries) != 1 {
			t.Errorf("told %+v", u)
		}
	case <-time.After(3 * time.Second):
		t.Error("nothing heard 3 s after the agent was back")
	}
}

// An agent that takes its time is heard all the same; one that turns this door away is asked again by the terms of the
// fleet.
func TestTurnedAwayWatchOfPushedLists(t *testing.T) {
	told, calls := watch(t, Config{Gateways: 2, Pushed: true}, 3, nil)
	<-told
	if n := calls.Load(); n != 4 {
		t.Errorf("%d calls", n)
	}
}

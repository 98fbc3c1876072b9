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

// follow starts a watch at an agent that rejects the first calls. It returns the updates and the number of calls.
func follow(t *testing.T, gateways, rejections int) (updates <-chan endpoint.Update, calls *atomic.Int32) {
	t.Helper()
	return followWith(t, Config{Gateways: gateways}, rejections, nil)
}

// followWith is like follow with a given configuration. If answering is not nil, the agent leaves calls unanswered
// until that channel is closed.
func followWith(
	t *testing.T,
	cfg Config,
	rejections int,
	answering <-chan struct{},
) (updates <-chan endpoint.Update, calls *atomic.Int32) {
	t.Helper()
	calls = &atomic.Int32{}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answering != nil {
			select {
			case <-answering:
			default:
				calls.Add(1)
				<-r.Context().Done()
				return
			}
		}
		if int(calls.Add(1)) <= rejections {
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
	loop := eventloop.New()
	received := make(chan endpoint.Update, 16)
	cfg.Addr, cfg.Seed = strings.TrimPrefix(agent.URL, "http://"), 1
	watch := New(loop, slog.New(slog.NewTextHandler(io.Discard, nil)), cfg,
		func(update endpoint.Update) { received <- update })
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for !loop.Wait(time.Hour, stop) {
		}
	}()
	loop.Post(func() {
		watch.Follow(watch.Addr())
		for range 5 {
			watch.Fetch() // must not make a call of its own
		}
	})
	t.Cleanup(func() {
		watch.Stop()
		close(stop)
		<-ended
		agent.CloseClientConnections()
		agent.Close()
		loop.Close()
	})
	return received, calls
}

// TestTurnedAwayWatchIsAskedForAgain verifies that a rejected watch is retried until it is accepted, with one call at a
// time.
func TestTurnedAwayWatchIsAskedForAgain(t *testing.T) {
	updates, calls := follow(t, 2, 3)
	if update := <-updates; len(update.Entries) != 1 {
		t.Errorf("got %+v", update)
	}
	if n := calls.Load(); n != 4 {
		t.Errorf("%d calls, want 3 rejected ones and the watch", n)
	}
}

// TestManyFrontDoorsAskSeldom verifies that with many gateways each pauses for longer, because discovery could
// otherwise never answer all of them, but that every combination of pauses and timeouts still stays below notifyLimit.
func TestManyFrontDoorsAskSeldom(t *testing.T) {
	loop := eventloop.New()
	defer loop.Close()
	few := New(loop, nil, Config{Gateways: 3}, nil)
	many := New(loop, nil, Config{Gateways: 80}, nil)
	if few.rejectedBackoff.Initial > 200*time.Millisecond || few.rejectedBackoff.Max > time.Second {
		t.Errorf("three gateways pause for %v to %v", few.rejectedBackoff.Initial, few.rejectedBackoff.Max)
	}
	if all := time.Duration(
		80/watchesPerSecond,
	) * time.Second; many.rejectedBackoff.Initial < all/2 ||
		many.rejectedBackoff.Max < all/2 {
		t.Errorf(
			"80 gateways pause for %v to %v; discovery needs %v to answer each of them once",
			many.rejectedBackoff.Initial,
			many.rejectedBackoff.Max,
			all,
		)
	}
	for _, gateways := range []int{1, 3, 80, 300, 10_000} {
		watch := New(loop, nil, Config{Gateways: gateways}, nil)
		const margin = 200 * time.Millisecond // the time that a call waits in discovery's queue does not count
		if sum := silenceTimeout + watch.endedBackoff.Max*3/2 + listTimeout; sum > notifyLimit-margin {
			t.Errorf("%d gateways: %v after a watch that fell silent", gateways, sum)
		}
		if sum := watch.rejectedBackoff.Max*3/2 + listTimeout; sum > notifyLimit-margin {
			t.Errorf("%d gateways: %v after a rejected call", gateways, sum)
		}
		if sum := answerTimeout + watch.endedBackoff.Max*3/2 + listTimeout; sum > notifyLimit-margin {
			t.Errorf("%d gateways: %v after an unanswered call", gateways, sum)
		}
	}
	interval := newCallInterval() // of a watch whose agent queues calls, from the first call on
	for range 100 {
		interval.next()
	}
	if sum := interval.next() + maxParallelWait + listTimeout; sum > notifyLimit-200*time.Millisecond {
		t.Errorf("%v until a list is read from an agent that is back and queues calls", sum)
	}
}

// TestSilentAgentIsHeardAtOnceWhenItIsBack verifies that, if lists are pushed, each gateway gets the list soon after
// the agent answers again, however many gateways there are. The agent answers nothing while discovery is down and has
// all changes at once when discovery returns; each gateway must know of a drain before it takes effect. With pauses
// that grow with the number of gateways, each of 321 gateways would wait for 4 to 12 s and then for longer.
func TestSilentAgentIsHeardAtOnceWhenItIsBack(t *testing.T) {
	answering := make(chan struct{})
	updates, calls := followWith(t, Config{Gateways: 321, Pushed: true}, 0, answering)
	for calls.Load() < 4 { // further calls are made while none is answered
		time.Sleep(time.Millisecond)
	}
	close(answering)
	select {
	case update := <-updates:
		if len(update.Entries) != 1 {
			t.Errorf("got %+v", update)
		}
	case <-time.After(3 * time.Second):
		t.Error("no update 3 s after the agent was back")
	}
}

// TestTurnedAwayWatchOfPushedLists verifies that, if lists are pushed, a rejected call is retried with the backoff for
// rejections, with one call at a time.
func TestTurnedAwayWatchOfPushedLists(t *testing.T) {
	updates, calls := followWith(t, Config{Gateways: 2, Pushed: true}, 3, nil)
	<-updates
	if n := calls.Load(); n != 4 {
		t.Errorf("%d calls, want 4", n)
	}
}

package simulator

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func newTestEndpoint(t *testing.T, w *World, config EndpointConfig) *Endpoint {
	t.Helper()
	e, err := NewEndpoint("s", config, w, w.Rand)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// erlangMeanWait returns the mean waiting time of an M/M/c queue in seconds, by the Erlang C formula. The load is the
// utilization of each core, from 0 to 1.
func erlangMeanWait(cores int, load float64, mean time.Duration) float64 {
	offered := load * float64(cores)
	sum := 0.0
	term := 1.0
	for k := range cores {
		sum += term
		term *= offered / float64(k+1)
	}
	waitProbability := term / (1 - load) / (sum + term/(1-load))
	return waitProbability * mean.Seconds() / (float64(cores) * (1 - load))
}

// TestQueueAgainstTheory verifies that mean waiting times are those of an M/M/c queue, for several numbers of cores and
// loads.
func TestQueueAgainstTheory(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cores    int
		load     float64
		requests int
	}{
		{1, 0.5, 400_000},
		{3, 0.7, 600_000},
		{8, 0.85, 1_200_000},
	} {
		w := New(7, 0)
		mean := 100 * time.Millisecond
		e := newTestEndpoint(t, w, EndpointConfig{
			Cores:         float64(c.cores),
			MaxInService:  c.cores,
			QueueCapacity: 1 << 20,
			ServiceTimes:  []Distribution{{Kind: Exponential, Mean: mean}},
		})
		rate := c.load * float64(c.cores) / mean.Seconds()
		gaps := w.Rand("arrivals")
		waited := 0.0
		n := 0
		var next func()
		next = func() {
			job := &Job{ID: fmt.Sprint(n)}
			n++
			e.Receive(job, func(Reply) { waited += job.QueueTime().Seconds() })
			if n < c.requests {
				w.After(time.Duration(gaps.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		w.After(0, next)
		w.Run(Start + 1000*time.Hour)
		want := erlangMeanWait(c.cores, c.load, mean)
		if got := waited / float64(n); math.Abs(got/want-1) > 0.03 || e.Stats.Answered != uint64(n) {
			t.Errorf("%d cores at load %.2f: mean wait %.5f s, want %.5f; %d of %d answered",
				c.cores, c.load, got, want, e.Stats.Answered, n)
		}
	}
}

// baseConfig has two cores, and space for two requests in service and two waiting. Each request takes 100 ms of work.
var baseConfig = EndpointConfig{
	Cores:         2,
	MaxInService:  2,
	QueueCapacity: 2,
	ServiceTimes:  []Distribution{{Kind: Fixed, Mean: 100 * time.Millisecond}},
}

// answerTimes sends n requests at once and returns after how many milliseconds each was answered.
func answerTimes(w *World, e *Endpoint, n int) (at []int, replies []Reply) {
	from := w.Now
	for i := range n {
		e.Receive(&Job{ID: fmt.Sprint(w.Now, i)}, func(r Reply) {
			at = append(at, int((w.Now-from).Round(time.Millisecond)/time.Millisecond))
			replies = append(replies, r)
		})
	}
	w.Run(w.Now + 5*time.Second)
	return at, replies
}

// checkAnswerTimes compares answer times in milliseconds.
func checkAnswerTimes(t *testing.T, name string, got []int, want ...int) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: answered at %v ms, want %v", name, got, want)
	}
}

// TestEndpoint verifies service, queueing and rejection of an endpoint, each of its faults, its slowdown with many held
// requests, and cancellation.
func TestEndpoint(t *testing.T) {
	t.Parallel()
	w := New(1, 0)
	e := newTestEndpoint(t, w, baseConfig)
	at, replies := answerTimes(w, e, 5)
	checkAnswerTimes(t, "two cores, two waiting, one rejected", at, 0, 100, 100, 200, 200)
	if replies[0] != ReplyRejected {
		t.Error("a request beyond the queue capacity is not rejected")
	}
	shared := baseConfig
	shared.MaxInService = 4
	at, _ = answerTimes(w, newTestEndpoint(t, w, shared), 4)
	checkAnswerTimes(t, "four in service share two cores", at, 200, 200, 200, 200)
	e.SetSlowdown(2)
	at, _ = answerTimes(w, e, 1)
	checkAnswerTimes(t, "slowdown of two", at, 200)
	e.SetSlowdown(1)
	e.Pause(300 * time.Millisecond)
	at, _ = answerTimes(w, e, 1)
	checkAnswerTimes(t, "a pause", at, 400)
	w.After(50*time.Millisecond, func() { e.Pause(300 * time.Millisecond) })
	at, _ = answerTimes(w, e, 1)
	checkAnswerTimes(t, "a pause during the service", at, 400)
	e.SetSilent(true)
	at, _ = answerTimes(w, e, 2)
	checkAnswerTimes(t, "silent", at)
	e.SetSilent(false)
	w.After(50*time.Millisecond, e.Crash)
	at, replies = answerTimes(w, e, 3)
	checkAnswerTimes(t, "a crash", at, 50, 50, 50)
	if replies[2] != ReplyBroken || !e.IsDown() {
		t.Error("a crash does not break the connections of held requests")
	}
	heavy := baseConfig
	heavy.SlowdownFrom = 2
	heavy.SlowdownPerRequest = 0.25
	heavy.MinSpeed = 0.4
	at, _ = answerTimes(w, newTestEndpoint(t, w, heavy), 4)
	checkAnswerTimes(t, "slowdown with four held", at, 200, 200, 300, 300)
	cancelled := newTestEndpoint(t, w, baseConfig)
	job := &Job{ID: "x"}
	answers := 0
	for i := range 3 {
		cancelled.Receive(&Job{ID: fmt.Sprint("y", i)}, func(Reply) {})
	}
	cancelled.Receive(job, func(Reply) { answers++ })
	cancelled.Cancel(job)
	if w.Run(w.Now + time.Second); answers != 0 || cancelled.Stats.Answered != 3 {
		t.Errorf("a cancelled waiting job was answered: %+v", cancelled.Stats)
	}
}

// TestSlowStart verifies that a restarted endpoint begins at the configured capacity, warms up linearly, and crashes
// when it is overloaded.
func TestSlowStart(t *testing.T) {
	t.Parallel()
	w := New(1, 0)
	config := baseConfig
	config.QueueCapacity = 1000
	config.SlowStartCapacity = 0.25
	config.SlowStartDuration = 10 * time.Second
	config.OverloadMultiple = 3
	config.OverloadWindow = 2 * time.Second
	e := newTestEndpoint(t, w, config)
	e.Restart()
	if got := e.CapacityFraction(); got != 0.25 {
		t.Errorf("capacity %v at the start", got)
	}
	at, _ := answerTimes(w, e, 1)
	if len(at) != 1 || at[0] < 360 || at[0] > 400 {
		t.Errorf("answered at %v ms, want a little under 400", at)
	}
	if got := e.CapacityFraction(); math.Abs(got-0.625) > 1e-9 { // 5 s later
		t.Errorf("capacity %v after half the time", got)
	}
	e.Restart()
	broken := 0
	for i := range 31 { // the bound is 3 x 0.25 x 2 cores x 2 s: 30 requests of 100 ms
		e.Receive(&Job{ID: fmt.Sprint(i)}, func(r Reply) {
			if r == ReplyBroken {
				broken++
			}
		})
		if i == 29 && e.IsDown() {
			t.Fatal("crashed below the overload bound")
		}
	}
	if !e.Stats.Overloaded || broken != 31 {
		t.Errorf("overloaded: %+v, %d broken", e.Stats, broken)
	}
}

// TestEffects verifies that a repeat of a key is dropped within the dedup window, and counted as a duplicate after it.
func TestEffects(t *testing.T) {
	t.Parallel()
	w := New(1, 0)
	config := baseConfig
	config.DedupWindows = []time.Duration{time.Second}
	e := newTestEndpoint(t, w, config)
	send := func() (got Reply) {
		e.Receive(&Job{ID: fmt.Sprint(w.Now), Key: "k"}, func(r Reply) { got = r })
		w.Run(w.Now + 200*time.Millisecond)
		return got
	}
	if send() != ReplyOK || send() != ReplyRepeated || e.Stats.Effects != 1 || e.Stats.DuplicateEffects != 0 {
		t.Errorf("%+v", e.Stats)
	}
	w.Run(w.Now + 2*time.Second)
	if send() != ReplyOK || e.Stats.Effects != 2 || e.Stats.DuplicateEffects != 1 {
		t.Errorf("after the window: %+v", e.Stats)
	}
}

// TestInvalidEndpointConfig verifies that Check reports the field of each invalid value.
func TestInvalidEndpointConfig(t *testing.T) {
	t.Parallel()
	for field, invalidate := range map[string]func(*EndpointConfig){
		"cores":     func(c *EndpointConfig) { c.Cores = 0 },
		"slots":     func(c *EndpointConfig) { c.MaxInService = 0 },
		"room":      func(c *EndpointConfig) { c.QueueCapacity = -1 },
		"work":      func(c *EndpointConfig) { c.ServiceTimes = nil },
		"work[0]":   func(c *EndpointConfig) { c.ServiceTimes = []Distribution{{Kind: "odd", Mean: 1}} },
		"cold_from": func(c *EndpointConfig) { c.SlowStartCapacity = 0.5 },
		"fall_at":   func(c *EndpointConfig) { c.OverloadMultiple = 1 },
		"held":      func(c *EndpointConfig) { c.SlowdownPerRequest = -1 },
	} {
		config := baseConfig
		invalidate(&config)
		var invalid *EndpointConfigError
		err := config.Check()
		if !errors.As(err, &invalid) || invalid.Field != field || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

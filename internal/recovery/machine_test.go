package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observationAt is an observation and its time since the machine was created.
type observationAt struct {
	at       time.Duration
	observed Observation
}

// advanceAll applies observations in turn and returns the finished steps, each with its state and time.
func advanceAll(m *Machine, observations []observationAt) string {
	var finished []string
	for _, o := range observations {
		for _, step := range m.Advance(o.at, o.observed) {
			finished = append(finished, fmt.Sprintf("%s %s %gs", step.Step, step.State, step.Since.Seconds()))
		}
	}
	return strings.Join(finished, ", ")
}

// fullConfig has a condition to wait for in every step.
var fullConfig = Config{Gateways: 5, HasPolicy: true, PolicyRequired: true, HasKeys: true, HasCounter: true}

// TestPowerOrderOfRecovery verifies what each step waits for and for how long, and which steps time out.
func TestPowerOrderOfRecovery(t *testing.T) {
	const millisecond, second = time.Millisecond, time.Second
	cases := []struct {
		name         string
		config       Config
		observations []observationAt
		want         string
		isOpen       bool
	}{
		{
			name:   "all conditions are met at once",
			config: fullConfig,
			observations: []observationAt{{0, Observation{
				PeersPresent: 4, PolicyVersion: 3, MayDecide: true,
				KeysReady: true, CounterAnswered: true, EndpointsServing: true,
			}}},
			want: "identity done 0s, peers done 0s, policy done 0s, " +
				"keys done 0s, counter done 0s, backends done 0s",
			isOpen: true,
		},
		{
			name:   "a later condition that is met first does not skip a step",
			config: fullConfig,
			observations: []observationAt{
				{0, Observation{KeysReady: true, CounterAnswered: true, EndpointsServing: true}},
				{400 * millisecond, Observation{PeersPresent: 2}},
				{500 * millisecond, Observation{PeersPresent: 2}},
				{900 * millisecond, Observation{PeersPresent: 2, PolicyVersion: 3, MayDecide: true}},
				{second, Observation{
					PolicyVersion: 3, MayDecide: true, KeysReady: true, CounterAnswered: true, EndpointsServing: true,
				}},
			},
			want: "identity done 0s, peers done 0.5s, policy done 0.9s, " +
				"keys done 1s, counter done 1s, backends done 1s",
			isOpen: true,
		},
		{
			name:   "two gateways of five",
			config: fullConfig,
			observations: []observationAt{
				{0, Observation{PeersPresent: 1}},
				{1900 * millisecond, Observation{PeersPresent: 1}},
				{2 * second, Observation{PeersPresent: 1}},
				{60 * second, Observation{PeersPresent: 1}},
			},
			want: "identity done 0s, peers passed 2s",
		},
		{
			name:   "no majority ever, and the stored policy version is used",
			config: Config{Gateways: 5, HasPolicy: true},
			observations: []observationAt{
				{0, Observation{}},
				{2 * second, Observation{}},
				{12 * second, Observation{PolicyVersion: 2, MayDecide: true, EndpointsServing: true}},
			},
			want: "identity done 0s, peers passed 2s, policy done 12s, " +
				"keys absent 12s, counter absent 12s, backends done 12s",
			isOpen: true,
		},
		{
			name:   "neither counter nor endpoints answer",
			config: Config{Gateways: 3, HasCounter: true},
			observations: []observationAt{
				{0, Observation{PeersPresent: 2}},
				{900 * millisecond, Observation{PeersPresent: 2}},
				{second, Observation{PeersPresent: 2}},
				{3900 * millisecond, Observation{}},
				{4 * second, Observation{}},
			},
			want: "identity done 0s, peers done 0s, policy absent 0s, " +
				"keys absent 0s, counter passed 1s, backends passed 4s",
			isOpen: true,
		},
		{
			name:   "a voter whose disk is outdated",
			config: Config{Gateways: 3, HasKeys: true},
			observations: []observationAt{
				{0, Observation{PeersPresent: 2}},
				{2 * second, Observation{PeersPresent: 2, EndpointsServing: true}},
			},
			want: "identity done 0s, peers done 0s, policy absent 0s, " +
				"keys passed 2s, counter absent 2s, backends done 2s",
			isOpen: true,
		},
		{
			name:   "another process has the gateway's name",
			config: fullConfig,
			observations: []observationAt{
				{0, Observation{HasDuplicate: true, PeersPresent: 4}},
				{30 * second, Observation{HasDuplicate: true, PeersPresent: 4}},
			},
		},
		{
			name:   "a policy version by which nothing may be decided",
			config: fullConfig,
			observations: []observationAt{
				{0, Observation{PeersPresent: 4, PolicyVersion: 3}},
				{9 * second, Observation{PeersPresent: 4, PolicyVersion: 3}},
			},
			want: "identity done 0s, peers done 0s",
		},
		{
			name:         "a cluster of one",
			config:       Config{Gateways: 1},
			observations: []observationAt{{0, Observation{EndpointsServing: true}}},
			want: "identity done 0s, peers absent 0s, policy absent 0s, " +
				"keys absent 0s, counter absent 0s, backends done 0s",
			isOpen: true,
		},
		{
			name:   "a machine that is open remains so",
			config: Config{Gateways: 1},
			observations: []observationAt{
				{0, Observation{EndpointsServing: true}},
				{9 * second, Observation{HasDuplicate: true}},
			},
			want: "identity done 0s, peers absent 0s, policy absent 0s, " +
				"keys absent 0s, counter absent 0s, backends done 0s",
			isOpen: true,
		},
		{
			name:   "the process is stopped for a minute",
			config: Config{Gateways: 3},
			observations: []observationAt{
				{0, Observation{}},
				{60 * second, Observation{PeersPresent: 2, EndpointsServing: true}},
			},
			want: "identity done 0s, peers done 60s, policy absent 60s, " +
				"keys absent 60s, counter absent 60s, backends done 60s",
			isOpen: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(0, c.config, "3 files")
			got := advanceAll(m, c.observations)
			if got != c.want || m.IsOpen() != c.isOpen {
				t.Errorf("got %q (open: %v), want %q (%v)", got, m.IsOpen(), c.want, c.isOpen)
			}
		})
	}
}

// stepNamed returns the step of a name.
func stepNamed(name string) Step {
	for step := range Step(stepCount) {
		if step.String() == name {
			return step
		}
	}
	return 0
}

// TestPowerRecoveryEnds verifies, for any observations, that each step finishes once and in order, that a machine
// without a policy opens within the timeouts of its steps, and that Retry-After is within its bounds.
func TestPowerRecoveryEnds(t *testing.T) {
	const start = time.Hour
	const maxStartup = maxPeersWait + maxKeysWait + maxCounterWait + maxEndpointsWait + time.Second
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Gateways:   rapid.IntRange(1, 300).Draw(t, "gateways"),
			HasKeys:    rapid.Bool().Draw(t, "has keys"),
			HasCounter: rapid.Bool().Draw(t, "has counter"),
		}
		random := func() float64 { return rapid.Float64Range(0, 1).Draw(t, "random") }
		m := New(start, config, "")
		last := Step(-1)
		for now := start; !m.IsOpen(); {
			if now > start+maxStartup {
				t.Fatalf("not open after %v: %+v", now-start, m.Current())
			}
			if wait := m.RetryAfter(now, random); wait < minRetryAfter || wait > 3*time.Second {
				t.Fatalf("Retry-After of %v", wait)
			}
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "milliseconds")) * time.Millisecond
			finished := m.Advance(now, Observation{
				PeersPresent:     rapid.IntRange(0, config.Gateways-1).Draw(t, "peers heard"),
				KeysReady:        rapid.Bool().Draw(t, "keys ready"),
				CounterAnswered:  rapid.Bool().Draw(t, "counter answered"),
				EndpointsServing: rapid.Bool().Draw(t, "endpoints serving"),
			})
			for _, view := range finished {
				step := stepNamed(view.Step)
				if step <= last || view.State == StateWaiting || view.State == StatePending {
					t.Fatalf("step %v after %v: %+v", step, last, view)
				}
				last = step
			}
		}
	})
}

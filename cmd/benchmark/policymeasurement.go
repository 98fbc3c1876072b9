package main

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/fake/rig"
)

// requestingAccounts is the number of accounts that send requests.
const requestingAccounts = 2

// policyMeasurement has the durations of policy changes and the effect on the flood.
type policyMeasurement struct {
	// durations has the time until the commit was reported, for each committed change.
	durations []time.Duration
	// proposedAt has the times of all proposals since the start of the flood, including an aborted one.
	proposedAt []time.Duration
	flood      *rig.Book
	// flooded is the number of flooded gateways, which are the first ones.
	flooded int
	// residentMBBefore and residentMBAfter are the maximum memory of a gateway before the first change and after any
	// change, in MiB.
	residentMBBefore float64
	residentMBAfter  float64
}

// floodWindow has the results of the flood in several windows of one second.
type floodWindow struct {
	served    int
	latencies []time.Duration
	// longestSilence is the longest time without a response from a flooded gateway.
	longestSilence time.Duration
}

// add adds the second that begins at the given time since the start of the flood.
func (w *floodWindow) add(m *policyMeasurement, from time.Duration) {
	until := from + time.Second
	w.served += m.flood.In(from, until)
	for _, decided := range m.flood.Decided {
		if decided.Asked >= from && decided.Asked < until {
			w.latencies = append(w.latencies, decided.Answered-decided.Asked)
		}
	}
	for gateway := range m.flooded {
		w.longestSilence = max(w.longestSilence, longestSilence(m.flood, gateway, from, until))
	}
}

// p99 returns the 99th percentile of the latency.
func (w *floodWindow) p99() time.Duration { return percentile(w.latencies, 99) }

// longestSilence returns the longest time between two responses of a gateway in an interval of the flood. The ends of
// the interval count as responses.
func longestSilence(flood *rig.Book, gateway int, from, until time.Duration) (longest time.Duration) {
	last := from
	for _, decided := range flood.Decided {
		if decided.Door == gateway && decided.Answered >= from && decided.Answered < until {
			longest = max(longest, decided.Answered-last)
			last = decided.Answered
		}
	}
	return max(longest, until-last)
}

// print writes the durations of the changes, and compares the second of each change with the second before. policyBytes
// is the size of the policy. There must be at least one committed change.
func (m *policyMeasurement) print(flags *policyFlags, policyBytes int) {
	var before, during floodWindow
	for _, at := range m.proposedAt {
		before.add(m, at-time.Second)
		during.add(m, at)
	}
	const precise = 100 * time.Microsecond
	fmt.Printf("%d accounts, a policy of %d bytes; "+
		"longest time without a response %v in the second of a change, %v in the second before; "+
		"maximum memory of a gateway %.0f MB before, %.0f MB right after a change\n",
		flags.accounts+requestingAccounts, policyBytes,
		during.longestSilence.Round(precise), before.longestSilence.Round(precise),
		m.residentMBBefore, m.residentMBAfter)
	slices.Sort(m.durations)
	fmt.Printf("%d gateways, %s, last one %s: committed within %v (median of %d), %v at most; window %v; "+
		"served in the second of a change %d, before it %d (%.3f); p99 %v and %v (%.2f); lost %d\n",
		flags.gateways, flags.mode, flags.lastGateway,
		m.durations[len(m.durations)/2].Round(time.Millisecond), len(m.durations),
		m.durations[len(m.durations)-1].Round(time.Millisecond), m.flood.Window().Round(time.Millisecond),
		during.served, before.served, float64(during.served)/float64(before.served),
		during.p99().Round(10*time.Microsecond), before.p99().Round(10*time.Microsecond),
		float64(during.p99())/float64(before.p99()), len(m.flood.Lost))
}

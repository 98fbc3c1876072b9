package main

import (
	"fmt"
	"slices"
	"time"

	"gapgap/internal/fake/rig"
)

// requestingAccounts is how many accounts make requests.
const requestingAccounts = 2

// policyMeasurement is what changes of the policy took, and what the flood saw of them.
type policyMeasurement struct {
	// durations are the times until each committed change was known to be committed.
	durations []time.Duration
	// proposedAt are when changes were proposed, since the start of the flood, with one that was aborted.
	proposedAt []time.Duration
	flood      *rig.Book
	// flooded is the number of gateways that were flooded: the first ones.
	flooded int
	// residentMBBefore and residentMBAfter are the most memory of a gateway before the first change and after any, in
	// MiB.
	residentMBBefore float64
	residentMBAfter  float64
}

// floodWindow is what the flood saw in a second, added up over several.
type floodWindow struct {
	served    int
	latencies []time.Duration
	// longestSilence is the longest time in which a flooded gateway answered nobody.
	longestSilence time.Duration
}

// add adds the second that begins at a time since the start of the flood.
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

// p99 is the 99th percentile of the latency.
func (w *floodWindow) p99() time.Duration { return percentile(w.latencies, 99) }

// longestSilence is the longest time between two answers of a gateway in a stretch of the flood, whose ends count as
// answers.
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

// print writes what the changes took, and the second of each against the one before. policyBytes is the length of the
// policy. There must be one committed change at least.
func (m *policyMeasurement) print(flags *policyFlags, policyBytes int) {
	var before, during floodWindow
	for _, at := range m.proposedAt {
		before.add(m, at-time.Second)
		during.add(m, at)
	}
	const precise = 100 * time.Microsecond
	fmt.Printf("%d accounts, a policy of %d bytes; "+
		"no answer at a door for %v at worst in the second of a change, %v in the one before; "+
		"a door's memory %.0f MB before, %.0f MB right after a change at most\n",
		flags.accounts+requestingAccounts, policyBytes,
		during.longestSilence.Round(precise), before.longestSilence.Round(precise),
		m.residentMBBefore, m.residentMBAfter)
	slices.Sort(m.durations)
	fmt.Printf("%d doors, %s, last one %s: taken within %v in the median of %d, %v at worst; window %v; "+
		"served in the second of a change %d, before it %d (%.3f); p99 %v and %v (%.2f); lost %d\n",
		flags.gateways, flags.mode, flags.lastGateway,
		m.durations[len(m.durations)/2].Round(time.Millisecond), len(m.durations),
		m.durations[len(m.durations)-1].Round(time.Millisecond), m.flood.Window().Round(time.Millisecond),
		during.served, before.served, float64(during.served)/float64(before.served),
		during.p99().Round(10*time.Microsecond), before.p99().Round(10*time.Microsecond),
		float64(during.p99())/float64(before.p99()), len(m.flood.Lost))
}

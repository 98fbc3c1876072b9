package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"gapgap/internal/fake/rig"
)

// serviceWindow is the time over which service is averaged.
const serviceWindow = 500 * time.Millisecond

// powerResult is what became of the requests around losses of power.
type powerResult struct {
	// calm are the requests of accounts inside their quotas.
	calm    []rig.Try
	changes *rig.ChangeBook
	flood   *rig.Book
	// keysWithEffect and keysWithTwoEffects count the keys of changes by their effects at the flag servers.
	keysWithEffect     int
	keysWithTwoEffects int
	// restoredAt is when the power was back for the last time, since the start of the load.
	restoredAt time.Duration
	// callsInFirstSecond are the calls of the counter in the second after that, and commandsInFirstSecond the commands
	// at the flag servers.
	callsInFirstSecond    int
	commandsInFirstSecond int
}

// countCommands counts the commands at the flag servers in the second after the power was back. start is when the load
// began.
func (r *powerResult) countCommands(gateways *rig.Rig, start time.Time) {
	for _, server := range gateways.Servers {
		for _, command := range server.Sent() {
			at := command.At.Sub(start)
			if at >= r.restoredAt && at < r.restoredAt+time.Second {
				r.commandsInFirstSecond++
			}
		}
	}
}

// served is how many requests inside quotas were served whose answers came in a stretch of the load.
func (r *powerResult) served(from, until time.Duration) (count int) {
	for _, try := range r.calm {
		answeredAt := try.Asked + try.Took
		if try.Served && answeredAt >= from && answeredAt < until {
			count++
		}
	}
	return count
}

// rateBefore is the rate of requests served inside quotas before the first loss of power, per second.
func (r *powerResult) rateBefore(scenario *powerScenario) float64 {
	return float64(r.served(powerWarmUp, scenario.before)) / (scenario.before - powerWarmUp).Seconds()
}

// recoveredAfter is how long after the power was back serviceWindow had a fraction of a former rate per second for the
// first time; -1 ns: it had not within a limit.
func (r *powerResult) recoveredAfter(fraction, rate float64, limit time.Duration) time.Duration {
	wanted := fraction * rate * serviceWindow.Seconds()
	for after := time.Duration(0); after < limit; after += curveStep {
		from := r.restoredAt + after
		if float64(r.served(from, from+serviceWindow)) >= wanted {
			return after + serviceWindow
		}
	}
	return -1
}

// curve is the rate of requests served inside quotas, per second, over the last serviceWindow: a point for each
// curveStep. Times count from when the power was back.
func (r *powerResult) curve(from, until time.Duration) (points plotter.XYs) {
	for at := from; at < until; at += curveStep {
		end := r.restoredAt + at
		served := r.served(end-serviceWindow, end)
		points = append(points, plotter.XY{X: at.Seconds(), Y: float64(served) / serviceWindow.Seconds()})
	}
	return points
}

// changeTries counts tries of changes by what became of them.
type changeTries struct {
	total      int
	failed     int
	rejected   int
	unanswered int
}

// countTries counts all tries of changes.
func (r *powerResult) countTries() (tries changeTries) {
	for _, ofKey := range r.changes.Keys {
		for _, try := range ofKey {
			tries.total++
			switch {
			case try.Failed:
				tries.failed++
			case try.Busy:
				tries.rejected++
			case !try.Served:
				tries.unanswered++
			}
		}
	}
	return tries
}

// servedLatencies are the latencies of the tries of changes that were served.
func servedLatencies(changes *rig.ChangeBook) (latencies []time.Duration) {
	for _, tries := range changes.Keys {
		latencies = append(latencies, latenciesOfServed(tries)...)
	}
	return latencies
}

// latenciesOfServed are the latencies of those tries that were served.
func latenciesOfServed(tries []rig.Try) (latencies []time.Duration) {
	for _, try := range tries {
		if try.Served {
			latencies = append(latencies, try.Took)
		}
	}
	return latencies
}

// printChanges writes what became of the changes.
func (r *powerResult) printChanges(scenario *powerScenario) {
	const precise = 10 * time.Microsecond
	latencies := servedLatencies(r.changes)
	tries := r.countTries()
	fmt.Printf("%d doors, %d cuts: changes: %d keys, %d had an effect, %d had it twice, "+
		"%d were served (median %v, p99 %v); %d tries: %d failed, %d refused, %d unanswered\n",
		scenario.gateways, scenario.losses, len(r.changes.Keys), r.keysWithEffect, r.keysWithTwoEffects,
		r.changes.Served(), percentile(latencies, 50).Round(precise), percentile(latencies, 99).Round(precise),
		tries.total, tries.failed, tries.rejected, tries.unanswered)
}

// printService writes how the service of requests inside quotas came back after the last loss of power.
func (r *powerResult) printService(scenario *powerScenario) {
	rate := r.rateBefore(scenario)
	fmt.Printf("  calm accounts: %.1f a second before; "+
		"after the power was back half of it within %v, 0.95 within %v; by second:", rate,
		r.recoveredAfter(0.5, rate, scenario.after), r.recoveredAfter(0.95, rate, scenario.after))
	for at := time.Duration(0); at < scenario.after; at += time.Second {
		from := r.restoredAt + at
		fmt.Printf(" %.2f", float64(r.served(from, from+time.Second))/rate)
	}
	fmt.Printf("\n  in the first second: %d calls of the counter, %d commands at the flag servers\n",
		r.callsInFirstSecond, r.commandsInFirstSecond)
}

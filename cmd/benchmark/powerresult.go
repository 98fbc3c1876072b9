package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"

	"gapgap/internal/fake/rig"
)

// serviceWindow is the averaging window of the service rate.
const serviceWindow = 500 * time.Millisecond

// powerResult has the results of a run with power losses.
type powerResult struct {
	// calm has the requests of accounts within their quotas.
	calm    []rig.Try
	changes *rig.ChangeBook
	flood   *rig.Book
	// keysWithEffect and keysWithTwoEffects count the keys of changes by the number of effects at the flag servers.
	keysWithEffect     int
	keysWithTwoEffects int
	// restoredAt is the time of the last return of power since the start of the load.
	restoredAt time.Duration
	// callsInFirstSecond is the number of counter calls in the second after that, and commandsInFirstSecond the number
	// of commands at the flag servers.
	callsInFirstSecond    int
	commandsInFirstSecond int
}

// countCommands counts the commands at the flag servers in the second after the power returned. start is when the load
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

// served returns the number of served requests within quotas whose responses arrived in the interval.
func (r *powerResult) served(from, until time.Duration) (count int) {
	for _, try := range r.calm {
		answeredAt := try.Asked + try.Took
		if try.Served && answeredAt >= from && answeredAt < until {
			count++
		}
	}
	return count
}

// rateBefore returns the rate of served requests within quotas before the first power loss, per second.
func (r *powerResult) rateBefore(scenario *powerScenario) float64 {
	return float64(r.served(powerWarmUp, scenario.before)) / (scenario.before - powerWarmUp).Seconds()
}

// recoveredAfter returns the time from the return of power to the end of the first serviceWindow with at least the
// given fraction of the former rate per second, or -1 ns if there is none within the limit.
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

// curve returns the rate of served requests within quotas, per second, over the last serviceWindow, with a point for
// each curveStep. Times count from the return of power.
func (r *powerResult) curve(from, until time.Duration) (points plotter.XYs) {
	for at := from; at < until; at += curveStep {
		end := r.restoredAt + at
		served := r.served(end-serviceWindow, end)
		points = append(points, plotter.XY{X: at.Seconds(), Y: float64(served) / serviceWindow.Seconds()})
	}
	return points
}

// changeTries counts the attempts of changes by outcome.
type changeTries struct {
	total      int
	failed     int
	rejected   int
	unanswered int
}

// countTries counts all attempts of changes.
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

// servedLatencies returns the latencies of the served attempts of changes.
func servedLatencies(changes *rig.ChangeBook) (latencies []time.Duration) {
	for _, tries := range changes.Keys {
		latencies = append(latencies, latenciesOfServed(tries)...)
	}
	return latencies
}

// latenciesOfServed returns the latencies of the served attempts.
func latenciesOfServed(tries []rig.Try) (latencies []time.Duration) {
	for _, try := range tries {
		if try.Served {
			latencies = append(latencies, try.Took)
		}
	}
	return latencies
}

// printChanges writes the outcomes of the changes.
func (r *powerResult) printChanges(scenario *powerScenario) {
	const precise = 10 * time.Microsecond
	latencies := servedLatencies(r.changes)
	tries := r.countTries()
	fmt.Printf("%d gateways, %d power losses: changes: %d keys, %d had an effect, %d had it twice, "+
		"%d were served (median %v, p99 %v); %d attempts: %d failed, %d rejected, %d unanswered\n",
		scenario.gateways, scenario.losses, len(r.changes.Keys), r.keysWithEffect, r.keysWithTwoEffects,
		r.changes.Served(), percentile(latencies, 50).Round(precise), percentile(latencies, 99).Round(precise),
		tries.total, tries.failed, tries.rejected, tries.unanswered)
}

// printService writes how the service of requests within quotas recovered after the last power loss.
func (r *powerResult) printService(scenario *powerScenario) {
	rate := r.rateBefore(scenario)
	fmt.Printf("  accounts within their quotas: %.1f per second before; "+
		"after the return of power half of it within %v, 0.95 within %v; by second:", rate,
		r.recoveredAfter(0.5, rate, scenario.after), r.recoveredAfter(0.95, rate, scenario.after))
	for at := time.Duration(0); at < scenario.after; at += time.Second {
		from := r.restoredAt + at
		fmt.Printf(" %.2f", float64(r.served(from, from+time.Second))/rate)
	}
	fmt.Printf("\n  in the first second: %d counter calls, %d commands at the flag servers\n",
		r.callsInFirstSecond, r.commandsInFirstSecond)
}

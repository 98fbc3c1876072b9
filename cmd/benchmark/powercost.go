package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

const (
	// costChangeClients is how many clients make changes.
	costChangeClients = 8
	// costChangeInterval is a client's pause after a change. It keeps the changes under their quota.
	costChangeInterval = 6 * time.Millisecond
)

// newPowerCostCommand is the command that measures what it costs to remember keys.
func newPowerCostCommand(stretches *stretchFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "power-cost GAPGAPD",
		Short: "What it costs to remember the keys of changes",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return measurePowerCost(args[0], stretches.duration, stretches.rounds)
		},
	}
}

// rememberCost is what one fleet took for changes and for requests inside quotas beside them.
type rememberCost struct {
	changeLatencies []time.Duration
	calmLatencies   []time.Duration
}

// measurePowerCost measures what it costs to remember keys: the CPU time of all gateways per request, and the latency
// of changes and of requests inside quotas beside them. Two fleets of three run all the time and are loaded in turns.
func measurePowerCost(program string, duration time.Duration, rounds int) error {
	plain := rig.Config{
		Doors:  3,
		Fleet:  true,
		Plan:   rig.Plan,
		Change: plainClassLine,
		Calm:   20,
	}
	remembering := plain
	remembering.InFleet = rememberTable
	remembering.Change = rememberLine
	pair, stop, err := startRigPair(program, plain, remembering)
	if err != nil {
		return err
	}
	defer stop()
	var ratios []float64
	var costs [2]rememberCost
	for round := range rounds {
		var cpuMicros [2]float64
		for turn := range pair {
			index := (turn + round) % len(pair) // whoever goes first changes
			seed := uint64(10*round + index)
			cpuMicros[index] = costs[index].measure(pair[index], duration, seed)
		}
		ratios = append(ratios, cpuMicros[1]/cpuMicros[0])
	}
	slices.Sort(ratios)
	costs[0].print("not remembered")
	costs[1].print("remembered")
	fmt.Printf("processor time of three doors a request, remembered against not: "+
		"%.3f in the median of %d rounds (%.3f to %.3f)\n",
		ratios[len(ratios)/2], rounds, ratios[0], ratios[len(ratios)-1])
	return nil
}

// measure loads a fleet, adds the latencies and returns the CPU time of all its gateways per request, in microseconds.
func (c *rememberCost) measure(gateways *rig.Rig, duration time.Duration, seed uint64) (cpuMicros float64) {
	before := totalCPU(gateways)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var running sync.WaitGroup
	var calm []rig.Try
	running.Go(func() { calm = gateways.Calm(ctx, calmInterval) })
	changes := gateways.Changes(ctx, costChangeClients, costChangeInterval, seed)
	running.Wait()
	served := servedLatencies(changes)
	c.changeLatencies = append(c.changeLatencies, served...)
	c.calmLatencies = append(c.calmLatencies, latenciesOfServed(calm)...)
	return (totalCPU(gateways) - before).Seconds() * 1e6 / float64(len(served)+len(calm))
}

// print writes the latencies.
func (c *rememberCost) print(name string) {
	const precise = 10 * time.Microsecond
	fmt.Printf("%s: %d changes, median %v, p99 %v; calm requests beside them median %v, p99 %v\n",
		name, len(c.changeLatencies),
		percentile(c.changeLatencies, 50).Round(precise), percentile(c.changeLatencies, 99).Round(precise),
		percentile(c.calmLatencies, 50).Round(precise), percentile(c.calmLatencies, 99).Round(precise))
}

// totalCPU is the CPU time that all gateways have used so far.
func totalCPU(gateways *rig.Rig) (total time.Duration) {
	for _, gateway := range gateways.Doors {
		total += gateway.CPU()
	}
	return total
}

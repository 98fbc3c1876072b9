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
	// costChangeClients is the number of clients that make changes.
	costChangeClients = 8
	// costChangeInterval is a client's pause after a change. It keeps the changes within their quota.
	costChangeInterval = 6 * time.Millisecond
)

// newPowerCostCommand returns the command that measures the cost of keeping keys on disk.
func newPowerCostCommand(flags *loadFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "power-cost GAPGAPD",
		Short: "Measure the cost of keeping the keys of changes on disk",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return measurePowerCost(args[0], flags.duration, flags.rounds)
		},
	}
}

// rememberCost has the latencies of a fleet for changes and for concurrent requests within quotas.
type rememberCost struct {
	changeLatencies []time.Duration
	calmLatencies   []time.Duration
}

// measurePowerCost measures the cost of keeping keys on disk: the CPU time of all gateways per request, and the latency
// of changes and of concurrent requests within quotas. Two fleets of three run all the time and are loaded alternately.
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
			index := (turn + round) % len(pair) // alternates the order
			seed := uint64(10*round + index)
			cpuMicros[index] = costs[index].measure(pair[index], duration, seed)
		}
		ratios = append(ratios, cpuMicros[1]/cpuMicros[0])
	}
	slices.Sort(ratios)
	costs[0].print("not remembered")
	costs[1].print("remembered")
	fmt.Printf("CPU time of three gateways per request, ratio of keys kept to not kept: "+
		"%.3f, median of %d rounds (%.3f to %.3f)\n",
		ratios[len(ratios)/2], rounds, ratios[0], ratios[len(ratios)-1])
	return nil
}

// measure loads a fleet, adds the latencies and returns the CPU time of all its gateways per request in microseconds.
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
	fmt.Printf("%s: %d changes, median %v, p99 %v; concurrent requests within quotas median %v, p99 %v\n",
		name, len(c.changeLatencies),
		percentile(c.changeLatencies, 50).Round(precise), percentile(c.changeLatencies, 99).Round(precise),
		percentile(c.calmLatencies, 50).Round(precise), percentile(c.calmLatencies, 99).Round(precise))
}

// totalCPU returns the CPU time used by all gateways so far.
func totalCPU(gateways *rig.Rig) (total time.Duration) {
	for _, gateway := range gateways.Doors {
		total += gateway.CPU()
	}
	return total
}

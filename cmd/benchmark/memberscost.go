package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

// newMembersCostCommand returns the command that measures the cost of being in a fleet.
func newMembersCostCommand(flags *loadFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "members-cost GAPGAPD",
		Short: "Compare a gateway's CPU time per request in a fleet with that of a gateway alone",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return measureMembersCost(args[0], flags.duration, flags.rounds)
		},
	}
}

// cpuCost is the CPU time of a gateway and the number of requests that it served in that time.
type cpuCost struct {
	cpu    time.Duration
	served int
}

// microsPerRequest returns the CPU time per request in microseconds.
func (c cpuCost) microsPerRequest() float64 { return c.cpu.Seconds() * 1e6 / float64(c.served) }

// measureMembersCost measures the CPU time of a gateway per request, alone and in a fleet of three. Both run all the
// time and are loaded alternately, so that other activity of the machine affects both.
func measureMembersCost(program string, duration time.Duration, rounds int) error {
	const plan = "rate = 1000000.0\nburst = 1000000.0\n"
	pair, stop, err := startRigPair(program,
		rig.Config{Doors: 3, Plan: plan},
		rig.Config{Doors: 3, Fleet: true, Plan: plan})
	if err != nil {
		return err
	}
	defer stop()
	var totals [2]cpuCost
	var ratios []float64
	for round := range rounds {
		var costs [2]cpuCost
		for turn := range pair {
			index := (turn + round) % len(pair) // alternates the order
			costs[index] = floodFirstGateway(pair[index], duration)
			totals[index].cpu += costs[index].cpu
			totals[index].served += costs[index].served
		}
		ratios = append(ratios, costs[1].microsPerRequest()/costs[0].microsPerRequest())
	}
	slices.Sort(ratios)
	alone, fleet := totals[0], totals[1]
	fmt.Printf("alone %.1f us per response (%d), fleet %.1f us (%d): ratio %.3f; "+
		"by round median %.3f, quartiles %.3f and %.3f\n",
		alone.microsPerRequest(), alone.served, fleet.microsPerRequest(), fleet.served,
		fleet.microsPerRequest()/alone.microsPerRequest(),
		ratios[len(ratios)/2], ratios[len(ratios)/4], ratios[len(ratios)*3/4])
	return nil
}

// floodFirstGateway floods the first gateway, as fast as it responds, with four sets of clients.
func floodFirstGateway(gateways *rig.Rig, duration time.Duration) cpuCost {
	gateway := gateways.Doors[0]
	before := gateway.CPU()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	flood := gateways.Flood(ctx, 0, 0, 0, 0, 0)
	return cpuCost{cpu: gateway.CPU() - before, served: len(flood.Served)}
}

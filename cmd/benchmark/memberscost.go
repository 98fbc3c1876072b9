package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

// newMembersCostCommand is the command that measures what a fleet costs.
func newMembersCostCommand(stretches *stretchFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "members-cost GAPGAPD",
		Short: "A door's processor time a request, in a fleet against alone",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return measureMembersCost(args[0], stretches.duration, stretches.rounds)
		},
	}
}

// cpuCost is the CPU time of a gateway and the requests that it served meanwhile.
type cpuCost struct {
	cpu    time.Duration
	served int
}

// microsPerRequest is the CPU time per request, in microseconds.
func (c cpuCost) microsPerRequest() float64 { return c.cpu.Seconds() * 1e6 / float64(c.served) }

// measureMembersCost measures the CPU time of a gateway per request, alone and in a fleet of three. Both run all the
// time, and the load goes from the one to the other and back, so that what the machine does meanwhile falls on both.
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
			index := (turn + round) % len(pair) // whoever goes first changes
			costs[index] = floodFirstGateway(pair[index], duration)
			totals[index].cpu += costs[index].cpu
			totals[index].served += costs[index].served
		}
		ratios = append(ratios, costs[1].microsPerRequest()/costs[0].microsPerRequest())
	}
	slices.Sort(ratios)
	alone, fleet := totals[0], totals[1]
	fmt.Printf("off %.1f us an answer (%d), on %.1f us (%d): %.3f over all; "+
		"by round %.3f in the median, quarters %.3f and %.3f\n",
		alone.microsPerRequest(), alone.served, fleet.microsPerRequest(), fleet.served,
		fleet.microsPerRequest()/alone.microsPerRequest(),
		ratios[len(ratios)/2], ratios[len(ratios)/4], ratios[len(ratios)*3/4])
	return nil
}

// floodFirstGateway floods the first gateway, as fast as it answers, by four sets of clients.
func floodFirstGateway(gateways *rig.Rig, duration time.Duration) cpuCost {
	gateway := gateways.Doors[0]
	before := gateway.CPU()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	flood := gateways.Flood(ctx, 0, 0, 0, 0, 0)
	return cpuCost{cpu: gateway.CPU() - before, served: len(flood.Served)}
}

package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

const (
	// memberFloodDuration is how long the account floods after a fault.
	memberFloodDuration = 12 * time.Second
	// memberSettledAfter is the time that gateways have to settle after a fault.
	memberSettledAfter = 5 * time.Second
	// memberFloodInterval is the pause between a response and the next request of the flood.
	memberFloodInterval = 5 * time.Millisecond
)

// The ceiling of rig.Plan: rate in units per second, and burst in units.
const (
	planCeilingRate  = 10
	planCeilingBurst = 20
)

// memberFault is a fault in a set of gateways that share a ceiling.
type memberFault struct {
	name   string
	inject func(*rig.Rig)
	// flooded has the indexes of the gateways that the account floods.
	flooded []int
}

// memberFaults has the rows of the table.
var memberFaults = []memberFault{
	{
		name:    "all alive",
		inject:  func(*rig.Rig) {},
		flooded: []int{0, 1, 2},
	},
	{
		name:    "one killed, flood at the other two",
		inject:  killLastGateway,
		flooded: []int{0, 1},
	},
	{
		name:    "one stopped, flood at the other two",
		inject:  suspendLastGateway,
		flooded: []int{0, 1},
	},
	{
		name:    "counter gone, all alive",
		inject:  closeCounter,
		flooded: []int{0, 1, 2},
	},
	{
		name:    "counter gone, flood at one door",
		inject:  closeCounter,
		flooded: []int{0},
	},
	{
		name: "counter gone, one door killed",
		inject: func(r *rig.Rig) {
			closeCounter(r)
			killLastGateway(r)
		},
		flooded: []int{0, 1},
	},
	{
		name: "counter gone, one door cut off, flood there",
		inject: func(r *rig.Rig) {
			closeCounter(r)
			partitionLastGateway(r)
		},
		flooded: []int{2},
	},
	{
		name:    "one door cut off, flood there",
		inject:  partitionLastGateway,
		flooded: []int{2},
	},
}

// killLastGateway kills the process of the last of three gateways.
func killLastGateway(r *rig.Rig) { r.Doors[2].Kill() }

// suspendLastGateway suspends the process of the last of three gateways.
func suspendLastGateway(r *rig.Rig) { r.Doors[2].Stop() }

// partitionLastGateway partitions the last of three gateways from the others.
func partitionLastGateway(r *rig.Rig) { r.Split(2) }

// closeCounter stops the counter.
func closeCounter(r *rig.Rig) { r.Counter.Close() }

// membersFlags are the flags of the members command.
type membersFlags struct {
	// isFleet makes the gateways form a fleet.
	isFleet bool
	// fault is the name of the only row to measure; empty means all rows.
	fault string
	// nodeLines has lines for the table [node], and fleetLines for [fleet]. Each combination is measured as a row.
	nodeLines  []string
	fleetLines []string
}

// newMembersCommand returns the command that measures a shared ceiling under faults.
func newMembersCommand() *cobra.Command {
	flags := &membersFlags{}
	command := &cobra.Command{
		Use:   "members GAPGAPD",
		Short: "Measure how much of a ceiling three gateways admit after a crash, a suspension and a partition",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runMembers(args[0], flags)
		},
	}
	command.Flags().BoolVar(&flags.isFleet, "fleet", false, "run the gateways as a fleet")
	command.Flags().StringVar(&flags.fault, "rows", "", "the name of the only fault to measure; by default all")
	command.Flags().StringArrayVar(&flags.nodeLines, "node", []string{`ceilings = "even"`, `ceilings = "demand"`},
		"a line for [node], a run for each")
	command.Flags().StringArrayVar(&flags.fleetLines, "in-fleet", []string{""}, "a line for [fleet], a run for each")
	return command
}

// runMembers prints how much of a ceiling three gateways admit after each fault: in total, and after the time to
// settle.
func runMembers(program string, flags *membersFlags) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	fmt.Println("| fault, right before the flood | settings | served of the ceiling | from 5 s on |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, fault := range memberFaults {
		if flags.fault != "" && flags.fault != fault.name {
			continue
		}
		for _, nodeLine := range flags.nodeLines {
			for _, fleetLine := range flags.fleetLines {
				cfg := rig.Config{
					Program: program,
					Doors:   3,
					Fleet:   flags.isFleet,
					Node:    nodeLine,
					Plan:    rig.Plan,
					InFleet: fleetLine,
				}
				if err := measureMemberFault(cfg, &fault); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measureMemberFault injects a fault, floods the gateways right after it and prints a row of the table.
func measureMemberFault(cfg rig.Config, fault *memberFault) error {
	gateways, stop, err := startRig(cfg)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(rigSettleDuration) // the buckets of an idle fleet fill
	fault.inject(gateways)
	ctx, cancel := context.WithTimeout(context.Background(), memberFloodDuration)
	defer cancel()
	flood := gateways.Flood(ctx, memberFloodInterval, fault.flooded...)
	const (
		allowed        = planCeilingBurst + planCeilingRate*int(memberFloodDuration/time.Second)
		allowedSettled = planCeilingRate * int((memberFloodDuration-memberSettledAfter)/time.Second)
	)
	served := len(flood.Served)
	settled := flood.In(memberSettledAfter, memberFloodDuration)
	fmt.Printf("| %s | %s %s | %d of %d (%.2f) | %d of %d (%.2f) | over %.1f\n", fault.name, cfg.Node, cfg.InFleet,
		served, allowed, float64(served)/float64(allowed),
		settled, allowedSettled, float64(settled)/float64(allowedSettled),
		flood.Worst(planCeilingRate, planCeilingBurst))
	return nil
}

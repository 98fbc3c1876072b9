package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gapgap/internal/fake/rig"
)

const (
	// memberCurveSettleDuration is how long the gateways stay idle before the flood.
	memberCurveSettleDuration = 5 * time.Second
	// memberCurveFaultAt is the time of the fault since the start of the flood.
	memberCurveFaultAt = 3 * time.Second
	// memberCurveDuration is the duration of the flood.
	memberCurveDuration = 15 * time.Second
	// memberCurveFloodInterval is the pause between a response and the next request of the flood.
	memberCurveFloodInterval = 10 * time.Millisecond
	// memberCurveSettledAfter is the time that gateways have to settle after the fault.
	memberCurveSettledAfter = 5 * time.Second
)

// yieldWithoutLease is a line of a plan: a gateway that is cut off from the others keeps no share of the ceiling.
const yieldWithoutLease = "when_cut_off = \"yield\"\n"

// memberCurve is one line of the plot.
type memberCurve struct {
	name    string
	program string
	plan    string
	// isFleet makes the gateways form a fleet.
	isFleet bool
	inject  func(*rig.Rig)
}

// newMembersCurvesCommand returns the command that plots the use of a shared ceiling around faults.
func newMembersCurvesCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "members-curves BEFORE NOW",
		Short: "Plot the same by 100 ms around a crash, a suspension and a partition, for two builds of gapgapd",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return drawMemberCurves(args[0], args[1], file)
		},
	}
	command.Flags().StringVar(&file, "svg", "docs/members.svg", "output `file` of the plot")
	return command
}

// memberCurves returns the lines of the plot for two builds.
func memberCurves(before, now string) []memberCurve {
	plan := rig.Plan
	yield := rig.Plan + yieldWithoutLease
	return []memberCurve{
		{name: "killed, before", program: before, plan: plan, inject: killLastGateway},
		{name: "killed, quota", program: now, plan: plan, isFleet: true, inject: killLastGateway},
		{name: "killed, yield", program: now, plan: yield, isFleet: true, inject: killLastGateway},
		{name: "stopped, before", program: before, plan: plan, inject: suspendLastGateway},
		{name: "stopped, yield", program: now, plan: yield, isFleet: true, inject: suspendLastGateway},
		{name: "cut off, yield", program: now, plan: yield, isFleet: true, inject: partitionLastGateway},
	}
}

// drawMemberCurves plots what three gateways admit around a crash, a suspension and a partition: by the earlier build
// without a fleet, and by the current one with it.
func drawMemberCurves(before, now, file string) error {
	drawing := plot.New()
	drawing.Title.Text = "Units of a ceiling of 10 per second admitted by three gateways, " +
		"one of them killed, stopped or partitioned at 0; no counter"
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "units in total"
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	if err := addAllowedLine(drawing); err != nil {
		return err
	}
	for index, curve := range memberCurves(before, now) {
		points, err := curve.measure()
		if err != nil {
			return err
		}
		if err := addCurve(drawing, curve.name, index, points); err != nil {
			return err
		}
		total := points[len(points)-1].Y
		settled := total - points[(memberCurveFaultAt+memberCurveSettledAfter)/curveStep].Y
		fmt.Printf("%s: total %.0f; from 5 s after it on %.0f of 70 (%.2f)\n", curve.name, total, settled, settled/70)
	}
	return drawing.Save(11*vg.Inch, 6*vg.Inch, file)
}

// addAllowedLine adds the line of the units that the ceiling allows.
func addAllowedLine(drawing *plot.Plot) error {
	start := -memberCurveFaultAt.Seconds()
	end := (memberCurveDuration - memberCurveFaultAt).Seconds()
	line, err := plotter.NewLine(plotter.XYs{
		{X: start, Y: planCeilingBurst},
		{X: end, Y: planCeilingBurst + planCeilingRate*(end-start)},
	})
	if err != nil {
		return err
	}
	line.Dashes = plotutil.Dashes(2)
	drawing.Add(line)
	drawing.Legend.Add("allowed by the ceiling", line)
	return nil
}

// measure floods three gateways without a counter, and returns the total of admitted units, with a point for each
// curveStep. The fault is at second 0.
func (c *memberCurve) measure() (plotter.XYs, error) {
	gateways, stop, err := startRig(rig.Config{
		Program: c.program,
		Doors:   3,
		Fleet:   c.isFleet,
		Plan:    c.plan,
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(memberCurveSettleDuration)
	closeCounter(gateways)
	ctx, cancel := context.WithTimeout(context.Background(), memberCurveDuration)
	defer cancel()
	time.AfterFunc(memberCurveFaultAt, func() { c.inject(gateways) })
	flood := gateways.Flood(ctx, memberCurveFloodInterval, 0, 1, 2)
	var points plotter.XYs
	for at := time.Duration(0); at <= memberCurveDuration; at += curveStep {
		points = append(points, plotter.XY{X: (at - memberCurveFaultAt).Seconds(), Y: float64(flood.In(0, at))})
	}
	return points, nil
}

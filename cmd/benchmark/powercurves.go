package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// newPowerCurvesCommand is the command that draws the service around a loss of power.
func newPowerCurvesCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "power-curves BEFORE NOW",
		Short: "The same by 100 ms, of two builds of gapgapd; draws a plot",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return drawPowerCurves(args[0], args[1], file)
		},
	}
	command.Flags().StringVar(&file, "svg", "docs/power.svg", "the plot's file")
	return command
}

// powerCurve is one line of the plot.
type powerCurve struct {
	name     string
	program  string
	scenario powerScenario
}

// powerCurves are the lines of the plot, of two builds.
func powerCurves(before, now string) []powerCurve {
	oneLoss := powerScenario{
		gateways:      3,
		isFleet:       true,
		losses:        1,
		lossDuration:  500 * time.Millisecond,
		before:        8 * time.Second,
		after:         18 * time.Second,
		changeClients: 8,
		calmAccounts:  20,
	}
	remembering := oneLoss
	remembering.fleetLines = rememberTable
	remembering.classLines = rememberLine
	noLoss := oneLoss
	noLoss.losses = 0
	return []powerCurve{
		{name: "before", program: before, scenario: oneLoss},
		{name: "now", program: now, scenario: oneLoss},
		{name: "now, keys of changes remembered", program: now, scenario: remembering},
		{name: "now, a fleet that lost no power", program: now, scenario: noLoss},
	}
}

// drawPowerCurves draws the service of accounts inside their quotas around a loss of power: by two builds, with and
// without keys that are remembered, and of a fleet that lost no power.
func drawPowerCurves(before, now, file string) error {
	drawing := plot.New()
	drawing.Title.Text = "Requests a second of 20 calm accounts served by three doors; " +
		"doors, flag servers and the counter lose power at -0.5 and have it back at 0"
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "served a second"
	drawing.Y.Min = 0
	for index, curve := range powerCurves(before, now) {
		scenario := &curve.scenario
		result, err := scenario.run(curve.program)
		if err != nil {
			return err
		}
		if scenario.losses == 0 { // drawn at the same place as the others
			result.restoredAt = scenario.before + scenario.lossDuration
		}
		points := result.curve(-4*time.Second, scenario.after-time.Second)
		if err := addCurve(drawing, curve.name, index, points); err != nil {
			return err
		}
		rate := result.rateBefore(scenario)
		fmt.Printf("%s: %.1f a second before; half within %v, 0.95 within %v; %d of %d keys had two effects\n",
			curve.name, rate, result.recoveredAfter(0.5, rate, scenario.after),
			result.recoveredAfter(0.95, rate, scenario.after), result.keysWithTwoEffects, result.keysWithEffect)
	}
	return drawing.Save(11*vg.Inch, 5*vg.Inch, file)
}

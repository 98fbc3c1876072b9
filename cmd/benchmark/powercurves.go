package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// newPowerCurvesCommand returns the command that plots the service around a power loss.
func newPowerCurvesCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "power-curves BEFORE NOW",
		Short: "Plot the same by 100 ms for two builds of gapgapd",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return drawPowerCurves(args[0], args[1], file)
		},
	}
	command.Flags().StringVar(&file, "svg", "docs/power.svg", "output `file` of the plot")
	return command
}

// powerCurve is one line of the plot.
type powerCurve struct {
	name     string
	program  string
	scenario powerScenario
}

// powerCurves returns the lines of the plot for two builds.
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
		{name: "now, keys of changes kept", program: now, scenario: remembering},
		{name: "now, a fleet that lost no power", program: now, scenario: noLoss},
	}
}

// drawPowerCurves plots the service of accounts within their quotas around a power loss: for two builds, with and
// without keeping keys on disk, and for a fleet without a power loss.
func drawPowerCurves(before, now, file string) error {
	drawing := plot.New()
	drawing.Title.Text = "Requests per second of 20 accounts within their quotas served by three gateways; " +
		"gateways, flag servers and the counter lose power at -0.5 and regain it at 0"
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "served per second"
	drawing.Y.Min = 0
	for index, curve := range powerCurves(before, now) {
		scenario := &curve.scenario
		result, err := scenario.run(curve.program)
		if err != nil {
			return err
		}
		if scenario.losses == 0 { // aligned with the other curves
			result.restoredAt = scenario.before + scenario.lossDuration
		}
		points := result.curve(-4*time.Second, scenario.after-time.Second)
		if err := addCurve(drawing, curve.name, index, points); err != nil {
			return err
		}
		rate := result.rateBefore(scenario)
		fmt.Printf("%s: %.1f per second before; half within %v, 0.95 within %v; %d of %d keys had two effects\n",
			curve.name, rate, result.recoveredAfter(0.5, rate, scenario.after),
			result.recoveredAfter(0.95, rate, scenario.after), result.keysWithTwoEffects, result.keysWithEffect)
	}
	return drawing.Save(11*vg.Inch, 5*vg.Inch, file)
}

package main

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curveStep is the time between two points of a curve.
const curveStep = 100 * time.Millisecond

// addCurve adds a line and its name in the legend. index selects its color.
func addCurve(drawing *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Width = vg.Points(1.5)
	drawing.Add(line)
	drawing.Legend.Add(name, line)
	return nil
}

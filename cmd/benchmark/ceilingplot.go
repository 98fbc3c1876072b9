package main

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ceilingBarWidth is the width of a bar in points.
const ceilingBarWidth = 12

// draw writes the bars to a plot file.
func (b *ceilingBars) draw(file string) error {
	drawing := plot.New()
	drawing.Title.Text = "Fraction of a ceiling that is served, by skew of the demand over the gateways"
	drawing.Y.Min = 0
	drawing.Y.Max = 1.1
	drawing.Y.Label.Text = "fraction of the ceiling"
	drawing.Legend.Top = true
	if err := addCeilingBars(drawing, "even shares", 0, b.even); err != nil {
		return err
	}
	if err := addCeilingBars(drawing, "lent", 1, b.leased); err != nil {
		return err
	}
	drawing.NominalX(b.names...)
	drawing.X.Tick.Label.Rotation = math.Pi / 5
	drawing.X.Tick.Label.XAlign = -1
	return drawing.Save(11*vg.Inch, 5*vg.Inch, file)
}

// addCeilingBars adds one bar to each group. index is the bar's position in the group, 0 or 1.
func addCeilingBars(drawing *plot.Plot, name string, index int, values plotter.Values) error {
	bars, err := plotter.NewBarChart(values, vg.Points(ceilingBarWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(index)
	bars.Offset = vg.Points(float64(ceilingBarWidth*index - ceilingBarWidth/2))
	bars.LineStyle.Color = color.Transparent
	drawing.Add(bars)
	drawing.Legend.Add(name, bars)
	return nil
}

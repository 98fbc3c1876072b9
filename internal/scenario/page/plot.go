package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"gapgap/internal/scenario"
)

// Size of a plot.
const (
	plotWidth  = 11 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// Style of the lines that mark the events of the script.
const (
	eventLineGray = 160
	eventLineDash = 3 // in points
)

// curve is one curve of a plot, with one value per second.
type curve struct {
	name  string
	value func(*scenario.Tally) float64
}

// chart describes one plot.
type chart struct {
	title string
	// top is the minimum height of the lines that mark events.
	top    float64
	curves []curve
}

// charts are the plots of a page, from top to bottom.
var charts = []chart{
	{
		title:  "Service: worth answered in time over the worth asked for",
		top:    1.05,
		curves: []curve{{name: "service", value: (*scenario.Tally).Service}},
	},
	{
		title: "Requests by the second in which they were first asked",
		curves: []curve{
			{name: "asked", value: func(t *scenario.Tally) float64 { return float64(t.Requests) }},
			{name: "in time", value: func(t *scenario.Tally) float64 { return float64(t.InTime) }},
			{name: "refused", value: func(t *scenario.Tally) float64 { return float64(t.Rejected) }},
			{name: "failed, late or lost", value: func(t *scenario.Tally) float64 {
				return float64(t.Failed + t.Late + t.Lost)
			}},
		},
	},
	{
		title:  "Requests that flag servers hold",
		curves: []curve{{name: "held", value: func(t *scenario.Tally) float64 { return float64(t.Held) }}},
	},
}

// svg draws the chart of a report, with a vertical line at each event of the script.
func (c *chart) svg(report *scenario.Report) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "second"
	p.Y.Min = 0
	p.Legend.Top = true
	top := c.top
	for i := range c.curves {
		line, highest, err := c.curves[i].line(report)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.curves[i].name, line)
		top = max(top, highest)
	}
	for _, entry := range report.Trace {
		line, err := eventLine(entry, top)
		if err != nil {
			return "", err
		}
		p.Add(line)
	}
	return render(p)
}

// line returns the line of the curve and its highest value, at least 0.
func (c *curve) line(report *scenario.Report) (line *plotter.Line, highest float64, err error) {
	points := make(plotter.XYs, len(report.Seconds))
	for second := range report.Seconds {
		points[second].X = float64(second)
		points[second].Y = c.value(&report.Seconds[second])
		highest = max(highest, points[second].Y)
	}
	line, err = plotter.NewLine(points)
	return line, highest, err
}

// eventLine returns a vertical line, from 0 to top, at the time of a trace entry.
func eventLine(entry string, top float64) (*plotter.Line, error) {
	timestamp, _, _ := strings.Cut(strings.TrimSpace(entry), " ")
	second, err := strconv.ParseFloat(timestamp, 64)
	if err != nil {
		return nil, fmt.Errorf("trace entry %q: %w", entry, err)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: second, Y: 0}, {X: second, Y: top}})
	if err != nil {
		return nil, err
	}
	line.Color = color.Gray{Y: eventLineGray}
	line.Dashes = []vg.Length{vg.Points(eventLineDash), vg.Points(eventLineDash)}
	return line, nil
}

// render returns a plot as an SVG element.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	text := buffer.String()
	if i := strings.Index(text, "<svg"); i > 0 { // the XML declaration is not valid inside HTML
		text = text[i:]
	}
	return template.HTML(text), nil // safe: contains only numbers and constants
}

// Package page writes a rehearsal's report as one HTML page with plots: no script, nothing from outside.
package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
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

const width, height = 11 * vg.Inch, 2.6 * vg.Inch

// line is one curve of a plot.
type line struct {
	name string
	of   func(*scenario.Second) float64
}

// Write writes the page.
func Write(w io.Writer, r *scenario.Report) error {
	var plots []template.HTML
	for _, p := range []struct {
		title string
		most  float64
		lines []line
	}{
		{"Service: worth answered in time over the worth asked for", 1.05, []line{{"service", (*scenario.Second).Service}}},
		{"Requests by the second in which they were first asked", 0, []line{
			{"asked", func(s *scenario.Second) float64 { return float64(s.Asked) }},
			{"in time", func(s *scenario.Second) float64 { return float64(s.Served) }},
			{"refused", func(s *scenario.Second) float64 { return float64(s.Refused) }},
			{"failed, late or lost", func(s *scenario.Second) float64 { return float64(s.Failed + s.Late + s.Lost) }}}},
		{"Requests that flag servers hold", 0, []line{{"held", func(s *scenario.Second) float64 { return float64(s.Queue) }}}},
	} {
		svg, err := drawn(r, p.title, p.most, p.lines)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		plots = append(plots, svg)
	}
	return pageText.Execute(w, map[string]any{"R": r, "Plots": plots})
}

// drawn draws the curves, with a line where the script did something.
func drawn(r *scenario.Report, title string, most float64, lines []line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = title, "second", 0
	top := most
	for i, l := range lines {
		xy := make(plotter.XYs, len(r.Seconds))
		for j := range r.Seconds {
			xy[j].X, xy[j].Y = float64(j), l.of(&r.Seconds[j])
			top = max(top, xy[j].Y)
		}
		c, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		c.Color = plotutil.Color(i)
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	p.Legend.Top = true
	for _, t := range r.Trace {
		at, _, _ := strings.Cut(strings.TrimSpace(t), " ")
		x, err := strconv.ParseFloat(at, 64)
		if err != nil {
			return "", fmt.Errorf("the trace's %q: %w", t, err)
		}
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return "", err
		}
		mark.Color, mark.Dashes = color.Gray{Y: 160}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // what stands before is for a file of its own
		text = text[i:]
	}
	return template.HTML(text), nil // made here of numbers and fixed words
}

var pageText = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Script}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}td,th{padding:.15em .8em;text-align:right}td:first-child,td:nth-child(2){text-align:left}pre{background:#eee;padding:1em;overflow:auto}.broken{color:#a00}</style>
<h1>{{.R.Script}}</h1>
<p>seed {{.R.Seed}}, {{.R.Driver}} time, service {{printf "%.4f" .R.Service}}, {{.R.Calls}} calls to the counter, trace {{.R.Digest}}</p>
{{range .R.Broken}}<p class="broken">Rule broken: {{.}}</p>{{else}}<p>All five rules were kept.</p>{{end}}
{{range .Plots}}<div>{{.}}</div>{{end}}
<table><tr><th><th><th>service<th>asked<th>in time<th>late<th>refused<th>failed<th>lost</tr>
{{range .R.Parts}}<tr><td>{{.Kind}}<td>{{.Name}}<td>{{printf "%.4f" .Totals.Service}}<td>{{.Totals.Asked}}<td>{{.Totals.Served}}<td>{{.Totals.Late}}<td>{{.Totals.Refused}}<td>{{.Totals.Failed}}<td>{{.Totals.Lost}}</tr>
{{end}}</table>
<h2>What the script did</h2><pre>{{range .R.Trace}}{{.}}
{{end}}</pre></html>
`))

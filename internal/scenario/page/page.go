// Package page writes the report of a scenario as one HTML page with plots. The page has no script and loads nothing.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"gapgap/internal/scenario"
)

// content is what the template is executed with.
type content struct {
	Report *scenario.Report
	Plots  []template.HTML
}

// Write writes the page of a report.
func Write(w io.Writer, report *scenario.Report) error {
	var plots []template.HTML
	for i := range charts {
		svg, err := charts[i].svg(report)
		if err != nil {
			return fmt.Errorf("plot %q: %w", charts[i].title, err)
		}
		plots = append(plots, svg)
	}
	return pageTemplate.Execute(w, content{Report: report, Plots: plots})
}

// pageText is the template of the page.
//
//go:embed page.html
var pageText string

// pageTemplate is parsed from pageText.
var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Package page renders the report of a scenario as a self-contained HTML page with plots, without scripts or external
// resources.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"gapgap/internal/scenario"
)

// content is the data passed to the template.
type content struct {
	Report *scenario.Report
	Plots  []template.HTML
}

// Write renders the page of a report.
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

// pageText is the source of the page template.
//
//go:embed page.html
var pageText string

// pageTemplate is the parsed page template.
var pageTemplate = template.Must(template.New("page").Parse(pageText))

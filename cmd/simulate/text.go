package main

import (
	"fmt"
	"strings"
	"time"

	"gapgap/internal/scenario"
)

// reportText formats a report as text. Its column "held" is the number of requests held by all endpoints at the end of
// the second; "lost" counts requests without an answer.
func reportText(report *scenario.Report) string {
	var text strings.Builder
	totals := report.Totals
	fmt.Fprintf(&text, "%s, seed %d, %s: service %.4f\n", report.Script, report.Seed, report.Driver, report.Service)
	fmt.Fprintf(&text, "asked %d: in time %d, late %d, refused %d, failed %d, lost %d; "+
		"%d calls to the counter; %d events in %v; trace %s\n\n",
		totals.Requests, totals.InTime, totals.Late, totals.Rejected, totals.Failed, totals.Lost,
		report.CounterCalls, report.Events, report.Elapsed.Round(time.Millisecond), report.Digest)
	for _, line := range report.Trace {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintln(&text)
	for i := range report.Breakdowns {
		writeBreakdown(&text, &report.Breakdowns[i])
	}
	fmt.Fprintln(&text, "\nsecond  asked in time   late refused failed   lost   held service")
	for second := range report.Seconds {
		writeSecond(&text, second, &report.Seconds[second])
	}
	for _, line := range report.Violations {
		fmt.Fprintln(&text, "RULE BROKEN", line)
	}
	return text.String()
}

// writeBreakdown writes the line of a class, plan or group of accounts.
func writeBreakdown(text *strings.Builder, breakdown *scenario.Breakdown) {
	totals := &breakdown.Totals
	fmt.Fprintf(text, "%-9s%-12s service %.4f: asked %d, in time %d, late %d, refused %d, failed %d, lost %d\n",
		breakdown.Kind, breakdown.Name, totals.Service(), totals.Requests, totals.InTime, totals.Late,
		totals.Rejected, totals.Failed, totals.Lost)
}

// writeSecond writes the table row of a second.
func writeSecond(text *strings.Builder, second int, tally *scenario.Tally) {
	fmt.Fprintf(text, "%6d %6d %7d %6d %7d %6d %6d %6d   %.3f\n",
		second, tally.Requests, tally.InTime, tally.Late, tally.Rejected, tally.Failed, tally.Lost, tally.Held,
		tally.Service())
}

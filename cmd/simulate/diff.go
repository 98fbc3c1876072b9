package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/scenario"
)

// defaultTolerance is the default tolerance for the difference in service, a fraction from 0 to 1.
const defaultTolerance = 0.01

// errNotReport means that a file is not a JSON report.
var errNotReport = errors.New("not a report of simulate run --json")

// newDiffCommand returns the command that compares two reports.
func newDiffCommand() *cobra.Command {
	var tolerance float64
	command := &cobra.Command{
		Use:   "diff A B",
		Short: "Compare two JSON reports; fail if they differ by more than the tolerance",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			first, err := readReport(args[0])
			if err != nil {
				return err
			}
			second, err := readReport(args[1])
			if err != nil {
				return err
			}
			if err := writeComparison(command.OutOrStdout(), first, second); err != nil {
				return err
			}
			return compareReports(first, second, tolerance)
		},
	}
	command.Flags().Float64Var(&tolerance, "within", defaultTolerance, "maximum difference in service")
	return command
}

// readReport reads a JSON report. Errors contain the file name.
func readReport(name string) (*scenario.Report, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	report := &scenario.Report{}
	if err := json.Unmarshal(data, report); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if report.Digest == "" {
		return nil, fmt.Errorf("%s: %w", name, errNotReport)
	}
	return report, nil
}

// writeComparison writes the totals of both reports.
func writeComparison(out io.Writer, first, second *scenario.Report) error {
	a := &first.Totals
	b := &second.Totals
	_, err := fmt.Fprintf(out, "service %.4f and %.4f\n"+
		"refused %d and %d, late %d and %d, failed %d and %d, lost %d and %d\n",
		first.Service, second.Service,
		a.Rejected, b.Rejected, a.Late, b.Late, a.Failed, b.Failed, a.Lost, b.Lost)
	return err
}

// compareReports returns an error if the events of the reports had different times or targets (different scripts, or
// seeds that choose different targets), if the second report has more violations, or if the service differs by more
// than the tolerance.
func compareReports(first, second *scenario.Report, tolerance float64) error {
	difference := math.Abs(first.Service - second.Service)
	switch {
	case first.Digest != second.Digest:
		return fmt.Errorf("the runs had different events: traces %s and %s", first.Digest, second.Digest)
	case len(second.Violations) > len(first.Violations):
		return fmt.Errorf("%d violations in the second report, %d in the first",
			len(second.Violations), len(first.Violations))
	case difference > tolerance:
		return fmt.Errorf("service differs by %.4f, more than the tolerance %.4f", difference, tolerance)
	}
	return nil
}

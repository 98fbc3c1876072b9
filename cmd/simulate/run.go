package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/scenario"
	"gapgap/internal/scenario/page"
)

// runOptions are the flags of the run command.
type runOptions struct {
	// seed overrides the seed of the script if hasSeed is set.
	seed    int64
	hasSeed bool
	// pageFile is the output file for the HTML page; if empty, none is written.
	pageFile string
	asJSON   bool
}

// newRunCommand returns the command that runs a script.
func newRunCommand() *cobra.Command {
	var options runOptions
	command := &cobra.Command{
		Use:   "run SCRIPT",
		Short: "Run a script; fail if a rule is violated",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			options.hasSeed = command.Flags().Changed("seed")
			return runScript(command.OutOrStdout(), args[0], options)
		},
	}
	command.Flags().Int64Var(&options.seed, "seed", 0, "override the seed of the script")
	command.Flags().StringVar(&options.pageFile, "html", "", "write an HTML page with plots to a file")
	command.Flags().BoolVar(&options.asJSON, "json", false, "print the report as JSON, for simulate diff")
	return command
}

// runScript runs a script and writes its report. It also returns an error if a rule was violated.
func runScript(out io.Writer, scriptFile string, options runOptions) error {
	script, err := scenario.Load(scriptFile)
	if err != nil {
		return err
	}
	if options.hasSeed {
		script.Seed = uint64(options.seed)
	}
	report, err := scenario.Run(script)
	if err != nil {
		return err
	}
	if options.pageFile != "" {
		if err := writePage(options.pageFile, report); err != nil {
			return err
		}
	}
	if err := writeReport(out, report, options.asJSON); err != nil {
		return err
	}
	if violations := len(report.Violations); violations > 0 {
		return fmt.Errorf("%d rule violations", violations)
	}
	return nil
}

// writePage writes the HTML page of a report to a file.
func writePage(file string, report *scenario.Report) error {
	var buffer bytes.Buffer
	if err := page.Write(&buffer, report); err != nil {
		return err
	}
	return os.WriteFile(file, buffer.Bytes(), 0o644)
}

// writeReport writes a report as JSON or as text.
func writeReport(out io.Writer, report *scenario.Report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", " ")
		return encoder.Encode(report)
	}
	_, err := io.WriteString(out, reportText(report))
	return err
}

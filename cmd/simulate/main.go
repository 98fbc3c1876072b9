// Command simulate plays incidents that scripts tell, in virtual time, and compares runs. `simulate --help` says what it can do.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/scenario"
	"gapgap/internal/scenario/page"
)

func main() { os.Exit(cli.Run(context.Background(), command(), os.Args[1:], os.Stderr)) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "simulate", Short: "Play scripted incidents against front doors in virtual time"}
	root.AddCommand(run(), diff(), check())
	return root
}

func run() *cobra.Command {
	var seed int64
	var asJSON bool
	var html string
	c := &cobra.Command{Use: "run SCRIPT", Short: "Play a script; it fails if a rule is broken", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = uint64(seed)
			}
			r, err := scenario.Play(s)
			if err != nil {
				return err
			}
			if html != "" {
				var b bytes.Buffer
				if err := page.Write(&b, r); err != nil {
					return err
				}
				if err := os.WriteFile(html, b.Bytes(), 0o644); err != nil {
					return err
				}
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", " ")
				err = e.Encode(r)
			} else {
				text(c.OutOrStdout(), r)
			}
			if err == nil && len(r.Broken) > 0 {
				err = fmt.Errorf("%d rules were broken", len(r.Broken))
			}
			return err
		}}
	c.Flags().Int64Var(&seed, "seed", 0, "a seed in place of the script's")
	c.Flags().StringVar(&html, "html", "", "write a page with plots to a file")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON, for simulate diff")
	return c
}

// text prints a report for people.
func text(w io.Writer, r *scenario.Report) {
	fmt.Fprintf(w, "%s, seed %d, %s: service %.4f\n", r.Script, r.Seed, r.Driver, r.Service)
	t := r.Totals
	fmt.Fprintf(w, "asked %d: in time %d, late %d, refused %d, failed %d, lost %d; %d calls to the counter; %d events in %v; trace %s\n\n",
		t.Asked, t.Served, t.Late, t.Refused, t.Failed, t.Lost, r.Calls, r.Events, r.Took.Round(1e6), r.Digest)
	for _, l := range r.Trace {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w)
	for i := range r.Parts {
		p := &r.Parts[i]
		fmt.Fprintf(w, "%-9s%-12s service %.4f: asked %d, in time %d, late %d, refused %d, failed %d, lost %d\n", p.Kind, p.Name, p.Totals.Service(), p.Totals.Asked,
			p.Totals.Served, p.Totals.Late, p.Totals.Refused, p.Totals.Failed, p.Totals.Lost)
	}
	fmt.Fprintln(w, "\nsecond  asked in time   late refused failed   lost   held service")
	for i, s := range r.Seconds {
		fmt.Fprintf(w, "%6d %6d %7d %6d %7d %6d %6d %6d   %.3f\n", i, s.Asked, s.Served, s.Late, s.Refused, s.Failed, s.Lost, s.Queue, s.Service())
	}
	for _, l := range r.Broken {
		fmt.Fprintln(w, "RULE BROKEN", l)
	}
}

func diff() *cobra.Command {
	var within float64
	c := &cobra.Command{Use: "diff A B", Short: "Compare two reports in JSON; it fails past the tolerance", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var all [2]scenario.Report
			for i, name := range args {
				data, err := os.ReadFile(name)
				if err == nil {
					err = json.Unmarshal(data, &all[i])
				}
				if err == nil && all[i].Digest == "" {
					err = errors.New("is no report of simulate run --json")
				}
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			a, b := &all[0], &all[1]
			out := c.OutOrStdout()
			fmt.Fprintf(out, "service %.4f and %.4f\n", a.Service, b.Service)
			fmt.Fprintf(out, "refused %d and %d, late %d and %d, failed %d and %d, lost %d and %d\n", a.Totals.Refused, b.Totals.Refused, a.Totals.Late, b.Totals.Late,
				a.Totals.Failed, b.Totals.Failed, a.Totals.Lost, b.Totals.Lost)
			switch {
			case a.Digest != b.Digest:
				return fmt.Errorf("the scripts did other things: traces %s and %s", a.Digest, b.Digest)
			case len(b.Broken) > len(a.Broken):
				return fmt.Errorf("the second breaks %d rules, the first %d", len(b.Broken), len(a.Broken))
			case math.Abs(a.Service-b.Service) > within:
				return fmt.Errorf("service differs by %.4f, over %.4f", math.Abs(a.Service-b.Service), within)
			}
			return nil
		}}
	c.Flags().Float64Var(&within, "within", 0.01, "by how much service may differ")
	return c
}

func check() *cobra.Command {
	return &cobra.Command{Use: "check SCRIPT", Short: "Say what is wrong with a script, without playing it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := scenario.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
			return nil
		}}
}

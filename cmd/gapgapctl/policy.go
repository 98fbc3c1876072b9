package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/policy"
	"gapgap/internal/service/hosted"
)

// policyClient has the flags that all policy commands share.
type policyClient struct {
	controlSocket
	// asJSON selects JSON output instead of text.
	asJSON bool
}

// newPolicyCommand returns the command group for the policy that all gateways of a fleet share.
func newPolicyCommand() *cobra.Command {
	client := &policyClient{}
	command := &cobra.Command{Use: "policy", Short: "Inspect and change the policy shared by a fleet of gateways"}
	client.addFlag(command)
	command.PersistentFlags().BoolVar(&client.asJSON, "json", false, "print JSON")
	command.AddCommand(
		newReplaceVoterCommand(client),
		newShowCommand(client),
		newDiffCommand(client),
		newProposeCommand(client),
		newPolicyStatusCommand(client),
		newHistoryCommand(client),
		newRevertCommand(client),
		newPolicyForgetCommand(client),
	)
	return command
}

// document returns the policy document of a version, given in decimal; empty means the current version.
func (p *policyClient) document(ctx context.Context, version string) ([]byte, error) {
	return p.get(ctx, "/policy/show?version="+url.QueryEscape(version))
}

// newShowCommand returns the command that prints a policy document.
func newShowCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Print the policy of the current or a given version",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			version := ""
			if len(args) > 0 {
				version = args[0]
			}
			document, err := client.document(c.Context(), version)
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(document)
			return err
		},
	}
}

// newDiffCommand returns the command that compares a file with the current policy.
func newDiffCommand(client *policyClient) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Print the differences between the current policy and a file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			next, err := readPolicyFile(file)
			if err != nil {
				return err
			}
			present, err := client.document(c.Context(), "")
			if err != nil {
				return err
			}
			return difflib.WriteUnifiedDiff(c.OutOrStdout(), difflib.UnifiedDiff{
				A:        difflib.SplitLines(string(present)),
				B:        difflib.SplitLines(string(next)),
				FromFile: "present",
				ToFile:   file,
				Context:  3,
			})
		},
	}
	addPolicyFileFlag(command, &file)
	return command
}

// addPolicyFileFlag adds the flag for the policy file to a command.
func addPolicyFileFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "file", "f", "", "the policy `file`; - for standard input")
}

// readPolicyFile reads a policy from a file, or from standard input if its name is "-".
func readPolicyFile(file string) ([]byte, error) {
	switch file {
	case "":
		return nil, &cli.Error{Code: cli.Misused, Err: errors.New("--file is missing")}
	case "-":
		return io.ReadAll(io.LimitReader(os.Stdin, policy.MaxDocumentBytes+1))
	}
	return os.ReadFile(file)
}

// newReplaceVoterCommand returns the command that readmits a voter with a new, empty disk.
func newReplaceVoterCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "replace-voter NAME",
		Short: "Readmit a voter whose disk was permanently lost, with a new, empty disk",
		Args:  cobra.ExactArgs(1),
		Long: "Readmit a voter whose disk was permanently lost, with a new, empty disk. " +
			"The voter's process must be running, and a majority of the voters\n" +
			"must answer. Only one voter is replaced at a time; repeat the command to see whether it is done.",
		RunE: func(c *cobra.Command, args []string) error {
			return client.post(c.Context(), "/policy/voter?name="+url.QueryEscape(args[0]))
		},
	}
}

// newPolicyForgetCommand returns the command that excludes a gateway from those that changes wait for.
func newPolicyForgetCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "forget NAME",
		Short: "Stop changes from waiting for a gateway that is known to be down",
		Args:  cobra.ExactArgs(1),
		Long: "Stop changes from waiting for a gateway that is known to be down. " +
			"One that is only unreachable may still decide by an old version, which then\n" +
			"breaks the guarantee. A gateway that is still heard from is not forgotten; one that returns joins again.",
		RunE: func(c *cobra.Command, args []string) error {
			return client.post(c.Context(), "/policy/forget?name="+url.QueryEscape(args[0]))
		},
	}
}

// newPolicyStatusCommand returns the command that prints a gateway's policy version, or the outcome of one change.
func newPolicyStatusCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "status [ID]",
		Short: "Print the gateway's policy version and the pending change, or the outcome of one change",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				var result hosted.PolicyResult
				err := client.getJSON(c.Context(), "/policy/change?id="+url.QueryEscape(args[0]), &result)
				if err != nil {
					return err
				}
				return printResult(c.OutOrStdout(), client.asJSON, &result)
			}
			var status hosted.PolicyStatus
			if err := client.getJSON(c.Context(), "/policy/status", &status); err != nil {
				return err
			}
			if client.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(&status)
			}
			return printPolicyStatus(c.OutOrStdout(), &status)
		},
	}
}

// printPolicyStatus writes a gateway's policy version and the state of the voters as text.
func printPolicyStatus(out io.Writer, status *hosted.PolicyStatus) error {
	rows := newTable(out)
	rows.row("door", status.Name)
	rows.row("goes by", versionText(status.Version))
	rows.row("decides", status.Decides)
	if status.Current == nil {
		rows.row("present", "not known: no majority of the voters answers")
		return rows.flush()
	}
	rows.row("present", versionText(*status.Current))
	rows.row("mode", status.Mode)
	rows.row("leader", status.Leader)
	rows.row("may decide", strings.Join(status.Participants, " "))
	if pending := status.Pending; pending != nil {
		rows.row("change", fmt.Sprintf("%s by %s, %s", pending.ID, pending.Author, pending.Mode))
		rows.row("waits", status.WaitingFor)
	}
	return rows.flush()
}

// versionText returns a version's number and the first digits of its hash.
func versionText(version policy.Version) string {
	const hashDigits = 12
	return fmt.Sprintf("version %d, %s", version.Number, version.Hash.String()[:hashDigits])
}

// newHistoryCommand returns the command that prints earlier changes.
func newHistoryCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Print earlier changes of the policy with author, time and outcome",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var outcomes []policy.Outcome
			if err := client.getJSON(c.Context(), "/policy/history", &outcomes); err != nil {
				return err
			}
			if client.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(outcomes)
			}
			return printHistory(c.OutOrStdout(), outcomes)
		},
	}
}

// printHistory writes the outcomes of changes as text, the most recent one first.
func printHistory(out io.Writer, outcomes []policy.Outcome) error {
	rows := newTable(out)
	rows.row("VERSION", "ID", "WHO", "WHEN", "MODE", "LOCKED", "FENCED", "SWITCHED WITHIN", "WHAT")
	for _, outcome := range slices.Backward(outcomes) {
		version := "-"
		result := "dropped: " + outcome.Reason
		if outcome.Committed {
			version = strconv.FormatUint(outcome.Version, 10)
			result = "taken"
		}
		if outcome.Change.Note != "" {
			result += " (" + outcome.Change.Note + ")"
		}
		decidedAt := time.UnixMilli(outcome.DecidedAt).UTC().Format(time.DateTime)
		rows.row(version, outcome.Change.ID, outcome.Change.Author, decidedAt, outcome.Change.Mode,
			len(outcome.Locked), len(outcome.Fenced), switchedWithin(outcome.SwitchedAt), result)
	}
	return rows.flush()
}

// switchedWithin returns a table cell with the time from the first gateway's switch to the last one's, or an empty one
// if no gateway has switched. The times are in Unix milliseconds.
func switchedWithin(switchedAt map[uint16]int64) string {
	if len(switchedAt) == 0 {
		return ""
	}
	first, last := int64(0), int64(0)
	for _, at := range switchedAt {
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
	}
	return fmt.Sprintf("%d ms, %d doors", last-first, len(switchedAt))
}

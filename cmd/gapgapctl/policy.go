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

// policyClient is what the commands on the policy have in common.
type policyClient struct {
	controlSocket
	// asJSON prints JSON in place of text.
	asJSON bool
}

// newPolicyCommand is the command for the policy that all gateways have in common.
func newPolicyCommand() *cobra.Command {
	client := &policyClient{}
	command := &cobra.Command{Use: "policy", Short: "The one policy of a fleet of front doors"}
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

// document reads the policy of a version, given as digits; empty: of the present one.
func (p *policyClient) document(ctx context.Context, version string) ([]byte, error) {
	return p.get(ctx, "/policy/show?version="+url.QueryEscape(version))
}

// newShowCommand is the command that prints a policy.
func newShowCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Print the present policy, or that of a version",
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

// newDiffCommand is the command that compares a file with the present policy.
func newDiffCommand(client *policyClient) *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Say what a file would change of the present policy",
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

// addPolicyFileFlag adds the flag for a policy's file to a command.
func addPolicyFileFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "file", "f", "", "the policy's `file`; - for standard input")
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

// newReplaceVoterCommand is the command that takes in a voter's new, empty disk.
func newReplaceVoterCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "replace-voter NAME",
		Short: "Have a voter whose disk was lost for good vote again with its new, empty one",
		Args:  cobra.ExactArgs(1),
		Long: "Have a voter whose disk was lost for good vote again with its new, empty one. " +
			"The voter's process must run, and a majority of the voters\n" +
			"must answer. Only one is replaced at a time; asked again, it says whether it is done.",
		RunE: func(c *cobra.Command, args []string) error {
			return client.post(c.Context(), "/policy/voter?name="+url.QueryEscape(args[0]))
		},
	}
}

// newPolicyForgetCommand is the command that has changes not wait for a gateway.
func newPolicyForgetCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "forget NAME",
		Short: "Have changes not wait for a front door that is known to be off",
		Args:  cobra.ExactArgs(1),
		Long: "Have changes not wait for a front door that is known to be off. " +
			"One that only can't be reached may still decide by an old version: then this\n" +
			"breaks the promise. A door that is heard of is not forgotten; one that comes back joins again.",
		RunE: func(c *cobra.Command, args []string) error {
			return client.post(c.Context(), "/policy/forget?name="+url.QueryEscape(args[0]))
		},
	}
}

// newPolicyStatusCommand is the command that prints a gateway's version, or the outcome of one change.
func newPolicyStatusCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "status [ID]",
		Short: "Say by which version the door goes, and what is being decided; or what became of a change",
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

// printPolicyStatus writes for people by which version a gateway decides, and what the voters decide.
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

// versionText is a version's number and the first digits of its hash.
func versionText(version policy.Version) string {
	const hashDigits = 12
	return fmt.Sprintf("version %d, %s", version.Number, version.Hash.String()[:hashDigits])
}

// newHistoryCommand is the command that prints earlier changes.
func newHistoryCommand(client *policyClient) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "Say who changed the policy when, and what became of it",
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

// printHistory writes the outcomes of changes for people to read, the last one first.
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

// switchedWithin is the time from the first gateway's switch to the last one's, as one cell of a table. The times are
// in Unix milliseconds; it is empty if no gateway has switched.
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

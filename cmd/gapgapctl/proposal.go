package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/policy"
	"gapgap/internal/service/hosted"
)

// Exit codes of policy propose, revert and status, in addition to those of package cli. A committed change gives
// cli.Good.
const (
	// exitAborted means that the change was aborted.
	exitAborted = 4
	// exitUnknown means that the gateway does not know the outcome yet. It can be queried later with policy status and
	// the change's id.
	exitUnknown = 5
)

// proposalIDBytes is the number of random bytes in a generated id.
const proposalIDBytes = 8

// proposal is a change of the policy as described by the flags of propose and revert.
type proposal struct {
	// id is the change's id; empty means a random one.
	id string
	// mode is the fleet's policy mode from this change on; empty keeps the current one.
	mode string
	// base is the version that the change is based on; empty means the current one.
	base string
	// note is recorded in the history.
	note string
	// wait is how long to wait for the outcome.
	wait time.Duration
}

// addFlags adds the flags to a command.
func (p *proposal) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&p.id, "id", "", "the change's `id`, for later queries; by default a random one, which is printed")
	flags.StringVar(&p.mode, "mode", "", "wait or fence; by default the fleet's current mode")
	flags.StringVar(&p.base, "base", "", "the `version` that the change is based on; by default the current one")
	flags.StringVar(&p.note, "note", "", "a note for the history")
	flags.DurationVar(&p.wait, "wait", time.Minute, "how long to wait for the outcome")
}

// send proposes a document and prints the outcome. The error is a *[cli.Error] if the change is not committed. If the
// gateway does not answer within the time to wait plus callTimeout, the error is that of [controlSocket.call], and the
// change may still be committed; policy status with its id shows the outcome.
func (p *proposal) send(command *cobra.Command, client *policyClient, document []byte) error {
	if p.id == "" {
		var random [proposalIDBytes]byte
		rand.Read(random[:])
		p.id = hex.EncodeToString(random[:])
	}
	path := "/policy/propose?" + p.query().Encode()
	timeout := p.wait + callTimeout
	answer, err := client.call(command.Context(), http.MethodPost, path, bytes.NewReader(document), timeout)
	if err != nil {
		return err
	}
	var result hosted.PolicyResult
	if err := decodeAnswer(answer, &result); err != nil {
		return err
	}
	return printResult(command.OutOrStdout(), client.asJSON, &result)
}

// query returns the proposal as URL query parameters.
func (p *proposal) query() url.Values {
	query := url.Values{"id": {p.id}, "wait": {p.wait.String()}}
	optional := map[string]string{
		"mode": p.mode,
		"base": p.base,
		"note": p.note,
	}
	for name, value := range optional {
		if value != "" {
			query.Set(name, value)
		}
	}
	if name, isKnown := operatorName(); isKnown {
		query.Set("who", name[:min(len(name), policy.MaxIDBytes)])
	}
	return query
}

// newProposeCommand returns the command that proposes a policy.
func newProposeCommand(client *policyClient) *cobra.Command {
	var change proposal
	var file string
	command := &cobra.Command{
		Use:   "propose -f FILE",
		Short: "Apply a policy at all gateways or at none",
		Args:  cobra.NoArgs,
		Long: "Apply a policy at all gateways or at none. " +
			"Exit code 0: it was taken; 4: it was dropped, and the reason is printed; 5: the outcome is not known\n" +
			"yet, repeat the command with the same --id (a change with the same id is never applied twice).",
		RunE: func(c *cobra.Command, _ []string) error {
			document, err := readPolicyFile(file)
			if err != nil {
				return err
			}
			return change.send(c, client, document)
		},
	}
	change.addFlags(command)
	addPolicyFileFlag(command, &file)
	return command
}

// newRevertCommand returns the command that proposes the policy of an earlier version.
func newRevertCommand(client *policyClient) *cobra.Command {
	var change proposal
	var version uint64
	command := &cobra.Command{
		Use:   "revert --to VERSION",
		Short: "Propose the policy of an earlier version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if version == 0 {
				return &cli.Error{Code: cli.Misused, Err: errors.New("--to is missing")}
			}
			document, err := client.document(c.Context(), strconv.FormatUint(version, 10))
			if err != nil {
				return err
			}
			if change.note == "" {
				change.note = fmt.Sprintf("back to version %d", version)
			}
			return change.send(c, client, document)
		},
	}
	change.addFlags(command)
	command.Flags().Uint64Var(&version, "to", 0, "the `version`")
	return command
}

// printResult prints the outcome of a change. If the change is not committed the error is a *[cli.Error] with the code
// exitAborted or exitUnknown.
func printResult(out io.Writer, asJSON bool, result *hosted.PolicyResult) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return err
		}
	}
	switch {
	case result.Known && result.Committed:
		if asJSON {
			return nil
		}
		_, err := fmt.Fprintf(out, "%s: taken, version %d\n", result.ID, result.Version)
		return err
	case result.Known:
		return &cli.Error{Code: exitAborted, Err: fmt.Errorf("%s: dropped: %s", result.ID, result.Reason)}
	case result.WaitingFor != "":
		err := fmt.Errorf("%s: not known yet; waiting: %s", result.ID, result.WaitingFor)
		return &cli.Error{Code: exitUnknown, Err: err}
	}
	return &cli.Error{Code: exitUnknown, Err: fmt.Errorf("%s: not known yet, or no such change", result.ID)}
}

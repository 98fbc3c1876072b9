package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/peer"
	"gapgap/internal/recovery"
	"gapgap/internal/service/hosted"
)

// recoveryReport is the output of fleet recovery --json.
type recoveryReport struct {
	hosted.RecoveryView
	// Others has the recovery state of each other gateway by name.
	Others map[string]string `json:"others"`

	// fleet has all gateways in the order in which they are printed.
	fleet peer.View
}

// newFleetRecoveryCommand returns the command that prints the progress of the gateways' recovery after a start.
func newFleetRecoveryCommand(socket *controlSocket) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "recovery",
		Short: "Print the recovery progress of the gateway and the others after a start, " +
			"what they wait for and which state was trusted",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := readRecovery(c, socket)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(report)
			}
			return report.print(c.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// readRecovery reads the recovery progress of all gateways from one of them.
func readRecovery(command *cobra.Command, socket *controlSocket) (*recoveryReport, error) {
	own, err := socket.get(command.Context(), "/fleet/recovery")
	if err != nil {
		return nil, err
	}
	fleet, err := socket.get(command.Context(), "/fleet/status")
	if err != nil {
		return nil, err
	}
	report := &recoveryReport{Others: map[string]string{}}
	err = errors.Join(json.Unmarshal(own, &report.RecoveryView), json.Unmarshal(fleet, &report.fleet))
	if err != nil {
		return nil, fmt.Errorf("decoding the gateway's response: %w", err)
	}
	for _, member := range report.fleet.Gateways {
		if member.Name != report.Name {
			report.Others[member.Name] = cmp.Or(member.Recovery, "does not answer; it is "+member.State)
		}
	}
	return report, nil
}

// print writes the report as text.
func (r *recoveryReport) print(out io.Writer) error {
	steps := newTable(out)
	steps.row("STEP", "IS", "AFTER", "WHAT")
	for _, step := range r.Steps {
		after := ""
		if step.State != recovery.StatePending {
			after = step.Since.Round(time.Millisecond).String()
		}
		steps.row(step.Step, step.State, after, step.Detail)
	}
	steps.row("", "", "", "")
	steps.row("DOOR", "IS AT", "", "")
	for _, member := range r.fleet.Gateways {
		if member.Name != r.Name {
			steps.row(member.Name, r.Others[member.Name], "", "")
		}
	}
	if err := steps.flush(); err != nil {
		return err
	}
	for _, line := range r.Trusted {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// newFleetRecoverCommand returns the command that restores the policy from one voter's disk after a majority of the
// voters' disks was lost.
func newFleetRecoverCommand(socket *controlSocket) *cobra.Command {
	var acceptLoss bool
	var lost []string
	command := &cobra.Command{
		Use: "recover --accept-loss [--lost NAME]...",
		Short: "Restore the fleet's policy from one voter's disk " +
			"if a majority of the voters' disks is permanently lost",
		Long: "Restore the fleet's policy from the disk of the voter at the socket " +
			"if a majority of the voters' disks is permanently lost. Changes known only\n" +
			"to the lost voters are gone; the version increases by 1000, and policy history records the recovery. " +
			"The command is rejected while a majority may still\n" +
			"return: voters that run with an empty disk report that themselves; name others with --lost, " +
			"but only if their disks are known to be gone. Afterwards\n" +
			"start each of the other voters with an empty disk and readmit it with policy replace-voter.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !acceptLoss {
				return &cli.Error{
					Code: cli.Misused,
					Err: errors.New("--accept-loss is missing: " +
						"changes known only to the lost voters are permanently lost"),
				}
			}
			query := url.Values{"lost": lost}
			if name, isKnown := operatorName(); isKnown {
				query.Set("who", name)
			}
			return socket.post(c.Context(), "/policy/recover?"+query.Encode())
		},
	}
	flags := command.Flags()
	flags.BoolVar(&acceptLoss, "accept-loss", false, "accept that changes known only to the lost voters are lost")
	flags.StringArrayVar(&lost, "lost", nil, "the `name` of a voter whose disk is known to be gone")
	return command
}

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

// recoveryReport is the form of fleet recovery --json.
type recoveryReport struct {
	hosted.RecoveryView
	// Others is what each other gateway is at, by name.
	Others map[string]string `json:"others"`

	// fleet has all gateways in their order.
	fleet peer.View
}

// newFleetRecoveryCommand is the command that prints how far the gateways have come after a start.
func newFleetRecoveryCommand(socket *controlSocket) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "recovery",
		Short: "Say how far the door and the others have come after a start, " +
			"what they wait for and what was trusted",
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

// readRecovery reads from a gateway how far it and the others have come.
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
		return nil, fmt.Errorf("the door's answer: %w", err)
	}
	for _, member := range report.fleet.Gateways {
		if member.Name != report.Name {
			report.Others[member.Name] = cmp.Or(member.Recovery, "does not answer; it is "+member.State)
		}
	}
	return report, nil
}

// print writes the report for people to read.
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

// newFleetRecoverCommand is the command that has one voter's disk stand for a lost majority.
func newFleetRecoverCommand(socket *controlSocket) *cobra.Command {
	var acceptLoss bool
	var lost []string
	command := &cobra.Command{
		Use: "recover --accept-loss [--lost NAME]...",
		Short: "Have the fleet's policy go on by one voter's disk " +
			"where a majority of the voters' disks is lost for good",
		Long: "Have the fleet's policy go on by the disk of the voter behind the socket " +
			"where a majority of the voters' disks is lost for good. Changes that only\n" +
			"the lost ones knew of are gone; the version goes up by 1000, and the record stands in policy history. " +
			"It is refused as long as a majority may still\n" +
			"come: voters that run with an empty disk say so themselves, others are named by --lost, " +
			"and only if their disks are known to be gone. Afterwards\n" +
			"each of the other voters is started with an empty disk and taken in by policy replace-voter.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !acceptLoss {
				return &cli.Error{
					Code: cli.Misused,
					Err: errors.New("--accept-loss is missing: " +
						"changes that only the lost voters knew of are gone for good"),
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
	flags.BoolVar(&acceptLoss, "accept-loss", false, "changes that only the lost voters knew of may be lost")
	flags.StringArrayVar(&lost, "lost", nil, "the `name` of a voter whose disk is known to be gone")
	return command
}

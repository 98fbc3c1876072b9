package main

import (
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/peer"
)

// newFleetCommand is the command for the gateways that know each other.
func newFleetCommand() *cobra.Command {
	socket := &controlSocket{}
	command := &cobra.Command{Use: "fleet", Short: "The front doors that a front door knows"}
	socket.addFlag(command)
	command.AddCommand(
		newFleetStatusCommand(socket),
		newFleetLeaveCommand(socket),
		newFleetForgetCommand(socket),
		newFleetRecoveryCommand(socket),
		newFleetRecoverCommand(socket),
	)
	return command
}

// newFleetStatusCommand is the command that prints how the gateways see each other.
func newFleetStatusCommand(socket *controlSocket) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Say which doors there are, as each door sees it",
		Args:  cobra.NoArgs,
		Long: "Say how the door behind the socket sees each door of its fleet, " +
			"and how those that answer within a moment see it.\n" +
			"A line with DISAGREE has doors that take it to be there and doors that do not.",
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := socket.get(c.Context(), "/fleet/status")
			if err != nil {
				return err
			}
			var view peer.View
			if err := decodeAnswer(answer, &view); err != nil {
				return err
			}
			if asJSON {
				_, err := c.OutOrStdout().Write(answer)
				return err
			}
			return printFleetView(c.OutOrStdout(), &view, time.Now())
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// newFleetLeaveCommand is the command that has a gateway leave the others.
func newFleetLeaveCommand(socket *controlSocket) *cobra.Command {
	return &cobra.Command{
		Use:   "leave",
		Short: "Have the door give its share to the others and take none until it is started again",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return socket.post(c.Context(), "/fleet/leave")
		},
	}
}

// newFleetForgetCommand is the command that has a gateway take another one as gone for good.
func newFleetForgetCommand(socket *controlSocket) *cobra.Command {
	return &cobra.Command{
		Use:   "forget NAME",
		Short: "Have the door take another one, that does not serve, as gone for good",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return socket.post(c.Context(), "/fleet/forget?name="+url.QueryEscape(args[0]))
		},
	}
}

// printFleetView writes for people how the gateways of a fleet see each other. now is wall time.
func printFleetView(out io.Writer, view *peer.View, now time.Time) error {
	gateways := newTable(out)
	gateways.row("DOOR", "STATE", "FOR", "INCARNATION", "PART", "SEEN AS", "CAUSE")
	for _, member := range view.Gateways {
		fraction := "?"
		if member.Fraction != nil {
			fraction = fmt.Sprintf("%.3f", *member.Fraction)
		}
		inState := now.Sub(member.Since).Round(time.Second)
		gateways.row(member.Name, member.State, inState, member.Incarnation, fraction, seenBy(&member), member.Cause)
	}
	if err := gateways.flush(); err != nil {
		return err
	}
	return printFleetWarnings(out, view)
}

// seenBy counts by state how the gateways that have answered see one of them, as one cell of a table.
func seenBy(member *peer.Member) string {
	counts := map[string]int{}
	for _, state := range member.SeenBy {
		counts[state]++
	}
	var parts []string
	for _, state := range []string{"alive", "returned", "joining", "suspect", "dead", "left", "absent", "unknown"} {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%s by %d", state, counts[state]))
		}
	}
	if member.Disagree {
		parts = append(parts, "DISAGREE")
	}
	return strings.Join(parts, ", ")
}

// printFleetWarnings writes why the gateway that was asked takes no share, if that is so.
func printFleetWarnings(out io.Writer, view *peer.View) error {
	if view.WrongClock {
		_, err := fmt.Fprintf(out, "the clock of %s is not the others': it asks the counter for nothing "+
			"and takes no share of ceilings; set it and start the door anew\n", view.Name)
		if err != nil {
			return err
		}
	}
	if view.HasDuplicate {
		_, err := fmt.Fprintf(out, "another process has the name %s and goes before this one, which takes no share\n",
			view.Name)
		if err != nil {
			return err
		}
	}
	return nil
}

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

// newFleetCommand returns the command group for a fleet of gateways.
func newFleetCommand() *cobra.Command {
	socket := &controlSocket{}
	command := &cobra.Command{Use: "fleet", Short: "Inspect and manage the gateways of a fleet"}
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

// newFleetStatusCommand returns the command that prints the state of each gateway as the others see it.
func newFleetStatusCommand(socket *controlSocket) *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Print the gateways of the fleet and how each one sees the others",
		Args:  cobra.NoArgs,
		Long: "Print how the gateway at the socket sees each gateway of its fleet, " +
			"and how those that answer within a short time see it.\n" +
			"DISAGREE marks a gateway that some gateways see as present and others do not.",
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

// newFleetLeaveCommand returns the command that makes a gateway leave the fleet.
func newFleetLeaveCommand(socket *controlSocket) *cobra.Command {
	return &cobra.Command{
		Use:   "leave",
		Short: "Make the gateway hand its share to the others and take none until it is restarted",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return socket.post(c.Context(), "/fleet/leave")
		},
	}
}

// newFleetForgetCommand returns the command that makes a gateway treat another one as permanently gone.
func newFleetForgetCommand(socket *controlSocket) *cobra.Command {
	return &cobra.Command{
		Use:   "forget NAME",
		Short: "Make the gateway treat another one, which is not running, as permanently gone",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return socket.post(c.Context(), "/fleet/forget?name="+url.QueryEscape(args[0]))
		},
	}
}

// printFleetView writes as text how the gateways of a fleet see each other. now is wall time.
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

// seenBy returns a table cell with the number of gateways that see the member in each state.
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

// printFleetWarnings writes the reasons why the queried gateway takes no share, if there are any.
func printFleetWarnings(out io.Writer, view *peer.View) error {
	if view.WrongClock {
		_, err := fmt.Fprintf(out, "the clock of %s differs from the others': it makes no counter calls "+
			"and takes no share of ceilings; set it and restart the gateway\n", view.Name)
		if err != nil {
			return err
		}
	}
	if view.HasDuplicate {
		_, err := fmt.Fprintf(out, "another process has the name %s and takes precedence; this one takes no share\n",
			view.Name)
		if err != nil {
			return err
		}
	}
	return nil
}

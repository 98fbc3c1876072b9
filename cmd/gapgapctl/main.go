// Command gapgapctl is the operators' command line for gapgapd. `gapgapctl --help` says what it can do. The commands of
// fleet and policy call one gateway at its control socket; those of route only read a configuration file.
//
// The exit codes are those of the package cli; policy propose, revert and status have two more. If no gateway answers,
// a command does not try again: without a socket at the path it exits with 3, if the connection is refused or the call
// times out (5 s, for a proposal beyond the time it waits) with 1.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }

// newCommand is the whole command line.
func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "gapgapctl", Short: "Operate gapgap"}
	root.AddCommand(newRouteCommand(), newFleetCommand(), newPolicyCommand())
	return root
}

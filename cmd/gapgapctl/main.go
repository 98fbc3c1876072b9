// Command gapgapctl is the command line for operators of gapgapd; `gapgapctl --help` lists its commands. Those of fleet
// and policy call one gateway at its control socket; those of route only read a configuration file.
//
// The exit codes are those of package cli; policy propose, revert and status have two more. Commands don't retry. If
// there is no socket at the path the exit code is 3; if the connection is refused or the call times out, it is 1. The
// timeout is 5 s; for a proposal the time to wait for the outcome is added.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }

// newCommand returns the root command of gapgapctl.
func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "gapgapctl", Short: "Operate gapgap"}
	root.AddCommand(newRouteCommand(), newFleetCommand(), newPolicyCommand())
	return root
}

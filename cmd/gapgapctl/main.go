// Command gapgapctl is the operators' command line. `gapgapctl --help` says what it can do.
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

// Command simulate plays scripted incidents in virtual time, and compares runs. `simulate --help` lists its commands.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newRootCommand(), os.Args[1:], os.Stderr)) }

// newRootCommand returns the command line of the program.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "simulate",
		Short: "Play scripted incidents against front doors in virtual time",
	}
	root.AddCommand(newRunCommand(), newDiffCommand(), newCheckCommand())
	return root
}

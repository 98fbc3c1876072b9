// Command simulate plays scripted incidents in virtual time, and compares runs. `simulate --help` lists its commands.
//
//	simulate check SCRIPT
//	    whether a script is valid
//	simulate run [--seed N] [--json] [--html FILE] SCRIPT
//	    play it; exit code 1 if a rule was broken
//	simulate diff [--within 0.01] A B
//	    compare two reports of run --json; exit code 1 if they differ past the tolerance
//
// The directory scenarios has scripts. The package internal/scenario documents their keys, in scriptfile.go and
// event.go.
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

// Command simulate runs scripted incidents in virtual time and compares the results. `simulate --help` lists its
// commands.
//
//	simulate check SCRIPT
//	    check a script without running it
//	simulate run [--seed N] [--json] [--html FILE] SCRIPT
//	    run a script; exit code 1 if a rule is violated
//	simulate diff [--within 0.01] A B
//	    compare two reports of run --json; exit code 1 if they differ by more than the tolerance
//
// The directory scenarios contains scripts. The package internal/scenario documents their keys, in scriptfile.go and
// event.go.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

func main() { os.Exit(cli.Run(context.Background(), newRootCommand(), os.Args[1:], os.Stderr)) }

// newRootCommand returns the root command.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "simulate",
		Short: "Run scripted incidents against gateways in virtual time",
	}
	root.AddCommand(newRunCommand(), newDiffCommand(), newCheckCommand())
	return root
}

package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"gapgap/internal/scenario"
)

// newCheckCommand returns the command that checks a script.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCRIPT",
		Short: "Check a script without running it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if _, err := scenario.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), args[0]+": good")
			return err
		},
	}
}

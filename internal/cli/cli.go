// Package cli implements what the command lines of all programs have in common: exit codes, error output and logging
// flags.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of all programs.
const (
	// Good means that the command succeeded.
	Good = 0
	// Failed means that the command failed.
	Failed = 1
	// Misused means that the command line is invalid.
	Misused = 2
	// Nowhere means that the object of the command does not exist, such as a route for a request or a gateway's control
	// socket.
	Nowhere = 3
)

// Error is an error with its own exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error. The text does not contain the exit code.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the error without its exit code.
func (e *Error) Unwrap() error { return e.Err }

// Run runs a command line and returns its exit code. An error is written to errorOutput as one line.
func Run(ctx context.Context, root *cobra.Command, args []string, errorOutput io.Writer) int {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetArgs(args)
	if len(args) == 0 && !root.Runnable() {
		root.SetOut(errorOutput)
		_ = root.Help() // an error can't be reported anywhere
		return Misused
	}
	hasStarted := false
	root.PersistentPreRun = func(*cobra.Command, []string) { hasStarted = true }
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Good
	}
	writeLine(errorOutput, "%s: %v", root.Name(), err)
	var ownCode *Error
	switch {
	case errors.As(err, &ownCode):
		return ownCode.Code
	case !hasStarted: // cobra found an error in the command line
		writeLine(errorOutput, "see %s --help", root.Name())
		return Misused
	}
	return Failed
}

// writeLine writes one line of error output. A failed write can't be reported anywhere.
func writeLine(errorOutput io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(errorOutput, format+"\n", args...)
}

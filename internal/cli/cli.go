// Package cli is what the command lines of all programs have in common: exit codes, error lines and logging flags.
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
	// Good means that the program did what was asked for.
	Good = 0
	// Failed means that what was asked for could not be done.
	Failed = 1
	// Misused means that the command line is invalid.
	Misused = 2
	// Nowhere means that what was asked about does not exist, such as a route for a request or a gateway's control
	// socket.
	Nowhere = 3
)

// Error is an error with an exit code of its own.
type Error struct {
	Code int
	Err  error
}

// Error returns the text of the error.
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
		_ = root.Help() // there is nowhere else to write to
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
	case !hasStarted: // cobra has found the error in the command line
		writeLine(errorOutput, "%s --help says more", root.Name())
		return Misused
	}
	return Failed
}

// writeLine writes a line of errors. An error of writing it can be told nowhere.
func writeLine(errorOutput io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(errorOutput, format+"\n", args...)
}

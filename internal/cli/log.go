package cli

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// Log is how a program logs, as set by flags.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Flags adds the flags to a command.
func (l *Log) Flags(c *cobra.Command) {
	c.Flags().StringVar(&l.Level, "log-level", "info",
		"what is logged: debug, info, warn or error; debug has a line for each request")
	c.Flags().StringVar(&l.Format, "log-format", "text", "text or json")
}

// Logger returns the logger, which writes to standard error. A flag with another value is an *[Error] with the code
// [Misused].
func (l *Log) Logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return nil, &Error{Misused, fmt.Errorf("--log-level %q is not debug, info, warn or error", l.Level)}
	}
	options := &slog.HandlerOptions{Level: level}
	switch l.Format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, &Error{Misused, fmt.Errorf("--log-format %q is not text or json", l.Format)}
}

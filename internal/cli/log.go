package cli

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// Log has the values of the logging flags of a program.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Flags adds the logging flags to a command.
func (l *Log) Flags(c *cobra.Command) {
	c.Flags().StringVar(&l.Level, "log-level", "info",
		"log level: debug, info, warn or error; debug logs a line for each request")
	c.Flags().StringVar(&l.Format, "log-format", "text", "log format: text or json")
}

// Logger returns a logger that writes to standard error. An invalid flag value is an *[Error] with the code [Misused].
func (l *Log) Logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return nil, &Error{Misused, fmt.Errorf("--log-level must be debug, info, warn or error, not %q", l.Level)}
	}
	options := &slog.HandlerOptions{Level: level}
	switch l.Format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, &Error{Misused, fmt.Errorf("--log-format must be text or json, not %q", l.Format)}
}

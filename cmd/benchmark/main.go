// Command benchmark produces the figures of docs/measured.md. The servers under load run in separate processes on
// loopback, and this process generates the load; only ceilings runs in virtual time. Figures that compare servers are
// ratios within one run.
//
// The cost of a request is measured as CPU time per response by
//   - forward-auth: a check of gapgapd, compared with a response of a bare HTTP handler;
//   - members-cost: a request of a gateway in a fleet of three, compared with one of a gateway alone;
//   - power-cost: a request with the keys of changes kept on disk, compared with one without;
//   - platform: a request of each build of cmd/gapgap, over the whole lifetime of its process.
//
// The environment variable MEASURE_PROFILE names a file for a CPU profile of the gateways that forward-auth and pools
// start.
//
//	benchmark forward-auth [--for 5s] [--rounds 3]
//	    checks compared with a bare handler; a quiet account without and with a flood
//	benchmark pools [--for 5s] [--rounds 3]
//	    a quiet pool beside a flooded one; the cost of pools
//	benchmark ceilings [--svg docs/ceilings.svg]
//	    the served fraction of a ceiling, by skew of the demand
//	benchmark members [--fleet] GAPGAPD
//	    how much of a ceiling three gateways admit after a crash, a suspension and a partition
//	benchmark members-curves BEFORE NOW
//	    the same by 100 ms, of two builds, as a plot
//	benchmark members-cost GAPGAPD
//	    a gateway's CPU time per request, in a fleet compared with alone
//	benchmark policy [--doors 3] [--mode wait] [--down up] GAPGAPD
//	    a change of the fleet's policy under load
//	benchmark power GAPGAPD
//	    the cost of a power loss at all gateways, flag servers and the counter
//	benchmark power-curves BEFORE NOW
//	    the same by 100 ms, of two builds, as a plot
//	benchmark power-cost GAPGAPD
//	    the cost of keeping the keys of changes on disk
//	benchmark platform [--for 5s] [--rounds 3] [--value 5,65536] [--figures] GAPGAP...
//	    builds of cmd/gapgap compared under the same load
package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

// loadFlags are the flags that all commands accept. Commands with a fixed length ignore them.
type loadFlags struct {
	// duration is the length of each load interval.
	duration time.Duration
	// rounds is how often each side is measured, alternately.
	rounds int
}

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }

// newCommand returns the root command of benchmark.
func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "benchmark", Short: "Produce the figures of docs/measured.md"}
	flags := &loadFlags{}
	root.PersistentFlags().DurationVar(&flags.duration, "for", 5*time.Second, "length of each load interval")
	root.PersistentFlags().IntVar(&flags.rounds, "rounds", 3, "how often each side is measured, alternately")
	root.AddCommand(
		newForwardAuthCommand(flags),
		newPoolsCommand(flags),
		newCeilingsCommand(),
		newPlatformCommand(flags),
		newMembersCommand(),
		newMembersCurvesCommand(),
		newMembersCostCommand(flags),
		newPolicyCommand(),
		newPowerCommand(),
		newPowerCurvesCommand(),
		newPowerCostCommand(flags),
	)
	root.AddCommand(newChildCommands()...)
	return root
}

// Command benchmark takes the figures of docs/measured.md. The servers under load are processes of their own on
// loopback, and the load comes from this one; ceilings alone runs in virtual time. Figures that compare servers are
// ratios within one run.
//
// The cost of a request is measured as CPU time per answer by
//   - forward-auth: a check of gapgapd, against an answer of a bare HTTP handler;
//   - members-cost: a request of a gateway in a fleet of three, against one of a gateway alone;
//   - power-cost: a request where the keys of changes are kept on disk, against one where they are not;
//   - platform: a request of each build of cmd/gapgap, over the whole life of its process.
//
// The variable MEASURE_PROFILE names a file for a CPU profile of the gateways that forward-auth and pools start.
//
//	benchmark forward-auth [--for 5s] [--rounds 3]
//	    checks against a bare handler; a quiet account beside a flood
//	benchmark pools [--for 5s] [--rounds 3]
//	    a quiet pool beside a flooded one; what pools cost
//	benchmark ceilings [--svg docs/ceilings.svg]
//	    the part of a ceiling that is served, by the skew of the demand
//	benchmark members [--fleet] GAPGAPD
//	    what three gateways admit of a ceiling around a death, a stop and a partition
//	benchmark members-curves BEFORE NOW
//	    the same by 100 ms, of two builds, as a plot
//	benchmark members-cost GAPGAPD
//	    a gateway's CPU time per request, in a fleet against alone
//	benchmark policy [--doors 3] [--mode wait] [--down up] GAPGAPD
//	    a change of the fleet's policy under load
//	benchmark power GAPGAPD
//	    what a loss of power at all gateways, flag servers and the counter costs
//	benchmark power-curves BEFORE NOW
//	    the same by 100 ms, of two builds, as a plot
//	benchmark power-cost GAPGAPD
//	    what it costs to remember the keys of changes
//	benchmark platform [--for 5s] [--rounds 3] [--value 5,65536] [--figures] GAPGAP...
//	    builds of cmd/gapgap under the same load
package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
)

// stretchFlags are the flags that all commands take. Those whose length is fixed ignore them.
type stretchFlags struct {
	// duration is the length of each stretch of load.
	duration time.Duration
	// rounds is how often each side is measured, in turns.
	rounds int
}

func main() { os.Exit(cli.Run(context.Background(), newCommand(), os.Args[1:], os.Stderr)) }

// newCommand is the whole command line.
func newCommand() *cobra.Command {
	root := &cobra.Command{Use: "benchmark", Short: "Take the figures of docs/measured.md"}
	stretches := &stretchFlags{}
	root.PersistentFlags().DurationVar(&stretches.duration, "for", 5*time.Second, "length of each stretch")
	root.PersistentFlags().IntVar(&stretches.rounds, "rounds", 3, "how often each is measured, in turns")
	root.AddCommand(
		newForwardAuthCommand(stretches),
		newPoolsCommand(stretches),
		newCeilingsCommand(),
		newPlatformCommand(stretches),
		newMembersCommand(),
		newMembersCurvesCommand(),
		newMembersCostCommand(stretches),
		newPolicyCommand(),
		newPowerCommand(),
		newPowerCurvesCommand(),
		newPowerCostCommand(stretches),
	)
	root.AddCommand(newChildCommands()...)
	return root
}

// Command demo starts a gateway with a RESP2 listener and one for HTTP authorization checks, and fakes for all that it
// needs: flag servers, the counter and discovery, on loopback. It prints lines to try by hand. With --once it tries
// them itself and ends. With --doors it starts several gateways that know each other.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/fake/deployment"
	"gapgap/internal/fake/flagserver"
)

const (
	// maxGateways bounds --doors.
	maxGateways = 20
	// flagServers is how many flag servers the gateways have.
	flagServers = 3
	// flagServerDelay is the latency of a flag server.
	flagServerDelay = 5 * time.Millisecond
)

// options are the values of the command line's flags.
type options struct {
	// resp2Address is where a single gateway listens for RESP2.
	resp2Address string
	// checkAddress is where a single gateway listens for authorization checks.
	checkAddress string
	// gateways is how many gateways are started, from 1 to maxGateways.
	gateways int
	// once ends the program when all was tried.
	once bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, newCommand(), os.Args[1:], os.Stderr))
}

// newCommand is the command line.
func newCommand() *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:   "demo",
		Short: "Start a front door with stand-ins for all that it needs, on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), opts, c.OutOrStdout())
		},
	}
	flags := root.Flags()
	flags.StringVar(&opts.resp2Address, "resp2", "127.0.0.1:6379", "`address` of the RESP2 listener")
	flags.StringVar(&opts.checkAddress, "checks", "127.0.0.1:9090", "`address` of the listener for checks")
	flags.IntVar(&opts.gateways, "doors", 1,
		"so many doors that know each other, one of which leaves and is started again")
	flags.BoolVar(&opts.once, "once", false, "try both once and end")
	return root
}

// run starts the fakes and one gateway or several. It returns when the context ends or, with options.once, when all was
// tried.
func run(ctx context.Context, opts options, out io.Writer) error {
	if opts.gateways < 1 || opts.gateways > maxGateways {
		err := fmt.Errorf("--doors is %d, not 1 to %d", opts.gateways, maxGateways)
		return &cli.Error{Code: cli.Misused, Err: err}
	}
	isFleet := opts.gateways > 1
	fakes, err := deployment.Start(deployment.Config{FlagServers: flagServerConfigs(), HasCounter: !isFleet})
	if err != nil {
		return err
	}
	defer fakes.Close()
	if isFleet {
		return runFleet(ctx, opts.gateways, fakes.DiscoveryAddress(), opts.once, out)
	}
	return runSingle(ctx, opts, fakes, out)
}

// flagServerConfigs gives each flag server a value that tells which of them answered.
func flagServerConfigs() (configs []flagserver.Config) {
	for index := range flagServers {
		configs = append(configs, flagserver.Config{
			Delay: flagServerDelay,
			Value: fmt.Sprint("a flag value from s-", index),
		})
	}
	return configs
}

// Command demo starts a gateway with a RESP2 listener and one for HTTP authorization checks, together with fakes of all
// its dependencies (flag servers, the counter and discovery), on loopback. It prints commands to try by hand. With
// --once it sends such requests itself and exits. With --doors it starts a fleet of gateways.
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
	// resp2Address is the RESP2 listener's address of a single gateway.
	resp2Address string
	// checkAddress is the address of a single gateway's listener for authorization checks.
	checkAddress string
	// gateways is the number of gateways to start, from 1 to maxGateways.
	gateways int
	// once makes the program exit after all steps were run once.
	once bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, newCommand(), os.Args[1:], os.Stderr))
}

// newCommand returns the root command of demo.
func newCommand() *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:   "demo",
		Short: "Start a gateway with fakes of all its dependencies, on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return run(c.Context(), opts, c.OutOrStdout())
		},
	}
	flags := root.Flags()
	flags.StringVar(&opts.resp2Address, "resp2", "127.0.0.1:6379", "`address` of the RESP2 listener")
	flags.StringVar(&opts.checkAddress, "checks", "127.0.0.1:9090", "`address` of the listener for checks")
	flags.IntVar(&opts.gateways, "doors", 1,
		"number of gateways; with more than one, the last one leaves the fleet and is restarted")
	flags.BoolVar(&opts.once, "once", false, "run all steps once and exit")
	return root
}

// run starts the fakes and one or more gateways. It returns when the context is done or, with options.once, after all
// steps were run.
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

// flagServerConfigs returns the configurations of the flag servers. Each has its own value, which shows which of them
// replied.
func flagServerConfigs() (configs []flagserver.Config) {
	for index := range flagServers {
		configs = append(configs, flagserver.Config{
			Delay: flagServerDelay,
			Value: fmt.Sprint("a flag value from s-", index),
		})
	}
	return configs
}

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot/plotter"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

const (
	// ceilingRunSeconds is the length of a run in virtual time.
	ceilingRunSeconds = 60
	// ceilingSettledSeconds is the warm-up of a run, whose units are not counted.
	ceilingSettledSeconds = 5
	// ceilingRequestInterval is the time between two requests. It gives ten times the ceiling's rate.
	ceilingRequestInterval = 10 * time.Millisecond
	// ceilingRequestTimeout is the client's timeout.
	ceilingRequestTimeout = 2 * time.Second
)

// ceilingPlan is the plan of a case found by external measurement.
var ceilingPlan = balancer.Plan{
	Rate:            5,
	Burst:           10,
	PriorityFactor:  1,
	OverQuotaWeight: 0.2,
	CeilingRate:     10,
	CeilingBurst:    20,
}

// newCeilingsCommand returns the command that measures how much of a ceiling is served.
func newCeilingsCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "ceilings",
		Short: "Measure the served fraction of a ceiling by skew of the demand, in virtual time; writes a plot",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runCeilings(file) },
	}
	command.Flags().StringVar(&file, "svg", "docs/ceilings.svg", "output `file` of the plot")
	return command
}

// ceilingSettings returns the settings of a gateway in a fleet of the given size, with leased or evenly shared
// ceilings.
func ceilingSettings(gateways int, leaseCeilings bool) balancer.Settings {
	return balancer.Settings{
		Gateways:          gateways,
		Resolution:        2 * time.Millisecond,
		MaxAttempts:       3,
		AllowCancel:       true,
		SendRetryAfter:    true,
		MaxRetryAfter:     5 * time.Second,
		DrainGrace:        250 * time.Millisecond,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		SlowStartCapacity: 0.26,
		SlowStartDuration: 15 * time.Second,
		UseCounter:        true,
		CounterTimeout:    50 * time.Millisecond,
		MaxRequestUnits:   1,
		LeaseCeilings:     leaseCeilings,
		Classes: []balancer.Class{{
			PriorityWeight:   1,
			LatencyObjective: time.Second,
			ClientTimeout:    3 * time.Second,
		}},
		Plans: []balancer.Plan{ceilingPlan},
	}
}

// gatewayChoice returns the index of the gateway that gets the n-th request, which arrives at the given time since the
// start.
type gatewayChoice func(now time.Duration, n int) int

// demandSkew is a distribution of the demand over gateways.
type demandSkew struct {
	name   string
	choice func(gateways int) gatewayChoice
}

// demandSkews are the rows of the table for each number of gateways.
var demandSkews = []demandSkew{
	{
		name: "even",
		choice: func(gateways int) gatewayChoice {
			return func(_ time.Duration, n int) int { return n / 2 % gateways }
		},
	},
	{
		name: "80/20",
		choice: func(gateways int) gatewayChoice {
			return func(_ time.Duration, n int) int {
				if n%10 < 8 {
					return 0
				}
				return n / 10 % gateways
			}
		},
	},
	{
		name: "all at one",
		choice: func(int) gatewayChoice {
			return func(time.Duration, int) int { return 0 }
		},
	},
	{
		name: "moving each second",
		choice: func(int) gatewayChoice {
			return func(now time.Duration, _ int) int { return int(now/time.Second) % 2 }
		},
	},
}

// ceilingResult is the result of a run.
type ceilingResult struct {
	// servedFraction is the fraction of the ceiling that was dispatched after the warm-up.
	servedFraction float64
	// callsPerUnit is the number of counter calls per unit that was dispatched after the warm-up.
	callsPerUnit float64
	// unitsBySecond has the units that were dispatched in each second.
	unitsBySecond []float64
}

// simulateCeiling simulates an account that sends ten times its ceiling.
func simulateCeiling(gateways int, leaseCeilings bool, choose gatewayChoice) (*ceilingResult, error) {
	world := simulator.New(1, 10)
	unitsBySecond := make([]float64, ceilingRunSeconds+1)
	for range gateways {
		gateway := world.AddGateway(ceilingSettings(gateways, leaseCeilings))
		gateway.Sent = func(request *simulator.Request) {
			unitsBySecond[int((world.Now-simulator.Start)/time.Second)] += request.Units
		}
		if err := gateway.Start(); err != nil {
			return nil, err
		}
	}
	n := 0
	var sendNext func()
	sendNext = func() {
		world.Gateways[choose(world.Now-simulator.Start, n)].Submit(&simulator.Request{
			Customer:  "c",
			Units:     1,
			AdmitOnly: n%2 == 0,
			TimeLeft:  ceilingRequestTimeout,
		})
		n++
		world.After(ceilingRequestInterval, sendNext)
	}
	world.After(0, sendNext)
	world.Run(simulator.Start + ceilingRunSeconds*time.Second)
	served := 0.0
	for _, units := range unitsBySecond[ceilingSettledSeconds:ceilingRunSeconds] {
		served += units
	}
	return &ceilingResult{
		servedFraction: served / (ceilingPlan.CeilingRate * (ceilingRunSeconds - ceilingSettledSeconds)),
		callsPerUnit:   float64(world.Counter.Calls) / max(1, served),
		unitsBySecond:  unitsBySecond,
	}, nil
}

// runCeilings prints the table, writes the plot, and prints the results for moving demand and memory.
func runCeilings(file string) error {
	bars, err := compareCeilings()
	if err != nil {
		return err
	}
	if err := bars.draw(file); err != nil {
		return err
	}
	if err := printMovingDemand(); err != nil {
		return err
	}
	for _, leaseCeilings := range []bool{false, true} {
		memory, err := measureCeilingMemory(leaseCeilings)
		if err != nil {
			return err
		}
		fmt.Printf("memory, leased %v: %.0f bytes per account (100,000 known), %.0f more per active account (1,000)\n",
			leaseCeilings, memory.bytesPerKnown, memory.bytesPerActive)
	}
	return nil
}

// compareCeilings prints a table of even shares and leased ceilings by number of gateways and skew of the demand.
func compareCeilings() (*ceilingBars, error) {
	fmt.Println("| gateways | demand | even shares | leased | calls per forwarded request, even shares | leased |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	bars := &ceilingBars{}
	for _, gateways := range []int{2, 10, 100} {
		for _, skew := range demandSkews {
			even, err := simulateCeiling(gateways, false, skew.choice(gateways))
			if err != nil {
				return nil, err
			}
			leased, err := simulateCeiling(gateways, true, skew.choice(gateways))
			if err != nil {
				return nil, err
			}
			fmt.Printf("| %d | %s | %.2f | %.2f | %.2f | %.2f |\n", gateways, skew.name,
				even.servedFraction, leased.servedFraction, even.callsPerUnit, leased.callsPerUnit)
			bars.even = append(bars.even, even.servedFraction)
			bars.leased = append(bars.leased, leased.servedFraction)
			shortName := strings.TrimSuffix(skew.name, " each second")
			bars.names = append(bars.names, fmt.Sprintf("%d, %s", gateways, shortName))
		}
	}
	return bars, nil
}

// ceilingBars has the data of the plot.
type ceilingBars struct {
	// names has the labels of the groups of two bars.
	names []string
	// even and leased have the served fractions of the ceiling.
	even   plotter.Values
	leased plotter.Values
}

// printMovingDemand prints the units served per second after the demand moves to a gateway that does not know the
// account.
func printMovingDemand() error {
	moveEvery := 20 * time.Second
	result, err := simulateCeiling(3, true, func(now time.Duration, _ int) int { return min(2, int(now/moveEvery)) })
	if err != nil {
		return err
	}
	fmt.Printf("demand that moves to a gateway that does not know the account, at 20 and 40 s, by second: %v and %v\n",
		result.unitsBySecond[20:25], result.unitsBySecond[40:45])
	return nil
}

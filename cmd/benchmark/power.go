package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

const (
	// calmInterval is the time between two requests of an account within its quota.
	calmInterval = 250 * time.Millisecond
	// powerFloodInterval is the pause between a response and the next request of the flood.
	powerFloodInterval = 10 * time.Millisecond
	// powerChangeInterval is the pause between the response to a change and the client's next change.
	powerChangeInterval = 20 * time.Millisecond
	// powerWarmUp is the start of a run, which is excluded from the service before the power loss.
	powerWarmUp = 2 * time.Second
)

// Lines of the configuration file of a gateway that keeps the keys of changes on disk.
const (
	rememberTable = "[fleet.remember]\nfor = \"1m\"\n"
	rememberLine  = "remember = \"disk\""
	// plainClassLine is a comment line, which adds nothing to a class.
	plainClassLine = "#"
)

// powerScenario describes a run with power losses at all gateways, flag servers and the counter.
type powerScenario struct {
	gateways int
	// isFleet makes the gateways form a fleet.
	isFleet bool
	// fleetLines has lines for the table [fleet], nodeLines for [node] and classLines for the class "change".
	fleetLines string
	nodeLines  string
	classLines string

	// losses is the number of power losses.
	losses int
	// lossInterval is the time between the beginnings of two losses.
	lossInterval time.Duration
	// lossDuration is the duration of a loss.
	lossDuration time.Duration
	// before is the time from the start of the load to the first loss.
	before time.Duration
	// after is the duration of the load after the last loss.
	after time.Duration

	// changeClients is the number of clients that make changes.
	changeClients int
	// calmAccounts is the number of accounts that send requests within their quotas.
	calmAccounts int
}

// newPowerCommand returns the command that measures power losses.
func newPowerCommand() *cobra.Command {
	scenario := &powerScenario{
		lossInterval: 3 * time.Second,
		lossDuration: 500 * time.Millisecond,
		before:       8 * time.Second,
	}
	command := &cobra.Command{
		Use:   "power GAPGAPD",
		Short: "Measure the cost of a power loss at all gateways, flag servers and the counter",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runPowerLoss(args[0], scenario)
		},
	}
	flags := command.Flags()
	flags.IntVar(&scenario.gateways, "doors", 3, "number of gateways")
	flags.IntVar(&scenario.losses, "cuts", 1, "number of power losses, 3 s apart; may be 0")
	flags.DurationVar(&scenario.after, "after", 20*time.Second, "length of the run after the last power loss")
	flags.BoolVar(&scenario.isFleet, "fleet", true, "run the gateways as a fleet")
	flags.StringVar(&scenario.fleetLines, "in-fleet", "", "lines for [fleet]")
	flags.StringVar(&scenario.nodeLines, "node", "", "lines for [node]")
	flags.StringVar(&scenario.classLines, "class", "", "lines for the class \"change\"")
	flags.IntVar(&scenario.changeClients, "changes", 8, "number of clients that make changes")
	flags.IntVar(&scenario.calmAccounts, "calm", 20, "accounts within their quotas, each with 4 requests per second")
	return command
}

// run runs the scenario with a build of gapgapd.
func (s *powerScenario) run(program string) (*powerResult, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	classLines := s.classLines
	if classLines == "" {
		classLines = plainClassLine
	}
	gateways, stop, err := startRig(rig.Config{
		Program: program,
		Doors:   s.gateways,
		Fleet:   s.isFleet,
		Plan:    rig.Plan,
		InFleet: s.fleetLines,
		Node:    s.nodeLines,
		Change:  classLines,
		Calm:    s.calmAccounts,
	})
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(rigSettleDuration)
	result := &powerResult{}
	start := time.Now()
	stopLoad := s.startLoad(gateways, result)
	defer stopLoad()
	time.Sleep(s.before)
	if err := s.losePower(gateways, result, start); err != nil {
		return nil, err
	}
	time.Sleep(s.after)
	stopLoad()
	twice, effects := gateways.Twice()
	result.keysWithTwoEffects = len(twice)
	result.keysWithEffect = effects
	result.countCommands(gateways, start)
	return result, nil
}

// startLoad starts all clients. stop stops them and waits until their results are stored in result; it may be called
// more than once.
func (s *powerScenario) startLoad(gateways *rig.Rig, result *powerResult) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all []int
	for index := range s.gateways {
		all = append(all, index)
	}
	var running sync.WaitGroup
	running.Go(func() { result.flood = gateways.Flood(ctx, powerFloodInterval, all...) })
	running.Go(func() { result.calm = gateways.Calm(ctx, calmInterval) })
	running.Go(func() { result.changes = gateways.Changes(ctx, s.changeClients, powerChangeInterval, 1) })
	return func() {
		cancel()
		running.Wait()
	}
}

// losePower cuts and restores the power as often as the scenario says, and counts the counter calls in the second after
// the last time. start is when the load began.
func (s *powerScenario) losePower(gateways *rig.Rig, result *powerResult, start time.Time) error {
	for number := range s.losses {
		if number > 0 {
			time.Sleep(s.lossInterval - s.lossDuration)
		}
		gateways.PowerCut()
		time.Sleep(s.lossDuration)
		if err := gateways.PowerOn(); err != nil {
			return err
		}
		result.restoredAt = time.Since(start)
	}
	if s.losses > 0 {
		before := gateways.Counter.Calls()
		time.Sleep(time.Second)
		result.callsInFirstSecond = gateways.Counter.Calls() - before
	}
	return nil
}

// runPowerLoss runs a scenario and prints the cost of the power losses.
func runPowerLoss(program string, scenario *powerScenario) error {
	result, err := scenario.run(program)
	if err != nil {
		return err
	}
	result.printChanges(scenario)
	fmt.Printf("  flood: %d served, at most %.1f over the ceiling's bucket\n", len(result.flood.Served),
		result.flood.Worst(planCeilingRate, planCeilingBurst))
	if scenario.losses > 0 {
		result.printService(scenario)
	}
	return nil
}

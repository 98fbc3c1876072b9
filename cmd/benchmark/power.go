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
	// calmInterval is the time from one request of an account inside its quota to the next.
	calmInterval = 250 * time.Millisecond
	// powerFloodInterval is the pause between an answer and the next request of the flood.
	powerFloodInterval = 10 * time.Millisecond
	// powerChangeInterval is the pause between a change's answer and the client's next change.
	powerChangeInterval = 20 * time.Millisecond
	// powerWarmUp is the start of a run, which does not count as service before the power loss.
	powerWarmUp = 2 * time.Second
)

// Lines for the configuration file of a gateway that keeps the keys of changes on disk.
const (
	rememberTable = "[fleet.remember]\nfor = \"1m\"\n"
	rememberLine  = "remember = \"disk\""
	// plainClassLine is a line of a class that adds nothing: a comment.
	plainClassLine = "#"
)

// powerScenario says what is run around losses of power at all gateways, flag servers and the counter.
type powerScenario struct {
	gateways int
	// isFleet tells whether the gateways know each other.
	isFleet bool
	// fleetLines are lines for the table [fleet], nodeLines for [node] and classLines for the class "change".
	fleetLines string
	nodeLines  string
	classLines string

	// losses is how often the power is lost.
	losses int
	// lossInterval is the time from one loss to the next.
	lossInterval time.Duration
	// lossDuration is how long the power is gone.
	lossDuration time.Duration
	// before is the time from the start of the load to the first loss.
	before time.Duration
	// after is the time from the last loss to the end.
	after time.Duration

	// changeClients is how many clients make changes.
	changeClients int
	// calmAccounts is how many accounts make requests inside their quotas.
	calmAccounts int
}

// newPowerCommand is the command that measures losses of power.
func newPowerCommand() *cobra.Command {
	scenario := &powerScenario{
		lossInterval: 3 * time.Second,
		lossDuration: 500 * time.Millisecond,
		before:       8 * time.Second,
	}
	command := &cobra.Command{
		Use:   "power GAPGAPD",
		Short: "What a loss of power at all doors, flag servers and the counter costs",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runPowerLoss(args[0], scenario)
		},
	}
	flags := command.Flags()
	flags.IntVar(&scenario.gateways, "doors", 3, "doors")
	flags.IntVar(&scenario.losses, "cuts", 1, "losses of power, 3 s apart; 0: none")
	flags.DurationVar(&scenario.after, "after", 20*time.Second, "length of the play after the last one")
	flags.BoolVar(&scenario.isFleet, "fleet", true, "the doors know each other")
	flags.StringVar(&scenario.fleetLines, "in-fleet", "", "lines for [fleet]")
	flags.StringVar(&scenario.nodeLines, "node", "", "lines for [node]")
	flags.StringVar(&scenario.classLines, "class", "", "lines for the class \"change\"")
	flags.IntVar(&scenario.changeClients, "changes", 8, "clients of changes")
	flags.IntVar(&scenario.calmAccounts, "calm", 20, "accounts inside their quotas, each asking 4 times a second")
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

// startLoad begins all requests. The function that it returns ends them and waits for what became of them to be in the
// result; it may be called more than once.
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

// losePower has the power go and come back, as often as the scenario says, and counts the calls of the counter right
// after the last time. start is when the load began.
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

// runPowerLoss runs a scenario and prints what the losses of power cost.
func runPowerLoss(program string, scenario *powerScenario) error {
	result, err := scenario.run(program)
	if err != nil {
		return err
	}
	result.printChanges(scenario)
	fmt.Printf("  flood: %d served, %.1f over the ceiling's store at worst\n", len(result.flood.Served),
		result.flood.Worst(planCeilingRate, planCeilingBurst))
	if scenario.losses > 0 {
		result.printService(scenario)
	}
	return nil
}

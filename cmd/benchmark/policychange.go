package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/rig"
)

const (
	// policyStartTimeout bounds the time until gateways apply the first version.
	policyStartTimeout = 30 * time.Second
	// policyFloodInterval is the pause between a response and the next request of the flood.
	policyFloodInterval = 2 * time.Millisecond
	// policyLeadDuration is the duration of the flood before the first change.
	policyLeadDuration = 3 * time.Second
	// policyChangeInterval is the pause after a change.
	policyChangeInterval = 2500 * time.Millisecond
	// maxFloodedGateways is the maximum number of flooded gateways.
	maxFloodedGateways = 3
)

// The values of --down: the state of the last gateway.
const (
	lastGatewayKilled  = "killed"
	lastGatewayStopped = "stopped"
)

// planHeading is the first line of a plan in a policy.
const planHeading = "[[plan]]"

// policyFlags are the flags of the policy command.
type policyFlags struct {
	gateways int
	changes  int
	// accounts is the additional accounts in the policy, without requests.
	accounts int
	// mode is the mode of the policy: wait or fence.
	mode string
	// lastGateway is the state of the last gateway: up, killed or stopped.
	lastGateway string
}

// newPolicyCommand returns the command that measures changes of the policy.
func newPolicyCommand() *cobra.Command {
	flags := &policyFlags{}
	command := &cobra.Command{
		Use:   "policy GAPGAPD",
		Short: "Measure the duration and the window of a policy change and the service meanwhile",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runPolicyChanges(args[0], flags)
		},
	}
	command.Flags().IntVar(&flags.gateways, "doors", 3, "number of gateways")
	command.Flags().IntVar(&flags.changes, "changes", 5, "number of sequential changes")
	command.Flags().IntVar(&flags.accounts, "accounts", 0, "additional accounts in the policy, without requests")
	command.Flags().StringVar(&flags.mode, "mode", "wait", "wait or fence")
	command.Flags().StringVar(&flags.lastGateway, "down", "up", "state of the last gateway: up, killed or stopped")
	return command
}

// policyBenchmark is a fleet whose policy is changed under load.
type policyBenchmark struct {
	flags *policyFlags
	rig   *rig.Rig
	// running has the gateways that are up.
	running []*rig.Door
	policy  policyDocument
}

// runPolicyChanges measures changes of the policy of flooded gateway processes: the time until a change is committed,
// the window in which both versions decide, the service in the second of a change compared with the second before, and
// the longest time without a response from a gateway.
func runPolicyChanges(program string, flags *policyFlags) error {
	program, err := filepath.Abs(program)
	if err != nil {
		return err
	}
	gateways, stop, err := startRig(rig.Config{
		Program: program,
		Doors:   flags.gateways,
		Fleet:   true,
		Plan:    policyPlan(0),
		Calm:    flags.accounts,
		Node:    "memory_mb = 1024\n",
		InFleet: fmt.Sprintf("[fleet.policy]\nmode = %q\ngive_up = \"10s\"\n", flags.mode),
	})
	if err != nil {
		return err
	}
	defer stop()
	benchmark := &policyBenchmark{
		flags:   flags,
		rig:     gateways,
		running: gateways.Doors,
	}
	if err := benchmark.prepare(); err != nil {
		return err
	}
	measured, err := benchmark.changeUnderFlood()
	if err != nil {
		return err
	}
	if len(measured.durations) > 0 {
		measured.print(flags, benchmark.policy.length)
	}
	return nil
}

// prepare waits until all gateways apply the first version, reads it, and kills or suspends the last gateway as set by
// policyFlags.lastGateway.
func (b *policyBenchmark) prepare() error {
	for _, gateway := range b.rig.Doors {
		_, err := rig.Within(policyStartTimeout, func() error { return gateway.GoesBy(1) })
		if err != nil {
			return err
		}
	}
	time.Sleep(rigSettleDuration)
	var err error
	if b.policy, err = readPolicy(b.rig.Doors[0]); err != nil {
		return err
	}
	last := b.flags.gateways - 1
	switch b.flags.lastGateway {
	case lastGatewayKilled:
		b.rig.Doors[last].Kill()
		b.running = b.rig.Doors[:last]
	case lastGatewayStopped:
		b.rig.Doors[last].Stop()
		b.running = b.rig.Doors[:last]
	}
	return nil
}

// changeUnderFlood makes the changes one after the other while an account floods some of the running gateways. It stops
// early if a change is aborted.
func (b *policyBenchmark) changeUnderFlood() (*policyMeasurement, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var flooded []int
	for index := range min(len(b.running), maxFloodedGateways) {
		flooded = append(flooded, index)
	}
	start := time.Now()
	floods := make(chan *rig.Book, 1)
	go func() { floods <- b.rig.Flood(ctx, policyFloodInterval, flooded...) }()
	time.Sleep(policyLeadDuration)
	measured := &policyMeasurement{flooded: len(flooded), residentMBBefore: b.maxResidentMB()}
	for number := range b.flags.changes {
		measured.proposedAt = append(measured.proposedAt, time.Since(start))
		gateway := b.running[number%len(b.running)]
		took, reason, err := proposePolicy(gateway, fmt.Sprint("m", number), b.policy.withPlan(policyPlan(number+1)))
		if err != nil {
			return nil, err
		}
		if reason != "" {
			fmt.Printf("%d gateways, %s, last one %s: aborted after %v: %s\n", b.flags.gateways, b.flags.mode,
				b.flags.lastGateway, took.Round(time.Millisecond), reason)
			break
		}
		measured.durations = append(measured.durations, took)
		measured.residentMBAfter = max(measured.residentMBAfter, b.maxResidentMB())
		time.Sleep(policyChangeInterval)
	}
	cancel()
	measured.flood = <-floods
	return measured, nil
}

// maxResidentMB returns the maximum resident memory of the running gateways, in MiB.
func (b *policyBenchmark) maxResidentMB() (most float64) {
	for _, gateway := range b.running {
		most = max(most, residentMB(gateway.PID()))
	}
	return most
}

// policyPlan returns a plan that admits several hundred requests per second. Each index gives a different plan.
func policyPlan(index int) string {
	return fmt.Sprintf("rate = %d.0\nburst = 400.0\nover_worth = 0.2\nceiling_rate = %d.0\nceiling_depth = 2000.0\n",
		400+index, 1000+index)
}

// policyDocument is a policy whose only plan can be replaced.
type policyDocument struct {
	beforePlan string
	afterPlan  string
	// length is the size of the whole document in bytes.
	length int
}

// readPolicy reads the policy that a gateway applies.
func readPolicy(gateway *rig.Door) (policyDocument, error) {
	response, err := gateway.Operators(http.MethodGet, "/policy/show")
	if err != nil {
		return policyDocument{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return policyDocument{}, err
	}
	before, rest, found := strings.Cut(string(body), planHeading)
	if !found {
		return policyDocument{}, fmt.Errorf("no plan in %s", body)
	}
	after := ""
	if next := strings.Index(rest, "\n["); next >= 0 {
		after = rest[next:]
	}
	return policyDocument{beforePlan: before, afterPlan: after, length: len(body)}, nil
}

// withPlan returns the policy with its plan replaced.
func (d *policyDocument) withPlan(plan string) string {
	return d.beforePlan + planHeading + "\nname = \"business\"\n" + plan + d.afterPlan
}

// proposePolicy proposes a policy to a gateway and waits for the outcome. It returns how long that took, and the reason
// if the change was aborted, which is empty if it was committed.
func proposePolicy(gateway *rig.Door, id, document string) (took time.Duration, reason string, err error) {
	start := time.Now()
	query := url.Values{"id": {id}, "wait": {"40s"}}
	response, err := gateway.Post("/policy/propose?"+query.Encode(), document)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	took = time.Since(start)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%s: %w", response.Status, err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, "", fmt.Errorf("%s: %s", response.Status, body)
	}
	var result struct {
		Reason string
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return 0, "", err
	}
	return took, result.Reason, nil
}

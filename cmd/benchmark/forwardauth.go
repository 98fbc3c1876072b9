package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/deployment"
	"gapgap/internal/fake/flagserver"
)

// maxUnservedPerThousand bounds the unserved requests per thousand responses of a load interval.
const maxUnservedPerThousand = 1

// newForwardAuthCommand returns the command that measures checks.
func newForwardAuthCommand(flags *loadFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "forward-auth",
		Short: "Compare checks with a bare handler, and a quiet account without and with a flood",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runForwardAuth(flags.duration, flags.rounds)
		},
	}
}

// forwardAuthBenchmark compares a gateway's checks with the responses of a bare handler.
type forwardAuthBenchmark struct {
	bare     *child
	gateway  *child
	duration time.Duration
	rounds   int
	// intervalNumber counts the load intervals. It keeps ids unique across intervals, so that no check is a repeat.
	intervalNumber int64
}

// runForwardAuth starts the servers and runs all rounds. duration is the length of each load interval.
func runForwardAuth(duration time.Duration, rounds int) error {
	fakes, err := deployment.Start(deployment.Config{
		FlagServers: []flagserver.Config{{Value: "value"}, {Value: "value"}, {Value: "value"}, {Value: "value"}},
		HasCounter:  true,
	})
	if err != nil {
		return err
	}
	defer fakes.Close()
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: a temporary directory
	file := filepath.Join(dir, "gapgapd.toml")
	config := forwardAuthConfig(fakes.DiscoveryAddress(), fakes.CounterAddress())
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return err
	}
	bare, err := startChild("serve-bare")
	if err != nil {
		return err
	}
	defer bare.close()
	gateway, err := startChild("serve-door", file)
	if err != nil {
		return err
	}
	defer gateway.close()
	fmt.Printf("machine: %d cores; each server has one; %d connections, %d accounts, %v per interval, %d rounds\n",
		runtime.NumCPU(), connections, accounts, duration, rounds)
	benchmark := &forwardAuthBenchmark{
		bare:     bare,
		gateway:  gateway,
		duration: duration,
		rounds:   rounds,
	}
	if err := benchmark.compare(); err != nil {
		return err
	}
	return benchmark.compareFloods()
}

// measurement is the result of one load interval on one server.
type measurement struct {
	loadResult
	// cpuMicros is the server's CPU time per response, in microseconds.
	cpuMicros float64
	// allocations is the server's number of heap allocations per response.
	allocations float64
}

// measureChecks loads a server with checks of all accounts at a rate per second; 0 means as fast as it responds.
func (b *forwardAuthBenchmark) measureChecks(server *child, rate float64) (measurement, error) {
	return b.measure(server, "http", load{request: b.check, readAnswer: readHTTP, rate: rate})
}

// measureRESP2 loads the gateway with RESP2 requests of all accounts, as fast as it responds.
func (b *forwardAuthBenchmark) measureRESP2() (measurement, error) {
	return b.measure(b.gateway, "resp2", load{request: accountRequest, readAnswer: readRESP2})
}

// measure loads one listener of a server. It is an error if more than maxUnservedPerThousand of the requests are not
// served.
func (b *forwardAuthBenchmark) measure(
	server *child, listener string, requests load,
) (measured measurement, err error) {
	b.intervalNumber++
	requests.address = server.addresses[listener]
	requests.connections = connections
	requests.duration = b.duration
	before, err := server.usage()
	if err != nil {
		return measured, err
	}
	if measured.loadResult, err = requests.run(); err != nil {
		return measured, err
	}
	after, err := server.usage()
	if err != nil {
		return measured, err
	}
	if measured.unserved*1000 > measured.answered*maxUnservedPerThousand {
		return measured, fmt.Errorf("%d of %d requests on %s unserved", measured.unserved, measured.answered, listener)
	}
	answered := float64(measured.answered)
	measured.cpuMicros = (after.cpu - before.cpu).Seconds() * 1e6 / answered
	measured.allocations = float64(after.allocations-before.allocations) / answered
	return measured, nil
}

// check returns the n-th check of a connection, for one of the measured accounts, with a unique id.
func (b *forwardAuthBenchmark) check(connection, n int) []byte {
	id := strconv.Itoa(connection) + "-" + strconv.Itoa(n) + "-" + strconv.FormatInt(b.intervalNumber, 36)
	return checkRequest("key-"+strconv.Itoa(accountIndex(connection, n)), id)
}

// forwardAuthRound is one round of the comparison.
type forwardAuthRound struct {
	// bare and checks are measured at full load.
	bare   measurement
	checks measurement
	// halfRate is half the rate of checks at full load, per second. bareHalf and checksHalf are measured at it.
	halfRate   float64
	bareHalf   measurement
	checksHalf measurement
	// resp2 is measured at full load.
	resp2 measurement
}

// measureRound measures the servers one after the other.
func (b *forwardAuthBenchmark) measureRound() (*forwardAuthRound, error) {
	round := &forwardAuthRound{}
	var err error
	if round.bare, err = b.measureChecks(b.bare, 0); err != nil {
		return nil, err
	}
	if round.checks, err = b.measureChecks(b.gateway, 0); err != nil {
		return nil, err
	}
	round.halfRate = round.checks.perSecond(b.duration) / 2
	if round.bareHalf, err = b.measureChecks(b.bare, round.halfRate); err != nil {
		return nil, err
	}
	if round.checksHalf, err = b.measureChecks(b.gateway, round.halfRate); err != nil {
		return nil, err
	}
	if round.resp2, err = b.measureRESP2(); err != nil {
		return nil, err
	}
	return round, nil
}

// print writes one line with all results of the round.
func (r *forwardAuthRound) print(duration time.Duration) {
	fmt.Printf("bare %6.0f/s %5.1f us %5.1f allocs | checks %6.0f/s %5.1f us %5.1f allocs | "+
		"at %5.0f/s p50 %v and %v, p99 %v and %v | RESP2 %6.0f/s %5.1f us %5.1f allocs\n",
		r.bare.perSecond(duration), r.bare.cpuMicros, r.bare.allocations,
		r.checks.perSecond(duration), r.checks.cpuMicros, r.checks.allocations,
		r.halfRate, r.bareHalf.p50(), r.checksHalf.p50(), r.bareHalf.p99(), r.checksHalf.p99(),
		r.resp2.perSecond(duration), r.resp2.cpuMicros, r.resp2.allocations)
}

// compare runs all rounds and prints the medians of their ratios.
func (b *forwardAuthBenchmark) compare() error {
	var throughputs, cpuTimes, p99s, resp2CPUTimes, resp2Allocations []float64
	for range b.rounds {
		round, err := b.measureRound()
		if err != nil {
			return err
		}
		round.print(b.duration)
		throughputs = append(throughputs, float64(round.checks.answered)/float64(round.bare.answered))
		cpuTimes = append(cpuTimes, round.bare.cpuMicros/round.checks.cpuMicros)
		p99s = append(p99s, round.checksHalf.p99().Seconds()/round.bareHalf.p99().Seconds())
		resp2CPUTimes = append(resp2CPUTimes, round.checks.cpuMicros/round.resp2.cpuMicros)
		resp2Allocations = append(resp2Allocations, round.checks.allocations/round.resp2.allocations)
	}
	used, err := b.gateway.usage()
	if err != nil {
		return err
	}
	fmt.Printf("checks per second, ratio to the bare handler: %.2f (wanted: 0.6 or more)\n", median(throughputs))
	fmt.Printf("  the same by CPU time per check:             %.2f\n", median(cpuTimes))
	fmt.Printf("p99 at half that rate, ratio to the bare one: %.2f\n", median(p99s))
	fmt.Printf("CPU per check, ratio to a RESP2 request:      %.2f; allocations: %.2f\n",
		median(resp2CPUTimes), median(resp2Allocations))
	fmt.Printf("resident memory of the gateway at the end:    %.0f MB\n", used.residentMB())
	return nil
}

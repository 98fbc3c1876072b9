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

const (
	// floodStartDelay is the time between the start of a flood and the measurement.
	floodStartDelay = 200 * time.Millisecond
	// floodEndDelay is the time for a gateway to recover after a flood.
	floodEndDelay = 500 * time.Millisecond
)

// poolCounts has the numbers of pools whose cost is measured.
var poolCounts = []int{1, 10, 100}

// newPoolsCommand returns the command that measures pools.
func newPoolsCommand(flags *loadFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "pools",
		Short: "Measure a quiet pool beside a flooded one, and the cost of pools",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runPools(flags.duration, flags.rounds)
		},
	}
}

// poolsBenchmark measures gateways with several pools.
type poolsBenchmark struct {
	discoveryAddress string
	// dir is the directory for the gateways' configuration files.
	dir      string
	duration time.Duration
	rounds   int
}

// runPools measures a quiet pool beside a flooded one, with and without sharing the CPU by weight, and then the cost of
// pools.
func runPools(duration time.Duration, rounds int) error {
	fakes, err := deployment.Start(deployment.Config{FlagServers: []flagserver.Config{{Value: "value"}}})
	if err != nil {
		return err
	}
	defer fakes.Close()
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: a temporary directory
	fmt.Printf("machine: %d cores; the gateway has one; %v each, %d rounds\n", runtime.NumCPU(), duration, rounds)
	benchmark := &poolsBenchmark{
		discoveryAddress: fakes.DiscoveryAddress(),
		dir:              dir,
		duration:         duration,
		rounds:           rounds,
	}
	for _, sharesCPU := range []bool{true, false} {
		if err := benchmark.measureIsolation(sharesCPU); err != nil {
			return err
		}
	}
	for _, count := range poolCounts {
		if err := benchmark.measureCost(count); err != nil {
			return err
		}
	}
	return nil
}

// startGateway starts a gateway with the given number of pools. The caller closes it.
func (b *poolsBenchmark) startGateway(pools int, sharesCPU bool) (*child, error) {
	file := filepath.Join(b.dir, fmt.Sprintf("%d-%v.toml", pools, sharesCPU))
	config := poolsConfig(b.discoveryAddress, pools, sharesCPU)
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	return startChild("serve-door", file)
}

// measureIsolation measures the latency of a quiet pool alternately without and with a flood of another pool.
func (b *poolsBenchmark) measureIsolation(sharesCPU bool) error {
	gateway, err := b.startGateway(2, sharesCPU)
	if err != nil {
		return err
	}
	defer gateway.close()
	var ratios []float64
	for range b.rounds {
		alone, err := b.measureQuiet(gateway)
		if err != nil {
			return err
		}
		beside, err := b.measureQuietBesideFlood(gateway)
		if err != nil {
			return err
		}
		fmt.Printf("shared by weight %v: quiet p50 %v alone, %v beside; p99 %v and %v; "+
			"not served %d of %d and %d of %d\n", sharesCPU, alone.p50(), beside.p50(), alone.p99(), beside.p99(),
			alone.unserved, alone.answered, beside.unserved, beside.answered)
		ratios = append(ratios, beside.p99().Seconds()/alone.p99().Seconds())
	}
	fmt.Printf("a quiet pool's p99 beside a flooded one, ratio to alone, CPU shared by weight %v: %.2f\n",
		sharesCPU, median(ratios))
	return nil
}

// measureQuiet sends requests to the first pool at quietRate.
func (b *poolsBenchmark) measureQuiet(gateway *child) (loadResult, error) {
	requests := load{
		address:     gateway.addresses["resp2"],
		connections: quietConnections,
		request:     func(connection, n int) []byte { return poolRequest(0, connection, n) },
		readAnswer:  readRESP2,
		rate:        quietRate,
		duration:    b.duration,
	}
	return requests.run()
}

// measureQuietBesideFlood runs measureQuiet while the second pool is flooded. The flood comes from a separate process
// so that it does not delay the quiet pool's client.
func (b *poolsBenchmark) measureQuietBesideFlood(gateway *child) (loadResult, error) {
	flood, err := startChild("flood", gateway.addresses["resp2"])
	if err != nil {
		return loadResult{}, err
	}
	time.Sleep(floodStartDelay)
	result, err := b.measureQuiet(gateway)
	flood.close()
	if err != nil {
		return loadResult{}, err
	}
	time.Sleep(floodEndDelay)
	return result, nil
}

// measureCost prints the memory and the CPU time of a gateway with the given number of pools.
func (b *poolsBenchmark) measureCost(pools int) error {
	gateway, err := b.startGateway(pools, true)
	if err != nil {
		return err
	}
	defer gateway.close()
	before, err := gateway.usage()
	if err != nil {
		return err
	}
	requests := load{
		address:     gateway.addresses["resp2"],
		connections: connections,
		request: func(connection, n int) []byte {
			return poolRequest((connection+n)%pools, connection, n)
		},
		readAnswer: readRESP2,
		duration:   b.duration,
	}
	result, err := requests.run()
	if err != nil {
		return err
	}
	after, err := gateway.usage()
	if err != nil {
		return err
	}
	cpuMicros := (after.cpu - before.cpu).Seconds() * 1e6 / float64(result.answered)
	servedFraction := 1 - float64(result.unserved)/float64(result.answered)
	fmt.Printf("%3d pools: %.1f MB at the start, %.1f MB after; %.0f/s, %.1f us per request, %.3f served\n",
		pools, before.residentMB(), after.residentMB(), result.perSecond(b.duration), cpuMicros, servedFraction)
	return nil
}

// poolRequest returns the n-th RESP2 request of a connection to a pool.
func poolRequest(pool, connection, n int) []byte {
	poolName := strconv.Itoa(pool)
	id := poolName + "-" + strconv.Itoa(connection) + "-" + strconv.Itoa(n)
	return resp2Request("0000000000000001", id, requestAttributes+",host=p"+poolName+".org")
}

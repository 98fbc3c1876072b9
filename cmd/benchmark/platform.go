package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/deployment"
	"gapgap/internal/fake/flagserver"
)

const (
	// platformStartTimeout is how long a build may take until it listens.
	platformStartTimeout = 5 * time.Second
	// platformDialInterval is the pause between two attempts to reach it.
	platformDialInterval = 10 * time.Millisecond
	// platformIdleDuration is how long it is idle before its memory is read.
	platformIdleDuration = 500 * time.Millisecond
	// statsInterval is the pause between two readings of the stats, and statsTimeout bounds each.
	statsInterval = 100 * time.Millisecond
	statsTimeout  = time.Second
)

// platformSettings are those of a small deployment, in the platform's names.
const platformSettings = `{
"peers-total":1,"rank":0,"resolution-us":2000,"discovery":"pushed","areas":[""],"kinds":[""],
"limits":{"max-attempts":3,"cancel":true,"dial-timeout-us":250000,"conn-idle-us":30000000,"open-cap":4000},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,
	"warm-within-us":15000000},
"specifics":{"max-units":1},
"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":1000000,"give-up-us":3000000}],
"tiers-of-service":[{"name":"wide","value-factor":1.0}]
}`

// platformConfigFormat is the configuration file of a build of cmd/gapgap. Its arguments are where it listens, the
// address of discovery, the endpoint list that it starts with and platformSettings.
const platformConfigFormat = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1",` +
	`"limits":{"cores":1.0,"memory_mb":64,"sockets":384},"known":%s,"settings":%s}`

// platformFlags are the flags of the platform command.
type platformFlags struct {
	// valueBytes are the lengths of the answers' values, a stretch of load for each.
	valueBytes []int
	// readsStats adds turns in which an operator reads the stats ten times a second.
	readsStats bool
}

// newPlatformCommand is the command that measures builds of cmd/gapgap.
func newPlatformCommand(stretches *stretchFlags) *cobra.Command {
	flags := &platformFlags{}
	command := &cobra.Command{
		Use:   "platform GAPGAP...",
		Short: "Builds of cmd/gapgap under the same load",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runPlatform(args, flags, stretches)
		},
	}
	command.Flags().IntSliceVar(&flags.valueBytes, "value", []int{5},
		"bytes of the answers' values, a stretch for each")
	command.Flags().BoolVar(&flags.readsStats, "figures", false,
		"in turns without and with the figures fetched ten times a second")
	return command
}

// runPlatform runs builds of cmd/gapgap one after the other under the same load, and prints what each uses.
func runPlatform(builds []string, flags *platformFlags, stretches *stretchFlags) error {
	fakes, err := deployment.Start(deployment.Config{FlagServers: []flagserver.Config{{Value: "value"}}})
	if err != nil {
		return err
	}
	defer fakes.Close()
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	turns := []bool{false}
	if flags.readsStats {
		turns = []bool{false, true}
	}
	for range stretches.rounds {
		for _, build := range builds {
			for _, size := range flags.valueBytes {
				fakes.FlagServers[0].Set(flagserver.Config{Value: strings.Repeat("v", size)})
				for _, readsStats := range turns {
					run := &platformRun{
						build:      build,
						dir:        dir,
						valueBytes: size,
						readsStats: readsStats,
						duration:   stretches.duration,
					}
					if err := run.measure(fakes); err != nil {
						return fmt.Errorf("%s: %w", build, err)
					}
				}
			}
		}
	}
	return nil
}

// platformRun is one process of a build under load.
type platformRun struct {
	build string
	// dir is for the configuration file and the process's temporary files.
	dir        string
	valueBytes int
	readsStats bool
	duration   time.Duration
}

// measure runs the build by the given fakes and prints what it uses.
func (r *platformRun) measure(fakes *deployment.Deployment) error {
	address, err := unusedAddress()
	if err != nil {
		return err
	}
	command := exec.Command(r.build)
	if command.Env, err = r.environment(address, fakes); err != nil {
		return err
	}
	if r.readsStats {
		stopStats, err := r.startStatsReader(command)
		if err != nil {
			return err
		}
		defer stopStats()
	}
	if err := command.Start(); err != nil {
		return err
	}
	defer func() { _ = command.Process.Kill() }() // unless it has ended
	if err := waitUntilListening(address); err != nil {
		return err
	}
	time.Sleep(platformIdleDuration)
	idleMB := residentMB(command.Process.Pid)
	requests := load{
		address:     address,
		connections: connections,
		request:     accountRequest,
		readAnswer:  readRESP2,
		duration:    r.duration,
	}
	result, err := requests.run()
	if err != nil {
		return err
	}
	busyMB := residentMB(command.Process.Pid)
	_ = command.Process.Signal(syscall.SIGTERM)
	_ = command.Wait() // how it ended does not change what was measured
	cpu := command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	fmt.Printf("%s, figures fetched %t, values of %d bytes: %.1f MB idle, %.1f MB after %d requests (%d odd), "+
		"%.1f us CPU a request, p99 %v\n", filepath.Base(filepath.Dir(r.build)), r.readsStats, r.valueBytes,
		idleMB, busyMB, result.answered, result.unserved, cpu.Seconds()*1e6/float64(result.answered), result.p99())
	return nil
}

// environment writes the configuration file and returns the process's environment, which names it.
func (r *platformRun) environment(address string, fakes *deployment.Deployment) ([]string, error) {
	endpointList, err := json.Marshal(struct {
		Endpoints []catalog.Endpoint `json:"endpoints"`
		Index     int                `json:"index"`
		Snapshot  bool               `json:"snapshot"`
	}{
		Endpoints: fakes.Endpoints,
		Index:     1,
		Snapshot:  true,
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.dir, "config.json")
	config := fmt.Sprintf(platformConfigFormat, address, fakes.DiscoveryAddress(), endpointList, platformSettings)
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	return append(os.Environ(), "NODE_CONFIG="+file, "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_NAME=", "NODE_CONTROL="),
		nil
}

// startStatsReader gives a command that has not started an address for operators, and reads the stats there until stop
// is called.
func (r *platformRun) startStatsReader(command *exec.Cmd) (stop func(), err error) {
	address, err := unusedAddress()
	if err != nil {
		return nil, err
	}
	command.Env = append(command.Env, "NODE_CONTROL="+address, "TMPDIR="+r.dir)
	stopped := make(chan struct{})
	go readStats(address, stopped)
	return func() { close(stopped) }, nil
}

// readStats reads the stats ten times a second until stop is closed.
func readStats(address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(statsInterval):
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(statsTimeout))
		_, _ = io.WriteString(conn, "INFO\n") // what fails is tried again
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

// unusedAddress is an address on loopback where nothing listens now.
func unusedAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// waitUntilListening waits until an address takes connections, for platformStartTimeout at most.
func waitUntilListening(address string) error {
	for deadline := time.Now().Add(platformStartTimeout); ; time.Sleep(platformDialInterval) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
	}
}

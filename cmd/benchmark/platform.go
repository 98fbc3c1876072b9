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
	// platformStartTimeout bounds the time until a build listens.
	platformStartTimeout = 5 * time.Second
	// platformDialInterval is the pause between two connection attempts.
	platformDialInterval = 10 * time.Millisecond
	// platformIdleDuration is how long a build stays idle before its memory is read.
	platformIdleDuration = 500 * time.Millisecond
	// statsInterval is the pause between two reads of the stats, and statsTimeout bounds each read.
	statsInterval = 100 * time.Millisecond
	statsTimeout  = time.Second
)

// platformSettings has the settings of a small deployment in the platform's format.
const platformSettings = `{
"peers-total":1,"rank":0,"resolution-us":2000,"discovery":"pushed","areas":[""],"kinds":[""],
"limits":{"max-attempts":3,"cancel":true,"dial-timeout-us":250000,"conn-idle-us":30000000,"open-cap":4000},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,
	"warm-within-us":15000000},
"specifics":{"max-units":1},
"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":1000000,"give-up-us":3000000}],
"tiers-of-service":[{"name":"wide","value-factor":1.0}]
}`

// platformConfigFormat is the configuration file of a build of cmd/gapgap. Its arguments are the listening address, the
// address of discovery, the initial endpoint list and platformSettings.
const platformConfigFormat = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1",` +
	`"limits":{"cores":1.0,"memory_mb":64,"sockets":384},"known":%s,"settings":%s}`

// platformFlags are the flags of the platform command.
type platformFlags struct {
	// valueBytes has the sizes of the values in responses. There is a load interval for each.
	valueBytes []int
	// readsStats adds runs in which the stats are read ten times per second.
	readsStats bool
}

// newPlatformCommand returns the command that measures builds of cmd/gapgap.
func newPlatformCommand(loads *loadFlags) *cobra.Command {
	flags := &platformFlags{}
	command := &cobra.Command{
		Use:   "platform GAPGAP...",
		Short: "Compare builds of cmd/gapgap under the same load",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return runPlatform(args, flags, loads)
		},
	}
	command.Flags().IntSliceVar(&flags.valueBytes, "value", []int{5},
		"size of the values in responses in bytes, a load interval for each")
	command.Flags().BoolVar(&flags.readsStats, "figures", false,
		"alternately without and with reading the stats ten times per second")
	return command
}

// runPlatform runs builds of cmd/gapgap one after the other under the same load, and prints the resource usage of each.
func runPlatform(builds []string, flags *platformFlags, loads *loadFlags) error {
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
	turns := []bool{false}
	if flags.readsStats {
		turns = []bool{false, true}
	}
	for range loads.rounds {
		for _, build := range builds {
			for _, size := range flags.valueBytes {
				fakes.FlagServers[0].Set(flagserver.Config{Value: strings.Repeat("v", size)})
				for _, readsStats := range turns {
					run := &platformRun{
						build:      build,
						dir:        dir,
						valueBytes: size,
						readsStats: readsStats,
						duration:   loads.duration,
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
	// dir is the directory for the configuration file and the process's temporary files.
	dir        string
	valueBytes int
	readsStats bool
	duration   time.Duration
}

// measure runs the build with the given fakes and prints its resource usage.
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
	defer func() { _ = command.Process.Kill() }() // no effect if it has exited
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
	_ = command.Wait() // the exit status does not affect the measurement
	cpu := command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	fmt.Printf("%s, stats read %t, values of %d bytes: %.1f MB idle, %.1f MB after %d requests (%d not served), "+
		"%.1f us CPU per request, p99 %v\n", filepath.Base(filepath.Dir(r.build)), r.readsStats, r.valueBytes,
		idleMB, busyMB, result.answered, result.unserved, cpu.Seconds()*1e6/float64(result.answered), result.p99())
	return nil
}

// environment writes the configuration file and returns the process's environment, which refers to it.
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

// startStatsReader sets the address for operators of a command that was not started yet, and reads the stats there
// until stop is called.
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

// readStats reads the stats ten times per second until stop is closed.
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
		_, _ = io.WriteString(conn, "INFO\n") // a failed read is repeated after the interval
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

// unusedAddress returns a TCP address on loopback that is not in use.
func unusedAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// waitUntilListening waits until an address accepts connections, for at most platformStartTimeout.
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

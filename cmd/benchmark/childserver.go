package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/service/hosted"
)

const (
	// childGCPercent is the GOGC value that cmd/gapgapd sets with a memory limit. The bare server uses it too.
	childGCPercent = 400
	// profileVariable is the environment variable with the file name for a CPU profile of a gateway's whole run.
	profileVariable = "MEASURE_PROFILE"
)

// newChildCommands returns the hidden commands that startChild runs.
func newChildCommands() []*cobra.Command {
	return []*cobra.Command{
		{
			Use:    "flood ADDRESS",
			Args:   cobra.ExactArgs(1),
			Hidden: true,
			RunE:   func(_ *cobra.Command, args []string) error { return runPoolFlood(args[0]) },
		},
		{
			Use:    "serve-bare",
			Args:   cobra.NoArgs,
			Hidden: true,
			RunE:   func(*cobra.Command, []string) error { return serveBare() },
		},
		{
			Use:    "serve-door FILE",
			Args:   cobra.ExactArgs(1),
			Hidden: true,
			RunE:   func(_ *cobra.Command, args []string) error { return serveGateway(args[0]) },
		},
	}
}

// serveBare responds to all requests with status 200 and an empty body until the parent closes the pipe.
func serveBare() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	debug.SetGCPercent(childGCPercent)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(listener, handler) }() // it serves until the process exits
	fmt.Printf("http=%s\n", listener.Addr())
	reportUsage()
	return nil
}

// serveGateway runs a gateway with a configuration file until the parent closes the pipe.
func serveGateway(file string) error {
	cfg, err := hosted.Load(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(childGCPercent)
	service, err := hosted.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	go service.Serve(context.Background())
	for _, listener := range cfg.Listeners {
		fmt.Printf("%s=%s\n", listener.Name, service.Addr(listener.Name))
	}
	for !service.Ready() {
		time.Sleep(time.Millisecond)
	}
	if name := os.Getenv(profileVariable); name != "" {
		profile, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = profile.Close() }()
		if err := pprof.StartCPUProfile(profile); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	reportUsage()
	return nil
}

// reportUsage tells the parent that this process is ready, and prints its resource usage for each line that the parent
// sends. It returns when the parent closes the pipe.
func reportUsage() {
	fmt.Println(readyLine)
	for requests := bufio.NewScanner(os.Stdin); requests.Scan(); {
		var times syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times) // fails only for invalid arguments
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		fmt.Println(times.Utime.Nano()+times.Stime.Nano(), memory.Mallocs, ownResidentBytes())
	}
}

// ownResidentBytes returns this process's resident memory, or 0 if the system does not provide it.
func ownResidentBytes() int64 {
	sizes, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(sizes), &total, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

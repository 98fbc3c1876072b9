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
	// childGCPercent is what cmd/gapgapd has with a memory limit. The bare server has it too.
	childGCPercent = 400
	// profileVariable is the environment variable that names a file for a CPU profile of a gateway's whole run.
	profileVariable = "MEASURE_PROFILE"
)

// newChildCommands are the commands that this program starts of itself as children.
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

// serveBare answers all requests with status 200 and nothing else, until the parent closes the pipe.
func serveBare() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	debug.SetGCPercent(childGCPercent)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(listener, handler) }() // it serves as long as the process lasts
	fmt.Printf("http=%s\n", listener.Addr())
	reportUsage()
	return nil
}

// serveGateway runs a gateway by a configuration file until the parent closes the pipe.
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

// reportUsage tells the parent that this process serves, and then its usage for each line that the parent sends. It
// returns when the parent closes the pipe.
func reportUsage() {
	fmt.Println(readyLine)
	for requests := bufio.NewScanner(os.Stdin); requests.Scan(); {
		var times syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times) // it fails for bad arguments only
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		fmt.Println(times.Utime.Nano()+times.Stime.Nano(), memory.Mallocs, ownResidentBytes())
	}
}

// ownResidentBytes is this process's resident memory; 0: the system does not tell.
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

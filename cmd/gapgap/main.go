// Command gapgap is one front door: it meters customers' quotas and passes their requests on to a shared fleet.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"snowhall/internal/front"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gapgap:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt, and then until what was taken is answered.
func run() error {
	cfg, err := readConfig()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1) // a front door has one core: more threads would only take turns on it
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4) // the rest is for stacks, sockets and the kernel
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Name)
	f, err := front.New(cfg, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	f.Run(ctx, ln)
	return nil
}

// readConfig reads the file that NODE_CONFIG names; the other variables go before what it says.
func readConfig() (*front.Config, error) {
	file, err := os.Open(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	defer file.Close()
	cfg, err := front.ReadConfig(file)
	if err != nil {
		return nil, err
	}
	for name, to := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	return cfg, cfg.Check()
}

// Command gapgap is one front door: it meters customers' quotas and passes their requests on to a shared fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"gapgap/internal/service"
)

// gcPercent is how much garbage may gather for each live byte. The heap has few MB, so collections would else come
// often; the memory limit makes them come sooner where that is needed.
const gcPercent = 400

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gapgap:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt, and then until what was taken is answered. SIGHUP makes it read the
// configuration again.
func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: by default the signal ends the program
	defer signal.Stop(hup)
	cfg, err := readConfig()
	if err == nil && cfg.Control != "" {
		cfg.Dir = os.Getenv("TMPDIR")
	}
	if err == nil && os.Getenv("NODE_TRACE") == "1" {
		cfg.Trace = os.Stderr
	}
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1) // a front door has one core: more threads would only take turns on it
	memory := func(beside bool) {
		if cfg.MemoryMB <= 0 {
			return
		}
		limit := int64(cfg.MemoryMB) << 20 * 3 / 4 // the rest is for stacks, sockets and the kernel
		if beside {
			limit /= 2
		}
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(gcPercent)
	}
	memory(false)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Name)
	var operators net.Listener
	if cfg.Control != "" {
		if operators, err = net.Listen("tcp", cfg.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if err := cfg.Settings.Validate(); err != nil { // all that can fail, before a process that serves is asked to hand over
		return fmt.Errorf("settings: %w", err)
	}
	old, err := service.Inherit(cfg)
	if err != nil {
		log.Error("nothing is taken over from the process before", "error", err)
	}
	f, err := service.NewPlatform(cfg, log)
	if err != nil {
		return err
	}
	f.Beside = memory
	ln, err := listen(f, old, cfg, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go reload(hup, ended, f, log)
	f.Serve(ctx, ln, operators)
	return nil
}

// listen takes the listening socket over from the process before, or makes one. Where operators call, there may be two processes
// for the time of an upgrade.
func listen(f *service.Platform, old *service.Inheritance, cfg *service.Config, log *slog.Logger) (net.Listener, error) {
	if old != nil {
		err := f.Succeed(old)
		if err == nil {
			return old.Listener, nil
		}
		log.Error("nothing is taken over from the process before", "error", err)
	}
	lc := net.ListenConfig{}
	if cfg.Control != "" {
		lc.Control = reusePort
	}
	return lc.Listen(context.Background(), "tcp", cfg.Listen)
}

// reusePort lets a second process listen on the same address.
func reusePort(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) })
	return errors.Join(err, failed)
}

const soReusePort = 15 // SO_REUSEPORT, which package syscall lacks here

// reload reads the file again at each signal. The file now goes before the environment, which tells what held at
// the start.
func reload(hup <-chan os.Signal, ended <-chan struct{}, f *service.Platform, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ended:
			return
		}
		if err := f.Reload(readFile); err != nil {
			log.Error("the new configuration is not used", "error", err)
		}
	}
}

// readConfig reads the configuration; the other variables go before what the file says.
func readConfig() (*service.Config, error) {
	cfg, err := readFile()
	if err != nil {
		return nil, err
	}
	for name, to := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery, "NODE_CONTROL": &cfg.Control} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	return cfg, cfg.Check()
}

// readFile reads the file that NODE_CONFIG names.
func readFile() (*service.Config, error) {
	file, err := os.Open(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	defer file.Close()
	return service.ReadConfig(file)
}

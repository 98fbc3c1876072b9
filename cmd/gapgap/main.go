// Command gapgap is a gateway: it enforces customers' quotas and forwards their requests to a shared fleet of backends.
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

// gcPercent is the GOGC value. The live heap has only a few MB, so with the default collections would be frequent. The
// memory limit starts them earlier when memory runs short.
const gcPercent = 400

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gapgap:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt, and then until the accepted requests are answered. SIGHUP reloads the
// configuration.
func run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: by default the signal ends the process
	defer signal.Stop(hup)
	cfg, err := readConfig()
	if err == nil && cfg.Control != "" {
		cfg.StateDir = os.Getenv("TMPDIR")
	}
	if err == nil && os.Getenv("NODE_TRACE") == "1" {
		cfg.Trace = os.Stderr
	}
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(1) // a gateway is given one CPU core, on which more threads would only compete
	setMemoryLimit := func(overlapping bool) {
		if cfg.MemoryMB <= 0 {
			return
		}
		limit := int64(cfg.MemoryMB) << 20 * 3 / 4 // the rest is for stacks, sockets and the kernel
		if overlapping {
			limit /= 2
		}
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(gcPercent)
	}
	setMemoryLimit(false)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Name)
	var adminListener net.Listener
	if cfg.Control != "" {
		if adminListener, err = net.Listen("tcp", cfg.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if err := cfg.Settings.Validate(); err != nil { // before the serving process is asked to hand over
		return fmt.Errorf("settings: %w", err)
	}
	old, err := service.BeginTakeover(cfg)
	if err != nil {
		log.Error("nothing is taken over from the process before", "error", err)
	}
	g, err := service.NewGateway(cfg, log)
	if err != nil {
		return err
	}
	g.OnOverlap = setMemoryLimit
	ln, err := listen(g, old, cfg, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go reload(hup, ended, g, log)
	g.Serve(ctx, ln, adminListener)
	return nil
}

// listen takes over the listening socket of the old process, or opens one. With an admin address two processes may
// listen during an upgrade, so they share the port.
func listen(g *service.Gateway, old *service.Takeover, cfg *service.Config, log *slog.Logger) (net.Listener, error) {
	if old != nil {
		err := g.CompleteTakeover(old)
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
	var optionErr error
	err := rc.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	})
	return errors.Join(err, optionErr)
}

const soReusePort = 15 // SO_REUSEPORT, which package syscall does not define on this platform

// reload applies the file again at each signal. The environment does not override it then: it describes the state at
// the start, and the file may be newer.
func reload(hup <-chan os.Signal, ended <-chan struct{}, g *service.Gateway, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ended:
			return
		}
		if err := g.Reload(readFile); err != nil {
			log.Error("the new configuration is not used", "error", err)
		}
	}
}

// readConfig reads the configuration file. The other environment variables override it.
func readConfig() (*service.Config, error) {
	cfg, err := readFile()
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery, "NODE_CONTROL": &cfg.Control} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	return cfg, cfg.Check()
}

// readFile reads the configuration file that NODE_CONFIG names.
func readFile() (*service.Config, error) {
	file, err := os.Open(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	defer file.Close()
	return service.ReadConfig(file)
}

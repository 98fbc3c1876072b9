package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"gapgap/internal/service/hosted"
)

// gcPercent is the GOGC value. The live heap is only a few MB, so the default of 100 would collect too often. The
// memory limit triggers earlier collections when memory runs short.
const gcPercent = 400

// heapFraction is the fraction of node.memory_mb that is set as the Go runtime's soft memory limit. The rest is left
// for sockets and the kernel.
const heapFraction = 0.75

// serve runs the service until SIGTERM or an interrupt, and reloads the file on SIGHUP. The service then shuts down as
// described at [hosted.Service.Serve]. During the shutdown SIGTERM and interrupts are ignored, and SIGHUP is rejected
// with a log message.
func serve(file string, log *slog.Logger) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first of all, because by default SIGHUP terminates the process
	defer signal.Stop(reloads)
	config, err := loadConfig(file)
	if err != nil {
		return err
	}
	if config.Node.MemoryMB > 0 {
		limitMemory(config.Node.MemoryMB)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log = log.With("name", config.Node.Name)
	service, err := hosted.New(config, log)
	if err != nil {
		return err
	}
	go reload(service, file, reloads, log)
	service.Serve(ctx)
	return nil
}

// loadConfig reads the initial configuration of the process.
func loadConfig(file string) (*hosted.Config, error) {
	config, err := hosted.Load(file)
	if err != nil {
		return nil, err
	}
	if config.Fleet != nil {
		config.Disk, err = stateDisk(config.Fleet.StateDir)
		if err != nil {
			return nil, err
		}
	}
	config.Ahead = clockAhead()
	return config, nil
}

// limitMemory configures the garbage collector for a process limited to the given number of MiB.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(int64(megabytes)<<20)))
}

// reload reloads the file on each signal until the service has stopped. If the file can't be read, is invalid, or is
// rejected by [hosted.Service.Reload], an error is logged and the service keeps its configuration.
func reload(service *hosted.Service, file string, reloads <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-service.Done():
			return
		case <-reloads:
		}
		config, err := hosted.Load(file)
		if err == nil {
			err = service.Reload(config)
		}
		if err != nil {
			log.Error("the new configuration is not used", "error", err)
		}
	}
}

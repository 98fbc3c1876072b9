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

// gcPercent is the value of GOGC: garbage may grow to so many percent of the live heap, which has few MB, so
// collections would otherwise be frequent. The memory limit makes them come sooner where that is needed.
const gcPercent = 400

// heapFraction is the part of node.memory_mb that is the Go runtime's soft memory limit; the rest is for sockets and
// the kernel.
const heapFraction = 0.75

// serve runs the service until SIGTERM or an interrupt, and reloads the file at SIGHUP. The service then shuts down as
// [hosted.Service.Serve] says; meanwhile SIGTERM and interrupts are ignored, and SIGHUP is refused with a log line.
func serve(file string, log *slog.Logger) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // before anything else: by default the signal ends the program
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

// loadConfig reads the configuration with which the process starts.
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

// limitMemory sets the garbage collection for a memory in MiB.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(int64(megabytes)<<20)))
}

// reload reads the file again at each signal until the service has ended. A file that can't be read, is invalid, or
// that [hosted.Service.Reload] does not accept is logged as an error and changes nothing: the service goes on as it
// was.
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

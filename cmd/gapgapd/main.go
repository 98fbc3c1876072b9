// Command gapgapd is the service: one core behind listeners of several protocols.
//
//	gapgapd run FILE      serve until SIGTERM, then until what was taken is answered; SIGHUP reads the file again
//	gapgapd check FILE    say what is wrong with a configuration, without starting
//	gapgapd hash          read an API key from standard input and print what goes into the file
package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/service/hosted"
)

// gcPercent is how much garbage may gather for each live byte: the heap has few MB, so collections would else come often.
// The memory limit makes them come sooner where that is needed.
const gcPercent = 400

func main() { os.Exit(cli.Run(context.Background(), command(), os.Args[1:], os.Stderr)) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "gapgapd", Short: "One core behind listeners of several protocols"}
	var log cli.Log
	run := &cobra.Command{Use: "run FILE", Short: "Serve until SIGTERM; SIGHUP reads the file again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			l, err := log.Logger()
			if err != nil {
				return err
			}
			return serve(args[0], l)
		}}
	log.Flags(run)
	check := &cobra.Command{Use: "check FILE", Short: "Say what is wrong with a configuration, without starting", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := hosted.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
			return nil
		}}
	hash := &cobra.Command{Use: "hash", Short: "Read an API key from standard input and print what goes into the file", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			key, err := bufio.NewReader(c.InOrStdin()).ReadString('\n')
			if key = strings.TrimRight(key, "\r\n"); key == "" {
				return errors.Join(errors.New("no key on standard input"), err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%x\n", sha256.Sum256([]byte(key)))
			return nil
		}}
	root.AddCommand(run, check, hash)
	return root
}

func serve(file string, log *slog.Logger) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: by default the signal ends the program
	defer signal.Stop(hup)
	cfg, err := hosted.Load(file)
	if err != nil {
		return err
	}
	if cfg.Fleet != nil {
		if cfg.Disk, err = stateDisk(cfg.Fleet.StateDir); err != nil {
			return err
		}
	}
	cfg.Ahead = clockAhead()
	if cfg.Node.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(cfg.Node.MemoryMB) << 20 * 3 / 4) // the rest is for stacks, sockets and the kernel
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log = log.With("name", cfg.Node.Name)
	s, err := hosted.New(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-s.Done():
				return
			case <-hup:
			}
			cfg, err := hosted.Load(file)
			if err == nil {
				err = s.Reload(cfg)
			}
			if err != nil {
				log.Error("the new configuration is not used", "error", err)
			}
		}
	}()
	s.Serve(ctx)
	return nil
}

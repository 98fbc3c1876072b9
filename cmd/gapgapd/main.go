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
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"snowhall/internal/service/hosted"
)

// gcPercent is how much garbage may gather for each live byte: the heap has few MB, so collections would else come often.
// The memory limit makes them come sooner where that is needed.
const gcPercent = 400

const usage = "usage: gapgapd run FILE | gapgapd check FILE | gapgapd hash"

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "gapgapd:", err)
		os.Exit(1)
	}
}

func run(args []string, in io.Reader, out io.Writer) error {
	switch {
	case len(args) == 2 && args[0] == "run":
		return serve(args[1])
	case len(args) == 2 && args[0] == "check":
		if _, err := hosted.Load(args[1]); err != nil {
			return err
		}
		fmt.Fprintln(out, args[1]+": good")
		return nil
	case len(args) == 1 && args[0] == "hash":
		key, err := bufio.NewReader(in).ReadString('\n')
		if key = strings.TrimRight(key, "\r\n"); key == "" {
			return errors.Join(errors.New("no key on standard input"), err)
		}
		fmt.Fprintf(out, "%x\n", sha256.Sum256([]byte(key)))
		return nil
	}
	return errors.New(usage)
}

func serve(file string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: by default the signal ends the program
	defer signal.Stop(hup)
	cfg, err := hosted.Load(file)
	if err != nil {
		return err
	}
	if cfg.Node.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(cfg.Node.MemoryMB) << 20 * 3 / 4) // the rest is for stacks, sockets and the kernel
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("name", cfg.Node.Name)
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

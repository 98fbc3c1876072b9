package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	// readyLine is what a child prints when it serves.
	readyLine = "ready"
	// usageRequest is what a child reads when it is asked for its usage.
	usageRequest = "use\n"
)

// child is a server that runs in a process of its own.
type child struct {
	command *exec.Cmd
	// input is the child's standard input. The child ends when it is closed.
	input io.WriteCloser
	// output is the child's standard output.
	output *bufio.Reader
	// addresses are where the child listens, by the names of its listeners.
	addresses map[string]string
}

// startChild starts this program again, with one thread for Go code, and waits until it serves. The arguments are those
// of one of newChildCommands.
func startChild(args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{command: exec.Command(self, args...), addresses: map[string]string{}}
	c.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	c.command.Stderr = os.Stderr
	if c.input, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.output = bufio.NewReader(output)
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	if err := c.readAddresses(); err != nil {
		return nil, err
	}
	return c, nil
}

// readAddresses reads a line name=address for each listener, up to readyLine.
func (c *child) readAddresses() error {
	for {
		line, err := c.output.ReadString('\n')
		if err != nil {
			return fmt.Errorf("the server did not start: %w", err)
		}
		line = strings.TrimSpace(line)
		if line == readyLine {
			return nil
		}
		name, address, _ := strings.Cut(line, "=")
		c.addresses[name] = address
	}
}

// usage is what a process has used since it started.
type usage struct {
	cpu         time.Duration
	allocations uint64
	// residentBytes is the memory that it has now.
	residentBytes int64
}

// residentMB is the resident memory in MiB.
func (u usage) residentMB() float64 { return float64(u.residentBytes) / (1 << 20) }

// usage asks the child for its usage.
func (c *child) usage() (used usage, err error) {
	if _, err := io.WriteString(c.input, usageRequest); err != nil {
		return usage{}, err
	}
	_, err = fmt.Fscanf(c.output, "%d %d %d\n", &used.cpu, &used.allocations, &used.residentBytes)
	return used, err
}

// close ends the child and waits for it.
func (c *child) close() {
	_ = c.input.Close()
	_ = c.command.Wait() // how it ended does not change what was measured
}

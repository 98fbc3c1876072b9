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
	// readyLine is the line that a child prints when it is ready.
	readyLine = "ready"
	// usageRequest is the line that asks a child for its resource usage.
	usageRequest = "use\n"
)

// child is a server that runs in a separate process.
type child struct {
	command *exec.Cmd
	// input is the child's standard input. The child exits when it is closed.
	input io.WriteCloser
	// output is the child's standard output.
	output *bufio.Reader
	// addresses has the child's listening addresses by listener name.
	addresses map[string]string
}

// startChild starts this executable as a child with GOMAXPROCS=1 and waits until it is ready. The arguments are the
// command line of one of newChildCommands.
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

// readAddresses reads a line of the form name=address for each listener until readyLine.
func (c *child) readAddresses() error {
	for {
		line, err := c.output.ReadString('\n')
		if err != nil {
			return fmt.Errorf("child server did not start: %w", err)
		}
		line = strings.TrimSpace(line)
		if line == readyLine {
			return nil
		}
		name, address, _ := strings.Cut(line, "=")
		c.addresses[name] = address
	}
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu         time.Duration
	allocations uint64
	// residentBytes is the current resident memory.
	residentBytes int64
}

// residentMB returns the resident memory in MiB.
func (u usage) residentMB() float64 { return float64(u.residentBytes) / (1 << 20) }

// usage reads the child's resource usage.
func (c *child) usage() (used usage, err error) {
	if _, err := io.WriteString(c.input, usageRequest); err != nil {
		return usage{}, err
	}
	_, err = fmt.Fscanf(c.output, "%d %d %d\n", &used.cpu, &used.allocations, &used.residentBytes)
	return used, err
}

// close makes the child exit and waits for it.
func (c *child) close() {
	_ = c.input.Close()
	_ = c.command.Wait() // the exit status does not affect the measurement
}

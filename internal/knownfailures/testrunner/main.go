// Command testrunner runs go test with the given arguments and evaluates the run with the list of known failures in
// KNOWN-RED.txt in the working directory. Without such a file, all tests must pass.
//
//	testrunner [-alone PACKAGE,PACKAGE] [-few PACKAGE,PACKAGE] [flags of go test] PATTERN...
//
// Packages named by -few are tested two at a time after the others, and those named by -alone one at a time after that,
// as their tests need most of the machine or all of it.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"

	"gapgap/internal/knownfailures"
)

// listFile is the name of the list of known failures.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the tests and evaluates the run. Its error lists the failures.
func run(args []string) error {
	known, err := readList()
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	command := parse(args)
	runs, err := command.runs()
	if err != nil {
		return err
	}
	events, output := io.Pipe()
	result := make(chan error, 1)
	go func() {
		err := runAll(runs, output)
		_ = output.Close() // ends the events; a pipe's Close does not fail
		result <- err
	}()
	return knownfailures.Judge(knownfailures.Run{
		Events:   events,
		Output:   os.Stdout,
		Known:    known,
		Complete: slices.Contains(command.patterns, "./..."),
		Exit:     func() error { return <-result },
	})
}

// readList reads the list of known failures. It is empty if the file does not exist.
func readList() ([]knownfailures.Entry, error) {
	f, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return knownfailures.Read(f)
}

// group is a group of packages that are tested in one run.
type group struct {
	// option is the command line option that names the packages.
	option string
	// parallel is the number of packages tested at a time, the value of go test's -p.
	parallel string
	packages []string
}

// command is a parsed command line.
type command struct {
	groups   []group
	flags    []string
	patterns []string
}

// parse parses a command line.
func parse(args []string) command {
	c := command{groups: []group{{option: "-few", parallel: "2"}, {option: "-alone", parallel: "1"}}}
	for len(args) > 0 {
		index := slices.IndexFunc(c.groups, func(g group) bool { return g.option == args[0] })
		switch {
		case index >= 0 && len(args) > 1:
			c.groups[index].packages = strings.Split(args[1], ",")
			args = args[2:]
			continue
		case strings.HasPrefix(args[0], "./") || args[0] == ".":
			c.patterns = append(c.patterns, args[0])
		default:
			c.flags = append(c.flags, args[0])
		}
		args = args[1:]
	}
	return c
}

// runs returns the arguments of each run of go test: first one for the packages in no group, then one for each group.
func (c command) runs() ([][]string, error) {
	out, err := exec.Command("go", append([]string{"list"}, c.patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	packages := strings.Fields(string(out))
	var grouped [][]string
	for _, g := range c.groups {
		if len(g.packages) == 0 {
			continue
		}
		members := slices.DeleteFunc(slices.Clone(packages), func(name string) bool { return !g.has(name) })
		if len(members) != len(g.packages) {
			return nil, fmt.Errorf("%s %s: only %d of these packages are among %s",
				g.option, strings.Join(g.packages, ","), len(members), strings.Join(c.patterns, " "))
		}
		packages = slices.DeleteFunc(packages, g.has)
		grouped = append(grouped, slices.Concat([]string{"-p", g.parallel}, c.flags, members))
	}
	if len(packages) == 0 {
		return grouped, nil
	}
	return append([][]string{slices.Concat(c.flags, packages)}, grouped...), nil
}

// has reports whether the group contains a package, which is given by its import path.
func (g group) has(name string) bool {
	_, path, _ := strings.Cut(name, "/")
	return slices.Contains(g.packages, "./"+path)
}

// runAll runs go test for each list of arguments in turn and writes the events of all runs. It returns the error of the
// first run that failed.
func runAll(runs [][]string, events io.Writer) error {
	var first error
	for _, args := range runs {
		cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
		cmd.Stdout = events
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

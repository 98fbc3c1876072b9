// Package knownfailures evaluates a run of go test with a list of tests that are known to fail. Only listed tests may
// fail, each of their failures is printed, and a listed test that passes or is not run is an error, so the list stays
// current. The list excuses failed tests only. It never excuses a failed build, a panic, a data race, a timeout, or a
// package that failed without a failed test.
package knownfailures

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// neverExcused are parts of go test's output that show a failure which no list excuses.
var neverExcused = []string{
	"panic: ",
	"WARNING: DATA RACE",
	"race detected during execution",
	"test timed out after",
	"fatal error: ",
}

// Run is one run of go test.
type Run struct {
	// Events is the output of go test -json.
	Events io.Reader
	// Output receives what go test would print, with the output of failed tests, and the known failures.
	Output io.Writer
	// Known is the list of known failures.
	Known []Entry
	// Complete tells that the run has all packages, so the package of each listed test must be among them.
	Complete bool
	// Exit returns the error with which go test ended. It is called after the last event.
	Exit func() error
}

// Judge reads a run and returns its failures, one per line. It returns nil if nothing but listed tests failed.
func Judge(run Run) error {
	packages, err := readEvents(run.Events, run.Output)
	if err != nil {
		return err
	}
	var failures []string
	for name, result := range packages {
		failures = append(failures, result.failures(name, run.Known)...)
	}
	excused, stale := checkListed(run, packages)
	failures = append(failures, stale...)
	if err := run.Exit(); err != nil && len(failures) == 0 && excused == 0 {
		failures = append(failures, fmt.Sprintf("go test: %v", err))
	}
	if len(packages) == 0 {
		failures = append(failures, "no package was tested")
	}
	if len(failures) == 0 {
		return nil
	}
	slices.Sort(failures)
	return errors.New(strings.Join(failures, "\n"))
}

// checkListed prints and counts the listed tests that failed, and returns an error line for each stale entry of the
// list.
func checkListed(run Run, packages map[string]*packageResult) (excused int, stale []string) {
	for _, entry := range run.Known {
		result := packages[entry.Package]
		if result == nil {
			if run.Complete {
				stale = append(stale, entry.name()+" is listed, and there is no such package")
			}
			continue
		}
		switch result.tests[entry.Test] {
		case "fail":
			excused++
			_, _ = fmt.Fprintf(run.Output, "known red: %s: %s (issue %s)\n", entry.name(), entry.Seen, entry.Issue)
		case "":
			stale = append(stale, entry.name()+" is listed and was not run")
		case "pass":
			if entry.Flaky == "" {
				stale = append(stale, entry.name()+" is listed and did not fail")
				continue
			}
			_, _ = fmt.Fprintf(run.Output, "known flaky, passed: %s (failed %s)\n", entry.name(), entry.Flaky)
		default:
			stale = append(stale, entry.name()+" is listed and did not fail")
		}
	}
	return excused, stale
}

// packageResult is the result of one package.
type packageResult struct {
	// action is the event action with which the package ended; empty: it has not ended.
	action string
	// tests are the actions with which the top-level tests ended, by name.
	tests map[string]string
	// output has the lines of the tests that have not ended, by name.
	output map[string][]string
	// unexcused is the output line of a failure that no list excuses.
	unexcused string
}

// failures returns the failures of a package beside those of listed tests.
func (p *packageResult) failures(name string, known []Entry) (failures []string) {
	failed := 0
	for test, action := range p.tests {
		if action != "fail" {
			continue
		}
		failed++
		if !slices.ContainsFunc(known, func(e Entry) bool { return e.Package == name && e.Test == test }) {
			failures = append(failures, fmt.Sprintf("%s.%s failed", name, test))
		}
	}
	switch {
	case p.unexcused != "" && p.action != "pass":
		failures = append(failures, fmt.Sprintf("%s: %s", name, p.unexcused))
	case p.action == "fail" && failed == 0:
		failures = append(failures, name+" failed with no test failing")
	case p.action == "":
		failures = append(failures, name+" did not end")
	}
	return failures
}

// event is a line of the output of go test -json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// readEvents reads all events and writes what go test would print.
func readEvents(events io.Reader, out io.Writer) (map[string]*packageResult, error) {
	packages := map[string]*packageResult{}
	in := bufio.NewReader(events)
	for {
		line, err := in.ReadBytes('\n')
		if len(line) > 0 {
			readEvent(packages, line, out)
		}
		if errors.Is(err, io.EOF) {
			return packages, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEvent processes one line. A line that is no event is output of the tool chain and is copied.
func readEvent(packages map[string]*packageResult, line []byte, out io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		_, _ = out.Write(line)
		return
	}
	if e.Package == "" {
		_, _ = io.WriteString(out, e.Output)
		return
	}
	result := packages[e.Package]
	if result == nil {
		result = &packageResult{tests: map[string]string{}, output: map[string][]string{}}
		packages[e.Package] = result
	}
	switch e.Action {
	case "output":
		result.addOutput(e, out)
	case "pass", "fail", "skip":
		result.end(e, out)
	}
}

// addOutput stores a line of a test's output and writes a line of the package's own output.
func (p *packageResult) addOutput(e event, out io.Writer) {
	for _, pattern := range neverExcused {
		if strings.Contains(e.Output, pattern) && p.unexcused == "" {
			p.unexcused = strings.TrimSpace(e.Output)
		}
	}
	top, _, _ := strings.Cut(e.Test, "/")
	switch {
	case e.Test != "":
		p.output[top] = append(p.output[top], e.Output)
	case e.Output != "PASS\n" && e.Output != "FAIL\n":
		_, _ = io.WriteString(out, e.Output)
	}
}

// end records the end of a test or of the package.
func (p *packageResult) end(e event, out io.Writer) {
	if e.Test == "" {
		p.action = e.Action
		if e.FailedBuild != "" {
			p.unexcused = "it does not build"
		}
		return
	}
	if strings.Contains(e.Test, "/") {
		return
	}
	p.tests[e.Test] = e.Action
	if e.Action == "fail" {
		_, _ = io.WriteString(out, strings.Join(p.output[e.Test], ""))
	}
	delete(p.output, e.Test)
}

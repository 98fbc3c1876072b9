// Package knownfailures judges a run of go test by a list of tests that are known to fail: only those may, each is
// printed, and the list can't go stale. What says more than that one test failed is never excused: a build that fails,
// a
// panic, a data race, a package that ran out of time, or one that failed with no test failing.
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

// neverExcused are marks in the output of go test of what no list excuses.
var neverExcused = []string{
	"panic: ",
	"WARNING: DATA RACE",
	"race detected during execution",
	"test timed out after",
	"fatal error: ",
}

// Run is one run of go test to be judged.
type Run struct {
	// Events is what go test -json writes.
	Events io.Reader
	// Output takes what go test would write, with the output of tests that failed, and the known failures.
	Output io.Writer
	// Known is the list.
	Known []Entry
	// Complete says that all packages are of the run: then each listed test has to be of one.
	Complete bool
	// Exit returns what go test ended with; it is called when the events are over.
	Exit func() error
}

// Judge reads a run and returns what is wrong with it, one line each; nil: nothing is, but for listed tests.
func Judge(run Run) error {
	packages, err := readEvents(run.Events, run.Output)
	if err != nil {
		return err
	}
	var wrong []string
	for name, result := range packages {
		wrong = append(wrong, result.faults(name, run.Known)...)
	}
	excused, stale := checkListed(run, packages)
	wrong = append(wrong, stale...)
	if err := run.Exit(); err != nil && len(wrong) == 0 && excused == 0 {
		wrong = append(wrong, fmt.Sprintf("go test: %v", err))
	}
	if len(packages) == 0 {
		wrong = append(wrong, "no package was tested")
	}
	if len(wrong) == 0 {
		return nil
	}
	slices.Sort(wrong)
	return errors.New(strings.Join(wrong, "\n"))
}

// checkListed prints the known failures that failed, counts them, and returns what is stale in the list.
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

// packageResult is what became of one package.
type packageResult struct {
	// ended is how the package ended; empty: it has not.
	ended string
	// tests has how each top-level test ended.
	tests map[string]string
	// output has the lines of each test that has not ended.
	output map[string][]string
	// unexcused is what makes its failure more than that of a test.
	unexcused string
}

// faults returns what is wrong with a package, but for listed tests.
func (p *packageResult) faults(name string, known []Entry) (wrong []string) {
	failed := 0
	for test, ended := range p.tests {
		if ended != "fail" {
			continue
		}
		failed++
		if !slices.ContainsFunc(known, func(e Entry) bool { return e.Package == name && e.Test == test }) {
			wrong = append(wrong, fmt.Sprintf("%s.%s failed", name, test))
		}
	}
	switch {
	case p.unexcused != "" && p.ended != "pass":
		wrong = append(wrong, fmt.Sprintf("%s: %s", name, p.unexcused))
	case p.ended == "fail" && failed == 0:
		wrong = append(wrong, name+" failed with no test failing")
	case p.ended == "":
		wrong = append(wrong, name+" did not end")
	}
	return wrong
}

// event is a line that go test -json writes.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// readEvents reads all events and writes what go test would.
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

// readEvent takes one line. What is no event is what the tool chain says by itself.
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

// addOutput keeps a line of a test, and writes one of the package itself.
func (p *packageResult) addOutput(e event, out io.Writer) {
	for _, mark := range neverExcused {
		if strings.Contains(e.Output, mark) && p.unexcused == "" {
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

// end takes the end of a test or of the package.
func (p *packageResult) end(e event, out io.Writer) {
	if e.Test == "" {
		p.ended = e.Action
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

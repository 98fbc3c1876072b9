// Package knownfailures judges a run of go test by a short list of tests that are known to fail: only those may, each is told of, and the list can't go stale. What
// says more than that one test failed is never excused: a build that fails, a panic, a data race, a package that ran out of time, or one that failed with no test
// failing.
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

// Most is how many tests may be listed.
const Most = 3

// Red is a test that is known to fail.
type Red struct {
	Package, Test string // the test is a top-level one
	Cause, Issue  string
}

// Read reads a list: a line for each test, PACKAGE.TEST; CAUSE; ISSUE. Empty lines and those that begin with # are passed over. An error names the line.
func Read(r io.Reader) ([]Red, error) {
	var all []Red
	in := bufio.NewScanner(r)
	for n := 1; in.Scan(); n++ {
		line := strings.TrimSpace(in.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		parts := strings.Split(line, ";")
		for i := range parts {
			parts[i] = strings.TrimSpace(parts[i])
		}
		dot := strings.LastIndex(parts[0], ".")
		switch {
		case len(parts) != 3 || slices.Contains(parts, ""):
			return nil, fmt.Errorf("line %d: not of the form PACKAGE.TEST; CAUSE; ISSUE", n)
		case dot <= 0 || !strings.HasPrefix(parts[0][dot+1:], "Test") || strings.Contains(parts[0][dot:], "/"):
			return nil, fmt.Errorf("line %d: %q is no package with a top-level test", n, parts[0])
		case len(all) == Most:
			return nil, fmt.Errorf("line %d: more than %d tests are listed", n, Most)
		}
		red := Red{Package: parts[0][:dot], Test: parts[0][dot+1:], Cause: parts[1], Issue: parts[2]}
		if slices.ContainsFunc(all, func(o Red) bool { return o.Package == red.Package && o.Test == red.Test }) {
			return nil, fmt.Errorf("line %d: %s is listed twice", n, parts[0])
		}
		all = append(all, red)
	}
	return all, in.Err()
}

// event is a line that go test -json writes.
type event struct {
	Action, Package, Test, Output, FailedBuild string
}

type pack struct {
	ended  string            // how the package ended; empty: it has not
	tests  map[string]string // top-level tests, and how each ended
	output map[string][]string
	worse  string // why its failure is no test's
}

// worst are marks of what is never excused.
var worst = []string{"panic: ", "WARNING: DATA RACE", "race detected during execution", "test timed out after", "fatal error: "}

// Judge reads the events of a run, writes what go test would, with the output of tests that failed, and says what is wrong with the run; nil: nothing is, but
// for listed tests, which it names. exit is what go test ended with, asked for when the events are over. Only packages of the run are looked at; with all, each
// listed test has to be of one.
func Judge(events io.Reader, out io.Writer, list []Red, all bool, exit func() error) error {
	packs := map[string]*pack{}
	in := bufio.NewReader(events)
	for {
		line, err := in.ReadBytes('\n')
		if len(line) > 0 {
			take(packs, line, out)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	var wrong []string
	excused := 0
	for name, p := range packs {
		failed := 0
		for test, ended := range p.tests {
			if ended != "fail" {
				continue
			}
			failed++
			if listed(list, name, test) == nil {
				wrong = append(wrong, fmt.Sprintf("%s.%s failed", name, test))
			}
		}
		switch {
		case p.worse != "" && p.ended != "pass":
			wrong = append(wrong, fmt.Sprintf("%s: %s", name, p.worse))
		case p.ended == "fail" && failed == 0:
			wrong = append(wrong, fmt.Sprintf("%s failed with no test failing", name))
		case p.ended == "":
			wrong = append(wrong, fmt.Sprintf("%s did not end", name))
		}
	}
	for _, r := range list {
		p := packs[r.Package]
		switch {
		case p == nil && all:
			wrong = append(wrong, fmt.Sprintf("%s.%s is listed, and there is no such package", r.Package, r.Test))
		case p == nil:
		case p.tests[r.Test] == "fail":
			excused++
			fmt.Fprintf(out, "known red: %s.%s: %s (%s)\n", r.Package, r.Test, r.Cause, r.Issue)
		case p.tests[r.Test] == "":
			wrong = append(wrong, fmt.Sprintf("%s.%s is listed and was not run", r.Package, r.Test))
		default:
			wrong = append(wrong, fmt.Sprintf("%s.%s is listed and did not fail", r.Package, r.Test))
		}
	}
	if err := exit(); err != nil && len(wrong) == 0 && excused == 0 {
		wrong = append(wrong, fmt.Sprintf("go test: %v", err))
	}
	if len(packs) == 0 {
		wrong = append(wrong, "no package was tested")
	}
	if len(wrong) == 0 {
		return nil
	}
	slices.Sort(wrong)
	return errors.New(strings.Join(wrong, "\n"))
}

func listed(list []Red, name, test string) *Red {
	for i := range list {
		if list[i].Package == name && list[i].Test == test {
			return &list[i]
		}
	}
	return nil
}

// take takes one event.
func take(packs map[string]*pack, line []byte, out io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil { // what the tool chain says by itself
		out.Write(line)
		return
	}
	if e.Package == "" {
		io.WriteString(out, e.Output)
		return
	}
	p := packs[e.Package]
	if p == nil {
		p = &pack{tests: map[string]string{}, output: map[string][]string{}}
		packs[e.Package] = p
	}
	top, _, sub := strings.Cut(e.Test, "/")
	switch e.Action {
	case "output":
		for _, mark := range worst {
			if strings.Contains(e.Output, mark) && p.worse == "" {
				p.worse = strings.TrimSpace(e.Output)
			}
		}
		if e.Test != "" {
			p.output[top] = append(p.output[top], e.Output)
		} else if e.Output != "PASS\n" && e.Output != "FAIL\n" {
			io.WriteString(out, e.Output)
		}
	case "pass", "fail", "skip":
		switch {
		case e.Test == "":
			if p.ended = e.Action; e.FailedBuild != "" {
				p.worse = "it does not build"
			}
		case !sub:
			if p.tests[top] = e.Action; e.Action == "fail" {
				io.WriteString(out, strings.Join(p.output[top], ""))
			}
			delete(p.output, top)
		}
	}
}

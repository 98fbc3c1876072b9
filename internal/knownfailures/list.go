package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Entry is one test that is known to fail, as listed in KNOWN-RED.txt.
type Entry struct {
	// Package is the import path of the test's package.
	Package string
	// Test is the name of a top-level test in the package.
	Test string
	// Command is the command that runs the test.
	Command string
	// Seed is the seed with which the failure was observed.
	Seed string
	// Seen describes the observed failure.
	Seen string
	// Issue is the open issue of the failure.
	Issue string
	// Flaky is the failure rate of a flaky test as "N of M" runs. Empty: the test fails each time, and a pass is an
	// error.
	Flaky string
}

// name returns the test's name with its package.
func (e Entry) name() string { return e.Package + "." + e.Test }

// SyntaxError is a syntax error in a list.
type SyntaxError struct {
	// Line is the line number, starting at 1.
	Line int
	// Reason describes the error.
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Read reads a list. It has a paragraph of "key: value" lines for each test, with the keys test (PACKAGE.TEST),
// command, seed, seen and issue, and the key flaky if the test fails in some runs only. Lines that begin with # are
// ignored. The error is a *SyntaxError or that of the reader.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	var paragraph map[string]string
	firstLine := 0
	finish := func() error {
		if paragraph == nil {
			return nil
		}
		entry, reason := parse(paragraph)
		if reason == "" && slices.ContainsFunc(entries, func(e Entry) bool { return e.name() == entry.name() }) {
			reason = entry.name() + " is listed twice"
		}
		if reason != "" {
			return &SyntaxError{Line: firstLine, Reason: reason}
		}
		entries = append(entries, entry)
		paragraph = nil
		return nil
	}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case strings.HasPrefix(line, "#"):
			continue
		case line == "":
			if err := finish(); err != nil {
				return nil, err
			}
			continue
		case paragraph == nil:
			paragraph = map[string]string{}
			firstLine = number
		}
		key, value, found := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		if !found || value == "" || !slices.Contains(keys, key) {
			return nil, &SyntaxError{
				Line:   number,
				Reason: fmt.Sprintf("%q is not a key with a value; the keys are %s", line, keyList),
			}
		}
		if _, repeated := paragraph[key]; repeated {
			return nil, &SyntaxError{Line: number, Reason: fmt.Sprintf("key %s is repeated", key)}
		}
		paragraph[key] = value
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return entries, finish()
}

// keys are the keys of an entry. All but the last are required.
var keys = []string{"test", "command", "seed", "seen", "issue", "flaky"}

var keyList = strings.Join(keys, ", ")

// parse parses a paragraph. The reason is empty if it is well formed, and otherwise describes the error.
func parse(paragraph map[string]string) (entry Entry, reason string) {
	for _, key := range keys[:len(keys)-1] {
		if paragraph[key] == "" {
			return entry, "the entry has no key " + key
		}
	}
	name := paragraph["test"]
	dot := strings.LastIndex(name, ".")
	if dot <= 0 || !strings.HasPrefix(name[dot+1:], "Test") || strings.Contains(name[dot:], "/") {
		return entry, fmt.Sprintf("%q is not a package with a top-level test", name)
	}
	flaky := paragraph["flaky"]
	if flaky != "" && !isRate(flaky) {
		return entry, fmt.Sprintf("flaky: %q is not of the form N of M with 0 < N < M", flaky)
	}
	return Entry{
		Package: name[:dot],
		Test:    name[dot+1:],
		Command: paragraph["command"],
		Seed:    paragraph["seed"],
		Seen:    paragraph["seen"],
		Issue:   paragraph["issue"],
		Flaky:   flaky,
	}, ""
}

// isRate reports whether a text is "N of M" with 0 < N < M.
func isRate(text string) bool {
	var failed, runs int
	n, err := fmt.Sscanf(text, "%d of %d", &failed, &runs)
	return n == 2 && err == nil && 0 < failed && failed < runs && text == fmt.Sprintf("%d of %d", failed, runs)
}

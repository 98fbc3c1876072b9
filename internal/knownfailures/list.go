package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Entry is one test that is known to fail, as KNOWN-RED.txt has it.
type Entry struct {
	// Package is the import path of the test's package.
	Package string
	// Test is the name of a top-level test of it.
	Test string
	// Command runs the test.
	Command string
	// Seed is what the test was seen to fail with.
	Seed string
	// Seen is what was seen.
	Seen string
	// Issue is the open issue that the failure belongs to.
	Issue string
	// Flaky tells of how many runs how many failed, as "N of M". Empty: it fails each time, and a pass is an error.
	Flaky string
}

// name is how go test names the test.
func (e Entry) name() string { return e.Package + "." + e.Test }

// SyntaxError is a fault in a list, by line.
type SyntaxError struct {
	// Line counts from 1.
	Line int
	// Reason is what is wrong there.
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Read reads a list: paragraphs of "key: value" lines, one paragraph for each test, with the keys test (PACKAGE.TEST),
// command, seed, seen and issue, and flaky if the test fails now and then only. Lines that begin with # are passed
// over.
// Its error is a *SyntaxError or that of the reader.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	var paragraph map[string]string
	started := 0
	finish := func() error {
		if paragraph == nil {
			return nil
		}
		entry, reason := parse(paragraph)
		if reason == "" && slices.ContainsFunc(entries, func(e Entry) bool { return e.name() == entry.name() }) {
			reason = entry.name() + " is listed twice"
		}
		if reason != "" {
			return &SyntaxError{Line: started, Reason: reason}
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
			started = number
		}
		key, value, found := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		if !found || value == "" || !slices.Contains(keys, key) {
			return nil, &SyntaxError{
				Line:   number,
				Reason: fmt.Sprintf("%q is no key with a value; keys are %s", line, keyList),
			}
		}
		if _, repeated := paragraph[key]; repeated {
			return nil, &SyntaxError{Line: number, Reason: fmt.Sprintf("key %s stands twice", key)}
		}
		paragraph[key] = value
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return entries, finish()
}

// keys are those of an entry; all but the last are required.
var keys = []string{"test", "command", "seed", "seen", "issue", "flaky"}

var keyList = strings.Join(keys, ", ")

// parse makes an entry of a paragraph. The reason is empty if it is well formed.
func parse(paragraph map[string]string) (entry Entry, reason string) {
	for _, key := range keys[:len(keys)-1] {
		if paragraph[key] == "" {
			return entry, "an entry without " + key
		}
	}
	name := paragraph["test"]
	dot := strings.LastIndex(name, ".")
	if dot <= 0 || !strings.HasPrefix(name[dot+1:], "Test") || strings.Contains(name[dot:], "/") {
		return entry, fmt.Sprintf("%q is no package with a top-level test", name)
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

// isRate tells whether a text is "N of M" with 0 < N < M.
func isRate(text string) bool {
	var failed, runs int
	n, err := fmt.Sscanf(text, "%d of %d", &failed, &runs)
	return n == 2 && err == nil && 0 < failed && failed < runs && text == fmt.Sprintf("%d of %d", failed, runs)
}

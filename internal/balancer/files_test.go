package balancer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// Each file holds one rule and stays short enough to be read at once.
func TestFileSizeLimits(t *testing.T) {
	const (
		maxLines = 500 // that are not blank
		maxWidth = 120 // characters
	)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		checked++
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for _, line := range bytes.Split(text, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			if n := utf8.RuneCount(line); n > maxWidth {
				t.Errorf("%s: %d characters: %s", file, n, line)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, at most %d wanted", file, lines, maxLines)
		}
	}
	if checked < 20 {
		t.Errorf("%d files were checked, at least 20 wanted", checked)
	}
}

package balancer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestFileSizeLimits verifies that every source file is short and its lines are narrow. Each file implements one rule
// and should be readable in one go.
func TestFileSizeLimits(t *testing.T) {
	const (
		maxLines = 500 // excluding blank lines
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
				t.Errorf("%s: line of %d characters: %s", file, n, line)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d non-blank lines, want at most %d", file, lines, maxLines)
		}
	}
	if checked < 20 {
		t.Errorf("checked %d files, want at least 20", checked)
	}
}

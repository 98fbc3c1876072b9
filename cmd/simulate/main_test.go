package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/cli"
)

// simulate runs a command line and returns its exit code, standard output and standard error.
func simulate(t *testing.T, args ...string) (code int, output, errorOutput string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	root := newRootCommand()
	root.SetOut(&stdout)
	code = cli.Run(t.Context(), root, args, &stderr)
	return code, stdout.String(), stderr.String()
}

// libraryScripts returns the file names of the scripts in the directory scenarios.
func libraryScripts(t *testing.T) []string {
	t.Helper()
	scripts, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(scripts) == 0 {
		t.Fatal(err, "no scripts")
	}
	return scripts
}

// TestLibraryKeepsTheRules verifies that each script in the directory scenarios is valid and runs without violations.
func TestLibraryKeepsTheRules(t *testing.T) {
	for _, script := range libraryScripts(t) {
		code, output, errorOutput := simulate(t, "run", script)
		if code != cli.Good || !strings.Contains(output, "service 0.") {
			t.Errorf("%s: %d %s %s", script, code, output[max(0, len(output)-500):], errorOutput)
		}
	}
}

// TestCommandLine verifies the commands run, diff and check. diff must accept identical reports, and fail for a report
// of another seed and for a file that is not a report.
func TestCommandLine(t *testing.T) {
	script := libraryScripts(t)[0]
	dir := t.TempDir()
	reports := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	for i, seed := range []string{"7", "8"} {
		_, output, errorOutput := simulate(t, "run", script, "--json", "--seed", seed)
		if err := os.WriteFile(reports[i], []byte(output), 0o600); err != nil || errorOutput != "" {
			t.Fatal(err, errorOutput)
		}
	}
	code, output, errorOutput := simulate(t, "diff", reports[0], reports[0])
	if code != cli.Good || !strings.Contains(output, "service") {
		t.Errorf("%d %s %s", code, output, errorOutput)
	}
	code, _, errorOutput = simulate(t, "diff", reports[0], reports[1], "--within", "0")
	if code != cli.Failed || errorOutput == "" {
		t.Errorf("%d %s", code, errorOutput)
	}
	code, _, errorOutput = simulate(t, "diff", reports[0], script)
	if code != cli.Failed || !strings.Contains(errorOutput, script) {
		t.Errorf("%d %s", code, errorOutput)
	}
	if code, _, _ := simulate(t, "check", script); code != cli.Good {
		t.Error(code)
	}
}

// TestPage verifies that the HTML page of a run contains its plots and trace, and no scripts or external resources.
func TestPage(t *testing.T) {
	html := filepath.Join(t.TempDir(), "page.html")
	code, output, errorOutput := simulate(t, "run", libraryScripts(t)[0], "--html", html)
	if code != cli.Good || !strings.Contains(output, "plan     business") {
		t.Errorf("%d %s %s", code, output, errorOutput)
	}
	data, err := os.ReadFile(html)
	text := string(data)
	if err != nil || strings.Count(text, "<svg") != 3 || strings.Contains(text, "<script") ||
		strings.Contains(text, "src=") || !strings.Contains(text, "killed begins") {
		t.Errorf("unexpected page content: %v, %d bytes", err, len(data))
	}
}

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/cli"
)

// A run is printed, compared with itself and with one of another seed.
func TestRehearsalCommandLine(t *testing.T) {
	line := func(args ...string) (int, string, string) {
		var o, e bytes.Buffer
		c := command()
		c.SetOut(&o)
		return cli.Run(t.Context(), c, args, &e), o.String(), e.String()
	}
	scripts, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(scripts) == 0 {
		t.Fatal(err, "no scripts")
	}
	for _, s := range scripts { // the library: each is good and keeps the rules
		if code, out, errs := line("run", s); code != cli.Good || !strings.Contains(out, "service 0.") {
			t.Errorf("%s: %d %s %s", s, code, out[max(0, len(out)-500):], errs)
		}
	}
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}
	for i, seed := range []string{"7", "8"} {
		_, out, errs := line("run", scripts[0], "--json", "--seed", seed)
		if err := os.WriteFile(files[i], []byte(out), 0o600); err != nil || errs != "" {
			t.Fatal(err, errs)
		}
	}
	if code, out, errs := line("diff", files[0], files[0]); code != cli.Good || !strings.Contains(out, "service") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	if code, _, errs := line("diff", files[0], files[1], "--within", "0"); code != cli.Failed || errs == "" {
		t.Errorf("%d %s", code, errs)
	}
	if code, _, errs := line("diff", files[0], scripts[0]); code != cli.Failed || !strings.Contains(errs, scripts[0]) {
		t.Errorf("%d %s", code, errs)
	}
	if code, _, _ := line("check", scripts[0]); code != cli.Good {
		t.Error(code)
	}
	html := filepath.Join(dir, "page.html")
	if code, out, errs := line("run", scripts[0], "--html", html); code != cli.Good || !strings.Contains(out, "plan     business") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	data, err := os.ReadFile(html)
	if text := string(data); err != nil || strings.Count(text, "<svg") != 3 || strings.Contains(text, "<script") || strings.Contains(text, "src=") || !strings.Contains(text, "killed begins") {
		t.Errorf("the page has not what it should: %v, %d bytes", err, len(data))
	}
}

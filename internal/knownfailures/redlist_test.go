package knownfailures

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	got, err := Read(strings.NewReader("# comment\n\nsnowhall/internal/x.TestOne; it is slow; issue 41\n"))
	if err != nil || len(got) != 1 || got[0] != (Red{"gapgap/internal/x", "TestOne", "it is slow", "issue 41"}) {
		t.Errorf("%+v, %v", got, err)
	}
	line := func(n int) string { return fmt.Sprintf("a.Test%d; c; i\n", n) }
	for name, bad := range map[string]string{
		"line 1": "a.TestOne; cause\n", "line 2": line(1) + "TestOne; c; i\n", "a sub-test": "a.TestOne/x; c; i\n", "no cause": "a.TestOne; ; i\n",
		"twice": line(1) + line(1), "line 4": line(1) + line(2) + line(3) + line(4), "no test": "a.One; c; i\n",
	} {
		if _, err := Read(strings.NewReader(bad)); err == nil || strings.HasPrefix(name, "line") && !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The judgement of real runs of go test, of a module made for it.
func TestJudge(t *testing.T) {
	ok, red := "func TestOK(t *testing.T) {}\n", "func TestRed(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"the fault\") }) }\n"
	list := []Red{{"m", "TestRed", "the fault", "issue 1"}}
	for name, c := range map[string]struct {
		code  string
		list  []Red
		wrong string // in what is said to be wrong; empty: the run passes
		says  string // in the output
	}{
		"all pass":                      {code: ok, says: "ok  \tm"},
		"a test fails":                  {code: ok + red, wrong: "m.TestRed failed", says: "the fault"},
		"a listed test fails":           {code: ok + red, list: list, says: "known red: m.TestRed: the fault (issue 1)"},
		"another one fails beside it":   {code: ok + red + "func TestOther(t *testing.T) { t.Fatal() }\n", list: list, wrong: "m.TestOther failed"},
		"a listed test passes":          {code: strings.Replace(ok, "OK", "Red", 1), list: list, wrong: "m.TestRed is listed and did not fail"},
		"a listed test is skipped":      {code: "func TestRed(t *testing.T) { t.Skip() }\n", list: list, wrong: "m.TestRed is listed and did not fail"},
		"a listed test does not exist":  {code: ok, list: list, wrong: "m.TestRed is listed and was not run"},
		"a listed package isn't there":  {code: ok, list: []Red{{"n", "TestRed", "c", "i"}}, wrong: "there is no such package"},
		"a listed test panics":          {code: "func TestRed(t *testing.T) { panic(1) }\n", list: list, wrong: "panic: 1"},
		"a listed test ends the run":    {code: ok + "func TestRed(t *testing.T) { os.Exit(1) }\n", list: list, wrong: "m failed with no test failing"},
		"a listed test takes for ever":  {code: "func TestRed(t *testing.T) { select {} }\n", list: list, wrong: "m: "},
		"it does not build":             {code: ok + "func x() { y() }\n", wrong: "m: it does not build"},
		"it does not build, and a list": {code: "func TestRed(t *testing.T) { y() }\n", list: list, wrong: "m: it does not build"},
		"a race in a listed test":       {code: "func TestRed(t *testing.T) { x := 0; c := make(chan int); go func() { x++; c <- 1 }(); x++; <-c; _ = x }\n", list: list, wrong: "m: "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			head := "package m\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"
			for file, text := range map[string]string{"go.mod": "module m\n\ngo 1.26\n", "m_test.go": head + c.code} {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			args := []string{"test", "-json", "-timeout", "3s", "./..."}
			if strings.HasPrefix(name, "a race") {
				args = []string{"test", "-json", "-race", "./..."}
			}
			cmd := exec.Command("go", args...)
			cmd.Dir = dir
			events, err := cmd.Output()
			if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			var out bytes.Buffer
			got := Judge(bytes.NewReader(events), &out, c.list, true, func() error { return err })
			switch {
			case c.wrong == "" && got != nil:
				t.Errorf("%v\n%s", got, &out)
			case c.wrong != "" && (got == nil || !strings.Contains(got.Error(), c.wrong)):
				t.Errorf("%v, want %q\n%s", got, c.wrong, &out)
			case !strings.Contains(out.String(), c.says):
				t.Errorf("no %q in\n%s", c.says, &out)
			}
		})
	}
}

// A run that says nothing, or stops in the middle, has not passed.
func TestJudgeOfHalfARun(t *testing.T) {
	none := func() error { return nil }
	for name, events := range map[string]string{"nothing": "", "no end": `{"Action":"run","Package":"m","Test":"TestOK"}` + "\n"} {
		if err := Judge(strings.NewReader(events), &bytes.Buffer{}, nil, true, none); err == nil {
			t.Errorf("%s: it passes", name)
		}
	}
}

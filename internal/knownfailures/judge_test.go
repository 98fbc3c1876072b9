package knownfailures

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// entryText is a well-formed entry of a test.
func entryText(test string) string {
	return "test: " + test + "\ncommand: go test\nseed: 7\nseen: it is slow\nissue: 41\n"
}

func TestRead(t *testing.T) {
	text := "# comment\n\n" + entryText(
		"gapgap/internal/x.TestOne",
	) + "\n" + entryText(
		"a.TestTwo",
	) + "flaky: 1 of 20\n"
	got, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	one := Entry{
		Package: "gapgap/internal/x",
		Test:    "TestOne",
		Command: "go test",
		Seed:    "7",
		Seen:    "it is slow",
		Issue:   "41",
	}
	two := one
	two.Package, two.Test, two.Flaky = "a", "TestTwo", "1 of 20"
	if !slices.Equal(got, []Entry{one, two}) {
		t.Errorf("got %+v", got)
	}
}

func TestReadErrors(t *testing.T) {
	one := entryText("a.TestOne")
	cases := []struct {
		name string
		text string
		line int
	}{
		{"no package", entryText("TestOne"), 1},
		{"no test", entryText("a.One"), 1},
		{"a subtest", entryText("a.TestOne/x"), 1},
		{"no issue", "\n" + strings.Replace(one, "issue: 41\n", "", 1), 2},
		{"no seed", strings.Replace(one, "seed: 7\n", "", 1), 1},
		{"no command", strings.Replace(one, "command: go test\n", "", 1), 1},
		{"no cause", strings.Replace(one, "seen: it is slow", "seen:", 1), 4},
		{"an unknown key", one + "cause: x\n", 6},
		{"a key twice", one + "seed: 8\n", 6},
		{"listed twice", one + "\n" + one, 7},
		{"the form before", "a.TestOne; cause; issue 1\n", 1},
		{"always flaky", one + "flaky: 3 of 3\n", 1},
		{"never flaky", one + "flaky: 0 of 3\n", 1},
		{"no rate", one + "flaky: often\n", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text))
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Line != c.line {
				t.Errorf("got %v, want an error at line %d", err, c.line)
			}
		})
	}
}

// The judgement of real runs of go test, of a module made for it.
func TestJudge(t *testing.T) {
	ok := "func TestOK(t *testing.T) {}\n"
	red := "func TestRed(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"the fault\") }) }\n"
	list := []Entry{{Package: "m", Test: "TestRed", Seen: "the fault", Issue: "1"}}
	flaky := []Entry{{Package: "m", Test: "TestRed", Seen: "the fault", Issue: "1", Flaky: "1 of 9"}}
	for name, c := range map[string]struct {
		code  string
		list  []Entry
		wrong string // in what is said to be wrong; empty: the run passes
		says  string // in the output
	}{
		"all pass": {
			code: ok,
			says: "ok  \tm",
		},
		"a test fails": {
			code:  ok + red,
			wrong: "m.TestRed failed",
			says:  "the fault",
		},
		"a listed test fails": {
			code: ok + red,
			list: list,
			says: "known red: m.TestRed: the fault (issue 1)",
		},
		"a flaky test fails": {
			code: ok + red,
			list: flaky,
			says: "known red: m.TestRed: the fault (issue 1)",
		},
		"a flaky test passes": {
			code: strings.Replace(ok, "OK", "Red", 1),
			list: flaky,
			says: "known flaky, passed: m.TestRed (failed 1 of 9)",
		},
		"a flaky test is skipped": {
			code:  "func TestRed(t *testing.T) { t.Skip() }\n",
			list:  flaky,
			wrong: "m.TestRed is listed and did not fail",
		},
		"another one fails beside it": {
			code:  ok + red + "func TestOther(t *testing.T) { t.Fatal() }\n",
			list:  list,
			wrong: "m.TestOther failed",
		},
		"a listed test passes": {
			code:  strings.Replace(ok, "OK", "Red", 1),
			list:  list,
			wrong: "m.TestRed is listed and did not fail",
		},
		"a listed test is skipped": {
			code:  "func TestRed(t *testing.T) { t.Skip() }\n",
			list:  list,
			wrong: "m.TestRed is listed and did not fail",
		},
		"a listed test does not exist": {
			code:  ok,
			list:  list,
			wrong: "m.TestRed is listed and was not run",
		},
		"a listed package isn't there": {
			code:  ok,
			list:  []Entry{{Package: "n", Test: "TestRed"}},
			wrong: "there is no such package",
		},
		"a listed test panics": {
			code:  "func TestRed(t *testing.T) { panic(1) }\n",
			list:  list,
			wrong: "panic: 1",
		},
		"a listed test ends the run": {
			code:  ok + "func TestRed(t *testing.T) { os.Exit(1) }\n",
			list:  list,
			wrong: "m failed with no test failing",
		},
		"a listed test takes for ever": {
			code:  "func TestRed(t *testing.T) { select {} }\n",
			list:  list,
			wrong: "m: ",
		},
		"it does not build": {
			code:  ok + "func x() { y() }\n",
			wrong: "m: it does not build",
		},
		"it does not build, and a list": {
			code:  "func TestRed(t *testing.T) { y() }\n",
			list:  list,
			wrong: "m: it does not build",
		},
		"a race in a listed test": {
			code: "func TestRed(t *testing.T) { x := 0; c := make(chan int); go func() { x++; c <- 1 }(); " +
				"x++; <-c; _ = x }\n",
			list:  list,
			wrong: "m: ",
		},
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
			got := Judge(Run{
				Events:   bytes.NewReader(events),
				Output:   &out,
				Known:    c.list,
				Complete: true,
				Exit:     func() error { return err },
			})
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
	for name, events := range map[string]string{
		"nothing": "",
		"no end":  `{"Action":"run","Package":"m","Test":"TestOK"}` + "\n",
	} {
		if err := Judge(
			Run{Events: strings.NewReader(events), Output: &bytes.Buffer{}, Complete: true, Exit: none},
		); err == nil {
			t.Errorf("%s: it passes", name)
		}
	}
}

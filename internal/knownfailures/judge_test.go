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

// entryText returns a well-formed entry for a test.
func entryText(test string) string {
	return "test: " + test + "\ncommand: go test\nseed: 7\nseen: it is slow\nissue: 41\n"
}

// TestRead verifies that all fields of entries are read and that comments are ignored.
func TestRead(t *testing.T) {
	text := "# comment\n\n" + entryText("gapgap/internal/x.TestOne") + "\n" +
		entryText("a.TestTwo") + "flaky: 1 of 20\n"
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

// TestReadErrors verifies that a malformed list is an error which names the line.
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

// TestJudge verifies which runs pass and what is printed, by runs of go test on a temporary module.
func TestJudge(t *testing.T) {
	ok := "func TestOK(t *testing.T) {}\n"
	red := "func TestRed(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"the fault\") }) }\n"
	list := []Entry{{Package: "m", Test: "TestRed", Seen: "the fault", Issue: "1"}}
	flaky := []Entry{{Package: "m", Test: "TestRed", Seen: "the fault", Issue: "1", Flaky: "1 of 9"}}
	for name, c := range map[string]struct {
		code    string
		list    []Entry
		wantErr string // part of the error; empty: the run passes
		wantOut string // part of the output
	}{
		"all pass": {
			code:    ok,
			wantOut: "ok  \tm",
		},
		"a test fails": {
			code:    ok + red,
			wantErr: "m.TestRed failed",
			wantOut: "the fault",
		},
		"a listed test fails": {
			code:    ok + red,
			list:    list,
			wantOut: "known red: m.TestRed: the fault (issue 1)",
		},
		"a flaky test fails": {
			code:    ok + red,
			list:    flaky,
			wantOut: "known red: m.TestRed: the fault (issue 1)",
		},
		"a flaky test passes": {
			code:    strings.Replace(ok, "OK", "Red", 1),
			list:    flaky,
			wantOut: "known flaky, passed: m.TestRed (failed 1 of 9)",
		},
		"a flaky test is skipped": {
			code:    "func TestRed(t *testing.T) { t.Skip() }\n",
			list:    flaky,
			wantErr: "m.TestRed is listed and did not fail",
		},
		"another one fails beside it": {
			code:    ok + red + "func TestOther(t *testing.T) { t.Fatal() }\n",
			list:    list,
			wantErr: "m.TestOther failed",
		},
		"a listed test passes": {
			code:    strings.Replace(ok, "OK", "Red", 1),
			list:    list,
			wantErr: "m.TestRed is listed and did not fail",
		},
		"a listed test is skipped": {
			code:    "func TestRed(t *testing.T) { t.Skip() }\n",
			list:    list,
			wantErr: "m.TestRed is listed and did not fail",
		},
		"a listed test does not exist": {
			code:    ok,
			list:    list,
			wantErr: "m.TestRed is listed and was not run",
		},
		"a listed package isn't there": {
			code:    ok,
			list:    []Entry{{Package: "n", Test: "TestRed"}},
			wantErr: "there is no such package",
		},
		"a listed test panics": {
			code:    "func TestRed(t *testing.T) { panic(1) }\n",
			list:    list,
			wantErr: "panic: 1",
		},
		"a listed test ends the run": {
			code:    ok + "func TestRed(t *testing.T) { os.Exit(1) }\n",
			list:    list,
			wantErr: "m failed with no test failing",
		},
		"a listed test takes for ever": {
			code:    "func TestRed(t *testing.T) { select {} }\n",
			list:    list,
			wantErr: "m: ",
		},
		"it does not build": {
			code:    ok + "func x() { y() }\n",
			wantErr: "m: it does not build",
		},
		"it does not build, and a list": {
			code:    "func TestRed(t *testing.T) { y() }\n",
			list:    list,
			wantErr: "m: it does not build",
		},
		"a race in a listed test": {
			code: "func TestRed(t *testing.T) { x := 0; c := make(chan int); go func() { x++; c <- 1 }(); " +
				"x++; <-c; _ = x }\n",
			list:    list,
			wantErr: "m: ",
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
			case c.wantErr == "" && got != nil:
				t.Errorf("%v\n%s", got, &out)
			case c.wantErr != "" && (got == nil || !strings.Contains(got.Error(), c.wantErr)):
				t.Errorf("%v, want %q\n%s", got, c.wantErr, &out)
			case !strings.Contains(out.String(), c.wantOut):
				t.Errorf("no %q in\n%s", c.wantOut, &out)
			}
		})
	}
}

// TestJudgeOfHalfARun verifies that a run without output, or one that stops in the middle, is a failure.
func TestJudgeOfHalfARun(t *testing.T) {
	none := func() error { return nil }
	for name, events := range map[string]string{
		"nothing": "",
		"no end":  `{"Action":"run","Package":"m","Test":"TestOK"}` + "\n",
	} {
		if err := Judge(Run{
			Events:   strings.NewReader(events),
			Output:   &bytes.Buffer{},
			Complete: true,
			Exit:     none,
		}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

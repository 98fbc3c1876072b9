package main

import (
	"encoding/json"
	"strings"
	"testing"

	"gapgap/internal/cli"
)

// poolsFile is a configuration with several pools.
const poolsFile = "../../deploy/gapgapd-pools.toml"

// TestRouteExplain verifies that route explain shows the deciding rule, and for each rule before it the condition that
// does not match.
func TestRouteExplain(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{
			args: "--host Audit.Example.org:443 --path /x?y=1",
			code: cli.Good,
			want: []string{"audit", "decides", "pool audit"},
		},
		{
			args: "--host x.flags.example.org --account acme",
			code: cli.Good,
			want: []string{"audit   host does not match", "canary  decides", "pool "},
		},
		{
			args: "--host nowhere.org --account 00000000B4D65521",
			code: cli.Good,
			want: []string{"canary", "host does not match", "(default)", "pool flags"},
		},
		{args: "--listener resp2 --class record", code: cli.Good, want: []string{"pool flags"}},
		{args: "--account nobody", code: cli.Failed, want: []string{"--account: no account is named"}},
		{args: "--header X-Tenant", code: cli.Failed, want: []string{"--header"}},
		{args: "--host a..b/c", code: cli.Failed, want: []string{"--host or --path"}},
		{args: "--colour red", code: cli.Misused, want: []string{"unknown flag"}},
	} {
		args := append([]string{"route", "explain", poolsFile}, strings.Fields(c.args)...)
		code, out, errs := runCommand(t, args...)
		for _, want := range c.want {
			if code != c.code || !strings.Contains(out+errs, want) {
				t.Errorf("%s: %d, no %q in\n%s%s", c.args, code, want, out, errs)
			}
		}
	}
}

// TestRouteExplainJSON verifies that route explain --json has the deciding rule and the request's pool.
func TestRouteExplainJSON(t *testing.T) {
	code, out, errs := runCommand(t, "route", "explain", poolsFile, "--host", "audit.example.org", "--json")
	var got explanation
	err := json.Unmarshal([]byte(out), &got)
	if err != nil || code != cli.Good || got.Pool != "audit" || got.Rule != "audit" || len(got.Steps) != 1 {
		t.Errorf("%d %q %q %v", code, out, errs, err)
	}
}

// TestRouteList verifies that route list shows the conditions and the weighted pools of each rule.
func TestRouteList(t *testing.T) {
	code, out, errs := runCommand(t, "route", "list", poolsFile)
	if code != cli.Good ||
		!strings.Contains(out, "host=*.flags.example.org") ||
		!strings.Contains(out, "flags:9 audit:1") {
		t.Errorf("%d %q %q", code, out, errs)
	}
}

// TestRouteExplainWithoutFile verifies that a missing configuration file is an error.
func TestRouteExplainWithoutFile(t *testing.T) {
	code, _, errs := runCommand(t, "route", "explain", "nothing.toml")
	if code != cli.Failed || !strings.Contains(errs, "no such file") {
		t.Errorf("%d %q", code, errs)
	}
}

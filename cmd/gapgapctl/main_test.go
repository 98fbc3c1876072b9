package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gapgap/internal/cli"
)

const file = "../../deploy/gapgapd-pools.toml"

func line(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	c := command()
	c.SetOut(&o)
	code = cli.Run(t.Context(), c, args, &e)
	return code, o.String(), e.String()
}

// route explain says which rule decides, and of each before it what did not fit.
func TestPoolsRouteExplain(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		says []string
	}{
		{"--host Audit.Example.org:443 --path /x?y=1", cli.Good, []string{"audit", "decides", "pool audit"}},
		{"--host x.flags.example.org --account acme", cli.Good, []string{"audit   host does not fit", "canary  decides", "pool "}},
		{"--host nowhere.org --account 00000000B4D65521", cli.Good, []string{"canary", "host does not fit", "(default)", "pool flags"}},
		{"--listener resp2 --class record", cli.Good, []string{"pool flags"}},
		{"--account nobody", cli.Failed, []string{"--account: no account is named"}},
		{"--header X-Tenant", cli.Failed, []string{"--header"}},
		{"--host a..b/c", cli.Failed, []string{"--host or --path"}},
		{"--colour red", cli.Misused, []string{"unknown flag"}},
	} {
		code, out, errs := line(t, append([]string{"route", "explain", file}, strings.Fields(c.args)...)...)
		for _, s := range c.says {
			if code != c.code || !strings.Contains(out+errs, s) {
				t.Errorf("%s: %d, no %q in\n%s%s", c.args, code, s, out, errs)
			}
		}
	}
	code, out, errs := line(t, "route", "explain", file, "--host", "audit.example.org", "--json")
	var got explanation
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != cli.Good || got.Pool != "audit" || got.Rule != "audit" || len(got.Steps) != 1 {
		t.Errorf("%d %q %q %v", code, out, errs, err)
	}
	if code, out, errs := line(t, "route", "list", file); code != cli.Good || !strings.Contains(out, "host=*.flags.example.org") || !strings.Contains(out, "flags:9 audit:1") {
		t.Errorf("%d %q %q", code, out, errs)
	}
	if code, _, errs := line(t, "route", "explain", "nothing.toml"); code != cli.Failed || !strings.Contains(errs, "no such file") {
		t.Errorf("%d %q", code, errs)
	}
}

package hosted

import (
	"errors"
	"testing"
)

// TestMistypedValues verifies that errors for values of a wrong type use the terms of the file: a value in the place of
// a table, a table in the place of a value, and unknown keys.
func TestMistypedValues(t *testing.T) {
	for text, want := range map[string]string{
		"node = 3":                      "x:1: node: is to be a table, not a TOML integer",
		"verdicts = 3":                  "x:1: verdicts: is to be a table, not a TOML integer",
		"limits = 3":                    "x:1: limits: is to be a table, not a TOML integer",
		"obligations = 3":               "x:1: obligations: is to be a table, not a TOML integer",
		"class = 3":                     "x:1: class: is to be a list, not a TOML integer",
		"class = [3]":                   "x:1: class: is to be a table, not a TOML integer",
		"plan = [3]":                    "x:1: plan: is to be a table, not a TOML integer",
		"rule = [3]":                    "x:1: rule: is to be a table, not a TOML integer",
		"route = [3]":                   "x:1: route: is to be a table, not a TOML integer",
		"account = [3]":                 "x:1: account: is to be a table, not a TOML integer",
		"pool = [3]":                    "x:1: pool: is to be a table, not a TOML integer",
		"listener = [3]":                "x:1: listener: can't be a TOML integer",
		"[[pool]]\nlimits = 3":          "x:2: pool.limits: is to be a table, not a TOML integer",
		"[[route]]\nto = [3]":           "x:2: route.to: is to be a table, not a TOML integer",
		"[[listener]]\ntls = 3":         "x:2: listener.tls: is to be a table, not a TOML integer",
		"[[listener]]\ncheck = [3]":     "x:2: listener.check: is to be a table, not a TOML integer",
		"[node]\nallow = 3":             "x:2: node.allow: is to be a list, not a TOML integer",
		"[node]\nshare_processor = 3":   "x:2: node.share_processor: is to be true or false, not a TOML integer",
		"[[pool]]\nweight = \"3\"":      "x:2: pool.weight: is to be a number, not a TOML string",
		"[[pool]]\ncounter_space = 3":   "x:2: pool.counter_space: is to be a text in quotes, not a TOML integer",
		"[[route]]\nheaders = 3":        "x:2: route.headers: is to be a table, not a TOML integer",
		"[[class]]\naim = true":         `x: "true" is no duration such as "250ms"`,
		"[limits]\nmax_attempts = 1.5":  "x:2: limits.max_attempts: is to be a whole number, not a TOML float",
		"[limits]\nlimits = 1":          "x:2: limits.limits: is not known here",
		"[[account]]\nhold_timeout = 1": "x:2: account.hold_timeout: is not known here",
	} {
		_, err := Parse("x", []byte(text))
		var e *Error
		if !errors.As(err, &e) || err.Error() != want {
			t.Errorf("%q:\n got %v\nwant %s", text, err, want)
		}
	}
}

package service

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gapgap/internal/fake/flagserver"
)

// deployment returns the text of a configuration with the given classes and plans.
func deployment(classes, plans []map[string]any) string {
	for _, c := range classes {
		for k, v := range map[string]any{"worth": 1.0, "target-us": 5_000_000, "give-up-us": 8_000_000} {
			if _, ok := c[k]; !ok {
				c[k] = v
			}
		}
	}
	b, _ := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"peers-total": 1, "rank": 0, "resolution-us": 4000, "discovery": "pushed",
			"areas": []string{"x"}, "kinds": []string{"y"},
			"limits": map[string]any{"max-attempts": 2, "cancel": true, "may-probe": true, "retry-after": true,
				"max-retry-after-us": 1000000, "dial-timeout-us": 1000000},
			"obligations": map[string]any{"stop-sending-within-us": 250000, "fall-multiple": 3.0, "fall-us": 3000000,
				"cold-from": 0.26, "warm-within-us": 15000000},
			"specifics": map[string]any{"max-units": 8}, "classes": classes, "tiers-of-service": plans}})
	return string(b)
}

// TestOtherDeployments verifies that the settings alone determine the names, number, order and effects of classes and
// plans. With each of these settings the real gateway serves every class under every plan, and rejects classes and
// plans that the settings do not name.
func TestOtherDeployments(t *testing.T) {
	type list = []map[string]any
	free := list{{"name": "gratis", "value-factor": 1.0}}
	twenty, plans := list{}, list{}
	for i := range 20 {
		effect := []string{"safe", "keyed", "unsafe"}[i%3]
		twenty = append(twenty, map[string]any{"name": fmt.Sprint("k-", 19-i), "effect": effect,
			"group": []string{"all", "zone", "cell"}[i%3], "window-us": 500000 + i, "worth": float64(i)})
		plans = append(plans, map[string]any{"name": fmt.Sprint("p-", i), "value-factor": 1.0, "units-per-s": 50.0,
			"most-at-once": 50.0})
	}
	for name, d := range map[string]struct {
		classes, plans list
		mayReject      map[string]bool // plans whose requests may all be rejected
	}{
		"one class, one plan": {classes: list{{"name": "z", "effect": "safe"}}, plans: free},
		"one class, keyed": {
			classes: list{{"name": "only", "effect": "keyed", "group": "cell", "window-us": 300000}}, plans: free},
		"one class, unsafe": {classes: list{{"name": "only", "effect": "unsafe"}}, plans: free},
		"twenty of each":    {classes: twenty, plans: plans},
		"no ceiling, no quota": {classes: list{{"name": "b", "effect": "unsafe"}, {"name": "a", "effect": "safe"}},
			plans: list{{"name": "2", "value-factor": 0.0}, {"name": "1", "value-factor": 2.0}}},
		"a burst of nothing": {classes: list{{"name": "a", "effect": "safe"}},
			plans: append(list{{"name": "none", "value-factor": 1.0, "units-per-s": 1.0,
				"most-at-once": 0.0}}, free...),
			mayReject: map[string]bool{"none": true}},
		"the names of another": {classes: list{{"name": "change", "effect": "safe"},
			{"name": "evaluate", "effect": "unsafe"}},
			plans: list{{"name": "business", "value-factor": 1.0}, {"name": "starter", "value-factor": 1.0}}},
		"worth nothing at all": {classes: list{{"name": "a", "effect": "safe", "worth": 0.0}}, plans: free},
		"a ceiling, at once, …": {classes: list{{"name": "a", "effect": "safe"}},
			plans: list{{"name": "c", "value-factor": 1.0, "units-per-s": 20.0, "most-at-once": 20.0,
				"extra-worth": 0.2, "never-over-rate": 40, "cap-depth": 60},
				{"name": "o", "value-factor": 1.0, "at-once": 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := flagserver.Start(flagserver.Config{Value: "v"})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			env := start(t, []string{s.Addr()}, func(c *Config, t *testing.T) {
				own, err := ReadConfig(strings.NewReader(deployment(d.classes, d.plans)))
				if err != nil {
					t.Fatal(err)
				}
				own.Discovery, own.KnownEndpoints = c.Discovery, c.KnownEndpoints
				*c = *own
			})
			c := env.dial()
			n := 0
			ask := func(class, effect, plan string) string {
				n++
				cmd, list := "Q.DO", fmt.Sprintf("c=%s,t=%s,d=8000,units=1,spread=1,first=0", class, plan)
				switch effect {
				case "safe":
					cmd = "Q.ASK"
				case "keyed":
					list += fmt.Sprint(",k=key", n)
				}
				c.Command(cmd, fmt.Sprintf("%016x", n), fmt.Sprint(n), list)
				return c.Message()[0]
			}
			for _, cl := range d.classes {
				for _, p := range d.plans {
					class, effect, plan := cl["name"].(string), cl["effect"].(string), p["name"].(string)
					if got := ask(class, effect, plan); got != "v" &&
						(!d.mayReject[plan] || !strings.HasPrefix(got, "-BUSY")) {
						t.Errorf("class %s (%s) under plan %s: %q", class, effect, plan, got)
					}
				}
			}
			plan := d.plans[0]["name"].(string)
			for _, other := range []string{"elsewhere", "", "A"} {
				if got := ask(other, "safe", plan); !strings.HasPrefix(got, "-ERR") {
					t.Errorf("unknown class %q: %q", other, got)
				}
			}
			if got := ask(d.classes[0]["name"].(string), d.classes[0]["effect"].(string),
				"elsewhere"); !strings.HasPrefix(got, "-ERR") {
				t.Errorf("unknown plan: %q", got)
			}
		})
	}
}

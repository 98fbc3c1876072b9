package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"

	"gapgap/internal/balancer"
	"gapgap/internal/proxy"
)

// Rules are what requests are read and decided by under the configuration.
func (c *Config) Rules() proxy.Rules {
	return proxy.Rules{Classes: c.Transport.Classes, Plans: c.Transport.Plans, Settings: c.Settings, MaxInFlight: c.Transport.MostOpen}
}

// CheckReload says why a configuration can't take the place of one that is in use; the error names the field. Beyond what
// [Config.Check] wants, a file that is read while the front door serves must be complete: whatever key the one in use has
// is there, else a part of a file that is being written would be taken for the whole.
func (c *Config) CheckReload(inUse *Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	var missing []string
	for path := range inUse.keys {
		if !c.keys[path] {
			missing = append(missing, path)
		}
	}
	if len(missing) > 0 {
		sort.Strings(missing)
		return fmt.Errorf("%s is missing", strings.ReplaceAll(missing[0], anyItem, "[]"))
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if len(c.Transport.Plans) == 0 || len(c.Transport.Classes) == 0 {
		return errors.New("settings: no class or no plan")
	}
	if err := names("classes", c.Transport.Classes); err != nil {
		return err
	}
	if err := names("tiers-of-service", c.Transport.Plans); err != nil {
		return err
	}
	for i, cl := range c.Settings.Classes {
		at := fmt.Sprintf("settings.classes[%d] (%s)", i, c.Transport.Classes[i])
		switch {
		case cl.ClientTimeout <= 0:
			return fmt.Errorf("%s: give-up-us is not a number above 0", at)
		case cl.LatencyObjective < 0 || c.has("classes", "target-us") && cl.LatencyObjective == 0:
			return fmt.Errorf("%s: target-us is not a number above 0", at)
		case cl.Idempotency == balancer.IdempotentByKey && cl.DedupWindow <= 0:
			return fmt.Errorf("%s: window-us is not a number above 0", at)
		}
	}
	return nil
}

// has says whether the items of a list of the settings have a key.
func (c *Config) has(list, key string) bool { return c.keys["settings."+list+anyItem+"."+key] }

// names checks the names of a list: each there, none twice.
func names(list string, all []string) error {
	seen := map[string]bool{}
	for i, n := range all {
		switch {
		case n == "" || n == "-":
			return fmt.Errorf("settings.%s[%d].name is missing", list, i)
		case seen[n]:
			return fmt.Errorf("settings.%s[%d].name: %q is given twice", list, i, n)
		}
		seen[n] = true
	}
	return nil
}

// anyItem stands in a path for all items of a list.
const anyItem = "[*]"

// keysOf gathers the paths of all keys. Those within the items of a list count where all its items have them.
func keysOf(out map[string]bool, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			p := strings.TrimPrefix(path+"."+k, ".")
			out[p] = true
			keysOf(out, p, e)
		}
	case []any:
		all := map[string]int{}
		for _, e := range v {
			one := map[string]bool{}
			keysOf(one, path+anyItem, e)
			for p := range one {
				all[p]++
			}
		}
		for p, n := range all {
			if n == len(v) {
				out[p] = true
			}
		}
	}
}

// counts are settings that count something, which must be whole numbers above 0 where they are given.
var counts = []string{"limits.max-attempts", "peers-total"}

// checkNumbers says which of the settings is not the number that it should be. Other settings are read as numbers or not at
// all; a deadline or a number of attempts that is none would be read as no bound.
func checkNumbers(settings map[string]any) error {
	for _, path := range counts {
		at, given := any(settings), false
		for k := range strings.SplitSeq(path, ".") {
			m, _ := at.(map[string]any)
			at, given = m[k]
		}
		if !given {
			continue
		}
		n, ok := at.(json.Number)
		if f, err := n.Float64(); !ok || err != nil || f <= 0 || f != math.Trunc(f) {
			return fmt.Errorf("settings.%s is not a whole number above 0", path)
		}
	}
	list, _ := settings["classes"].([]any)
	for i, e := range list {
		class, ok := e.(map[string]any)
		if !ok {
			return fmt.Errorf("settings.classes[%d] is no object", i)
		}
		for _, k := range []string{"give-up-us", "target-us"} {
			v, given := class[k]
			if !given {
				continue
			}
			n, ok := v.(json.Number)
			if f, err := n.Float64(); !ok || err != nil || f <= 0 {
				return fmt.Errorf("settings.classes[%d].%s is not a number above 0", i, k)
			}
		}
	}
	return nil
}

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

// Rules returns the rules by which requests are parsed and decided.
func (c *Config) Rules() proxy.Rules {
	return proxy.Rules{Classes: c.Transport.Classes, Plans: c.Transport.Plans, Settings: c.Settings,
		MaxInFlight: c.Transport.MostOpen}
}

// CheckReload returns an error, which names the field, if the configuration can't replace the one in use. Beyond what
// [Config.Check] requires, a file that is read while the gateway serves must have every key of the one in use.
// Otherwise a partly written file could be taken for a complete one.
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
		return fmt.Errorf("%s is missing", strings.ReplaceAll(missing[0], anyIndex, "[]"))
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if len(c.Transport.Plans) == 0 || len(c.Transport.Classes) == 0 {
		return errors.New("settings: no class or no plan")
	}
	if err := checkNames("classes", c.Transport.Classes); err != nil {
		return err
	}
	if err := checkNames("tiers-of-service", c.Transport.Plans); err != nil {
		return err
	}
	for i, cl := range c.Settings.Classes {
		at := fmt.Sprintf("settings.classes[%d] (%s)", i, c.Transport.Classes[i])
		switch {
		case cl.ClientTimeout <= 0:
			return fmt.Errorf("%s: give-up-us is not a number above 0", at)
		case cl.LatencyObjective < 0 || c.hasKey("classes", "target-us") && cl.LatencyObjective == 0:
			return fmt.Errorf("%s: target-us is not a number above 0", at)
		case cl.Idempotency == balancer.IdempotentByKey && cl.DedupWindow <= 0:
			return fmt.Errorf("%s: window-us is not a number above 0", at)
		}
	}
	return nil
}

// hasKey reports whether all items of a list in the settings have a key.
func (c *Config) hasKey(list, key string) bool { return c.keys["settings."+list+anyIndex+"."+key] }

// checkNames returns an error if an item of a list lacks a name or has the name of another item.
func checkNames(list string, names []string) error {
	seen := map[string]bool{}
	for i, n := range names {
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

// anyIndex stands for every index of a list in a path.
const anyIndex = "[*]"

// collectKeys adds the paths of all keys to out. A key within the items of a list counts only if all items have it.
func collectKeys(out map[string]bool, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			p := strings.TrimPrefix(path+"."+k, ".")
			out[p] = true
			collectKeys(out, p, e)
		}
	case []any:
		itemsWithKey := map[string]int{}
		for _, e := range v {
			itemKeys := map[string]bool{}
			collectKeys(itemKeys, path+anyIndex, e)
			for p := range itemKeys {
				itemsWithKey[p]++
			}
		}
		for p, n := range itemsWithKey {
			if n == len(v) {
				out[p] = true
			}
		}
	}
}

// countSettings are settings that must be whole numbers above 0 if they are given.
var countSettings = []string{"limits.max-attempts", "peers-total"}

// checkNumbers returns an error if a count or a time limit in the settings is not a number above 0. The parser ignores
// what is no number, so a malformed deadline or number of attempts would otherwise mean no bound.
func checkNumbers(settings map[string]any) error {
	for _, path := range countSettings {
		value, given := any(settings), false
		for k := range strings.SplitSeq(path, ".") {
			m, _ := value.(map[string]any)
			value, given = m[k]
		}
		if !given {
			continue
		}
		n, ok := value.(json.Number)
		if f, err := n.Float64(); !ok || err != nil || f <= 0 || f != math.Trunc(f) {
			return fmt.Errorf("settings.%s is not a whole number above 0", path)
		}
	}
	list, _ := settings["classes"].([]any)
	for i, e := range list {
		class, ok := e.(map[string]any)
		if !ok {
			return fmt.Errorf("settings.classes[%d] is not an object", i)
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

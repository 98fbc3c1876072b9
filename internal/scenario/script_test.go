package scenario

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gapgap/internal/tomlfile"
)

// TestScriptErrors verifies that an error in a script is reported with its line and key.
func TestScriptErrors(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile(slowdownScript)
	if err != nil {
		t.Fatal(err)
	}
	valid := string(data)
	for _, invalid := range []struct {
		old string
		new string
		key string
	}{
		{`lasts = "60s"`, `lasts = "0s"`, "lasts"},
		{`seed = 7`, "seed = 7\ncolour = 1", "colour"},
		{"count = 3\n", "count = 0\n", "doors.count"},
		{`retries = 2`, `retries = -1`, "clients.retries"},
		{`effect = "keyed"`, `effect = "odd"`, "class[1].effect"},
		{`aim = "600ms"`, `aim = "6s"`, "class[1].aim"},
		{`window = "1.2s"`, `window = "0s"`, "class[1].window"},
		{`name = "business"`, `name = "starter"`, "plan[1].name"},
		{`cores = 3.0`, `cores = 0.0`, "servers[0].cores"},
		{`slots = 12`, `slots = 0`, "servers[0].slots"},
		{`count = 12`, `count = 5000`, "servers[0].count"},
		{`plan = "business"`, `plan = "gold"`, "accounts[1].plan"},
		{`spread = 2`, `spread = 4`, "accounts[1].spread"},
		{`rate = 1.6`, `rate = 0.0`, "accounts[0].rate"},
		{`do = "silent"`, `do = "quiet"`, "event[1].do"},
		{`after = "silent"`, `after = "later"`, "event[3].after"},
		{"group = \"big\"\ncount = 2", "group = \"flags\"\ncount = 2", "event[3].group"},
		{`factor = 5.0`, `factor = 0.0`, "event[3].factor"},
		{`name = "dead"`, `name = "slow"`, "event[2].name"},
	} {
		if !strings.Contains(valid, invalid.old) {
			t.Fatalf("the script does not contain %q", invalid.old)
		}
		var atKey *tomlfile.Error
		_, err := Parse("x", []byte(strings.Replace(valid, invalid.old, invalid.new, 1)))
		if !errors.As(err, &atKey) || atKey.Key != invalid.key || atKey.Line == 0 {
			t.Errorf("%s: %v", invalid.key, err)
		}
	}
}

// FuzzScript verifies that scripts that are accepted have a duration, endpoints and gateways.
func FuzzScript(f *testing.F) {
	if data, err := os.ReadFile(slowdownScript); err == nil {
		f.Add(string(data))
	}
	f.Add("[[event]]\nname=\"x\"")
	f.Fuzz(func(t *testing.T, text string) {
		script, err := Parse("x", []byte(text))
		if err == nil && (script.Duration <= 0 || len(script.Endpoints) == 0 || script.Gateways < 1) {
			t.Errorf("accepted an incomplete script: %+v", script)
		}
	})
}

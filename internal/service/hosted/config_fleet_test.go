package hosted

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/balancer/quotashare"
)

// clusterExample returns an example of a cluster from the directory deploy, with paths that exist.
func clusterExample(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile("../../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("/etc/gapgap/fleet.key", key, "/var/lib/gapgap", dir).Replace(string(b))
}

// TestMembersExampleIsGood verifies that the example of a cluster is valid, that errors in it are reported by key, and
// that settings which require [fleet] are rejected without it.
func TestMembersExampleIsGood(t *testing.T) {
	good := clusterExample(t, "gapgapd-fleet.toml")
	c, err := Parse("x", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	s := c.Node.Settings
	if !s.LeasedShares || !s.LeaseCeilings || s.Gateways != 3 || s.Index != 0 ||
		s.Plans[0].PartitionPolicy != quotashare.KeepQuota || c.Fleet.Index != 0 || len(c.Fleet.Gateways) != 3 {
		t.Errorf("%+v, %+v", s, c.Fleet)
	}
	for _, bad := range []struct{ old, new, key string }{
		{`name = "n1"   `, `name = "n7"   `, "fleet.door"},
		{`name = "n1"   `, `# name = "n1"   `, "node.name"},
		{`memory_mb = 256`, `doors = 4`, "node.doors"},
		{`memory_mb = 256`, `rank = 2`, "node.rank"},
		{`listen = "127.0.0.1:7001"`, `listen = "10.0.0.1:7001"`, "fleet.listen"},
		{`name = "n3"`, `name = "n2"`, "fleet.door[2].name"},
		{`address = "127.0.0.1:7003"`, `address = "127.0.0.1:7002"`, "fleet.door[2].address"},
		{`control = "/run/gapgap/door.sock"`, `control = "door.sock"`, "fleet.control"},
		{`when_cut_off = "quota"`, `when_cut_off = "stop"`, "plan[0].when_cut_off"},
		{`listen = "127.0.0.1:7001"`, `hears = "127.0.0.1:7001"`, "fleet.hears"},
	} {
		if !strings.Contains(good, bad.old) {
			t.Fatalf("the example does not contain %q", bad.old)
		}
		_, err := Parse("x", []byte(strings.Replace(good, bad.old, bad.new, 1)))
		var e *Error
		if !errors.As(err, &e) || e.Key != bad.key {
			t.Errorf("%s: %v, want an error of %s", bad.new, err, bad.key)
		}
	}
	// Without [fleet] the gateway is not part of a cluster, and settings that require [fleet] are errors.
	alone := exampleConfig(t)
	c, err = Parse("x", []byte(alone))
	if err != nil || c.Fleet != nil || c.Node.Settings.LeasedShares || c.Node.Settings.LeaseCeilings {
		t.Errorf("%+v, %v", c, err)
	}
	cutOff := strings.Replace(alone, "ceiling_rate", "when_cut_off = \"keep\"\nceiling_rate", 1)
	if _, err := Parse("x", []byte(cutOff)); err == nil || !strings.Contains(err.Error(), "requires [fleet]") {
		t.Error(err)
	}
}

// checkFieldErrors verifies that each change to a valid file causes an error with the key and its line. A change has
// the old text, the new text and the key.
func checkFieldErrors(t *testing.T, good string, changes [][3]string) {
	t.Helper()
	for _, change := range changes {
		var e *Error
		_, err := Parse("x", []byte(strings.Replace(good, change[0], change[1], 1)))
		if !errors.As(err, &e) || e.Key != change[2] || e.Line == 0 {
			t.Errorf("%s: %v", change[1], err)
		}
	}
}

// TestPowerExampleIsGood verifies that the example of a cluster with reserved keys is valid, and that the balancer gets
// the class with reserved keys as non-idempotent.
func TestPowerExampleIsGood(t *testing.T) {
	good := clusterExample(t, "gapgapd-power.toml")
	c, err := Parse("x", []byte(good))
	if err != nil || c.Fleet.KeyRetention == nil || c.Fleet.KeyRetention.Duration != 10*time.Minute ||
		c.Fleet.KeyRetention.MaxKeys != 500_000 {
		t.Fatalf("%+v, %v", c, err)
	}
	if cl := c.Node.Settings.Classes; cl[0].KeyReserved || !cl[1].KeyReserved ||
		cl[1].Idempotency != balancer.NonIdempotent {
		t.Errorf("%+v", cl)
	}
	checkFieldErrors(t, good, [][3]string{
		{`for = "10m"`, `for = "1s"`, "fleet.remember.for"},
		{`most = 500000`, `most = -1`, "fleet.remember.most"},
		{`remember = "disk"`, `remember = "tape"`, "class[1].remember"},
		{`effect = "keyed"`, `effect = "unsafe"`, "class[1].remember"},
		{`for = "10m"`, `age = "10m"`, "fleet.remember.age"},
	})
}

// TestPolicyExampleIsGood verifies that the example of a cluster with one policy is valid, that errors in
// [fleet.policy] are reported by key, and that a policy document replaces the policy of the file.
func TestPolicyExampleIsGood(t *testing.T) {
	good := clusterExample(t, "gapgapd-policy.toml")
	c, err := Parse("x", []byte(good))
	if err != nil || c.Fleet.Policy == nil || c.Fleet.Policy.Fence || c.Fleet.Policy.UseLastKnown {
		t.Fatalf("%+v, %v", c, err)
	}
	checkFieldErrors(t, good, [][3]string{
		{`mode = "wait"`, `mode = "now"`, "fleet.policy.mode"},
		{`give_up = "30s"`, `give_up = "1ms"`, "fleet.policy.give_up"},
		{`without_quorum = "refuse"`, `without_quorum = "maybe"`, "fleet.policy.without_quorum"},
		{`give_up = "30s"`, `after = "3s"`, "fleet.policy.after"},
	})
	// The policy extracted from the file is equivalent to the file's own.
	doc, err := policyOf([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	with, err := ParseWithPolicy("x", []byte(good), "policy", doc)
	if err != nil || with.Pools[0].shape != c.Pools[0].shape || with.Pools[0].plans != c.Pools[0].plans {
		t.Errorf("%v\n%s", err, doc)
	}
	var e *Error
	withNode := append([]byte("[node]\nname = \"n2\"\n"), doc...)
	_, err = ParseWithPolicy("x", []byte(good), "policy", withNode)
	if !errors.As(err, &e) || e.Key != "node" || e.File != "policy" || e.Line != 1 {
		t.Errorf("a policy with a table of the node: %v", err)
	}
	changed := strings.Replace(string(doc), "ceiling_rate = 40.0", "ceiling_rate = -1.0", 1)
	_, err = ParseWithPolicy("x", []byte(good), "policy", []byte(changed))
	if !errors.As(err, &e) || e.File != "policy" || e.Key != "plan[0].ceiling_rate" || e.Line == 0 {
		t.Errorf("a policy with an invalid plan: %v", err)
	}
}

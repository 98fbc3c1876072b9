package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A front door that can't start says why in one line; the address it is to listen on is no exception.
func TestBadConfiguration(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"peers-total":1,` +
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a"}],"tiers-of-service":[{"name":"b"}]}}`
	for _, bad := range []string{"{", strings.Replace(good, `"peers-total":1`, `"peers-total":0`, 1),
		strings.Replace(good, "127.0.0.1:0", "127.0.0.1:none", 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "1000", "0", 1)} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("NODE_CONFIG", file)
		for _, name := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"} {
			t.Setenv(name, "")
		}
		if err := run(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: error %v", bad, err)
		}
	}
}

// The environment goes before the file.
func TestEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"limits":{"dial-timeout-us":1000}}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_NAME", "n2")
	t.Setenv("NODE_LISTEN", "127.0.0.1:3")
	t.Setenv("NODE_DISCOVERY", "127.0.0.1:4")
	c, err := readConfig()
	if err != nil || c.Name != "n2" || c.Listen != "127.0.0.1:3" || c.Discovery != "127.0.0.1:4" {
		t.Errorf("%+v, %v", c, err)
	}
}

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestBadConfiguration verifies that a gateway that can't start reports why in one line, also if the reason is its
// listen address.
func TestBadConfiguration(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"peers-total":1,` +
		`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a"}],` +
		`"tiers-of-service":[{"name":"b"}]}}`
	for _, bad := range []string{"{", strings.Replace(good, `"peers-total":1`, `"peers-total":0`, 1),
		strings.Replace(good, "127.0.0.1:0", "127.0.0.1:none", 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "1000", "0", 1)} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("NODE_CONFIG", file)
		for _, name := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONTROL"} {
			t.Setenv(name, "")
		}
		if err := run(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: error %v", bad, err)
		}
	}
}

// TestEnvironment verifies that environment variables override the file.
func TestEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",` +
		`"settings":{"limits":{"dial-timeout-us":1000}}}`
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

// TestReload verifies that SIGHUP does not end the process, that an invalid file changes nothing, and that a valid one
// overrides the environment.
func TestReload(t *testing.T) {
	watched := make(chan string, 64)
	agent := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { watched <- name }))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+
			`"settings":{"peers-total":1,`+
			`"limits":{"max-attempts":1,"dial-timeout-us":1000},"classes":[{"name":"a","give-up-us":1000000}],`+
			`"tiers-of-service":[{"name":"b"}]}}`, discovery)
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	wait := func(name string) {
		t.Helper()
		for limit := time.After(20 * time.Second); ; {
			select {
			case got := <-watched:
				if got == name {
					return
				}
			case <-limit:
				t.Fatalf("discovery agent %s is not watched", name)
			}
		}
	}
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:1")
	t.Setenv("NODE_CONFIG", file)
	t.Setenv("NODE_DISCOVERY", agent("first"))
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	wait("first")
	write("nowhere")
	signal(syscall.SIGHUP)
	wait("first")
	write(agent("second"))
	signal(syscall.SIGHUP)
	wait("second")
	signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

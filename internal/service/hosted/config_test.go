package hosted

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/frontend/extauthz"
)

// exampleConfig returns the example of a gateway with authorization checks.
func exampleConfig(t testing.TB) string {
	t.Helper()
	b, err := os.ReadFile("../../../deploy/gapgapd.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestForwardAuthExampleIsGood verifies that the example of a gateway with authorization checks is valid.
func TestForwardAuthExampleIsGood(t *testing.T) {
	c, err := Parse("x", []byte(exampleConfig(t)))
	if err != nil {
		t.Fatal(err)
	}
	s := c.Node.Settings
	if s.Gateways != 3 || s.MaxRetryAfter != 5*time.Second || s.Classes[1].Idempotency != balancer.IdempotentByKey ||
		s.Plans[1].CeilingRate != 40 ||
		s.DrainGrace != 250*time.Millisecond || !s.UseCounter || s.MaxRequestUnits != 10 {
		t.Errorf("settings: %+v", s)
	}
	if len(c.Listeners) != 2 || !c.Listeners[0].RESP2 || len(c.Listeners[1].Authz.Routes) != 4 {
		t.Fatalf("listeners: %+v", c.Listeners)
	}
	r := c.Listeners[1].Authz.Routes
	if r[0].Dialect != extauthz.Nginx || r[0].Repeat != extauthz.ByRequestID || r[0].DefaultClass != "evaluate" ||
		r[1].NonceHeader != "Idempotency-Key" ||
		r[3].Identify[0] != extauthz.ByCertificate || r[3].UnitsHeader != "X-Units" {
		t.Errorf("routes: %+v", r)
	}
	if a := c.Accounts.ByName("acme"); a == nil || a.Plan != 1 || a.HoldFor != 30*time.Second {
		t.Errorf("account: %+v", a)
	}
}

// TestPoolsExampleIsGood verifies that the example with pools is valid, and that errors in it are reported with key and
// line.
func TestPoolsExampleIsGood(t *testing.T) {
	b, err := os.ReadFile("../../../deploy/gapgapd-pools.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(b)
	c, err := Parse("x", b)
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Pools) != 2 || c.Routes.Len() != 2 || !c.SharesCPU || c.Pools[0].CounterSpace != "" ||
		c.Pools[1].CounterSpace != "audit" ||
		c.Pools[0].Weight != 2 {
		t.Errorf("%+v", c.Pools)
	}
	for _, bad := range []struct{ old, new, key string }{
		{`default_pool = "flags"`, `default_pool = "flag"`, "node.default_pool"},
		{`memory_mb = 512`, `discovery = "127.0.0.1:1"`, "node.discovery"},
		{`name = "audit"`, `name = "flags"`, "pool[1].name"},
		{`discovery = "127.0.0.1:8501"`, `discovery = "x"`, "pool[1].discovery"},
		{`weight = 2.0`, `weight = 0.0`, "pool[0].weight"},
		{`memory_mb = 512`, "memory_mb = 512\nceilings = \"mine\"", "node.ceilings"},
		{`guarantee = 0.3`, `guarantee = -0.1`, "pool[0].guarantee"},
		{`guarantee = 0.3`, `guarantee = 0.7`, "pool[1].guarantee"}, // the other pool has 0.25
		{`server_connections = 64`, `server_connections = -1`, "pool[0].server_connections"},
		{`protocol = "resp2"`, `protocol = "figures"`, "listener[0].protocol"},
		{`protocol = "metrics"`, "protocol = \"metrics\"\nend_path = \"/end\"", "listener[2].protocol"},
		{`aim = "2s"`, `aim = "20s"`, "pool[1].class[0].aim"},
		{`burst = 10.0`, `burst = -1.0`, "pool[1].plan[0].burst"},
		{`class = "record"`, `class = "other"`, "pool[1].rule[0].class"},
		{`plan = "business"`, `plan = "gold"`, "account[0].plan"},
		{`to = [{ pool = "audit" }]`, `to = [{ pool = "odd" }]`, "route[0].to"},
		{`host = "audit.example.org"`, `host = "a:1"`, "route[0].host"},
		{`name = "canary"`, `name = "audit"`, "route[1].name"},
		{`host = "*.flags.example.org"`, `account = "nobody"`, "route[1].account"},
		{`host = "*.flags.example.org"`, `listener = "nowhere"`, "route[1].listener"},
		{`host = "*.flags.example.org"`, `kind = "odd"`, "route[1].kind"},
	} {
		at := strings.LastIndex(good, bad.old)
		if bad.key == "pool[1].name" {
			at = strings.Index(good, bad.old)
		}
		if at < 0 {
			t.Fatalf("the example does not contain %q", bad.old)
		}
		_, err := Parse("x", []byte(good[:at]+bad.new+good[at+len(bad.old):]))
		var e *Error
		if !errors.As(err, &e) || e.Key != bad.key || e.Line == 0 {
			t.Errorf("%s: %v", bad.key, err)
		}
	}
}

// TestForwardAuthBadConfiguration verifies that each invalid setting is reported with file, line and key.
func TestForwardAuthBadConfiguration(t *testing.T) {
	good := exampleConfig(t)
	for _, c := range []struct{ old, new, key string }{
		{"sockets = 4096", "socks = 4096", "node.socks"},
		{"sockets = 4096", `sockets = "many"`, "node.sockets"},
		{"memory_mb = 256", "memory_mb = -1", "node.memory_mb"},
		{"rank = 0", "rank = 3", "node.rank"},
		{`discovery = "127.0.0.1:8500"`, `discovery = "here"`, "node.discovery"},
		{`counter = "127.0.0.1:6400"`, `counter = "here"`, "node.counter"},
		{`# allow = ["10.0.0.0/8"]`, `allow = ["10.0.0.0/99"] #`, "node.allow[0]"},
		{`address = "127.0.0.1:9090"`, `address = "10.1.1.1:9090"`, "listener[1].address"},
		{`address = "127.0.0.1:9090"`, `address = "127.0.0.1:6379"`, "listener[1].address"},
		{`address = "127.0.0.1:9090"`, `address = "localhost:1"`, "listener[1].address"},
		{`protocol = "authz"`, `protocol = "smtp"`, "listener[1].protocol"},
		{`protocol = "resp2"`, "protocol = \"resp2\"\nend_path = \"/x\"", "listener[0].protocol"},
		{`name = "checks"`, `name = "resp2"`, "listener[1].name"},
		{`trusted = ["127.0.0.0/8"]`, `trusted = ["127.0.0.0/8", "proxy"]`, "listener[1].trusted[1]"},
		{`trusted = ["127.0.0.0/8"]`, "", "listener[1].trusted"},
		{`trusted = ["127.0.0.0/8"]`, `trusted_certificates = ["a"]`, "listener[1].trusted_certificates"},
		{`max_headers = 100`, `max_headers = 1`, "listener[1].max_headers"},
		{`header_timeout = "2.5s"`, `header_timeout = "-1s"`, "listener[1].header_timeout"},
		{`header_timeout = "2.5s"`, `header_timeout = "2,5s"`, "listener.header_timeout"},
		{`dialect = "caddy"`, `dialect = "candy"`, "listener[1].check[2].dialect"},
		{`path = "/caddy"`, `path = "/nginx"`, "listener[1].check[2].path"},
		{`path = "/caddy"`, `path = "/end"`, "listener[1].check[2].path"},
		{`path = "/caddy"`, `path = "caddy"`, "listener[1].check[2].path"},
		{`path = "/envoy"`, `path = "/envoy/"`, "listener[1].check[3].path"},
		{`identify = ["certificate", "key"]`, `identify = ["face"]`, "listener[1].check[3].identify[0]"},
		{`certificate_header = "X-Client-Certificate-Name"`, "", "listener[1].check[3].certificate_header"},
		{`repeat = "nonce"`, `repeat = "always"`, "listener[1].check[1].repeat"},
		{`within = "500ms"`, `within = "5s"`, "listener[1].check[0].within"},
		{`within = "500ms"`, `within = "-5s"`, "listener[1].check[0].within"},
		{`undecided = "deny"`, `undecided = "perhaps"`, "listener[1].check[0].undecided"},
		{`default_class = "evaluate"        #`, `default_class = "other" #`, "listener[1].check[0].default_class"},
		{`plan = "business"`, `plan = "gold"`, "account[0].plan"},
		{`customer = "0000000000000002"`, `customer = "00000000b4d65521"`, "account[1].customer"},
		{`hold = "20s"`, `doors = 4`, "account[1].doors"},
		{`effect = "keyed"`, `effect = "odd"`, "class[1].effect"},
		{`window = "1.2s"`, `window = "0s"`, "class[1].window"},
		{`aim = "600ms"`, `aim = "6s"`, "class[1].aim"},
		{`rate = 20.0`, `rate = -20.0`, "plan[1].rate"},
		{`ceiling_depth = 80.0`, ``, "plan[1].ceiling_depth"},
		{`name = "seats"`, `name = "se\"ats"`, "plan[2].name"},
		{`units = 2.0`, `units = 20.0`, "rule[0].units"},
		{`per_account = 2000`, `per_account = 200000`, "verdicts"},
		{`# [listener.tls]`, "[listener.tls]\ncertificate = \"nowhere\"", "listener[1].tls"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("the example does not contain %q", c.old)
		}
		bad := strings.Replace(good, c.old, c.new, 1)
		_, err := Parse("file.toml", []byte(bad))
		var e *Error
		if !errors.As(err, &e) || e.Key != c.key || e.File != "file.toml" || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.key, err)
			continue
		}
		// An invalid key is reported with its own line, a missing one with the line of its table.
		want := 1 + strings.Count(good[:strings.Index(good, c.old)], "\n")
		if c.new != "" && !strings.Contains(c.new, "\n") && c.key != "verdicts" && c.key != "listener[1].trusted" &&
			e.Line != want {
			t.Errorf("%s: line %d, want %d", c.key, e.Line, want)
		}
		if e.Line == 0 {
			t.Errorf("%s: error without a line", c.key)
		}
	}
	for _, bad := range []string{"", "[node", "a = 1", "[[node]]\n[[node]]", "[node]\nname = 1"} {
		if _, err := Parse("x", []byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("error for a missing file: %v", err)
	}
}

// FuzzParse verifies that any text yields either a configuration or an error.
func FuzzParse(f *testing.F) {
	f.Add(exampleConfig(f))
	f.Add("[[listener]]\n[listener.tls]\nkey=1\n[[listener.check]]\na={b={c=1}}")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := Parse("x", []byte(s))
		if (c == nil) == (err == nil) {
			t.Errorf("the result must be either a configuration or an error")
		}
	})
}

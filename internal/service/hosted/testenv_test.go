package hosted

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
	"gapgap/internal/fake/quota"
)

// testEnv is a set of gateways with fakes of their endpoints, endpoint list and counter, all on loopback.
type testEnv struct {
	t        testing.TB
	gateways []*gateway
	servers  []*flagserver.Server
	counter  *quota.Counter
	agent    *catalog.Agent
}

// gateway is one Service that runs in the test process.
type gateway struct {
	*Service
	// http is the URL of the listener for checks, and resp the address of the RESP2 listener.
	http    string
	resp    string
	stop    context.CancelFunc
	stopped chan struct{}
}

// baseConfig is the configuration that tests edit. Its arguments are discovery, counter, the number of gateways and the
// index of this gateway.
const baseConfig = `
[node]
seed = "7"
discovery = %q
counter = %q
doors = %d
rank = %d
sockets = 2048
[limits]
retry_after = "5s"
max_units = 10.0
counter_timeout = "2s"
probe = true
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "2s"
give_up = "3s"
[[class]]
name = "change"
effect = "keyed"
window = "2s"
worth = 5.0
aim = "2s"
give_up = "3s"
[[plan]]
name = "starter"
rate = 0.1
burst = 6.0
over_cost = 1.2
[[plan]]
name = "business"
rate = 20.0
burst = 20.0
over_worth = 0.2
ceiling_rate = 40.0
ceiling_depth = 40.0
[[plan]]
name = "seats"
rate = 1000.0
burst = 1000.0
at_once = 3
over_cost = 1.0
[[plan]]
name = "open"
[[listener]]
name = "resp"
protocol = "resp2"
address = "127.0.0.1:0"
[[listener]]
name = "http"
protocol = "authz"
address = "127.0.0.1:0"
trusted = ["127.0.0.1"]
end_path = "/end"
header_timeout = "2s"
max_headers = 40
max_body = 1000
[[listener.check]]
path = "/nginx"
dialect = "nginx"
repeat = "request-id"
default_class = "evaluate"
[[listener.check]]
path = "/traefik"
dialect = "traefik"
repeat = "nonce"
default_class = "evaluate"
[[listener.check]]
path = "/caddy"
dialect = "caddy"
identify = ["header", "key"]
account_header = "X-Account"
units_header = "X-Units"
repeat = "request-id"
default_class = "evaluate"
[[listener.check]]
path = "/envoy"
dialect = "envoy"
repeat = "request-id"
identify = ["certificate", "key"]
certificate_header = "X-Client-Cert-Name"
[[listener.check]]
path = "/long"
dialect = "traefik"
repeat = "request-id"
default_class = "evaluate"
within = "3s"
[[rule]]
host = "flags.example.org"
path = "/closed"
class = "change"
[[rule]]
host = "flags.example.org"
path = "/dear"
class = "evaluate"
units = 5.0
[[rule]]
host = "flags.example.org"
class = "evaluate"
`

// accountTables returns the tables of one or two accounts for each plan. The key of an account is "key-" and its name.
func accountTables() string {
	s := ""
	for i, a := range [][2]string{
		{"small", "starter"},
		{"big", "business"},
		{"seated", "seats"},
		{"free", "open"},
		{"other", "business"},
	} {
		s += fmt.Sprintf("[[account]]\nname = %q\nplan = %q\ncustomer = \"%016x\"\n", a[0], a[1], i+1)
		s += fmt.Sprintf("keys = [\"%x\"]\ncertificates = [\"%s.clients\"]\n", keyHash("key-"+a[0]), a[0])
		if a[0] == "small" {
			s += "classes = [\"evaluate\"]\n"
		}
		if a[0] == "seated" {
			s += "hold = \"1h\"\n"
		}
	}
	return s
}

// customers maps the names of accounts to their customer numbers.
var customers = map[string]string{
	"small":  fmt.Sprintf("%016x", 1),
	"big":    fmt.Sprintf("%016x", 2),
	"seated": fmt.Sprintf("%016x", 3),
	"free":   fmt.Sprintf("%016x", 4),
	"other":  fmt.Sprintf("%016x", 5),
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startEnv starts a number of gateways. edits has pairs of old and new text in the configuration.
func startEnv(t testing.TB, gateways int, edits ...string) *testEnv {
	t.Helper()
	w := &testEnv{t: t}
	var list []catalog.Endpoint
	for i := range 3 {
		s, err := flagserver.Start(flagserver.Config{Keep: true, Delay: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.servers = append(w.servers, s)
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	var err error
	if w.agent, err = catalog.Start(list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.agent.Close)
	if w.counter, err = quota.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.counter.Close)
	for i := range gateways {
		w.gateways = append(w.gateways, w.startGateway(gateways, i, edits...))
	}
	return w
}

// configText returns the configuration of one gateway.
func (w *testEnv) configText(gateways, index int, edits ...string) string {
	text := fmt.Sprintf(baseConfig, w.agent.Addr(), w.counter.Addr(), gateways, index) + accountTables()
	for i := 0; i < len(edits); i += 2 {
		if !strings.Contains(text, edits[i]) {
			w.t.Fatalf("the configuration does not contain %q", edits[i])
		}
		text = strings.Replace(text, edits[i], edits[i+1], 1)
	}
	return text
}

func (w *testEnv) startGateway(gateways, index int, edits ...string) *gateway {
	w.t.Helper()
	return w.startService(w.configText(gateways, index, edits...))
}

// keyHash returns the hash by which a configuration identifies a key.
func keyHash(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// startService runs a service with a configuration and waits until it is ready.
func (w *testEnv) startService(text string) *gateway {
	w.t.Helper()
	cfg, err := Parse("test.toml", []byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	s, err := New(cfg, discardLog)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &gateway{
		Service: s,
		http:    "http://" + s.Addr("http").String(),
		resp:    s.Addr("resp").String(),
		stop:    stop,
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(d.stopped)
		s.Serve(ctx)
	}()
	w.t.Cleanup(func() {
		stop()
		<-d.stopped
	})
	for end := time.Now().Add(peer.Patient); !s.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("the service does not become ready")
		}
	}
	return d
}

// newClient returns an HTTP client that keeps connections and ignores proxy settings.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: peer.Patient}
}

// mustCheck sends a check like Traefik or nginx, with additional header fields given as pairs of name and value.
func mustCheck(t testing.TB, c *http.Client, url string, fields ...string) (int, http.Header, string) {
	t.Helper()
	code, h, b, err := tryCheck(c, url, fields...)
	if err != nil {
		t.Fatal(err)
	}
	return code, h, b
}

func tryCheck(c *http.Client, url string, fields ...string) (int, http.Header, string, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, "", err
	}
	for k, v := range map[string]string{"X-Forwarded-Method": "GET", "X-Forwarded-Host": "flags.example.org",
		"X-Forwarded-Uri": "/v1/x", "X-Forwarded-Proto": "https", "X-Original-Method": "GET",
		"X-Original-Uri": "/v1/x", "X-Original-Host": "flags.example.org"} {
		req.Header.Set(k, v)
	}
	for i := 0; i < len(fields); i += 2 {
		req.Header.Del(fields[i])
		if fields[i+1] != "" {
			req.Header.Set(fields[i], fields[i+1])
		}
	}
	if h := req.Header.Get("Host"); h != "" {
		req.Host = h
		req.Header.Del("Host")
	}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(b), err
}

// bearer returns the header field with an account's key.
func bearer(account string) []string { return []string{"Authorization", "Bearer key-" + account} }

// waitForCeiling waits until a new gateway's share of an account's ceiling has begun to fill. It starts empty because
// the gateway may have spent it before a restart.
func (w *testEnv) waitForCeiling(d *gateway, account string) {
	w.t.Helper()
	for end := time.Now().Add(peer.Patient); ; time.Sleep(5 * time.Millisecond) {
		if code, _, _ := mustCheck(w.t, newClient(), d.http+"/traefik", bearer(account)...); code == 200 {
			time.Sleep(300 * time.Millisecond) // for some more units
			return
		}
		if time.Now().After(end) {
			w.t.Fatal("no check is allowed")
		}
	}
}

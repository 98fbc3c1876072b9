package hosted

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
	"gapgap/internal/fake/proxy"
	"gapgap/internal/frontend/extauthz"
)

// TestForwardAuthDialects verifies what clients of each kind of proxy get: an allowed request reaches the backend with
// the name of the account, which the client can't forge, and a rejected one gets the status that the proxy can express.
func TestForwardAuthDialects(t *testing.T) {
	for _, kind := range []proxy.Kind{proxy.Nginx, proxy.Traefik, proxy.Caddy, proxy.Envoy} {
		t.Run(string(kind), func(t *testing.T) {
			w := startEnv(t, 1)
			var mu sync.Mutex
			var seen []*http.Request
			service := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				mu.Lock()
				seen = append(seen, r)
				mu.Unlock()
				_, _ = rw.Write([]byte("from the service"))
			})
			p := proxy.Start(proxy.Config{Kind: kind, Check: w.gateways[0].http + "/" + string(kind), Service: service})
			defer p.Close()
			get := func(path string, fields ...string) (int, http.Header, string) {
				t.Helper()
				return mustCheck(t, p.Client(), p.URL+path, append([]string{"Host", "flags.example.org"}, fields...)...)
			}
			w.waitForCeiling(w.gateways[0], "big")
			code, _, body := get("/v1/x?a=b", append(bearer("big"), "X-Gapgap-Account", "forged")...)
			if code != 200 || body != "from the service" || len(seen) != 1 {
				t.Fatalf("allowed: %d %q", code, body)
			}
			if h := seen[0].Header; h.Get("X-Gapgap-Account") != "big" || h.Get("X-Gapgap-Plan") != "business" ||
				h.Get("X-Gapgap-Request-Id") == "" {
				t.Errorf("the service sees %v", h)
			}
			code, h, _ := get("/v1/x", bearer("nobody")...)
			if code != 401 || !strings.HasPrefix(h.Get("Www-Authenticate"), "Bearer") {
				t.Errorf("unknown key: %d %v", code, h)
			}
			if code, _, _ := get("/v1/x", "Authorization", ""); code != 401 {
				t.Errorf("no key: %d", code)
			}
			if code, _, _ := get("/closed/x", bearer("small")...); code != 403 {
				t.Errorf("not entitled: %d", code)
			}
			if code, _, _ := get("/closed/../v1", bearer("small")...); code != 200 {
				t.Errorf("entitled, and no dot segment changes that: %d", code)
			}
			last := 0
			for range 16 { // the burst is 6, and the counter's token bucket may have half a token more
				if last, h, body = get("/v1/x", bearer("small")...); last != 200 {
					break
				}
			}
			if s, _ := strconv.Atoi(h.Get("Retry-After")); last != 429 || s < 1 {
				t.Errorf("quota spent: %d, Retry-After %q", last, h.Get("Retry-After"))
			}
			if kind != proxy.Nginx && !strings.Contains(body, `"status":429`) {
				t.Errorf("quota spent: body %q", body)
			}
			if n := len(seen) - 1; n < 6 || n > 10 {
				t.Errorf("%d requests reached the service", len(seen))
			}
		})
	}
}

// TestForwardAuthVerdicts verifies the status codes and header fields of decisions, and of invalid checks, in each
// dialect.
func TestForwardAuthVerdicts(t *testing.T) {
	w := startEnv(t, 1)
	d, c := w.gateways[0], newClient()
	code, h, _ := mustCheck(t, c, d.http+"/traefik", bearer("small")...)
	if code != 200 || h.Get(extauthz.HeaderAccount) != "small" || h.Get(extauthz.HeaderPlan) != "starter" ||
		h.Get("Ratelimit-Policy") != `"starter";q=6;w=60` || h.Get("Ratelimit") != `"starter";r=5;t=10` {
		t.Errorf("allowed: %d %v", code, h)
	}
	dear := append(bearer("small"), "X-Forwarded-Uri", "//v1/%2e%2e/dear/x")
	if code, h, _ := mustCheck(t, c, d.http+"/traefik", dear...); code != 200 ||
		h.Get("Ratelimit") != `"starter";r=0;t=60` {
		t.Errorf("five units with an unnormalized path: %d %v", code, h)
	}
	code, h, body := mustCheck(t, c, d.http+"/caddy", append(bearer("small"), "X-Units", "9")...)
	var p struct {
		Type, Title, Detail string
		Status              int
	}
	if err := json.Unmarshal([]byte(body), &p); err != nil || p.Status != 429 || p.Type == "" || p.Title == "" {
		t.Errorf("the body %q: %v", body, err)
	}
	secs, _ := strconv.Atoi(h.Get("Retry-After"))
	ms, _ := strconv.Atoi(h.Get(extauthz.HeaderRetryAfterMS))
	if code != 429 || ms <= 0 || secs != (ms+999)/1000 || h.Get("Content-Type") != "application/problem+json" ||
		h.Get("Ratelimit") == "" {
		t.Errorf("refused: %d %v", code, h)
	}
	for name, c2 := range map[string]struct {
		path   string
		fields []string
		want   int
	}{
		"account by header": {"/caddy", []string{"X-Account", "free"}, 200},
		"unknown account":   {"/caddy", []string{"X-Account", "nobody"}, 401},
		"header before key": {"/caddy", append(bearer("free"), "X-Account", "nobody"), 401},
		"account by certificate": {
			"/envoy/v1", []string{"X-Client-Cert-Name", "free.clients", "Host", "flags.example.org"}, 200,
		},
		"unknown certificate":    {"/envoy/v1", []string{"X-Client-Cert-Name", "x", "Host", "flags.example.org"}, 401},
		"no account_header here": {"/traefik", []string{"X-Account", "free"}, 401},
		"key in its own field":   {"/traefik", []string{"X-Api-Key", "key-free"}, 200},
		"no rule, no default":    {"/envoy/v1", append(bearer("free"), "Host", "elsewhere.example.org"), 403},
		"prefix by segments":     {"/envoyx", append(bearer("free"), "Host", "flags.example.org"), 404},
		"the prefix alone":       {"/envoy", append(bearer("free"), "Host", "flags.example.org"), 200},
		"no such path":           {"/other", bearer("free"), 404},
		"no method":              {"/traefik", append(bearer("free"), "X-Forwarded-Method", ""), 400},
		"invalid method":         {"/traefik", append(bearer("free"), "X-Forwarded-Method", "get it"), 400},
		"no URI":                 {"/traefik", append(bearer("free"), "X-Forwarded-Uri", ""), 400},
		"invalid URI":            {"/traefik", append(bearer("free"), "X-Forwarded-Uri", "/%zz"), 400},
		"invalid host":           {"/traefik", append(bearer("free"), "X-Forwarded-Host", "a b"), 400},
		"invalid units":          {"/caddy", append(bearer("free"), "X-Units", "1e0"), 400},
		"negative units":         {"/caddy", append(bearer("free"), "X-Units", "-1"), 400},
		"units over max_units":   {"/caddy", append(bearer("free"), "X-Units", "11"), 400},
		"no units_header here":   {"/traefik", append(bearer("free"), "X-Units", "-1"), 200},
		"nginx by URL": {
			"/nginx",
			append(bearer("free"), "X-Original-Uri", "", "X-Original-Url", "https://flags.example.org/v1"),
			200,
		},
		"nginx by URL and URI": {
			"/nginx", append(bearer("free"), "X-Original-Url", "https://flags.example.org/v1"), 403,
		},
		"nginx, invalid URL": {
			"/nginx", append(bearer("free"), "X-Original-Uri", "", "X-Original-Url", "ftp://x/"), 403,
		},
		"nginx, unknown key": {"/nginx", bearer("nobody"), 401},
	} {
		if code, h, _ := mustCheck(t, c, d.http+c2.path, c2.fields...); code != c2.want {
			t.Errorf("%s: %d %v, want %d", name, code, h, c2.want)
		}
	}
	noMethod := append(bearer("free"), "X-Original-Method", "")
	if _, h, _ := mustCheck(t, c, d.http+"/nginx", noMethod...); h.Get(extauthz.HeaderStatus) != "400" {
		t.Errorf("nginx: the status header is %q", h.Get(extauthz.HeaderStatus))
	}
	req, _ := http.NewRequest(http.MethodGet, d.http+"/traefik", nil)
	req.Header = http.Header{"X-Forwarded-Method": {"GET"}, "X-Forwarded-Uri": {"/a", "/b"}, "X-Forwarded-Host": {"x"},
		"Authorization": {"Bearer key-free"}}
	if res, err := c.Do(req); err != nil || res.StatusCode != 400 {
		t.Errorf("a repeated field: %v %v", res, err)
	}
	f := &d.Shared.Stats
	if f.Allowed.Load() == 0 || f.Refused.Load() == 0 || f.Unauthenticated.Load() == 0 || f.Forbidden.Load() == 0 ||
		f.Bad.Load() == 0 {
		t.Errorf("stats: %v", f.LogValue())
	}
}

// TestForwardAuthTrust verifies that only trusted proxies get decisions, whatever header fields others send, and that a
// client of a trusted proxy can't spoof the proxy's header fields.
func TestForwardAuthTrust(t *testing.T) {
	w := startEnv(t, 1, `trusted = ["127.0.0.1"]`, `trusted = ["127.0.0.9"]`)
	code, _, body := mustCheck(t, newClient(), w.gateways[0].http+"/caddy",
		"X-Account", "free", "X-Forwarded-For", "127.0.0.9")
	if code != 403 || !strings.Contains(body, "untrusted") || w.gateways[0].Shared.Stats.Untrusted.Load() != 1 {
		t.Errorf("from another address: %d %s", code, body)
	}
	if n := w.gateways[0].Shared.Stats.Allowed.Load(); n != 0 {
		t.Errorf("%d allowed", n)
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	listed := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}, Timeout: peer.Patient}
	if code, _, _ := mustCheck(t, listed, w.gateways[0].http+"/caddy", "X-Account", "free"); code != 200 {
		t.Errorf("from the listed address: %d", code)
	}
	w = startEnv(t, 1)
	service := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {})
	for _, kind := range []proxy.Kind{proxy.Nginx, proxy.Traefik, proxy.Caddy, proxy.Envoy} {
		p := proxy.Start(proxy.Config{Kind: kind, Check: w.gateways[0].http + "/" + string(kind), Service: service})
		// The client tries to reuse a request ID, so that the check is taken for a repeat.
		for range 3 {
			code, _, _ := mustCheck(t, p.Client(), p.URL+"/closed", append(bearer("small"), "Host", "flags.example.org",
				"X-Request-Id", "same")...)
			if code != 403 {
				t.Errorf("%s: spoofed fields were accepted: %d", kind, code)
			}
		}
		p.Close()
	}
	if w.gateways[0].Shared.Stats.Repeated.Load() != 0 {
		t.Error("a client's request ID was accepted as the proxy's")
	}
}

// TestForwardAuthNonceIsNoWayRound verifies that a client which sends the same nonce with all requests gets the cached
// decision only a few times, and is then rejected until the decision expires.
func TestForwardAuthNonceIsNoWayRound(t *testing.T) {
	w := startEnv(t, 1)
	allowed := 0
	for range 400 {
		code, _, _ := mustCheck(t, newClient(), w.gateways[0].http+"/traefik",
			append(bearer("small"), "Idempotency-Key", "one")...)
		if code == 200 {
			allowed++
		}
	}
	if allowed != 4 {
		t.Errorf("%d allowed, want the first and three repeats", allowed)
	}
}

// TestForwardAuthSimultaneousRepeats verifies that of many concurrent repeats of one check one is decided, the allowed
// number of repeats get the same decision, the others are rejected, and the account is charged once.
func TestForwardAuthSimultaneousRepeats(t *testing.T) {
	w := startEnv(t, 1)
	d := w.gateways[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	ids, refused := map[string]int{}, 0
	for range 40 {
		wg.Go(func() {
			code, h, _, err := tryCheck(newClient(), d.http+"/long", append(bearer("small"), "X-Request-Id", "one")...)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case code == 200:
				ids[h.Get(extauthz.HeaderRequestID)]++
			case code == 429 && h.Get("Retry-After") != "":
				refused++
			}
		})
	}
	wg.Wait()
	if len(ids) != 1 || refused != 36 {
		t.Errorf("%v allowed, %d rejected", ids, refused)
	}
	_, h, _ := mustCheck(t, newClient(), d.http+"/long", bearer("small")...)
	// Of six units, one was charged for the repeats and one for this check.
	if got := h.Get("Ratelimit"); !strings.HasPrefix(got, `"starter";r=4;`) {
		t.Errorf("remaining quota: %q", got)
	}
}

// TestForwardAuthRepeats verifies that a check repeated while the first is in flight joins it: both get the same
// decision, and the account is charged once. A rejection is repeated too, with the remaining time as its Retry-After.
func TestForwardAuthRepeats(t *testing.T) {
	// Half of the burst is this gateway's own share, the rest is at the counter.
	w := startEnv(t, 1, "doors = 1", "doors = 2")
	d := w.gateways[0]
	resume := w.counter.Stall()
	spendUnits(t, d, "small", 3) // this gateway's own share, so that the next one needs the counter
	var wg sync.WaitGroup
	codes, ids, left := make([]int, 3), make([]string, 3), make([]string, 3)
	waiting := func(n uint64) {
		for end := time.Now().Add(peer.Patient); d.Shared.Stats.Repeated.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no repeat is counted")
			}
		}
	}
	fields := append(bearer("small"), "X-Request-Id", "r1")
	for i := range 3 {
		wg.Go(func() {
			code, h, _, err := tryCheck(newClient(), d.http+"/long", fields...)
			if err != nil {
				t.Error(err)
			}
			codes[i], ids[i], left[i] = code, h.Get(extauthz.HeaderRequestID), h.Get("Ratelimit")
		})
		waiting(uint64(i))
	}
	resume()
	wg.Wait()
	if fmt.Sprint(codes) != "[200 200 200]" || ids[0] == "" || ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("one check has several decisions: %v %v", codes, ids)
	}
	code, h, _ := mustCheck(t, newClient(), d.http+"/long", append(fields, "X-Forwarded-Uri", "/v1/y")...)
	if h.Get(extauthz.HeaderRequestID) == ids[0] || code != 200 {
		t.Errorf("another URI with the same request ID: %d, %q", code, h.Get(extauthz.HeaderRequestID))
	}
	var first, next int
	_, _ = fmt.Sscanf(left[0], `"starter";r=%d`, &first)
	_, _ = fmt.Sscanf(h.Get("Ratelimit"), `"starter";r=%d`, &next)
	if next >= first || first-next > 2 { // one for the three repeats, one for the other check, less what refilled
		t.Errorf("remaining quota %q and then %q: three repeats of one check must be charged once", left[0],
			h.Get("Ratelimit"))
	}
	// A rejection.
	exhaustQuota(t, d, "small")
	fields = append(bearer("small"), "X-Request-Id", "r2", "X-Forwarded-Uri", "/dear")
	code, h, _ = mustCheck(t, newClient(), d.http+"/long", fields...)
	if code != 429 {
		t.Fatalf("%d", code)
	}
	first, _ = strconv.Atoi(h.Get(extauthz.HeaderRetryAfterMS))
	refused := d.Shared.Stats.Repeated.Load()
	code, h, _ = mustCheck(t, newClient(), d.http+"/long", fields...)
	second, _ := strconv.Atoi(h.Get(extauthz.HeaderRetryAfterMS))
	if code != 429 || second > first || d.Shared.Stats.Repeated.Load() != refused+1 {
		t.Errorf("a repeated rejection: %d, Retry-After %d ms and then %d ms", code, first, second)
	}
}

// spendUnits sends n checks, all of which must be allowed.
func spendUnits(t *testing.T, d *gateway, account string, n int) {
	t.Helper()
	for i := range n {
		if code, _, _ := mustCheck(t, newClient(), d.http+"/traefik", bearer(account)...); code != 200 {
			t.Fatalf("check %d: %d", i, code)
		}
	}
}

// exhaustQuota sends checks until one is rejected.
func exhaustQuota(t *testing.T, d *gateway, account string) {
	t.Helper()
	for range 200 {
		if code, _, _ := mustCheck(t, newClient(), d.http+"/traefik", bearer(account)...); code == 429 {
			return
		}
	}
	t.Fatal("no check is rejected")
}

// TestForwardAuthProxyTimeouts verifies that a check which the proxy repeats after a timeout is charged once: while the
// check waits for the counter, and just after it was answered. After a restart of the gateway it is charged once more,
// which is documented for operators.
func TestForwardAuthProxyTimeouts(t *testing.T) {
	w := startEnv(t, 1)
	d := w.gateways[0]
	service := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {})
	p := proxy.Start(proxy.Config{Kind: proxy.Traefik, Check: d.http + "/long", Service: service,
		Timeout: 100 * time.Millisecond, Retries: 40})
	defer p.Close()
	spendUnits(t, d, "small", 5) // this leaves one unit of this gateway's own share
	resume := w.counter.Stall()
	code, _, _ := mustCheck(t, p.Client(), p.URL+"/v1", append(bearer("small"), "Host", "flags.example.org")...)
	if code != 200 {
		t.Fatalf("the last unit of the share: %d", code)
	}
	done := make(chan int, 1)
	go func() { // needs the stalled counter, so the proxy retries
		code, _, _, _ := tryCheck(p.Client(), p.URL+"/v1", append(bearer("small"), "Host", "flags.example.org")...)
		done <- code
	}()
	for end := time.Now().Add(peer.Patient); d.Shared.Stats.Repeated.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the proxy does not retry")
		}
	}
	resume()
	code = <-done
	if code != 200 && code != 429 {
		t.Errorf("after the counter's answer: %d", code)
	}
	// The first answer is lost: the repeat gets the same decision and is not charged.
	w.waitForCeiling(d, "big")
	fields := append(bearer("big"), "X-Request-Id", "lost")
	_, h, _ := mustCheck(t, newClient(), d.http+"/long", fields...)
	_, again, _ := mustCheck(t, newClient(), d.http+"/long", fields...)
	if id := h.Get(extauthz.HeaderRequestID); id == "" || id != again.Get(extauthz.HeaderRequestID) {
		t.Errorf("ids %q and %q", id, again.Get(extauthz.HeaderRequestID))
	}
	// After a restart.
	d.stop()
	<-d.stopped
	d = w.startGateway(1, 0)
	w.waitForCeiling(d, "big")
	_, again, _ = mustCheck(t, newClient(), d.http+"/long", fields...)
	if id := again.Get(extauthz.HeaderRequestID); id == "" || id == h.Get(extauthz.HeaderRequestID) {
		t.Errorf("after a restart: %q", id)
	}
}

// TestForwardAuthEndsAndHolds verifies that, with a plan that bounds the requests in flight, an admitted check counts
// as in flight until its end call, that a second end call has no effect, and that RESP2 requests share the bound.
func TestForwardAuthEndsAndHolds(t *testing.T) {
	w := startEnv(t, 1)
	d, c := w.gateways[0], newClient()
	var ids []string
	for range 3 {
		code, h, _ := mustCheck(t, c, d.http+"/traefik", bearer("seated")...)
		if code != 200 {
			t.Fatalf("%d", code)
		}
		ids = append(ids, h.Get(extauthz.HeaderRequestID))
	}
	if code, h, _ := mustCheck(t, c, d.http+"/traefik", bearer("seated")...); code != 429 ||
		h.Get("Retry-After") == "" {
		t.Errorf("a fourth: %d", code)
	}
	end := func(id string, method string) int {
		t.Helper()
		req, _ := http.NewRequest(method, d.http+"/end?id="+url.QueryEscape(id), nil)
		res, err := c.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	got := []int{
		end(ids[0], "GET"),
		end(ids[0], "POST"),
		end(ids[0], "POST"),
		end("x", "POST"),
		end("", "POST"),
	}
	if fmt.Sprint(got) != "[405 204 404 404 404]" {
		t.Errorf("end calls: %v", got)
	}
	r := peer.Dial(t, d.resp)
	r.Command("Q.ASK", customers["seated"], "1", "c=evaluate,t=seats,d=2000,units=1,spread=1,first=0")
	r.Wants("Q.ASK 1") // uses the free slot and releases it
	if code, _, _ := mustCheck(t, c, d.http+"/traefik", bearer("seated")...); code != 200 {
		t.Errorf("the released slot: %d", code)
	}
	r.Command("Q.ASK", customers["seated"], "2", "c=evaluate,t=seats,d=300,units=1,spread=1,first=0")
	r.WantsPrefix("-BUSY")
	r.Command("Q.ASK", customers["seated"], "3", "c=evaluate,t=open,d=300,units=1,spread=1,first=0")
	r.WantsPrefix("-ERR the plan")
	r.Command("Q.DO", customers["small"], "4", "c=change,t=starter,d=300,k=1,units=1,spread=1,first=0", "x")
	r.WantsPrefix("-ERR the account is not entitled")
	if w.gateways[0].Shared.Stats.Ended.Load() != 1 {
		t.Errorf("%d end calls", w.gateways[0].Shared.Stats.Ended.Load())
	}
}

// TestForwardAuthUndecided verifies that a check which can't be decided, here for lack of memory, gets the configured
// answer and is counted.
func TestForwardAuthUndecided(t *testing.T) {
	for _, allow := range []bool{false, true} {
		edits := []string{`path = "/long"`, "path = \"/long\"\nundecided = \"deny\""}
		if allow {
			edits[1] = "path = \"/long\"\nundecided = \"allow\""
		}
		w := startEnv(t, 1, append(edits, "memory_mb", "memory_mb")[:2]...)
		d := w.gateways[0]
		for !d.Memory.TryReserve(1 << 20) { // can't happen: the limit is larger
			t.Fatal("no memory")
		}
		d.Memory.Adjust(1 << 40) // as if clients used all of it
		code, h, _ := mustCheck(t, newClient(), d.http+"/long", bearer("free")...)
		d.Memory.Release(1<<40 + 1<<20)
		f := &d.Shared.Stats
		if allow && (code != 200 || f.UndecidedAllowed.Load() != 1) ||
			!allow && (code != 503 || h.Get("Retry-After") == "" || f.UndecidedDenied.Load() != 1) {
			t.Errorf("allow %v: %d %v", allow, code, h)
		}
		if h.Get(extauthz.HeaderUndecided) == "" {
			t.Error("the header field for undecided checks is missing")
		}
		if code, _, _ := mustCheck(t, newClient(), d.http+"/long", bearer("free")...); code != 200 {
			t.Errorf("afterwards: %d", code)
		}
	}
}

// TestForwardAuthBadInput verifies that invalid, incomplete and oversized requests are answered or disconnected in
// time, and that other clients are answered meanwhile.
func TestForwardAuthBadInput(t *testing.T) {
	w := startEnv(t, 1)
	d := w.gateways[0]
	addr := d.Addr("http").String()
	head := "GET /traefik HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-free\r\n" +
		"X-Forwarded-Method: GET\r\nX-Forwarded-Uri: /\r\nX-Forwarded-Host: x\r\n"
	many := ""
	for i := range 60 {
		many += fmt.Sprintf("X-%d: y\r\n", i)
	}
	for name, c := range map[string]struct {
		text string
		want string // the status, or empty if the connection is closed without 200
	}{
		"noise":       {"\x00\x01\x02" + strings.Repeat("x", 30) + "\r\n\r\n", "400"},
		"short noise": {"\x00\x01\x02\r\n\r\n", ""}, // may be the beginning of an HTTP/2 preface
		"RESP2":       {"*1\r\n$4\r\nPING\r\n\r\n", "400"},
		"no version":  {"GET /" + strings.Repeat("x", 30) + "\r\n\r\n", "400"},
		"long line":   {"GET /" + strings.Repeat("x", 64<<10), "431"},
		"long field":  {head + "X-A: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431"},
		"many fields": {head + many + "\r\n", "431"},
		"long body":   {head + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), "413"},
		"endless body": {
			head + "Transfer-Encoding: chunked\r\n\r\n1000\r\n" + strings.Repeat("x", 4096) + "\r\n", "413",
		},
		"short body":        {head + "Content-Length: 3\r\n\r\nabc", "200"},
		"two lengths":       {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "400"},
		"half a request":    {head, ""},
		"half a body":       {head + "Content-Length: 30\r\n\r\nabc", "408"},
		"smuggled second":   {head + "\r\nnoise\r\n\r\n", "200"},
		"nothing":           {"", ""},
		"pipelined checks":  {head + "\r\n" + head + "\r\n", "200"},
		"preface of HTTP/2": {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnoise noise noise noise", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(peer.Patient))
			go func() { _, _ = nc.Write([]byte(c.text)) }()
			in := bufio.NewReader(nc)
			line, err := in.ReadString('\n')
			var e net.Error
			if errors.As(err, &e) && e.Timeout() {
				t.Fatal("neither answered nor disconnected")
			}
			if c.want != "" && !strings.HasPrefix(line, "HTTP/1.1 "+c.want) {
				t.Errorf("%q %v, want %s", line, err, c.want)
			}
			if c.want == "" && strings.Contains(line, " 200 ") {
				t.Errorf("%q", line)
			}
			if code, _, _ := mustCheck(t, newClient(), d.http+"/traefik", bearer("free")...); code != 200 {
				t.Errorf("a check of another client: %d", code)
			}
		})
	}
}

// TestForwardAuthDeadlineWhileLoopIsLate verifies that a check whose deadline passes while the event loop is late is
// rejected like any other and not undecided: the balancer must handle the deadline before the event loop gives up on
// the check.
func TestForwardAuthDeadlineWhileLoopIsLate(t *testing.T) {
	w := startEnv(t, 1, "doors = 1", "doors = 2", `within = "3s"`, `within = "400ms"`)
	d := w.gateways[0]
	w.counter.Stall()
	spendUnits(t, d, "small", 3) // this gateway's own share, so that the next one needs the counter
	d.mu.Lock()
	for _, p := range d.pools {
		time.AfterFunc(360*time.Millisecond, func() {
			p.proxy.Post(func() { time.Sleep(80 * time.Millisecond) })
		})
	}
	d.mu.Unlock()
	code, h, _ := mustCheck(t, newClient(), d.http+"/long", bearer("small")...)
	if code != http.StatusTooManyRequests {
		t.Errorf("code %d, undecided %q", code, h.Get(extauthz.HeaderUndecided))
	}
}

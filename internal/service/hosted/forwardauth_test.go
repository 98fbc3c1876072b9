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

// What the clients of each proxy see: a request that may pass reaches the service with the account's name on it, and
// none of the client's own; one that may not is turned away with what the proxy can express.
func TestForwardAuthDialects(t *testing.T) {
	for _, kind := range []proxy.Kind{proxy.Nginx, proxy.Traefik, proxy.Caddy, proxy.Envoy} {
		t.Run(string(kind), func(t *testing.T) {
			w := start(t, 1)
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
				return ask(t, p.Client(), p.URL+path, append([]string{"Host", "flags.example.org"}, fields...)...)
			}
			w.warm(w.gateways[0], "big")
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
			for range 16 { // the burst is 6, and the counter's store may hold half of one more
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

// The verdicts themselves, and the fields with them.
func TestForwardAuthVerdicts(t *testing.T) {
	w := start(t, 1)
	d, c := w.gateways[0], client()
	code, h, _ := ask(t, c, d.http+"/traefik", bearer("small")...)
	if code != 200 || h.Get(extauthz.HeaderAccount) != "small" || h.Get(extauthz.HeaderPlan) != "starter" ||
		h.Get("Ratelimit-Policy") != `"starter";q=6;w=60` || h.Get("Ratelimit") != `"starter";r=5;t=10` {
		t.Errorf("allowed: %d %v", code, h)
	}
	dear := append(bearer("small"), "X-Forwarded-Uri", "//v1/%2e%2e/dear/x")
	if code, h, _ := ask(t, c, d.http+"/traefik", dear...); code != 200 ||
		h.Get("Ratelimit") != `"starter";r=0;t=60` {
		t.Errorf("five units by an odd writing: %d %v", code, h)
	}
	code, h, body := ask(t, c, d.http+"/caddy", append(bearer("small"), "X-Units", "9")...)
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
		"unknown certificate":   {"/envoy/v1", []string{"X-Client-Cert-Name", "x", "Host", "flags.example.org"}, 401},
		"no header taken here":  {"/traefik", []string{"X-Account", "free"}, 401},
		"key in its own field":  {"/traefik", []string{"X-Api-Key", "key-free"}, 200},
		"no rule, no default":   {"/envoy/v1", append(bearer("free"), "Host", "elsewhere.example.org"), 403},
		"prefix by segments":    {"/envoyx", append(bearer("free"), "Host", "flags.example.org"), 404},
		"the prefix alone":      {"/envoy", append(bearer("free"), "Host", "flags.example.org"), 200},
		"no such path":          {"/other", bearer("free"), 404},
		"no method":             {"/traefik", append(bearer("free"), "X-Forwarded-Method", ""), 400},
		"odd method":            {"/traefik", append(bearer("free"), "X-Forwarded-Method", "get it"), 400},
		"no URI":                {"/traefik", append(bearer("free"), "X-Forwarded-Uri", ""), 400},
		"odd URI":               {"/traefik", append(bearer("free"), "X-Forwarded-Uri", "/%zz"), 400},
		"odd host":              {"/traefik", append(bearer("free"), "X-Forwarded-Host", "a b"), 400},
		"odd units":             {"/caddy", append(bearer("free"), "X-Units", "1e0"), 400},
		"negative units":        {"/caddy", append(bearer("free"), "X-Units", "-1"), 400},
		"units beyond the most": {"/caddy", append(bearer("free"), "X-Units", "11"), 400},
		"units not taken here":  {"/traefik", append(bearer("free"), "X-Units", "-1"), 200},
		"nginx by URL": {
			"/nginx",
			append(bearer("free"), "X-Original-Uri", "", "X-Original-Url", "https://flags.example.org/v1"),
			200,
		},
		"nginx by URL and URI": {
			"/nginx", append(bearer("free"), "X-Original-Url", "https://flags.example.org/v1"), 403,
		},
		"nginx, odd URL": {
			"/nginx", append(bearer("free"), "X-Original-Uri", "", "X-Original-Url", "ftp://x/"), 403,
		},
		"nginx, unknown key": {"/nginx", bearer("nobody"), 401},
	} {
		if code, h, _ := ask(t, c, d.http+c2.path, c2.fields...); code != c2.want {
			t.Errorf("%s: %d %v, want %d", name, code, h, c2.want)
		}
	}
	noMethod := append(bearer("free"), "X-Original-Method", "")
	if _, h, _ := ask(t, c, d.http+"/nginx", noMethod...); h.Get(extauthz.HeaderStatus) != "400" {
		t.Errorf("nginx: the true status is %q", h.Get(extauthz.HeaderStatus))
	}
	req, _ := http.NewRequest(http.MethodGet, d.http+"/traefik", nil)
	req.Header = http.Header{"X-Forwarded-Method": {"GET"}, "X-Forwarded-Uri": {"/a", "/b"}, "X-Forwarded-Host": {"x"},
		"Authorization": {"Bearer key-free"}}
	if res, err := c.Do(req); err != nil || res.StatusCode != 400 {
		t.Errorf("a field twice: %v %v", res, err)
	}
	f := &d.Shared.Stats
	if f.Allowed.Load() == 0 || f.Refused.Load() == 0 || f.Unauthenticated.Load() == 0 || f.Forbidden.Load() == 0 ||
		f.Bad.Load() == 0 {
		t.Errorf("figures %v", f.LogValue())
	}
}

// Nobody but a listed proxy is answered, whatever it sends; and a client of a listed one can't have its own fields
// taken for the proxy's.
func TestForwardAuthTrust(t *testing.T) {
	w := start(t, 1, `trusted = ["127.0.0.1"]`, `trusted = ["127.0.0.9"]`)
	code, _, body := ask(t, client(), w.gateways[0].http+"/caddy", "X-Account", "free", "X-Forwarded-For", "127.0.0.9")
	if code != 403 || !strings.Contains(body, "untrusted") || w.gateways[0].Shared.Stats.Untrusted.Load() != 1 {
		t.Errorf("from another address: %d %s", code, body)
	}
	if n := w.gateways[0].Shared.Stats.Allowed.Load(); n != 0 {
		t.Errorf("%d allowed", n)
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	listed := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}, Timeout: peer.Patient}
	if code, _, _ := ask(t, listed, w.gateways[0].http+"/caddy", "X-Account", "free"); code != 200 {
		t.Errorf("from the listed address: %d", code)
	}
	w = start(t, 1)
	service := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {})
	for _, kind := range []proxy.Kind{proxy.Nginx, proxy.Traefik, proxy.Caddy, proxy.Envoy} {
		p := proxy.Start(proxy.Config{Kind: kind, Check: w.gateways[0].http + "/" + string(kind), Service: service})
		// The client would like to be seen at a path to which it is entitled, and to have asked before.
		for range 3 {
			code, _, _ := ask(t, p.Client(), p.URL+"/closed", append(bearer("small"), "Host", "flags.example.org",
				"X-Request-Id", "same")...)
			if code != 403 {
				t.Errorf("%s: spoofed fields were taken: %d", kind, code)
			}
		}
		p.Close()
	}
	if w.gateways[0].Shared.Stats.Repeated.Load() != 0 {
		t.Error("a client's own request id was taken for the proxy's")
	}
}

// One client that names one nonce for all is told what was decided a few times, and then turned away until that is
// forgotten.
func TestForwardAuthNonceIsNoWayRound(t *testing.T) {
	w := start(t, 1)
	allowed := 0
	for range 400 {
		code, _, _ := ask(t, client(), w.gateways[0].http+"/traefik", append(bearer("small"), "Idempotency-Key",
			"one")...)
		if code == 200 {
			allowed++
		}
	}
	if allowed != 4 {
		t.Errorf("%d allowed, want one and its three repeats", allowed)
	}
}

// Many askers of one check at one moment, whichever comes first: one is decided, those that may join it are told the
// same, the others are turned away, and the account is charged once.
func TestForwardAuthSimultaneousRepeats(t *testing.T) {
	w := start(t, 1)
	d := w.gateways[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	ids, refused := map[string]int{}, 0
	for range 40 {
		wg.Go(func() {
			code, h, _, err := try(client(), d.http+"/long", append(bearer("small"), "X-Request-Id", "one")...)
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
		t.Errorf("%v granted, %d turned away", ids, refused)
	}
	_, h, _ := ask(t, client(), d.http+"/long", bearer("small")...)
	if got := h.Get("Ratelimit"); !strings.HasPrefix(got, `"starter";r=4;`) { // six, less one, less this one
		t.Errorf("left %q", got)
	}
}

// A proxy's check that is asked again while the first is open joins it: both hear the same, and the account is charged
// once. Afterwards it is told again. A refusal is told again too, with what is left of its pause.
func TestForwardAuthRepeats(t *testing.T) {
	w := start(t, 1, "doors = 1", "doors = 2") // half of the burst is this gateway's own, the rest is on the counter
	d := w.gateways[0]
	resume := w.counter.Stall()
	spend(t, d, "small", 3) // this gateway's own share, so that the next one needs the counter
	var wg sync.WaitGroup
	codes, ids, left := make([]int, 3), make([]string, 3), make([]string, 3)
	waiting := func(n uint64) {
		for end := time.Now().Add(peer.Patient); d.Shared.Stats.Repeated.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no repeat is seen")
			}
		}
	}
	fields := append(bearer("small"), "X-Request-Id", "r1")
	for i := range 3 {
		wg.Go(func() {
			code, h, _, err := try(client(), d.http+"/long", fields...)
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
		t.Errorf("one check was answered %v %v", codes, ids)
	}
	code, h, _ := ask(t, client(), d.http+"/long", append(fields, "X-Forwarded-Uri", "/v1/y")...)
	if h.Get(extauthz.HeaderRequestID) == ids[0] || code != 200 {
		t.Errorf("another URI with that id: %d, %q", code, h.Get(extauthz.HeaderRequestID))
	}
	var first, next int
	_, _ = fmt.Sscanf(left[0], `"starter";r=%d`, &first)
	_, _ = fmt.Sscanf(h.Get("Ratelimit"), `"starter";r=%d`, &next)
	if next >= first || first-next > 2 { // one for the three, one for the other; a fraction may have filled
		t.Errorf("left %q and then %q: three askers of one check are charged once", left[0], h.Get("Ratelimit"))
	}
	// A refusal.
	spendAll(t, d, "small")
	fields = append(bearer("small"), "X-Request-Id", "r2", "X-Forwarded-Uri", "/dear")
	code, h, _ = ask(t, client(), d.http+"/long", fields...)
	if code != 429 {
		t.Fatalf("%d", code)
	}
	first, _ = strconv.Atoi(h.Get(extauthz.HeaderRetryAfterMS))
	refused := d.Shared.Stats.Repeated.Load()
	code, h, _ = ask(t, client(), d.http+"/long", fields...)
	second, _ := strconv.Atoi(h.Get(extauthz.HeaderRetryAfterMS))
	if code != 429 || second > first || d.Shared.Stats.Repeated.Load() != refused+1 {
		t.Errorf("refused again: %d, pause %d then %d", code, first, second)
	}
}

// spend makes checks until so many are allowed.
func spend(t *testing.T, d *gateway, account string, n int) {
	t.Helper()
	for i := range n {
		if code, _, _ := ask(t, client(), d.http+"/traefik", bearer(account)...); code != 200 {
			t.Fatalf("number %d: %d", i, code)
		}
	}
}

func spendAll(t *testing.T, d *gateway, account string) {
	t.Helper()
	for range 200 {
		if code, _, _ := ask(t, client(), d.http+"/traefik", bearer(account)...); code == 429 {
			return
		}
	}
	t.Fatal("the quota has no end")
}

// A proxy gives up on a check and asks again: while the check waits for the counter, when it has just been answered,
// and when the gateway has been started anew. One gateway charges it once; after a restart it is charged once
// more, which is the loss that the page for operators states.
func TestForwardAuthProxyTimeouts(t *testing.T) {
	w := start(t, 1)
	d := w.gateways[0]
	service := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {})
	p := proxy.Start(proxy.Config{Kind: proxy.Traefik, Check: d.http + "/long", Service: service,
		Timeout: 100 * time.Millisecond, Retries: 40})
	defer p.Close()
	spend(t, d, "small", 5) // one is left of this gateway's own share
	resume := w.counter.Stall()
	code, _, _ := ask(t, p.Client(), p.URL+"/v1", append(bearer("small"), "Host", "flags.example.org")...)
	if code != 200 {
		t.Fatalf("the last of the share: %d", code)
	}
	done := make(chan int, 1)
	go func() { // this one needs the counter, which stalls: the proxy asks again and again
		code, _, _, _ := try(p.Client(), p.URL+"/v1", append(bearer("small"), "Host", "flags.example.org")...)
		done <- code
	}()
	for end := time.Now().Add(peer.Patient); d.Shared.Stats.Repeated.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the proxy does not ask again")
		}
	}
	resume()
	code = <-done
	if code != 200 && code != 429 {
		t.Errorf("after the counter's answer: %d", code)
	}
	// Just answered: the first answer was lost on its way. The repeat is told the same, and nothing is charged.
	w.warm(d, "big")
	fields := append(bearer("big"), "X-Request-Id", "lost")
	_, h, _ := ask(t, client(), d.http+"/long", fields...)
	_, again, _ := ask(t, client(), d.http+"/long", fields...)
	if id := h.Get(extauthz.HeaderRequestID); id == "" || id != again.Get(extauthz.HeaderRequestID) {
		t.Errorf("ids %q and %q", id, again.Get(extauthz.HeaderRequestID))
	}
	// Started anew.
	d.stop()
	<-d.ended
	d = w.startGateway(1, 0)
	w.warm(d, "big")
	_, again, _ = ask(t, client(), d.http+"/long", fields...)
	if id := again.Get(extauthz.HeaderRequestID); id == "" || id == h.Get(extauthz.HeaderRequestID) {
		t.Errorf("after a restart: %q", id)
	}
}

// A plan that bounds what is under way at once: a grant holds its place until its end call, which counts once; requests
// over RESP2 share the places.
func TestForwardAuthEndsAndHolds(t *testing.T) {
	w := start(t, 1)
	d, c := w.gateways[0], client()
	var ids []string
	for range 3 {
		code, h, _ := ask(t, c, d.http+"/traefik", bearer("seated")...)
		if code != 200 {
			t.Fatalf("%d", code)
		}
		ids = append(ids, h.Get(extauthz.HeaderRequestID))
	}
	if code, h, _ := ask(t, c, d.http+"/traefik", bearer("seated")...); code != 429 || h.Get("Retry-After") == "" {
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
	r.Wants("Q.ASK 1") // has the place that became free, and gives it back
	if code, _, _ := ask(t, c, d.http+"/traefik", bearer("seated")...); code != 200 {
		t.Errorf("the freed place: %d", code)
	}
	r.Command("Q.ASK", customers["seated"], "2", "c=evaluate,t=seats,d=300,units=1,spread=1,first=0")
	r.WantsPrefix("-BUSY")
	r.Command("Q.ASK", customers["seated"], "3", "c=evaluate,t=open,d=300,units=1,spread=1,first=0")
	r.WantsPrefix("-ERR the plan")
	r.Command("Q.DO", customers["small"], "4", "c=change,t=starter,d=300,k=1,units=1,spread=1,first=0", "x")
	r.WantsPrefix("-ERR the account is not entitled")
	if w.gateways[0].Shared.Stats.Ended.Load() != 1 {
		t.Errorf("%d ends", w.gateways[0].Shared.Stats.Ended.Load())
	}
}

// What can't be decided is what the operator chose, and is counted; here the counter never answers.
func TestForwardAuthUndecided(t *testing.T) {
	for _, allow := range []bool{false, true} {
		edits := []string{`path = "/long"`, "path = \"/long\"\nundecided = \"deny\""}
		if allow {
			edits[1] = "path = \"/long\"\nundecided = \"allow\""
		}
		w := start(t, 1, append(edits, "memory_mb", "memory_mb")[:2]...)
		d := w.gateways[0]
		for !d.Memory.TryReserve(1 << 20) { // never: the budget is larger
			t.Fatal("no memory")
		}
		d.Memory.Adjust(1 << 40) // as if clients held all of it
		code, h, _ := ask(t, client(), d.http+"/long", bearer("free")...)
		d.Memory.Release(1<<40 + 1<<20)
		f := &d.Shared.Stats
		if allow && (code != 200 || f.UndecidedAllowed.Load() != 1) ||
			!allow && (code != 503 || h.Get("Retry-After") == "" || f.UndecidedDenied.Load() != 1) {
			t.Errorf("allow %v: %d %v", allow, code, h)
		}
		if h.Get(extauthz.HeaderUndecided) == "" {
			t.Error("nothing says that it was not decided")
		}
		if code, _, _ := ask(t, client(), d.http+"/long", bearer("free")...); code != 200 {
			t.Errorf("afterwards: %d", code)
		}
	}
}

// Bad bytes, half requests, floods of fields and bodies: each is answered or ended in time, and nobody else is held up.
func TestForwardAuthBadInput(t *testing.T) {
	w := start(t, 1)
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
		want string // the status; empty: the connection ends with none
	}{
		"noise":       {"\x00\x01\x02" + strings.Repeat("x", 30) + "\r\n\r\n", "400"},
		"short noise": {"\x00\x01\x02\r\n\r\n", ""}, // it could still become HTTP/2
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
				t.Fatal("neither an answer nor an end")
			}
			if c.want != "" && !strings.HasPrefix(line, "HTTP/1.1 "+c.want) {
				t.Errorf("%q %v, want %s", line, err, c.want)
			}
			if c.want == "" && strings.Contains(line, " 200 ") {
				t.Errorf("%q", line)
			}
			if code, _, _ := ask(t, client(), d.http+"/traefik", bearer("free")...); code != 200 {
				t.Errorf("another: %d", code)
			}
		})
	}
}

// A check whose deadline comes while the event loop is late is rejected, as it would be otherwise, and not left
// undecided: the module hears of the deadline before the loop answers for it.
func TestForwardAuthDeadlineWhileLoopIsLate(t *testing.T) {
	w := start(t, 1, "doors = 1", "doors = 2", `within = "3s"`, `within = "400ms"`)
	d := w.gateways[0]
	w.counter.Stall()
	spend(t, d, "small", 3) // this gateway's own share, so that the next one needs the counter
	d.mu.Lock()
	for _, p := range d.pools {
		time.AfterFunc(360*time.Millisecond, func() {
			p.proxy.Post(func() { time.Sleep(80 * time.Millisecond) })
		})
	}
	d.mu.Unlock()
	code, h, _ := ask(t, client(), d.http+"/long", bearer("small")...)
	if code != http.StatusTooManyRequests {
		t.Errorf("code %d, undecided %q", code, h.Get(extauthz.HeaderUndecided))
	}
}

package extauthz

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/account"
	"gapgap/internal/proxy"
)

// However the fields of a check are written, reading them gives an error or a target that is whole; and what rules see
// of it is clean.
func FuzzForwardAuthTarget(f *testing.F) {
	f.Add(0, "GET", "/a?b", "flags.example.org", "", "/")
	f.Add(0, "POST", "", "", "https://flags.example.org/x", "/")
	f.Add(1, "GET", "/%2e%2e/x", "[::1]:80", "", "/")
	f.Add(3, "PUT", "", "h", "", "?x")
	f.Fuzz(func(t *testing.T, dialect int, method, uri, host, full, rest string) {
		rt := &Route{Dialect: Dialect(uint(dialect) % 4)}
		r := &http.Request{Method: method, Host: host, Header: http.Header{
			"X-Original-Method": {method}, "X-Original-Uri": {uri}, "X-Original-Url": {full}, "X-Original-Host": {host},
			"X-Forwarded-Method": {method}, "X-Forwarded-Uri": {uri}, "X-Forwarded-Host": {host}}}
		for k, v := range r.Header {
			if v[0] == "" {
				delete(r.Header, k)
			}
		}
		tg, err := rt.read(r, rest)
		if err != nil {
			return
		}
		if tg.method == "" || strings.ContainsAny(tg.method, " \r\n") {
			t.Errorf("method %q", tg.method)
		}
		h, p, err := account.Target(tg.host, tg.uri)
		if err == nil && (!strings.HasPrefix(p, "/") || strings.ContainsAny(h, "/@ \r\n") || strings.Contains(p+"/", "/../")) {
			t.Errorf("%+v became %q %q", tg, h, p)
		}
	})
}

// Two checks have the same key only if all that makes them the same is: no way to write one part into another.
func TestForwardAuthSameness(t *testing.T) {
	rt := &Route{Repeat: ByRequestID, RequestIDHeader: "X-Request-Id"}
	part := rapid.StringMatching(`[a:/0-9]{0,4}`)
	type all struct {
		account, method, scheme, host, uri, id string
		units                                  int
	}
	draw := func(t *rapid.T, name string) all {
		return all{part.Draw(t, name), part.Draw(t, name), part.Draw(t, name), part.Draw(t, name), part.Draw(t, name),
			part.Draw(t, name) + "x", rapid.IntRange(1, 2).Draw(t, name)}
	}
	key := func(a all) *check {
		c := &check{Request: proxy.Request{Units: float64(a.units)}}
		if ok, err := rt.sameness(c, &account.Account{Customer: a.account}, target{a.method, a.scheme, a.host, a.uri},
			http.Header{"X-Request-Id": {a.id}}); !ok || err != nil {
			t.Fatal(ok, err)
		}
		return c
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw(t, "a"), draw(t, "b")
		if (key(a).key == key(b).key) != (a == b) {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
	if ok, err := rt.sameness(&check{}, &account.Account{}, target{}, http.Header{}); ok || err != nil {
		t.Errorf("without an id: %v %v", ok, err)
	}
	if _, err := rt.sameness(&check{}, &account.Account{}, target{}, http.Header{"X-Request-Id": {"a", "b"}}); err == nil {
		t.Error("two ids are taken")
	}
}

// Grants whose end is awaited are bounded, end once, and are forgotten with their hold.
func TestForwardAuthHolds(t *testing.T) {
	h := newHolds(3)
	for i, id := range []uint64{1, 2, 3, 4} {
		if ok := h.add(id, &proxy.Request{}, time.Duration(10+i), 0); ok != (i < 3) {
			t.Errorf("%d: %v", id, ok)
		}
	}
	if h.take(2, 1) == nil || h.take(2, 1) != nil || h.take(1, 10) != nil || h.take(3, 11) == nil {
		t.Error("an end is taken twice, or after its hold")
	}
	if len(h.byID) != 0 || h.due.Len() != 0 {
		t.Errorf("%d are kept", len(h.byID))
	}
}

func TestForwardAuthRoutes(t *testing.T) {
	fr := &Front{cfg: Config{Routes: []Route{{Path: "/envoy", Dialect: Envoy}, {Path: "/envoy/deep", Dialect: Envoy},
		{Path: "/check", Dialect: Caddy}}}}
	for uri, want := range map[string][2]string{"/envoy/x?y": {"/envoy", "/x?y"}, "/envoy": {"/envoy", "/"}, "/envoy?q": {"/envoy", "/?q"},
		"/envoy/deep/z": {"/envoy/deep", "/z"}, "/envoyx": {"", ""}, "/check": {"/check", ""}, "/check/x": {"", ""}, "/": {"", ""}} {
		u, _ := url.Parse(uri)
		rt, rest := fr.route(&http.Request{URL: u, RequestURI: uri})
		if got := ""; rt != nil {
			got = rt.Path
			if got != want[0] || rest != want[1] {
				t.Errorf("%s: %s %q", uri, got, rest)
			}
		} else if want[0] != "" {
			t.Errorf("%s: no route", uri)
		}
	}
}

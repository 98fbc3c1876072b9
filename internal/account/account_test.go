package account

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

// hash returns the hash of an API key as it is configured.
func hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

var names = Names{Classes: []string{"evaluate", "change"}, Plans: []string{"starter", "business"}}

// validSpecs returns two valid accounts.
func validSpecs() []Spec {
	return []Spec{
		{Name: "acme", Customer: "00000000B4D65521", Plan: "business", Keys: []string{hash("k1"), hash("k2")},
			Certificates: []string{"client.acme"}},
		{Name: "ion", Customer: "0000000000000001", Plan: "starter", Keys: []string{hash("k3")},
			Classes: []string{"evaluate"}},
	}
}

// TestForwardAuthLookUps verifies that accounts are found by their credentials only, and checks entitlements and units.
func TestForwardAuthLookUps(t *testing.T) {
	table, err := Compile(validSpecs(), nil, names, 4)
	if err != nil {
		t.Fatal(err)
	}
	acme, ion := table.ByName("acme"), table.ByName("ion")
	if acme == nil || table.ByKey("k1") != acme || table.ByKey("k2") != acme || table.ByKey("k3") != ion ||
		table.ByCustomer("00000000b4d65521") != acme || table.ByCertificate("client.acme") != acme {
		t.Error("an account is not found")
	}
	for _, k := range []string{"", "k", "k11", hash("k1")} {
		if table.ByKey(k) != nil {
			t.Errorf("unknown key %q has an account", k)
		}
	}
	if !acme.Entitled(1) || !ion.Entitled(0) || ion.Entitled(1) {
		t.Error("wrong entitlements")
	}
	for s, want := range map[string]bool{"1": true, "4": true, "0.5": true, "5": false, "0": false, "-1": false,
		"": false, "1e0": false, "0x1": false, "nan": false, "1.1.1": false} {
		if _, ok := table.Units(s); ok != want {
			t.Errorf("units %q: accepted %v", s, ok)
		}
	}
}

// TestForwardAuthFaults verifies that each invalid value gives an error with the path of its field.
func TestForwardAuthFaults(t *testing.T) {
	for field, invalidate := range map[string]func(s []Spec, r *Rule){
		"account[1].name":            func(s []Spec, r *Rule) { s[1].Name = "acme" },
		"account[0].name":            func(s []Spec, r *Rule) { s[0].Name = "a b" },
		"account[1].customer":        func(s []Spec, r *Rule) { s[1].Customer = "00000000b4d65521" },
		"account[0].customer":        func(s []Spec, r *Rule) { s[0].Customer = "ffffffffffffffff" },
		"account[0].plan":            func(s []Spec, r *Rule) { s[0].Plan = "gold" },
		"account[0].doors":           func(s []Spec, r *Rule) { s[0].Gateways = -1 },
		"account[0].hold":            func(s []Spec, r *Rule) { s[0].HoldFor = -1 },
		"account[1].classes[0]":      func(s []Spec, r *Rule) { s[1].Classes[0] = "x" },
		"account[0].keys[1]":         func(s []Spec, r *Rule) { s[0].Keys[1] = "k2" },
		"account[1].keys[0]":         func(s []Spec, r *Rule) { s[1].Keys[0] = hash("k1") },
		"account[1].certificates[0]": func(s []Spec, r *Rule) { s[1].Certificates = []string{"client.acme"} },
		"account[0].certificates[0]": func(s []Spec, r *Rule) { s[0].Certificates[0] = "" },
		"rule[0].class":              func(s []Spec, r *Rule) { r.Class = "" },
		"rule[0].units":              func(s []Spec, r *Rule) { r.Units = 5 },
		"rule[0].host":               func(s []Spec, r *Rule) { r.Host = "a.example:80" },
		"rule[0].methods[0]":         func(s []Spec, r *Rule) { r.Methods = []string{"get"} },
		"rule[0].path":               func(s []Spec, r *Rule) { r.Path = "/a/../b" },
	} {
		specs, rule := validSpecs(), Rule{Class: "change", Path: "/x/"}
		invalidate(specs, &rule)
		_, err := Compile(specs, []Rule{rule}, names, 4)
		var e *Error
		if !errors.As(err, &e) || e.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// TestForwardAuthMatch verifies which rule matches a normalized target, and that malformed hosts and URIs are errors.
func TestForwardAuthMatch(t *testing.T) {
	table, err := Compile(nil, []Rule{
		{Host: "flags.example.org", Methods: []string{"POST", "PUT"}, Path: "/v1/", Class: "change", Units: 2},
		{Host: "*.example.org", Path: "/v1", Class: "evaluate"},
		{Path: "/open", Class: "evaluate", Units: 0.5},
	}, names, 4)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, method, uri string
		class             int
		units             float64
		ok                bool
	}{
		{"Flags.Example.org:8443", "POST", "/v1/flags?x=/open", 1, 2, true},
		{"flags.example.org.", "PUT", "/v1", 1, 2, true},
		{"flags.example.org", "GET", "/v1/flags", 0, 1, true},
		{"flags.example.org", "POST", "/v11", 0, 0, false},
		{"example.org", "GET", "/v1", 0, 0, false},
		{"x.y.example.org", "GET", "//v1/./a", 0, 1, true},
		{"flags.example.org", "POST", "/open/../v1/a", 1, 2, true},
		{"flags.example.org", "POST", "/open/%2e%2e/v1/a", 1, 2, true},
		{"flags.example.org", "POST", "/open%2F..%2Fv1", 1, 2, true},
		{"[::1]:80", "GET", "/open", 0, 0.5, true},
	} {
		host, path, err := Target(c.host, c.uri)
		if err != nil {
			t.Fatalf("%s %s: %v", c.host, c.uri, err)
		}
		if class, units, ok := table.Match(host, c.method, path); ok != c.ok || class != c.class || units != c.units {
			t.Errorf("%s %s %s: class %d, units %v, %v", c.method, c.host, c.uri, class, units, ok)
		}
	}
	for _, invalid := range [][2]string{{"a b", "/"}, {"a..b", "/"}, {"a:x", "/"}, {"[::1", "/"}, {"[]", "/"},
		{"a:123456", "/"}, {"a", "x"}, {"a", "/%zz"}, {"a", "/%00"}, {"a", `/\..\x`}, {"a", "http://b/"}} {
		if _, _, err := Target(invalid[0], invalid[1]); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
	}
}

// FuzzForwardAuthTarget verifies that Target returns an error or a normalized host and path, and that normalizing a
// path again changes nothing unless it has escapes.
func FuzzForwardAuthTarget(f *testing.F) {
	for _, s := range []string{"/a/../b", "/%2e%2e//x?q", "/a%2Fb", "*", "/%25%32%65", "/a/./"} {
		f.Add("Flags.example.org:80", s)
	}
	f.Add("[::1]:9", "/")
	f.Fuzz(func(t *testing.T, host, uri string) {
		h, p, err := Target(host, uri)
		if err != nil {
			return
		}
		if h != strings.ToLower(h) || !strings.HasPrefix(h, "[") && strings.ContainsAny(h, ":/ ") {
			t.Errorf("host %q became %q", host, h)
		}
		if !strings.HasPrefix(p, "/") || strings.Contains(p, "//") || strings.Contains(p+"/", "/../") ||
			strings.Contains(p+"/", "/./") || strings.ContainsAny(p, "\x00\\") {
			t.Errorf("path %q became %q", uri, p)
		}
		if utf8.ValidString(uri) && !strings.ContainsAny(p, "%?#") {
			if _, again, err := Target(h, p); err != nil || again != p {
				t.Errorf("path %q became %q and then %q (%v)", uri, p, again, err)
			}
		}
	})
}

package route

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gapgap/internal/account"
)

// to returns a pool as the only target.
func to(pool string) []Target { return []Target{{pool, 1}} }

// compile returns the table of valid rules, with the fallback "default".
func compile(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	table, err := Compile(rules, "default", nil)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestPoolsRoutePrecedence verifies the order of precedence: of each pair of rules the one with higher precedence is
// selected, in whatever order they are configured.
func TestPoolsRoutePrecedence(t *testing.T) {
	q := Query{Listener: "http", Host: "a.b.example.org", Path: "/v1/flags/7", Method: "GET", Class: "evaluate",
		Account: "acme", Header: map[string][]string{"X-A": {"1"}, "X-B": {"1"}}}
	order := []Rule{
		{Host: "a.b.example.org"}, {Host: "*.b.example.org"}, {Host: "*.example.org"},
		{Kind: Exact, Path: "/v1/flags/7"}, {Kind: Template, Path: "/v1/flags/{id}"},
		{Kind: Template, Path: "/v1/{kind}/7"},
		{Kind: Template, Path: "/{a}/{b}/{c}"}, {Path: "/v1/flags"}, {Path: "/v1"}, {Methods: []string{"GET"}},
		{Headers: []Header{{"X-A", "1"}, {"X-B", ""}}}, {Headers: []Header{{"X-B", "1"}}}, {Account: "acme"},
		{Class: "evaluate"}, {Listener: "http"}, {},
	}
	for i := range order {
		order[i].Name, order[i].Targets = fmt.Sprint("r", i), to("p")
	}
	for i := range order {
		for j := i + 1; j < len(order); j++ {
			for _, pair := range [][]Rule{{order[i], order[j]}, {order[j], order[i]}} {
				if m := compile(t, pair...).Match(&q); m.Rule != order[i].Name {
					t.Errorf("%+v does not take precedence over %+v", order[i], order[j])
				}
			}
		}
	}
	if m := compile(t, Rule{Name: "x", Targets: to("p"), Path: "/v"}).Match(&q); m.Rule != "" || m.Pool != "default" {
		t.Errorf("a prefix matched a part of a segment: %+v", m)
	}
	original := Rule{Name: "first", Targets: to("p"), Path: "/v1"}
	other := original
	other.Name = "second"
	if m := compile(t, original, other).Match(&q); m.Rule != "first" {
		t.Errorf("of two equal rules: %+v, want the first", m)
	}
}

// TestPoolsRouteWithoutHost verifies that requests without host and path are matched by listener, class and account.
func TestPoolsRouteWithoutHost(t *testing.T) {
	table := compile(t, Rule{Name: "host", Host: "a.example.org", Targets: to("web")},
		Rule{Name: "path", Path: "/v1", Targets: to("web")}, Rule{Name: "one", Account: "acme", Targets: to("acme")},
		Rule{Name: "class", Class: "change", Listener: "resp", Targets: to("writes")})
	for _, c := range []struct {
		q    Query
		want string
	}{{Query{Listener: "resp", Account: "acme", Class: "change"}, "acme"},
		{Query{Listener: "resp", Account: "x", Class: "change"}, "writes"},
		{Query{Listener: "other", Account: "x", Class: "change"}, "default"}, {Query{}, "default"}} {
		if m := table.Match(&c.q); m.Pool != c.want {
			t.Errorf("%+v goes to %q", c.q, m.Pool)
		}
	}
}

// TestPoolsRouteFaults verifies that an invalid rule gives an error with the rule's index and name and the field.
func TestPoolsRouteFaults(t *testing.T) {
	tooLong := strings.Repeat("/a", MaxSegments+1)
	for field, invalid := range map[string][]Rule{
		"name": {{Targets: to("p")}, {Name: "a", Targets: to("p")}},
		"host": {{Host: "a:80"}, {Host: "*."}, {Host: "a.*.b"}, {Host: "a..b"}, {Host: "a b"}, {Host: ".a"}},
		"path": {{Path: "a"}, {Path: "/a//b"}, {Path: "/a/../b"}, {Path: "/a?b"}, {Path: "/{a}"}, {Kind: Exact},
			{Kind: Template, Path: "/a{b}"}, {Kind: Template, Path: "/{}"}, {Kind: Template, Path: "/a/"},
			{Kind: Template, Path: tooLong}},
		"kind":    {{Kind: 7, Path: "/a"}},
		"methods": {{Methods: []string{"get"}}},
		"headers": {{Headers: []Header{{"", ""}}}, {Headers: []Header{{"A", ""}, {"A", "1"}}},
			{Headers: make([]Header, MaxHeaders+1)}},
		"targets": {{Targets: []Target{}}, {Targets: []Target{{"nowhere", 1}}}, {Targets: []Target{{"p", 0}}},
			{Targets: []Target{{"p", -1}}}, {Targets: []Target{{"p", math.NaN()}}},
			{Targets: []Target{{"p", 1}, {"p", 1}}}, {Targets: []Target{{"", 1}}}},
	} {
		for i, r := range invalid {
			if r.Name == "" && (field != "name" || i > 0) {
				r.Name = "b"
			}
			if r.Targets == nil {
				r.Targets = to("p")
			}
			_, err := Compile([]Rule{{Name: "a", Targets: to("p")}, r}, "", []string{"p"})
			var e *Error
			if !errors.As(err, &e) || e.Index != 1 || e.Field != field || e.Rule != r.Name {
				t.Errorf("%s, %+v: %v", field, r, err)
			}
		}
	}
	if _, err := Compile(nil, "nowhere", []string{"p"}); err == nil {
		t.Error("a fallback that is no pool is accepted")
	}
}

// TestPoolsRouteSplit verifies that accounts are split among targets by weight, that an account keeps its target, and
// that a change of weights moves no more accounts than necessary.
func TestPoolsRouteSplit(t *testing.T) {
	split := func(a, b, c float64) *Table {
		return compile(t, Rule{Name: "s", Targets: []Target{{"a", a}, {"b", b}, {"c", c}}})
	}
	before, after := split(1, 3, 0), split(2, 3, 0)
	const n = 20_000
	accounts, moved := map[string]int{}, 0
	for i := range n {
		q := Query{Account: fmt.Sprint("account-", i)}
		pool := before.Match(&q).Pool
		if before.Match(&q).Pool != pool {
			t.Fatal("an account changed its pool")
		}
		accounts[pool]++
		if next := after.Match(&q).Pool; next != pool {
			if moved++; next != "a" {
				t.Fatalf("an account moved from %s to %s, but only the weight of a has grown", pool, next)
			}
		}
	}
	if accounts["c"] > 0 || math.Abs(float64(accounts["a"])/n-0.25) > 0.02 {
		t.Errorf("accounts by pool: %v", accounts)
	}
	if fraction := float64(moved) / n; math.Abs(fraction-0.15) > 0.02 { // the share of a grows from 0.25 to 0.4
		t.Errorf("%.3f of the accounts moved", fraction)
	}
}

// Values from which the property test draws. They are few, so that rules often match.
var (
	someHosts = []string{"", "a.org", "b.a.org", "c.b.a.org", "*.a.org", "*.b.a.org", "*.org"}
	somePaths = []string{"", "/", "/x", "/x/y", "/x/y/z", "/y"}
	templates = []string{"/{p}", "/x/{p}", "/{p}/y", "/{p}/{q}", "/x/{p}/z", "/{p}/y/{q}"}
	someNames = []string{"", "1", "2"}
)

// drawRules returns random rules. Each has its own pool.
func drawRules(t *rapid.T) []Rule {
	var rules []Rule
	for i := range rapid.IntRange(0, 25).Draw(t, "rules") {
		r := Rule{Name: fmt.Sprint("r", i), Host: rapid.SampledFrom(someHosts).Draw(t, "host"),
			Listener: rapid.SampledFrom(someNames).Draw(t, "listener"),
			Account:  rapid.SampledFrom(someNames).Draw(t, "account"),
			Class:    rapid.SampledFrom(someNames).Draw(t, "class"), Targets: to(fmt.Sprint("p", i))}
		switch r.Kind = PathKind(rapid.IntRange(0, 2).Draw(t, "kind")); r.Kind {
		case Template:
			r.Path = rapid.SampledFrom(templates).Draw(t, "template")
		case Exact:
			r.Path = rapid.SampledFrom(somePaths[1:]).Draw(t, "path")
		default:
			r.Path = rapid.SampledFrom(somePaths).Draw(t, "path")
		}
		if rapid.Bool().Draw(t, "methods") {
			r.Methods = []string{rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method")}
		}
		for _, h := range []string{"A", "B"} {
			if rapid.Bool().Draw(t, "header") {
				r.Headers = append(r.Headers, Header{h, rapid.SampledFrom(someNames).Draw(t, "value")})
			}
		}
		rules = append(rules, r)
	}
	return rules
}

// matchLinearly returns the name of the rule that decides, or an empty string. It scans all rules and implements
// matching and precedence independently, from the package comment.
func matchLinearly(rules []Rule, q *Query) string {
	matches := func(r Rule) bool {
		if s, ok := strings.CutPrefix(r.Host, "*"); ok && !strings.HasSuffix(q.Host, s) ||
			!ok && r.Host != "" && r.Host != q.Host {
			return false
		}
		got, want := strings.Split(q.Path, "/"), strings.Split(r.Path, "/")
		switch {
		case r.Path == "":
		case r.Kind == Exact && r.Path != q.Path:
			return false
		case r.Kind == Prefix && r.Path != "/":
			if len(got) < len(want) || strings.Join(got[:len(want)], "/") != r.Path {
				return false
			}
		case r.Kind == Template:
			if len(got) != len(want) {
				return false
			}
			for i := range got {
				if want[i] != got[i] && (!strings.HasPrefix(want[i], "{") || got[i] == "") {
					return false
				}
			}
		}
		if r.Listener != "" && r.Listener != q.Listener || r.Account != "" && r.Account != q.Account ||
			r.Class != "" && r.Class != q.Class ||
			len(r.Methods) > 0 && r.Methods[0] != q.Method {
			return false
		}
		for _, h := range r.Headers {
			if v := q.Header[h.Name]; len(v) == 0 || h.Value != "" && h.Value != v[0] {
				return false
			}
		}
		return true
	}
	// precedence returns a string that is larger for a rule with higher precedence.
	precedence := func(r Rule) string {
		bit := func(b bool) string { return map[bool]string{true: "1", false: "0"}[b] }
		key := bit(r.Host != "" && r.Host[0] != '*') + fmt.Sprintf("%03d", len(strings.TrimPrefix(r.Host, "*"))*
			len(bit(true))*map[bool]int{true: 1, false: 0}[strings.HasPrefix(r.Host, "*")])
		key += bit(r.Kind == Exact) + bit(r.Kind == Template)
		if r.Kind == Template {
			for _, s := range strings.Split(r.Path, "/") {
				key += bit(!strings.HasPrefix(s, "{"))
			}
			key += strings.Repeat("0", 9-strings.Count(r.Path, "/"))
		} else {
			key += strings.Repeat("0", 10)
		}
		if r.Kind == Prefix {
			key += fmt.Sprintf("%03d", len(strings.TrimSuffix(r.Path, "/")))
		} else {
			key += "000"
		}
		return key + bit(len(r.Methods) > 0) + fmt.Sprint(len(r.Headers)) + bit(r.Account != "") +
			bit(r.Class != "") + bit(r.Listener != "")
	}
	best := -1
	for i, r := range rules {
		if matches(r) && (best < 0 || precedence(r) > precedence(rules[best])) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return rules[best].Name
}

// TestPoolsRouteAgainstNaive verifies, for random rules and requests, that Match and Explain find the same rule as a
// linear scan.
func TestPoolsRouteAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := drawRules(t)
		table, err := Compile(rules, "default", nil)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			headers := map[string][]string{}
			for _, h := range []string{"A", "B"} {
				if rapid.Bool().Draw(t, "has") {
					headers[h] = []string{rapid.SampledFrom(someNames).Draw(t, "value")}
				}
			}
			q := Query{
				Host: rapid.SampledFrom([]string{"", "a.org", "b.a.org", "c.b.a.org", "d.org", "org"}).Draw(t, "host"),
				Path: rapid.SampledFrom([]string{"", "/", "/x", "/x/y", "/x/y/z", "/x/q", "/x/", "/y/y/y", "/y"}).
					Draw(t, "path"),
				Method:   rapid.SampledFrom([]string{"GET", "PUT"}).Draw(t, "method"),
				Listener: rapid.SampledFrom(someNames).Draw(t, "listener"),
				Account:  rapid.SampledFrom(someNames).Draw(t, "account"),
				Class:    rapid.SampledFrom(someNames).Draw(t, "class"),
				Header:   headers,
			}
			want := matchLinearly(rules, &q)
			if m := table.Match(&q); m.Rule != want {
				t.Fatalf("%+v: matched %q, want %q of %+v", q, m.Rule, want, rules)
			}
			if steps, m := table.Explain(&q); m.Rule != want ||
				(want != "") != (len(steps) > 0 && steps[len(steps)-1].Fails == "") {
				t.Fatalf("explained: %+v %+v", m, steps)
			}
		}
	})
}

// FuzzPoolsRoute verifies, for any host and path, that Match and Explain agree and that a rule matches only its own
// normalized host and path.
func FuzzPoolsRoute(f *testing.F) {
	table := compile(f, Rule{Name: "a", Host: "flags.example.org", Path: "/v1", Targets: to("flags")},
		Rule{Name: "b", Host: "*.example.org", Kind: Template, Path: "/v1/{id}/x", Targets: to("any")},
		Rule{Name: "c", Kind: Exact, Path: "/admin", Targets: to("admin")},
		Rule{Name: "d", Host: "[::1]", Targets: to("v6")})
	for _, s := range [][2]string{{"Flags.Example.org:80", "/v1/../admin"}, {"flags.example.org.", "/v1%2fx"},
		{"[::1]:443", "/%2e%2e/"}, {"x", "//"}} {
		f.Add(s[0], s[1])
	}
	f.Fuzz(func(t *testing.T, host, uri string) {
		h, p, err := account.Target(host, uri)
		if err != nil {
			return
		}
		q := Query{Host: h, Path: p}
		m := table.Match(&q)
		if _, e := table.Explain(&q); e != m {
			t.Errorf("%q %q: %+v, explained %+v", h, p, m, e)
		}
		if m.Pool == "admin" && p != "/admin" || m.Pool == "flags" && h != "flags.example.org" {
			t.Errorf("%q %q goes to %+v", h, p, m)
		}
	})
}

// manyRules returns n rules, a fifth of them each with its own host, prefix, account, header value or template.
func manyRules(n int) []Rule {
	var rules []Rule
	for i := range n {
		r := Rule{Name: fmt.Sprint("r", i), Targets: to("p")}
		switch i % 5 {
		case 0:
			r.Host = fmt.Sprintf("h%d.example.org", i)
		case 1:
			r.Host, r.Path = "flags.example.org", fmt.Sprintf("/v1/s%d", i)
		case 2:
			r.Account = fmt.Sprint("account", i)
		case 3:
			r.Headers = []Header{{"X-Tenant", fmt.Sprint(i)}}
		case 4:
			r.Kind, r.Path = Template, fmt.Sprintf("/t%d/{id}/x", i)
		}
		rules = append(rules, r)
	}
	return rules
}

// queries returns requests that match rules from all parts of manyRules(n).
func queries(n int) []Query {
	var qs []Query
	for i := range 50 {
		k := (i*n/50/5*5 + i%5) % n
		tenant := fmt.Sprint(k / 5 * 5)
		qs = append(qs, Query{Host: "flags.example.org", Path: fmt.Sprintf("/v1/s%d/deep/er", k),
			Account: fmt.Sprint("account", k), Method: "GET",
			Header: map[string][]string{"X-Tenant": {tenant}}},
			Query{Host: fmt.Sprintf("h%d.example.org", k), Path: fmt.Sprintf("/t%d/7/x", k), Method: "GET"})
	}
	return qs
}

// TestPoolsRouteCost verifies that Match allocates nothing with thousands of rules. BenchmarkPoolsRoute shows how its
// time depends on their number.
func TestPoolsRouteCost(t *testing.T) {
	table := compile(t, manyRules(10_000)...)
	qs := queries(10_000)
	i := 0
	if n := testing.AllocsPerRun(1000, func() { table.Match(&qs[i%len(qs)]); i++ }); n != 0 {
		t.Errorf("%v allocations per call of Match", n)
	}
}

// BenchmarkPoolsRoute measures Match with different numbers of rules.
func BenchmarkPoolsRoute(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, qs := compile(b, manyRules(n)...), queries(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Match(&qs[i%len(qs)])
			}
		})
	}
}

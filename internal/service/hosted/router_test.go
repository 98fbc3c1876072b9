package hosted

import (
	"log/slog"
	"strings"
	"testing"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
	"gapgap/internal/route"
)

// TestPoolsRouteBothProtocols verifies that requests of both protocols go to the pool of the matching route, and that
// requests without one are rejected.
func TestPoolsRouteBothProtocols(t *testing.T) {
	routes := routeTo("flags", "flags", `host = "flags.example.org"`) +
		routeTo("audit", "audit", `host = "*.audit.example.org"`) +
		routeTo("resp", "audit", `listener = "resp"`+"\n"+`account = "free"`)
	w := startPools(t, "", routes, "flags", "audit")
	p := peer.Dial(t, w.gateway.resp)
	for id, c := range map[string][2]string{
		"1": {"", "from audit"},
		"2": {",host=flags.example.org", "from flags"},
		"3": {",host=x.audit.example.org", "from audit"},
	} {
		if got := w.askRESP2(p, id, c[0]); got != c[1] {
			t.Errorf("%q: %q", c[0], got)
		}
	}
	p.Command("Q.ASK", customers["big"], "4", "c=evaluate,t=business,d=300,units=1,spread=1,first=0")
	p.WantsPrefix("-ERR no route")
	for host, want := range map[string]int{
		"flags.example.org":       200,
		"x.audit.example.org:443": 200,
		"Flags.Example.ORG.":      200,
		"audit.example.org":       403,
		"other.org":               403,
	} {
		code, _, body := mustCheck(t, newClient(), w.gateway.http+"/check",
			append(bearer("free"), "X-Forwarded-Host", host)...)
		if code != want || want == 403 && !strings.Contains(body, "no-route") {
			t.Errorf("%s: %d %s", host, code, body)
		}
	}
}

// TestPoolsExplainInTheLog verifies that the debug log has the rule and the pool of each request, and the rules that
// were skipped.
func TestPoolsExplainInTheLog(t *testing.T) {
	w := &poolsEnv{
		testEnv: startEnv(t, 0),
		agents:  map[string]*catalog.Agent{},
		servers: map[string]*flagserver.Server{},
	}
	cfg, err := Parse("x", []byte(w.configText("a", routeTo("b", "b", `host = "b.org"`), "a", "b")))
	if err != nil {
		t.Fatal(err)
	}
	table := cfg.Routes
	var out strings.Builder
	r := &router{log: slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))}
	r.state.Store(&routerState{table: table})
	r.Route(&route.Query{Host: "c.org"})
	r.Route(&route.Query{Host: "b.org"})
	for _, want := range []string{`host=c.org`, `pool=a passed=" b:host"`, `rule=b pool=b passed=""`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, out.String())
		}
	}
}

package hosted

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gapgap/internal/fake/peer"
)

// TestPoolsMetrics verifies that a listener for metrics serves the limits of each pool and its answers by class and
// verdict, and that the time series of a removed pool are deleted.
func TestPoolsMetrics(t *testing.T) {
	const listener = "[[listener]]\nname = \"figures\"\nprotocol = \"metrics\"\naddress = \"127.0.0.1:0\"\n"
	w := startPools(t, "a", routeTo("b", "b", `host = "b.org"`)+listener, "a", "b")
	p := peer.Dial(t, w.gateway.resp)
	w.askRESP2(p, "1", "")
	w.askRESP2(p, "2", ",host=b.org")
	mustCheck(t, newClient(), w.gateway.http+"/check", bearer("free")...)
	scrape := func() string {
		t.Helper()
		res, err := http.Get("http://" + w.gateway.Addr("figures").String() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = res.Body.Close() }()
		b, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%d %v", res.StatusCode, err)
		}
		return string(b)
	}
	text := scrape()
	for _, want := range []string{
		`gapgap_answer_seconds_count{class="evaluate",pool="a",verdict="served"} 1`,
		`gapgap_answer_seconds_count{class="evaluate",pool="b",verdict="served"} 1`,
		`gapgap_answer_seconds_count{class="evaluate",pool="a",verdict="granted"} 1`,
		`gapgap_guarantee{of="sockets",pool="b"} 143`,
		`gapgap_held{of="clients",pool="b"} 1`,
		`gapgap_checks_total{outcome="allowed"} 1`,
		`gapgap_route_rules 1`,
		`gapgap_client_connections `,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in\n%s", want, text)
		}
	}
	cfg, err := Parse("x", []byte(w.configText("a", listener, "a")))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.gateway.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	w.gateway.removals.Wait()
	if text = scrape(); strings.Contains(text, `pool="b"`) || !strings.Contains(text, `pool="a"`) {
		t.Errorf("the metrics of the removed pool remain, or those of the other pool are gone:\n%s", text)
	}
}

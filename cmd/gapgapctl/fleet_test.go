package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gapgap/internal/cli"
	"gapgap/internal/peer"
)

// The commands call at a door's socket, and say by their exit codes what came of it.
func TestFleet(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "ctl")
	ln, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	half := 0.5
	view := peer.View{Name: "n0", HasDuplicate: true, Gateways: []peer.Member{
		{Name: "n0", State: "alive", Incarnation: 7, Fraction: &half, Since: time.Now().Add(-90 * time.Second), SeenBy: map[string]string{"n0": "alive", "n1": "dead"}, Disagree: true},
		{Name: "n1", State: "dead", Cause: "no sign of life for 1.5s", SeenBy: map[string]string{"n0": "dead"}}}}
	var left bool
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(view) })
	mux.HandleFunc("POST /fleet/leave", func(w http.ResponseWriter, _ *http.Request) { left = true; w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /fleet/forget", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("name") {
		case "n1":
			w.WriteHeader(http.StatusNoContent)
		case "n0":
			http.Error(w, "door n0 is alive", http.StatusConflict)
		default:
			http.Error(w, "no door of the list has this name", http.StatusNotFound)
		}
	})
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	run := func(args ...string) (string, int) {
		var out bytes.Buffer
		c := command()
		c.SetOut(&out)
		code := cli.Run(context.Background(), c, args, &out)
		return out.String(), code
	}
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"fleet status --socket " + socket, cli.Good, []string{"1m30s", "0.500", "alive by 1, dead by 1, DISAGREE", "?", "no sign of life", "another process has the name n0"}},
		{"fleet status --json --socket " + socket, cli.Good, []string{`"seen_by":{"n0":"alive","n1":"dead"}`}},
		{"fleet leave --socket " + socket, cli.Good, nil},
		{"fleet forget n1 --socket " + socket, cli.Good, nil},
		{"fleet forget n0 --socket " + socket, cli.Failed, []string{"door n0 is alive"}},
		{"fleet forget n9 --socket " + socket, cli.Nowhere, []string{"no door of the list"}},
		{"fleet status --socket " + socket + "x", cli.Nowhere, []string{"no door is at"}},
		{"fleet status", cli.Misused, []string{"socket"}},
	} {
		out, code := run(strings.Fields(c.args)...)
		if code != c.code {
			t.Errorf("%s: exit code %d, not %d: %s", c.args, code, c.code, out)
		}
		for _, w := range c.want {
			if !strings.Contains(out, w) {
				t.Errorf("%s: no %q in %q", c.args, w, out)
			}
		}
	}
	if !left {
		t.Error("the door was not asked to leave")
	}
}

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gapgap/internal/cli"
	"gapgap/internal/peer"
)

// fakeFleet is a fake control socket of a gateway in a fleet of two.
type fakeFleet struct {
	http.ServeMux
	// hasLeft is set once the gateway receives the leave command.
	hasLeft bool
}

// newFakeFleet returns a fake gateway that sees a duplicate of itself and a dead peer.
func newFakeFleet() *fakeFleet {
	half := 0.5
	view := peer.View{
		Name:         "n0",
		HasDuplicate: true,
		Gateways: []peer.Member{
			{
				Name:        "n0",
				State:       "alive",
				Incarnation: 7,
				Fraction:    &half,
				Since:       time.Now().Add(-90 * time.Second),
				SeenBy:      map[string]string{"n0": "alive", "n1": "dead"},
				Disagree:    true,
			},
			{
				Name:   "n1",
				State:  "dead",
				Cause:  "no sign of life for 1.5s",
				SeenBy: map[string]string{"n0": "dead"},
			},
		},
	}
	fleet := &fakeFleet{}
	fleet.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(view) // if writing fails, so does the command
	})
	fleet.HandleFunc("POST /fleet/leave", func(w http.ResponseWriter, _ *http.Request) {
		fleet.hasLeft = true
		w.WriteHeader(http.StatusNoContent)
	})
	fleet.HandleFunc("POST /fleet/forget", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("name") {
		case "n1":
			w.WriteHeader(http.StatusNoContent)
		case "n0":
			http.Error(w, "door n0 is alive", http.StatusConflict)
		default:
			http.Error(w, "no door of the list has this name", http.StatusNotFound)
		}
	})
	return fleet
}

// TestFleetCommands verifies the calls that the fleet commands make to the control socket, their output and exit codes.
func TestFleetCommands(t *testing.T) {
	fleet := newFakeFleet()
	socket := serveControlSocket(t, fleet)
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{
			args: "fleet status --socket " + socket,
			code: cli.Good,
			want: []string{"1m30s", "0.500", "alive by 1, dead by 1, DISAGREE", "?", "no sign of life",
				"another process has the name n0"},
		},
		{
			args: "fleet status --json --socket " + socket,
			code: cli.Good,
			want: []string{`"seen_by":{"n0":"alive","n1":"dead"}`},
		},
		{args: "fleet leave --socket " + socket, code: cli.Good},
		{args: "fleet forget n1 --socket " + socket, code: cli.Good},
		{args: "fleet forget n0 --socket " + socket, code: cli.Failed, want: []string{"door n0 is alive"}},
		{args: "fleet forget n9 --socket " + socket, code: cli.Nowhere, want: []string{"no door of the list"}},
		{args: "fleet status --socket " + socket + "x", code: cli.Nowhere, want: []string{"no control socket at"}},
		{args: "fleet status", code: cli.Misused, want: []string{"socket"}},
	} {
		code, out, errs := runCommand(t, strings.Fields(c.args)...)
		if code != c.code {
			t.Errorf("%s: exit code %d, not %d: %s%s", c.args, code, c.code, out, errs)
		}
		for _, want := range c.want {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%s: no %q in %q", c.args, want, out+errs)
			}
		}
	}
	if !fleet.hasLeft {
		t.Error("the gateway did not receive the leave command")
	}
}

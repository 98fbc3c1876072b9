package main

import (
	"net/http"
	"strings"
	"testing"

	"gapgap/internal/cli"
	"gapgap/internal/peer"
	"gapgap/internal/recovery"
	"gapgap/internal/service/hosted"
)

// newFakeRecovery returns a fake gateway of a fleet of three that waits in its recovery after a start. It stores the
// query of the last recover call.
func newFakeRecovery(query *string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/recovery", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, hosted.RecoveryView{
			Name: "n0",
			Steps: []recovery.StepView{
				{Step: "policy", State: recovery.StateWaiting, Since: 1500000, Detail: "for n1"},
				{Step: "counter", State: recovery.StatePending},
			},
			Trusted: []string{"the policy of the disk"},
		})
	})
	mux.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, peer.View{Name: "n0", Gateways: []peer.Member{
			{Name: "n0", State: "alive"},
			{Name: "n1", State: "alive", Recovery: "at the policy"},
			{Name: "n2", State: "dead"},
		}})
	})
	mux.HandleFunc("POST /policy/recover", func(w http.ResponseWriter, r *http.Request) {
		*query = r.URL.RawQuery
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// TestFleetRecovery verifies that fleet recovery prints the steps, the state of the other gateways and the trusted
// state.
func TestFleetRecovery(t *testing.T) {
	var query string
	socket := serveControlSocket(t, newFakeRecovery(&query))
	code, out, errs := runCommand(t, "fleet", "recovery", "--socket", socket)
	if code != cli.Good || !strings.HasPrefix(out, "STEP") {
		t.Errorf("%d %q %q", code, out, errs)
	}
	wanted := []string{"for n1", "at the policy", "does not answer; it is dead", "the policy of the disk\n"}
	for _, want := range wanted {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in %q", want, out)
		}
	}
	code, out, errs = runCommand(t, "fleet", "recovery", "--json", "--socket", socket)
	others := `"others":{"n1":"at the policy","n2":"does not answer; it is dead"}`
	if code != cli.Good || !strings.Contains(out, others) {
		t.Errorf("%d %q %q, no %s", code, out, errs, others)
	}
}

// TestFleetRecover verifies that fleet recover calls the gateway only with --accept-loss, and names the lost voters.
func TestFleetRecover(t *testing.T) {
	var query string
	socket := serveControlSocket(t, newFakeRecovery(&query))
	code, _, errs := runCommand(t, "fleet", "recover", "--lost", "n1", "--socket", socket)
	if code != cli.Misused || query != "" || !strings.Contains(errs, "--accept-loss is missing") {
		t.Errorf("%d %q, query %q", code, errs, query)
	}
	code, _, errs = runCommand(t,
		"fleet", "recover", "--accept-loss", "--lost", "n1", "--lost", "n2", "--socket", socket)
	if code != cli.Good || !strings.HasPrefix(query, "lost=n1&lost=n2") {
		t.Errorf("%d %q, query %q", code, errs, query)
	}
}

// TestFleetRecoveryTwoBadAnswers verifies that fleet recovery reports both errors if neither response can be decoded.
func TestFleetRecoveryTwoBadAnswers(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/recovery", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("!")) })
	mux.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("?")) })
	socket := serveControlSocket(t, mux)
	code, _, errs := runCommand(t, "fleet", "recovery", "--socket", socket)
	if code == cli.Good || !strings.Contains(errs, "'!'") || !strings.Contains(errs, "'?'") {
		t.Errorf("%d %q", code, errs)
	}
}

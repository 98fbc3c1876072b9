package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/cli"
	"gapgap/internal/policy"
	"gapgap/internal/service/hosted"
)

// What became of a change is told by the exit code; what an earlier version had is proposed again as it was.
func TestPolicy(t *testing.T) {
	dir := t.TempDir()
	socket, file := filepath.Join(dir, "ctl"), filepath.Join(dir, "p.toml")
	if err := os.WriteFile(file, []byte("rate = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	results := map[string]hosted.PolicyResult{"good": {ID: "good", Known: true, Committed: true, Version: 8}, "bad": {ID: "bad", Known: true, Reason: "n2 can't: policy:3: no"},
		"late": {ID: "late", WaitingFor: "n1 was not heard of"}}
	proposed, note := "", ""
	put := func(w http.ResponseWriter, v any) { json.NewEncoder(w).Encode(v) }
	mux := http.NewServeMux()
	mux.HandleFunc("POST /policy/propose", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		proposed, note = string(b), r.URL.Query().Get("note")
		if id := r.URL.Query().Get("id"); id == "odd" {
			http.Error(w, "policy:1: rate: is odd", http.StatusConflict)
		} else {
			put(w, results[id])
		}
	})
	mux.HandleFunc("GET /policy/change", func(w http.ResponseWriter, r *http.Request) { put(w, results[r.URL.Query().Get("id")]) })
	mux.HandleFunc("GET /policy/show", func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "rate = 1"+r.URL.Query().Get("version")+"\n")
	})
	mux.HandleFunc("GET /policy/history", func(w http.ResponseWriter, _ *http.Request) {
		put(w, []policy.Outcome{{Change: policy.Change{ID: "a", Author: "ann"}, Committed: true, Version: 2, SwitchedAt: map[uint16]int64{0: 1000, 1: 1012}}, {Change: policy.Change{ID: "b"}, Reason: "it conflicts"}})
	})
	mux.HandleFunc("GET /policy/status", func(w http.ResponseWriter, _ *http.Request) {
		put(w, hosted.PolicyStatus{Name: "n0", Version: policy.Version{Number: 7}, Decides: true})
	})
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"propose --id good -f " + file, cli.Good, []string{"taken, version 8"}},
		{"propose --id bad -f " + file, exitDropped, []string{"n2 can't: policy:3: no"}},
		{"propose --id late -f " + file, exitUnknown, []string{"not known yet", "n1 was not heard of"}},
		{"propose --id odd -f " + file, cli.Failed, []string{"policy:1"}},
		{"propose --json --id good -f " + file, cli.Good, []string{`"taken":true`}},
		{"propose --id good", cli.Misused, []string{"--file is missing"}},
		{"status late", exitUnknown, []string{"not known yet"}},
		{"status", cli.Good, []string{"version 7", "not known: no majority"}},
		{"history", cli.Good, []string{"12 ms, 2 doors", "ann", "dropped: it conflicts"}},
		{"diff -f " + file, cli.Good, []string{"-rate = 1", "+rate = 2"}},
		{"revert --to 4 --id good", cli.Good, []string{"taken"}},
		{"revert", cli.Misused, []string{"--to is missing"}},
	} {
		var out bytes.Buffer
		cmd := command()
		cmd.SetOut(&out)
		code := cli.Run(context.Background(), cmd, append([]string{"policy", "--socket", socket}, strings.Fields(c.args)...), &out)
		if code != c.code {
			t.Errorf("%s: exit code %d, not %d: %s", c.args, code, c.code, out.String())
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: no %q in %q", c.args, w, out.String())
			}
		}
	}
	if proposed != "rate = 14\n" || note != "back to version 4" {
		t.Errorf("reverted to %q, %q", proposed, note)
	}
}

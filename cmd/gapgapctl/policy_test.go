package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/cli"
	"gapgap/internal/policy"
	"gapgap/internal/service/hosted"
)

// fakePolicy is a fake control socket of a gateway that serves the policy commands.
type fakePolicy struct {
	http.ServeMux
	// proposed is the last proposed document, and note is its note.
	proposed string
	note     string
}

// proposalResults has the outcomes of proposals by id.
var proposalResults = map[string]hosted.PolicyResult{
	"good": {ID: "good", Known: true, Committed: true, Version: 8},
	"bad":  {ID: "bad", Known: true, Reason: "n2 can't: policy:3: no"},
	"late": {ID: "late", WaitingFor: "n1 was not heard of"},
}

// newFakePolicy returns a fake gateway that applies version 7 while no majority of the voters answers.
func newFakePolicy() *fakePolicy {
	fake := &fakePolicy{}
	fake.HandleFunc("POST /policy/propose", fake.propose)
	fake.HandleFunc("GET /policy/change", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, proposalResults[r.URL.Query().Get("id")])
	})
	fake.HandleFunc("GET /policy/show", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "rate = 1"+r.URL.Query().Get("version")+"\n") // if writing fails, so does the command
	})
	fake.HandleFunc("GET /policy/history", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, []policy.Outcome{
			{
				Change:     policy.Change{ID: "a", Author: "ann"},
				Committed:  true,
				Version:    2,
				SwitchedAt: map[uint16]int64{0: 1000, 1: 1012},
			},
			{
				Change: policy.Change{ID: "b"},
				Reason: "it conflicts",
			},
		})
	})
	fake.HandleFunc("GET /policy/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, hosted.PolicyStatus{Name: "n0", Version: policy.Version{Number: 7}, Decides: true})
	})
	return fake
}

// propose records the proposal and responds with the result for its id.
func (f *fakePolicy) propose(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.proposed = string(document)
	f.note = r.URL.Query().Get("note")
	id := r.URL.Query().Get("id")
	if id == "odd" {
		http.Error(w, "policy:1: rate: is odd", http.StatusConflict)
		return
	}
	writeJSON(w, proposalResults[id])
}

// writeJSON responds with a value.
func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value) // if writing fails, so does the command
}

// TestPolicyCommands verifies that the exit code gives the outcome of a change, and that revert proposes the unchanged
// document of an earlier version.
func TestPolicyCommands(t *testing.T) {
	fake := newFakePolicy()
	socket := serveControlSocket(t, fake)
	file := filepath.Join(t.TempDir(), "p.toml")
	if err := os.WriteFile(file, []byte("rate = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{args: "propose --id good -f " + file, code: cli.Good, want: []string{"taken, version 8"}},
		{args: "propose --id bad -f " + file, code: exitAborted, want: []string{"n2 can't: policy:3: no"}},
		{
			args: "propose --id late -f " + file,
			code: exitUnknown,
			want: []string{"not known yet", "n1 was not heard of"},
		},
		{args: "propose --id odd -f " + file, code: cli.Failed, want: []string{"policy:1"}},
		{args: "propose --json --id good -f " + file, code: cli.Good, want: []string{`"taken":true`}},
		{args: "propose --id good", code: cli.Misused, want: []string{"--file is missing"}},
		{args: "status late", code: exitUnknown, want: []string{"not known yet"}},
		{args: "status", code: cli.Good, want: []string{"version 7", "not known: no majority"}},
		{args: "history", code: cli.Good, want: []string{"12 ms, 2 doors", "ann", "dropped: it conflicts"}},
		{args: "diff -f " + file, code: cli.Good, want: []string{"-rate = 1", "+rate = 2"}},
		{args: "revert --to 4 --id good", code: cli.Good, want: []string{"taken"}},
		{args: "revert", code: cli.Misused, want: []string{"--to is missing"}},
	} {
		args := append([]string{"policy", "--socket", socket}, strings.Fields(c.args)...)
		code, out, errs := runCommand(t, args...)
		if code != c.code {
			t.Errorf("%s: exit code %d, not %d: %s%s", c.args, code, c.code, out, errs)
		}
		for _, want := range c.want {
			if !strings.Contains(out+errs, want) {
				t.Errorf("%s: no %q in %q", c.args, want, out+errs)
			}
		}
	}
	if fake.proposed != "rate = 14\n" || fake.note != "back to version 4" {
		t.Errorf("reverted to %q, %q", fake.proposed, fake.note)
	}
}

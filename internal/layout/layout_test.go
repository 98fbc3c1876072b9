// Package layout keeps the direction of the imports true.
package layout

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

func deps(t *testing.T, pkg string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", pkg).CombinedOutput()
	if err != nil {
		t.Fatalf("go list %s: %v\n%s", pkg, err, out)
	}
	return strings.Fields(string(out))
}

func none(t *testing.T, pkg string, forbidden ...string) {
	t.Helper()
	for _, d := range deps(t, pkg) {
		for _, f := range forbidden {
			if d == f || strings.HasPrefix(d, f+"/") {
				t.Errorf("%s imports %s", pkg, d)
			}
		}
	}
}

// What the platform runs stays lean, and no program that serves links a stand-in.
func TestServingProgramsLinkNoStandIn(t *testing.T) {
	heavy := []string{"google.golang.org/grpc", "go.etcd.io/bbolt", "modernc.org/sqlite", "github.com/envoyproxy",
		"gapgap/internal/standin", "gapgap/internal/front/authz", "testing"}
	none(t, "gapgap/cmd/gapgap", heavy...)
	none(t, "gapgap/cmd/simadapter", heavy...)
}

// Judgement does no input or output.
func TestJudgementIsFreeOfIO(t *testing.T) {
	none(t, "gapgap/internal/balancer", "net", "os/exec", "gapgap/internal")
	none(t, "gapgap/ceiling", "net", "os", "gapgap/internal")
	none(t, "gapgap/size", "net", "os", "time", "gapgap/internal")
	none(t, "gapgap/cold", "net", "os", "math/rand", "gapgap/internal")
	none(t, "gapgap/internal/emulator", "net", "gapgap/internal/core", "gapgap/internal/loop")
	none(t, "gapgap/internal/budget", "net")
}

// What doors know of each other is decided without input and output, and the platform's front door has none of it.
func TestMembersFloors(t *testing.T) {
	none(t, "gapgap/share", "net", "os", "gapgap/internal")
	for _, p := range []string{"members", "seats", "fleetnode"} {
		none(t, "gapgap/internal/"+p, "net", "os/exec", "gapgap/internal/core", "gapgap/internal/loop", "gapgap/internal/standin")
	}
	none(t, "gapgap/cmd/gapgap", "gapgap/internal/members", "gapgap/internal/seats", "gapgap/internal/fleetnode", "gapgap/internal/peers",
		"github.com/fxamacker/cbor")
}

// How a policy takes hold is decided without input and output; the platform's front door has neither that nor its log, nor storage.
func TestPolicyFloors(t *testing.T) {
	none(t, "gapgap/internal/policy", "net", "os/exec", "go.etcd.io", "gapgap/internal/core", "gapgap/internal/loop", "gapgap/internal/standin")
	none(t, "gapgap/internal/agree", "net", "gapgap/internal/core", "gapgap/internal/policy", "gapgap/internal/standin")
	none(t, "gapgap/cmd/gapgap", "gapgap/internal/policy", "gapgap/internal/policyside", "gapgap/internal/agree", "go.etcd.io", "github.com/gogo")
	none(t, "gapgap/cmd/gapgapd", "github.com/anishathalye", "github.com/pmezard")
}

// The log for states of many records is ground: it knows nobody above it; the platform's front door has none of it, as no disk outlives it.
func TestPowerFloors(t *testing.T) {
	none(t, "gapgap/internal/wal", "net", "os/exec", "gapgap/internal/core", "gapgap/internal/service")
	for _, p := range []string{"claims", "recovery", "clocks"} {
		none(t, "gapgap/internal/"+p, "net", "os/exec", "math/rand", "gapgap/internal/core", "gapgap/internal/loop", "gapgap/internal/standin")
	}
	for _, p := range []string{"wal", "claims", "claimside", "recovery", "clocks"} {
		none(t, "gapgap/cmd/gapgap", "gapgap/internal/"+p)
	}
}

// A floor imports only those below it.
func TestFloors(t *testing.T) {
	fronts := []string{"gapgap/internal/front", "gapgap/internal/service"}
	sides := []string{"gapgap/internal/upstream", "gapgap/internal/counter", "gapgap/internal/membership/discovery"}
	none(t, "gapgap/internal/core", append(fronts, "gapgap/internal/counter", "gapgap/internal/membership/discovery",
		"gapgap/internal/front")...)
	for _, s := range sides {
		none(t, s, append(fronts, "gapgap/internal/core")...)
	}
	none(t, "gapgap/internal/front/resp2", append(sides[1:], "gapgap/internal/service")...)
	for _, g := range []string{"loop", "resp", "sock", "budget"} {
		none(t, "gapgap/internal/"+g, append(append(fronts, sides...), "gapgap/internal/core")...)
	}
}

// The service links no stand-in either; what decides for it does no input or output.
func TestForwardAuthFloors(t *testing.T) {
	none(t, "gapgap/cmd/gapgapd", "gapgap/internal/standin", "testing", "google.golang.org/grpc")
	none(t, "gapgap/internal/verdict", "net", "os", "gapgap/internal/core", "gapgap/internal/front", "gapgap/internal/loop")
	none(t, "gapgap/internal/account", "net/http", "gapgap/internal/front", "gapgap/internal/core")
	none(t, "gapgap/internal/front/authz", "gapgap/internal/counter", "gapgap/internal/membership/discovery", "gapgap/internal/service")
}

// Nothing that serves on the platform is fitted to one deployment: no class, plan, kind or site of those that the project has met is named in its code. What is
// looked for are whole string literals, of the sites in deploy/sites too.
func TestNoDeploymentIsNamed(t *testing.T) {
	names := []string{"evaluate", "change", "starter", "business", "flag-api", "std-3c", "fetch-cards", "record-answer", "basic", "standard", "campus", "deck-servers",
		"quote", "charge", "note", "stall", "chain", "tills", "look", "weave", "sell", "guest", "member", "guild", "crown", "looms"}
	literal := regexp.MustCompile(`"(` + strings.Join(names, "|") + `)"`)
	site := regexp.MustCompile(`(?i)cluj|yarmouk|amman|shared-fleet`)
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if not .Standard}}{{$d := .Dir}}{{if eq .Module.Path "gapgap"}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`,
		"gapgap/cmd/gapgap", "gapgap/cmd/simadapter").Output()
	if err != nil {
		t.Fatal(err)
	}
	files := strings.Fields(string(out))
	if len(files) < 40 {
		t.Fatalf("%d files are looked at", len(files))
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for n, line := range strings.Split(string(text), "\n") {
			if m := literal.FindString(line); m != "" {
				t.Errorf("%s:%d names %s", f, n+1, m)
			}
			if m := site.FindString(line); m != "" {
				t.Errorf("%s:%d names %s", f, n+1, m)
			}
		}
	}
}

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
		"snowhall/internal/standin", "snowhall/internal/front/authz", "testing"}
	none(t, "snowhall/cmd/gapgap", heavy...)
	none(t, "snowhall/cmd/drill", heavy...)
}

// Judgement does no input or output.
func TestJudgementIsFreeOfIO(t *testing.T) {
	none(t, "snowhall", "net", "os/exec", "snowhall/internal")
	none(t, "snowhall/ceiling", "net", "os", "snowhall/internal")
	none(t, "snowhall/size", "net", "os", "time", "snowhall/internal")
	none(t, "snowhall/cold", "net", "os", "math/rand", "snowhall/internal")
	none(t, "snowhall/internal/emulator", "net", "snowhall/internal/core", "snowhall/internal/loop")
	none(t, "snowhall/internal/budget", "net")
}

// What doors know of each other is decided without input and output, and the platform's front door has none of it.
func TestMembersFloors(t *testing.T) {
	none(t, "snowhall/share", "net", "os", "snowhall/internal")
	for _, p := range []string{"members", "seats", "fleetnode"} {
		none(t, "snowhall/internal/"+p, "net", "os/exec", "snowhall/internal/core", "snowhall/internal/loop", "snowhall/internal/standin")
	}
	none(t, "snowhall/cmd/gapgap", "snowhall/internal/members", "snowhall/internal/seats", "snowhall/internal/fleetnode", "snowhall/internal/peers",
		"github.com/fxamacker/cbor")
}

// How a policy takes hold is decided without input and output; the platform's front door has neither that nor its log, nor storage.
func TestPolicyFloors(t *testing.T) {
	none(t, "snowhall/internal/policy", "net", "os/exec", "go.etcd.io", "snowhall/internal/core", "snowhall/internal/loop", "snowhall/internal/standin")
	none(t, "snowhall/internal/agree", "net", "snowhall/internal/core", "snowhall/internal/policy", "snowhall/internal/standin")
	none(t, "snowhall/cmd/gapgap", "snowhall/internal/policy", "snowhall/internal/policyside", "snowhall/internal/agree", "go.etcd.io", "github.com/gogo")
	none(t, "snowhall/cmd/gapgapd", "github.com/anishathalye", "github.com/pmezard")
}

// The log for states of many records is ground: it knows nobody above it; the platform's front door has none of it, as no disk outlives it.
func TestPowerFloors(t *testing.T) {
	none(t, "snowhall/internal/wal", "net", "os/exec", "snowhall/internal/core", "snowhall/internal/service")
	for _, p := range []string{"claims", "recovery", "clocks"} {
		none(t, "snowhall/internal/"+p, "net", "os/exec", "math/rand", "snowhall/internal/core", "snowhall/internal/loop", "snowhall/internal/standin")
	}
	for _, p := range []string{"wal", "claims", "claimside", "recovery", "clocks"} {
		none(t, "snowhall/cmd/gapgap", "snowhall/internal/"+p)
	}
}

// A floor imports only those below it.
func TestFloors(t *testing.T) {
	fronts := []string{"snowhall/internal/front", "snowhall/internal/service"}
	sides := []string{"snowhall/internal/upstream", "snowhall/internal/counter", "snowhall/internal/membership/discovery"}
	none(t, "snowhall/internal/core", append(fronts, "snowhall/internal/counter", "snowhall/internal/membership/discovery",
		"snowhall/internal/front")...)
	for _, s := range sides {
		none(t, s, append(fronts, "snowhall/internal/core")...)
	}
	none(t, "snowhall/internal/front/resp2", append(sides[1:], "snowhall/internal/service")...)
	for _, g := range []string{"loop", "resp", "sock", "budget"} {
		none(t, "snowhall/internal/"+g, append(append(fronts, sides...), "snowhall/internal/core")...)
	}
}

// The service links no stand-in either; what decides for it does no input or output.
func TestForwardAuthFloors(t *testing.T) {
	none(t, "snowhall/cmd/gapgapd", "snowhall/internal/standin", "testing", "google.golang.org/grpc")
	none(t, "snowhall/internal/verdict", "net", "os", "snowhall/internal/core", "snowhall/internal/front", "snowhall/internal/loop")
	none(t, "snowhall/internal/account", "net/http", "snowhall/internal/front", "snowhall/internal/core")
	none(t, "snowhall/internal/front/authz", "snowhall/internal/counter", "snowhall/internal/membership/discovery", "snowhall/internal/service")
}

// Nothing that serves on the platform is fitted to one deployment: no class, plan, kind or site of those that the project has met is named in its code. What is
// looked for are whole string literals, of the sites in deploy/sites too.
func TestNoDeploymentIsNamed(t *testing.T) {
	names := []string{"evaluate", "change", "starter", "business", "flag-api", "std-3c", "fetch-cards", "record-answer", "basic", "standard", "campus", "deck-servers",
		"quote", "charge", "note", "stall", "chain", "tills", "look", "weave", "sell", "guest", "member", "guild", "crown", "looms"}
	literal := regexp.MustCompile(`"(` + strings.Join(names, "|") + `)"`)
	site := regexp.MustCompile(`(?i)cluj|yarmouk|amman|shared-fleet`)
	out, err := exec.Command("go", "list", "-deps", "-f", `{{if not .Standard}}{{$d := .Dir}}{{if eq .Module.Path "snowhall"}}{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`,
		"snowhall/cmd/gapgap", "snowhall/cmd/drill").Output()
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

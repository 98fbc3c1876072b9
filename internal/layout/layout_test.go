// Package layout keeps the direction of the imports true.
package layout

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
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

// none checks that a package imports none of the packages given, nor any below them. A package of this module that is
// given must exist: one that was renamed would else be looked for in vain.
func none(t *testing.T, pkg string, forbidden ...string) {
	t.Helper()
	mustExist(t, forbidden)
	for _, dep := range deps(t, pkg) {
		for _, path := range forbidden {
			if isBelow(dep, path) {
				t.Errorf("%s imports %s", pkg, dep)
			}
		}
	}
}

// onlyBalancer checks that of this module a package imports the decision module's packages alone.
func onlyBalancer(t *testing.T, pkg string) {
	t.Helper()
	for _, dep := range deps(t, pkg) {
		if isBelow(dep, "gapgap") && !isBelow(dep, "gapgap/internal/balancer") {
			t.Errorf("%s imports %s", pkg, dep)
		}
	}
}

// isBelow tells whether a package has a path or lies below it.
func isBelow(pkg, path string) bool { return pkg == path || strings.HasPrefix(pkg, path+"/") }

// mustExist checks that each path of this module is that of a package or of a folder of packages.
func mustExist(t *testing.T, paths []string) {
	t.Helper()
	out, err := exec.Command("go", "list", "gapgap/...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	all := strings.Fields(string(out))
	for _, path := range paths {
		if isBelow(path, "gapgap") && !slices.ContainsFunc(all, func(pkg string) bool { return isBelow(pkg, path) }) {
			t.Errorf("there is no package %s", path)
		}
	}
}

// What the platform runs stays lean, and no program that serves links a stand-in.
func TestServingProgramsLinkNoFake(t *testing.T) {
	forbidden := []string{"google.golang.org/grpc", "go.etcd.io/bbolt", "modernc.org/sqlite", "github.com/envoyproxy",
		"gapgap/internal/fake", "gapgap/internal/frontend/extauthz", "testing"}
	none(t, "gapgap/cmd/gapgap", forbidden...)
	none(t, "gapgap/cmd/simadapter", forbidden...)
}

// Judgement does no input or output.
func TestDecisionsAreFreeOfIO(t *testing.T) {
	none(t, "gapgap/internal/balancer", "net", "os/exec")
	onlyBalancer(t, "gapgap/internal/balancer")
	none(t, "gapgap/internal/balancer/ceilinglease", "net", "os")
	onlyBalancer(t, "gapgap/internal/balancer/ceilinglease")
	none(t, "gapgap/internal/balancer/costmodel", "net", "os", "time")
	onlyBalancer(t, "gapgap/internal/balancer/costmodel")
	none(t, "gapgap/internal/balancer/slowstart", "net", "os", "math/rand")
	onlyBalancer(t, "gapgap/internal/balancer/slowstart")
	none(t, "gapgap/internal/simulator", "net", "gapgap/internal/proxy", "gapgap/internal/eventloop")
	none(t, "gapgap/internal/resourcelimit", "net")
}

// What doors know of each other is decided without input and output, and the platform's gateway has none of it.
func TestMembershipImports(t *testing.T) {
	none(t, "gapgap/internal/balancer/quotashare", "net", "os")
	onlyBalancer(t, "gapgap/internal/balancer/quotashare")
	for _, p := range []string{"membership", "quotalease", "cluster"} {
		none(t, "gapgap/internal/"+p, "net", "os/exec", "gapgap/internal/proxy", "gapgap/internal/eventloop",
			"gapgap/internal/fake")
	}
	none(t, "gapgap/cmd/gapgap", "gapgap/internal/membership", "gapgap/internal/quotalease",
		"gapgap/internal/cluster", "gapgap/internal/peer",
		"github.com/fxamacker/cbor")
}

// How a policy takes hold is decided without input and output; the platform's gateway has neither that nor its log, nor
// storage.
func TestPolicyImports(t *testing.T) {
	none(t, "gapgap/internal/policy", "net", "os/exec", "go.etcd.io", "gapgap/internal/proxy",
		"gapgap/internal/eventloop", "gapgap/internal/fake")
	none(t, "gapgap/internal/raftlog", "net", "gapgap/internal/proxy", "gapgap/internal/policy", "gapgap/internal/fake")
	none(t, "gapgap/cmd/gapgap", "gapgap/internal/policy", "gapgap/internal/policyreplica",
		"gapgap/internal/raftlog", "go.etcd.io", "github.com/gogo")
	none(t, "gapgap/cmd/gapgapd", "github.com/anishathalye", "github.com/pmezard")
}

// The write-ahead log imports nothing above it; the platform's gateway has none of it, as no disk outlives it.
func TestRecoveryImports(t *testing.T) {
	none(t, "gapgap/internal/wal", "net", "os/exec", "gapgap/internal/proxy", "gapgap/internal/service")
	for _, p := range []string{"idempotency", "recovery", "clockskew"} {
		none(t, "gapgap/internal/"+p, "net", "os/exec", "math/rand", "gapgap/internal/proxy",
			"gapgap/internal/eventloop", "gapgap/internal/fake")
	}
	for _, p := range []string{"wal", "idempotency", "idempotency/replica", "recovery", "clockskew"} {
		none(t, "gapgap/cmd/gapgap", "gapgap/internal/"+p)
	}
}

// A floor imports only those below it.
func TestLayerImports(t *testing.T) {
	frontends := []string{"gapgap/internal/frontend", "gapgap/internal/service"}
	clients := []string{"gapgap/internal/upstream", "gapgap/internal/counter", "gapgap/internal/discovery"}
	none(t, "gapgap/internal/proxy", append(frontends, "gapgap/internal/counter", "gapgap/internal/discovery",
		"gapgap/internal/frontend")...)
	for _, s := range clients {
		none(t, s, append(frontends, "gapgap/internal/proxy")...)
	}
	none(t, "gapgap/internal/frontend/resp2", append(clients[1:], "gapgap/internal/service")...)
	for _, g := range []string{"eventloop", "resp", "socket", "resourcelimit"} {
		none(t, "gapgap/internal/"+g, append(append(frontends, clients...), "gapgap/internal/proxy")...)
	}
}

// The service links no stand-in either; what decides for it does no input or output.
func TestExternalAuthorizationImports(t *testing.T) {
	none(t, "gapgap/cmd/gapgapd", "gapgap/internal/fake", "testing", "google.golang.org/grpc")
	none(t, "gapgap/internal/decisioncache", "net", "os", "gapgap/internal/proxy", "gapgap/internal/frontend",
		"gapgap/internal/eventloop")
	none(t, "gapgap/internal/account", "net/http", "gapgap/internal/frontend", "gapgap/internal/proxy")
	none(t, "gapgap/internal/frontend/extauthz", "gapgap/internal/counter", "gapgap/internal/discovery",
		"gapgap/internal/service")
}

// ownFiles is a format of go list: the path of each file that belongs to this module.
const ownFiles = `{{if not .Standard}}{{$d := .Dir}}{{if eq .Module.Path "gapgap"}}` +
	`{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`

// Nothing that serves on the platform is fitted to one deployment: no class, plan, kind or site of those that the
// project has met is named in its code. What is looked for are whole string literals, of the sites in deploy/sites too.
func TestNoDeploymentIsNamed(t *testing.T) {
	names := []string{"evaluate", "change", "starter", "business", "flag-api", "std-3c", "fetch-cards",
		"record-answer", "basic", "standard", "campus", "deck-servers",
		"quote", "charge", "note", "stall", "chain", "tills", "look", "weave", "sell", "guest", "member", "guild",
		"crown", "looms"}
	literal := regexp.MustCompile(`"(` + strings.Join(names, "|") + `)"`)
	site := regexp.MustCompile(`(?i)cluj|yarmouk|amman|shared-fleet`)
	out, err := exec.Command("go", "list", "-deps", "-f", ownFiles,
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

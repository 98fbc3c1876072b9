// Package layout tests which packages may import which others.
package layout

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// dependencies returns all packages that a package imports, directly or indirectly, and the package itself.
func dependencies(t *testing.T, pkg string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", pkg).CombinedOutput()
	if err != nil {
		t.Fatalf("go list %s: %v\n%s", pkg, err, out)
	}
	return strings.Fields(string(out))
}

// forbidImports verifies that a package imports none of the forbidden packages, nor any below them, directly or
// indirectly. Forbidden packages of this module must exist, so that renaming a package can't make a check void.
func forbidImports(t *testing.T, pkg string, forbidden ...string) {
	t.Helper()
	mustExist(t, forbidden)
	for _, dep := range dependencies(t, pkg) {
		for _, path := range forbidden {
			if isBelow(dep, path) {
				t.Errorf("%s imports %s", pkg, dep)
			}
		}
	}
}

// onlyBalancer verifies that a package imports no packages of this module but those of the balancer.
func onlyBalancer(t *testing.T, pkg string) {
	t.Helper()
	for _, dep := range dependencies(t, pkg) {
		if isBelow(dep, "gapgap") && !isBelow(dep, "gapgap/internal/balancer") {
			t.Errorf("%s imports %s", pkg, dep)
		}
	}
}

// isBelow reports whether a package has a path or is below it.
func isBelow(pkg, path string) bool { return pkg == path || strings.HasPrefix(pkg, path+"/") }

// mustExist verifies that each path in this module is that of a package or of a directory with packages.
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

// TestServingProgramsLinkNoFake verifies that the platform's gateway and its simulator adapter link no fakes, not the
// package testing, not external authorization, and no libraries for gRPC, storage or Envoy.
func TestServingProgramsLinkNoFake(t *testing.T) {
	forbidden := []string{"google.golang.org/grpc", "go.etcd.io/bbolt", "modernc.org/sqlite", "github.com/envoyproxy",
		"gapgap/internal/fake", "gapgap/internal/frontend/extauthz", "testing"}
	forbidImports(t, "gapgap/cmd/gapgap", forbidden...)
	forbidImports(t, "gapgap/cmd/simadapter", forbidden...)
}

// TestDecisionsAreFreeOfIO verifies that the packages that decide on requests do no I/O.
func TestDecisionsAreFreeOfIO(t *testing.T) {
	forbidImports(t, "gapgap/internal/balancer", "net", "os/exec")
	onlyBalancer(t, "gapgap/internal/balancer")
	forbidImports(t, "gapgap/internal/balancer/ceilinglease", "net", "os")
	onlyBalancer(t, "gapgap/internal/balancer/ceilinglease")
	forbidImports(t, "gapgap/internal/balancer/costmodel", "net", "os", "time")
	onlyBalancer(t, "gapgap/internal/balancer/costmodel")
	forbidImports(t, "gapgap/internal/balancer/slowstart", "net", "os", "math/rand")
	onlyBalancer(t, "gapgap/internal/balancer/slowstart")
	forbidImports(t, "gapgap/internal/simulator", "net", "gapgap/internal/proxy", "gapgap/internal/eventloop")
	forbidImports(t, "gapgap/internal/resourcelimit", "net")
}

// TestMembershipImports verifies that the packages for membership and quota leases do no I/O, and that the platform's
// gateway links none of them.
func TestMembershipImports(t *testing.T) {
	forbidImports(t, "gapgap/internal/balancer/quotashare", "net", "os")
	onlyBalancer(t, "gapgap/internal/balancer/quotashare")
	for _, p := range []string{"membership", "quotalease", "cluster"} {
		forbidImports(t, "gapgap/internal/"+p, "net", "os/exec", "gapgap/internal/proxy", "gapgap/internal/eventloop",
			"gapgap/internal/fake")
	}
	forbidImports(t, "gapgap/cmd/gapgap", "gapgap/internal/membership", "gapgap/internal/quotalease",
		"gapgap/internal/cluster", "gapgap/internal/peer",
		"github.com/fxamacker/cbor")
}

// TestPolicyImports verifies that the package that decides on policy versions does no I/O, that the platform's gateway
// links neither that package nor its replicated log nor the log's storage, and that gapgapd links no test libraries.
func TestPolicyImports(t *testing.T) {
	forbidImports(t, "gapgap/internal/policy", "net", "os/exec", "go.etcd.io", "gapgap/internal/proxy",
		"gapgap/internal/eventloop", "gapgap/internal/fake")
	forbidImports(t, "gapgap/internal/raftlog", "net", "gapgap/internal/proxy", "gapgap/internal/policy",
		"gapgap/internal/fake")
	forbidImports(t, "gapgap/cmd/gapgap", "gapgap/internal/policy", "gapgap/internal/policyreplica",
		"gapgap/internal/raftlog", "go.etcd.io", "github.com/gogo")
	forbidImports(t, "gapgap/cmd/gapgapd", "github.com/anishathalye", "github.com/pmezard")
}

// TestRecoveryImports verifies that the write-ahead log imports no higher layers, that the packages for recovery do no
// I/O, and that the platform's gateway links none of them, as it has no disk that outlives the process.
func TestRecoveryImports(t *testing.T) {
	forbidImports(t, "gapgap/internal/wal", "net", "os/exec", "gapgap/internal/proxy", "gapgap/internal/service")
	for _, p := range []string{"idempotency", "recovery", "clockskew"} {
		forbidImports(t, "gapgap/internal/"+p, "net", "os/exec", "math/rand", "gapgap/internal/proxy",
			"gapgap/internal/eventloop", "gapgap/internal/fake")
	}
	for _, p := range []string{"wal", "idempotency", "idempotency/replica", "recovery", "clockskew"} {
		forbidImports(t, "gapgap/cmd/gapgap", "gapgap/internal/"+p)
	}
}

// TestLayerImports verifies that a layer imports only lower layers.
func TestLayerImports(t *testing.T) {
	frontends := []string{"gapgap/internal/frontend", "gapgap/internal/service"}
	clients := []string{"gapgap/internal/upstream", "gapgap/internal/counter", "gapgap/internal/discovery"}
	forbidImports(t, "gapgap/internal/proxy", append(frontends, "gapgap/internal/counter", "gapgap/internal/discovery",
		"gapgap/internal/frontend")...)
	for _, s := range clients {
		forbidImports(t, s, append(frontends, "gapgap/internal/proxy")...)
	}
	forbidImports(t, "gapgap/internal/frontend/resp2", append(clients[1:], "gapgap/internal/service")...)
	for _, g := range []string{"eventloop", "resp", "socket", "resourcelimit"} {
		forbidImports(t, "gapgap/internal/"+g, append(append(frontends, clients...), "gapgap/internal/proxy")...)
	}
}

// TestExternalAuthorizationImports verifies that gapgapd links no fakes either, that its decision cache does no I/O,
// and that accounts and the frontend for external authorization import no higher layers.
func TestExternalAuthorizationImports(t *testing.T) {
	forbidImports(t, "gapgap/cmd/gapgapd", "gapgap/internal/fake", "testing", "google.golang.org/grpc")
	forbidImports(t, "gapgap/internal/decisioncache", "net", "os", "gapgap/internal/proxy", "gapgap/internal/frontend",
		"gapgap/internal/eventloop")
	forbidImports(t, "gapgap/internal/account", "net/http", "gapgap/internal/frontend", "gapgap/internal/proxy")
	forbidImports(t, "gapgap/internal/frontend/extauthz", "gapgap/internal/counter", "gapgap/internal/discovery",
		"gapgap/internal/service")
}

// ownFiles is a format for go list that prints the path of each source file of this module.
const ownFiles = `{{if not .Standard}}{{$d := .Dir}}{{if eq .Module.Path "gapgap"}}` +
	`{{range .GoFiles}}{{$d}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`

// TestNoDeploymentIsNamed verifies that the platform's programs are not written for one deployment: their source
// contains no class, plan, endpoint type or site of a known deployment, of those in deploy/sites too. Names are
// searched as whole string literals, except for sites, which are searched in all text.
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
		t.Fatalf("only %d files are checked", len(files))
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

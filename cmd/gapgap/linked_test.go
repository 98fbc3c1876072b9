package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDeployBuildLinksTheCLibrary verifies that the deploy build links the gateway dynamically against the C library,
// because the platform's bench preloads a library of its own. A static program would start, but every bench run with
// many gateways would be invalid.
func TestDeployBuildLinksTheCLibrary(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatal("deploy/balancer.toml has no build")
	}
	dir := t.TempDir()
	line := strings.ReplaceAll(strings.ReplaceAll(string(m[1]), " bin", " "+dir), "./cmd/...", "./cmd/gapgap")
	cmd := exec.Command("sh", "-c", line)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line, err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "gapgap"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no ELF interpreter: it is linked statically")
	}
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(s string) bool { return strings.HasPrefix(s, "libc.") }) {
		t.Errorf("libraries %v, %v: no C library", libs, err)
	}
}

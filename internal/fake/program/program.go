// Package program builds the real programs for tests that start, signal and kill them.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Built is BuiltFrom for the package in the working directory.
func Built(name string) (build func() (string, error), remove func()) { return BuiltFrom(name, ".") }

// BuiltFrom returns build, which builds the program of a package such as gapgap/cmd/gapgapd under a name at its first
// call and returns its path at each, and remove, which deletes it. args are further arguments of go build. A failed
// build's error holds the compiler's output. build is safe for concurrent use; remove may be called once no test
// runs.
func BuiltFrom(name, pkg string, args ...string) (build func() (string, error), remove func()) {
	dir := ""
	build = sync.OnceValues(func() (path string, err error) {
		if dir, err = os.MkdirTemp("", name); err != nil {
			return "", err
		}
		path = filepath.Join(dir, name)
		arguments := append([]string{"build", "-o", path}, args...)
		arguments = append(arguments, pkg)
		if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
			return "", fmt.Errorf("%w: %s", err, output)
		}
		return path, nil
	})
	remove = func() {
		if dir != "" {
			_ = os.RemoveAll(dir) // what is left lies in the system's folder for temporary files
		}
	}
	return build, remove
}

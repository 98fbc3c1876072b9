// Package program builds the real binaries for tests that start, signal and kill them.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Built calls BuiltFrom for the package in the working directory.
func Built(name string) (build func() (string, error), remove func()) { return BuiltFrom(name, ".") }

// BuiltFrom returns two functions for the binary of a package such as gapgap/cmd/gapgapd. build compiles the binary
// under the given name on its first call and returns its path on every call; remove deletes it. args are additional
// arguments of go build. If the build fails, the error contains the compiler's output. build is safe for concurrent
// use; remove must not be called while a test still runs.
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
			_ = os.RemoveAll(dir) // anything left over is in the system's temporary directory
		}
	}
	return build, remove
}

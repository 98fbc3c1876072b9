// Package program builds the real programs for tests that start, signal and kill them.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Built returns a function that builds the program of the present folder once, under a name, and says where it is; and one that
// takes it away again.
func Built(name string) (build func() (string, error), remove func()) { return BuiltFrom(name, ".") }

// BuiltFrom is Built of another package than the present folder's, such as gapgap/cmd/gapgapd, with further arguments for go build.
func BuiltFrom(name, pkg string, args ...string) (build func() (string, error), remove func()) {
	dir := ""
	build = sync.OnceValues(func() (path string, err error) {
		if dir, err = os.MkdirTemp("", name); err != nil {
			return "", err
		}
		path = filepath.Join(dir, name)
		if out, err := exec.Command("go", append(append([]string{"build", "-o", path}, args...), pkg)...).CombinedOutput(); err != nil {
			return "", fmt.Errorf("%w: %s", err, out)
		}
		return path, nil
	})
	return build, func() {
		if dir != "" {
			os.RemoveAll(dir)
		}
	}
}

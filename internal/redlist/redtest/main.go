// Command redtest runs go test with the arguments given and judges the run by KNOWN-RED.txt in the working directory; no such file: all tests must pass.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"

	"snowhall/internal/redlist"
)

const file = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var list []redlist.Red
	switch f, err := os.Open(file); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return err
	default:
		list, err = redlist.Read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	return redlist.Judge(events, os.Stdout, list, slices.Contains(args, "./..."), cmd.Wait)
}

package main

import (
	"bytes"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"gapgap/internal/cli"
)

// runCommand runs a command line and returns its exit code, standard output and standard error.
func runCommand(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := newCommand()
	command.SetOut(&stdout)
	code = cli.Run(t.Context(), command, args, &stderr)
	return code, stdout.String(), stderr.String()
}

// serveControlSocket serves a fake gateway's control socket until the test ends and returns the socket's path.
func serveControlSocket(t *testing.T, handler http.Handler) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "ctl")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	return path
}

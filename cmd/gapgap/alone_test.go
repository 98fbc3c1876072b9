package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/fake/flagserver"
)

// TestMembersAreOffOnThePlatform verifies that the platform's gateway opens no sockets for membership: it listens for
// clients and operators only, and has no UDP socket. It knows its peers by the counter alone.
func TestMembersAreOffOnThePlatform(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	p := n.start()
	p.waitReady()
	sockets := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		if target, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil &&
			strings.HasPrefix(target, "socket:[") {
			sockets[strings.Trim(target, "socket:[]")] = true
		}
	}
	tcpListeners, udp := 0, 0
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.cmd.Process.Pid, table))
		if err != nil {
			continue // the system lacks this address family
		}
		for _, l := range strings.Split(string(b), "\n")[1:] {
			f := strings.Fields(l)
			if len(f) < 10 || !sockets[f[9]] {
				continue
			}
			if strings.HasPrefix(table, "udp") {
				udp++
			} else if f[3] == "0A" { // listening
				tcpListeners++
			}
		}
	}
	if tcpListeners != 2 || udp != 0 { // for clients, and for operators
		t.Errorf("%d listening TCP sockets and %d UDP sockets, want 2 and 0", tcpListeners, udp)
	}
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gapgap/internal/fake/flagserver"
)

// The platform's front door knows the others by the counter alone: it listens where it is told to, hears no datagrams, and that is all.
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
		if to, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && strings.HasPrefix(to, "socket:[") {
			sockets[strings.Trim(to, "socket:[]")] = true
		}
	}
	listens, udp := 0, 0
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.cmd.Process.Pid, table))
		if err != nil {
			continue // no such family here
		}
		for _, l := range strings.Split(string(b), "\n")[1:] {
			f := strings.Fields(l)
			if len(f) < 10 || !sockets[f[9]] {
				continue
			}
			if strings.HasPrefix(table, "udp") {
				udp++
			} else if f[3] == "0A" { // listening
				listens++
			}
		}
	}
	if listens != 2 || udp != 0 { // for clients, and for operators
		t.Errorf("%d listening sockets and %d for datagrams", listens, udp)
	}
}

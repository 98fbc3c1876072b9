package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// editConfig changes the configuration file of a node.
func (n *node) editConfig(change func(map[string]any)) {
	n.t.Helper()
	text, err := os.ReadFile(n.file)
	var all map[string]any
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err != nil {
		n.t.Fatal(err)
	}
	change(all)
	if text, err = json.Marshal(all); err == nil {
		err = os.WriteFile(n.file, text, 0o600)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}

// Idle clients fill the descriptors while discovery is down: the process keeps what it needs to ask for the list, to probe and to reach backends, so that it serves
// within 6 s of discovery's return, and it neither runs into the system's limit nor fills its log.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	for _, sockets := range []int{48, 96, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			n := newNode(t, 4, flagserver.Config{Value: "v"})
			n.agent.Close()
			at := peer.FreeAddr(t)
			n.editConfig(func(c map[string]any) {
				c["discovery"] = at
				c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets}
			})
			p := n.start()
			limit := unix.Rlimit{Cur: uint64(sockets), Max: uint64(sockets)}
			if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			p.waitListening()
			for range 2 * sockets { // they say nothing; those for whom there is no place are told so
				c, err := n.dial()
				if err != nil {
					t.Fatal(err)
				}
				defer c.nc.Close()
			}
			time.Sleep(500 * time.Millisecond) // calls to an agent that is not there go on beside them
			var list []catalog.Endpoint
			for i, s := range n.servers {
				list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
			}
			agent, err := catalog.StartAt(at, list...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			served := 0
			for end := time.Now().Add(6 * time.Second); served < 20; {
				if time.Now().After(end) {
					t.Fatalf("%d served 6 s after discovery was back\n%s", served, p.log)
				}
				c, err := n.dial()
				if err != nil {
					t.Fatal(err)
				}
				line, err := c.ask("Q.ASK", peer.Customer, fmt.Sprint(served), peer.List[:strings.Index(peer.List, ",d=")]+",d=3000,units=1,spread=1,first=0")
				if err == nil && line[0] == '$' {
					served++
				} else if err != nil && !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
					t.Fatal(err)
				}
				c.nc.Close()
				time.Sleep(5 * time.Millisecond)
			}
			if log := p.log.String(); strings.Contains(log, "too many open files") || len(log) > 16<<10 {
				t.Errorf("%d bytes of log:\n%.2000s", len(log), log)
			}
			p.stop()
		})
	}
}

// waitListening waits until clients can connect.
func (p *process) waitListening() {
	p.n.t.Helper()
	for limit := time.Now().Add(peer.Patient); ; time.Sleep(2 * time.Millisecond) {
		if c, err := p.n.dial(); err == nil {
			c.nc.Close()
			return
		}
		if time.Now().After(limit) {
			p.n.t.Fatalf("nothing listens\n%s", p.log)
		}
	}
}

// Thirty processes that start together are ready within 10 s, discovery being down: with a list of before, though an old one, they serve by it; with none they say
// that no backend is known, and are ready with the first list.
func TestManyStartTogetherWithoutDiscovery(t *testing.T) {
	first := newNode(t, 3, flagserver.Config{Value: "v"})
	first.agent.Close()
	at := peer.FreeAddr(t)
	var list []catalog.Endpoint
	for i, s := range first.servers {
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	gone := catalog.Serving("s-gone", peer.FreeAddr(t)) // the list of before is old
	var nodes []*node
	var all []*process
	began := time.Now()
	for i := range 30 {
		n := &node{t: t, dir: t.TempDir(), listen: peer.FreeAddr(t), servers: first.servers}
		text, err := os.ReadFile(first.file)
		if err != nil {
			t.Fatal(err)
		}
		n.file = n.dir + "/config.json"
		if err := os.WriteFile(n.file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		n.editConfig(func(c map[string]any) {
			c["discovery"], c["listen"] = at, n.listen
			if i%3 > 0 {
				c["known"] = map[string]any{"index": 1, "snapshot": true, "endpoints": append([]catalog.Endpoint{gone}, list...)}
			}
		})
		nodes, all = append(nodes, n), append(all, n.start())
	}
	answers := func(i int) string {
		c, err := nodes[i].dial()
		if err != nil {
			return err.Error()
		}
		defer c.nc.Close()
		line, err := c.ask("PING")
		if err != nil {
			return err.Error()
		}
		return line
	}
	wants := func(i int, want string, within time.Duration) {
		t.Helper()
		for limit := time.Now().Add(within); !strings.HasPrefix(answers(i), want); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("process %d says %q, want %s\n%s", i, answers(i), want, all[i].log)
			}
		}
	}
	for i := range all {
		if i%3 > 0 {
			wants(i, "+PONG", 10*time.Second-time.Since(began))
		} else {
			wants(i, "-LOADING", peer.Patient)
		}
	}
	t.Logf("those with a list of before were ready after %v", time.Since(began))
	agent, err := catalog.StartAt(at, list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	for i := range all {
		wants(i, "+PONG", 6*time.Second)
	}
}

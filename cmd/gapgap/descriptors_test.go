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

// TestIdleClientsFillTheDescriptors verifies that idle clients can't use up the file descriptors while discovery is
// down. The process keeps those that it needs for discovery, probes and backends, so that it serves within 6 s of
// discovery's return. It neither exceeds the system's limit nor fills its log.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	for _, sockets := range []int{48, 96, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			n := newNode(t, 4, flagserver.Config{Value: "v"})
			n.agent.Close()
			discoveryAddr := peer.FreeAddr(t)
			n.editConfig(func(c map[string]any) {
				c["discovery"] = discoveryAddr
				c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets}
			})
			p := n.start()
			limit := unix.Rlimit{Cur: uint64(sockets), Max: uint64(sockets)}
			if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			p.waitListening()
			for range 2 * sockets { // they send nothing; those above the connection limit are rejected
				c, err := n.dial()
				if err != nil {
					t.Fatal(err)
				}
				defer c.nc.Close()
			}
			time.Sleep(500 * time.Millisecond) // calls to the missing discovery agent go on meanwhile
			var list []catalog.Endpoint
			for i, s := range n.servers {
				list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
			}
			agent, err := catalog.StartAt(discoveryAddr, list...)
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
				line, err := c.ask("Q.ASK", peer.Customer, fmt.Sprint(served),
					peer.List[:strings.Index(peer.List, ",d=")]+",d=3000,units=1,spread=1,first=0")
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
			p.n.t.Fatalf("no client can connect\n%s", p.log)
		}
	}
}

// TestManyStartTogetherWithoutDiscovery verifies that thirty processes can start together while discovery is down.
// Those with a known list of backends are ready within 10 s, even if the list is out of date. The others answer that
// no backend is known, and are ready with their first list.
func TestManyStartTogetherWithoutDiscovery(t *testing.T) {
	first := newNode(t, 3, flagserver.Config{Value: "v"})
	first.agent.Close()
	discoveryAddr := peer.FreeAddr(t)
	var list []catalog.Endpoint
	for i, s := range first.servers {
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	gone := catalog.Serving("s-gone", peer.FreeAddr(t)) // the known list is out of date
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
			c["discovery"], c["listen"] = discoveryAddr, n.listen
			if i%3 > 0 {
				c["known"] = map[string]any{"index": 1, "snapshot": true,
					"endpoints": append([]catalog.Endpoint{gone}, list...)}
			}
		})
		nodes, all = append(nodes, n), append(all, n.start())
	}
	ping := func(i int) string {
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
	waitAnswer := func(i int, want string, within time.Duration) {
		t.Helper()
		for limit := time.Now().Add(within); !strings.HasPrefix(ping(i), want); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("process %d answers %q, want %s\n%s", i, ping(i), want, all[i].log)
			}
		}
	}
	for i := range all {
		if i%3 > 0 {
			waitAnswer(i, "+PONG", 10*time.Second-time.Since(began))
		} else {
			waitAnswer(i, "-LOADING", peer.Patient)
		}
	}
	t.Logf("those with a known list were ready after %v", time.Since(began))
	agent, err := catalog.StartAt(discoveryAddr, list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	for i := range all {
		waitAnswer(i, "+PONG", 6*time.Second)
	}
}

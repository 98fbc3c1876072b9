package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
)

// platformSettings are those of a small deployment, in the platform's names.
const platformSettings = `{"peers-total":1,"rank":0,"resolution-us":2000,"discovery":"pushed","areas":[""],"kinds":[""],
"limits":{"max-attempts":3,"cancel":true,"dial-timeout-us":250000,"conn-idle-us":30000000,"open-cap":4000},
"obligations":{"stop-sending-within-us":250000,"fall-multiple":3.0,"fall-us":3000000,"cold-from":0.26,"warm-within-us":15000000},
"specifics":{"max-units":1},"classes":[{"name":"evaluate","effect":"safe","worth":1.0,"target-us":1000000,"give-up-us":3000000}],
"tiers-of-service":[{"name":"wide","value-factor":1.0}]}`

// carried is the load of the platform's front door.
type carried struct {
	values []int // bytes of the answers' values, one stretch for each
	calls  bool  // in turns with and without an operator who fetches the figures ten times a second
}

// platform runs builds of cmd/gapgap one after the other under the same load, and prints what each holds and uses.
func platform(builds []string, what carried, lasts time.Duration, rounds int) error {
	if len(builds) == 0 {
		return errors.New("usage: benchmark platform [-for 5s] [-rounds 3] GAPGAP [GAPGAP]")
	}
	s, err := flagserver.Start(flagserver.Config{Value: "value"})
	if err != nil {
		return err
	}
	defer s.Close()
	one := catalog.Serving("s-0", s.Addr())
	agent, err := catalog.Start(one)
	if err != nil {
		return err
	}
	defer agent.Close()
	known, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": []catalog.Endpoint{one}})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "benchmark")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "config.json")
	turns := []bool{false}
	if what.calls {
		turns = []bool{false, true}
	}
	for range rounds {
		for _, b := range builds {
			for _, size := range what.values {
				s.Set(flagserver.Config{Value: strings.Repeat("v", size)})
				for _, calls := range turns {
					if err := platformOnce(b, file, agent.Addr(), string(known), size, calls, lasts); err != nil {
						return fmt.Errorf("%s: %w", b, err)
					}
				}
			}
		}
	}
	return nil
}

func platformOnce(build, file, agent, known string, size int, calls bool, lasts time.Duration) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	addr := ln.Addr().String()
	ln.Close()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1.0,"memory_mb":64,"sockets":384},"known":%s,"settings":%s}`,
		addr, agent, known, platformSettings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(build)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_NAME=", "NODE_CONTROL=")
	if calls {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		control := ln.Addr().String()
		ln.Close()
		cmd.Env = append(cmd.Env, "NODE_CONTROL="+control, "TMPDIR="+filepath.Dir(file))
		over := make(chan struct{})
		defer close(over)
		go fetch(control, over)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer cmd.Process.Kill()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			nc.Close()
			break
		} else if time.Now().After(end) {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	idle := residentOf(cmd.Process.Pid)
	l, err := drive(conns, addr, asks, readRESP, 0, lasts)
	if err != nil {
		return err
	}
	busy := residentOf(cmd.Process.Pid)
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Wait()
	cpu := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	fmt.Printf("%s, figures fetched %t, values of %d bytes: %.1f MB idle, %.1f MB after %d requests (%d odd), %.1f us CPU a request, p99 %v\n", filepath.Base(filepath.Dir(build)), calls, size, idle, busy, l.done, l.odd,
		cpu.Seconds()*1e6/float64(l.done), l.quantile(.99))
	return nil
}

// fetch calls for the figures ten times a second until it is told to end.
func fetch(control string, over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if nc, err := net.Dial("tcp", control); err == nil {
			nc.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(nc, "INFO\n")
			io.Copy(io.Discard, nc)
			nc.Close()
		}
	}
}

// residentOf is a process's resident memory in MB.
func residentOf(pid int) float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for in := bufio.NewScanner(bytes.NewReader(b)); in.Scan(); {
		if v, ok := strings.CutPrefix(in.Text(), "VmRSS:"); ok {
			kb := 0.0
			fmt.Sscan(v, &kb)
			return kb / 1024
		}
	}
	return 0
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// door is one front door: a process that the deploy file's `run` starts.
type door struct {
	name    string
	listen  string
	control string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// freePort returns an address on loopback on which nothing listens.
func freePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// settings are those of a small day of cluj-main, in the form of the simulator's first message.
func settings(doors, rank int) map[string]any {
	class := func(name, effect string, aim, giveUp, window int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "stream": false, "late-worth": 0.0,
			"target-us": aim, "give-up-us": giveUp, "window-us": window, "worth": worth}
	}
	plan := func(name string, rate, burst, factor, overCost, extra, ceiling, depth, slack float64) map[string]any {
		return map[string]any{"name": name, "units-per-s": rate, "most-at-once": burst, "value-factor": factor,
			"over-cost": overCost, "extra-worth": extra, "never-over-rate": ceiling, "cap-depth": depth,
			"ceiling-slack": slack, "at-once": 0}
	}
	return map[string]any{
		"peers-total": doors, "rank": rank, "resolution-us": 4000, "discovery": "pushed", "family": "gate",
		"areas": []string{"cluj-dc1"}, "kinds": []string{"std-3c"}, "locality": 0, "layer": 0, "weights": "rough",
		"stages":    []string{"flag-api"},
		"clients":   map[string]any{"marks-retry": true},
		"load-info": map[string]any{"how": "probe", "names": []string{"latency_ms", "queue"}},
		"limits": map[string]any{"max-attempts": 5, "cancel": true, "may-probe": true, "retry-after": true,
			"max-retry-after-us": 1000000, "dial-timeout-us": 250000, "conn-idle-us": 30000000, "open-cap": 30000,
			"second-copies": false, "peers": false, "max-streams": 32, "cpu-us-per-s": 400000,
			"cpu-us-per-request": 0},
		"obligations": map[string]any{"stop-sending-within-us": 250000, "fall-multiple": 3.0, "fall-us": 3000000,
			"cold-from": 0.26, "warm-within-us": 15000000, "answer-slack-us": 16000, "ask-every-us": 10000000},
		"specifics": map[string]any{"shared-counter": true, "counter-timeout-us": 50000, "max-units": 1,
			"count-fee": 0.005, "meter-us": 2000000, "trued-up": false, "inbox-per-s": 0},
		"charges": map[string]any{"cross-zone": 0.0, "probe": 0.01, "waste": 0.05},
		"classes": []any{
			class("evaluate", "safe", 1000000, 3000000, 5000000, 1),
			class("change", "keyed", 600000, 2000000, 1200000, 5),
		},
		"tiers-of-service": []any{
			plan("starter", 2.4, 10, 1.2, 1.2, 0, 0, 0, 0),
			plan("business", 19, 39, 1.4, 0, 0.2, 35, 67, 7),
		},
	}
}

// startDoor starts a front door with a folder of its own. run is the command of the deploy file. tmp is the folder of
// $TMPDIR, which the two processes of an upgrade share.
func startDoor(d *door, run, folder, tmp, discovery, counter string, known list, doors, rank int) error {
	config := map[string]any{"name": d.name, "listen": d.listen, "control": d.control, "discovery": discovery,
		"counter": counter, "seed": fmt.Sprintf("8c1f30d27a5be96%x", rank),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings(doors, rank)}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(folder, d.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return startDoorProcess(d, run, folder, tmp, discovery)
}

// startDoorProcess starts a front door whose configuration lies in the folder.
func startDoorProcess(d *door, run, folder, tmp, discovery string) error {
	path := filepath.Join(folder, d.name+".json")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("/bin/sh", "-c", run)
	d.cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+d.name, "NODE_LISTEN="+d.listen,
		"NODE_DISCOVERY="+discovery, "NODE_CONTROL="+d.control, "TMPDIR="+tmp)
	d.cmd.Stderr, d.cmd.Stdout = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		d.cmd.Wait()
		log.Close()
		close(d.ended)
	}()
	return nil
}

// waitReady waits until the front door answers PING at its second address with YES.
func (d *door) waitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if answer, err := d.call("PING"); err == nil && strings.HasPrefix(answer, "YES") {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// call sends a line to the operators' address and returns the answer.
func (d *door) call(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", d.control, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	b := make([]byte, 64<<10)
	n := 0
	for n < len(b) {
		m, err := conn.Read(b[n:])
		n += m
		if err != nil {
			break
		}
	}
	return string(b[:n]), nil
}

// signal sends a signal to the process that `run` started: the shell has replaced itself by it.
func (d *door) signal(s syscall.Signal) { d.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (d *door) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	d.cmd.Process.Kill()
	<-d.ended
}

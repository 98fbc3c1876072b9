package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started: a temporary folder, a record and processes. It ends them all.
type rig struct {
	dir     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	out    *os.File
	procs  []*process
	broken []string
}

// newRig opens the record. Call close at the end.
func newRig(recordPath string) (*rig, error) {
	dir, err := os.MkdirTemp("", "gapgap-review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &rig{dir: dir, out: out, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}, nil
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation notes that the rule was broken.
func (r *rig) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// violations returns how often the rule was broken.
func (r *rig) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// close ends all processes and removes the folder.
func (r *rig) close() {
	for _, p := range r.procs {
		p.kill()
	}
	os.RemoveAll(r.dir)
	r.out.Close()
}

// freeAddr returns an address with a port that was free a moment ago.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// process is a gateway that was started by the deploy file's command.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *bytes.Buffer
	logMu  sync.Mutex
	ended  chan struct{}
	status string
}

// Write collects the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return p.log.Write(b)
}

func (p *process) logText() string {
	if p.log == nil {
		return ""
	}
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return p.log.String()
}

// deployCommand returns the value of a key of the deploy file.
func deployCommand(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		fail("deploy file: %v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimSuffix(v, "\"")
		}
	}
	fail("deploy file: no %s", key)
	return ""
}

// startGateway starts the deploy file's run with a configuration. tmp is the process's TMPDIR.
func (r *rig) startGateway(name, configPath, tmp string, env ...string) *process {
	cmd := exec.Command("/bin/sh", "-c", deployCommand("run"))
	p := &process{name: name, cmd: cmd, log: &bytes.Buffer{}, ended: make(chan struct{})}
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "NODE_CONFIG=" + configPath, "TMPDIR=" + tmp}, env...)
	cmd.Stdout, cmd.Stderr = p, p
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	r.procs = append(r.procs, p)
	r.note("%s started, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.status = fmt.Sprint(err)
		r.note("%s ended: %v", name, err)
		close(p.ended)
	}()
	return p
}

func (p *process) signal(r *rig, s syscall.Signal) {
	r.note("%s gets %v", p.name, s)
	_ = syscall.Kill(p.cmd.Process.Pid, s)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if !p.hasEnded() {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.ended
	}
}

// object is a JSON object.
type object = map[string]any

// class is a class of the settings, with all keys that WIRE-gapgap.md names.
func class(name, effect string, deadlineMS, windowMS int) object {
	return object{"name": name, "effect": effect, "group": "all", "window-us": windowMS * 1000, "worth": 1.0,
		"late-worth": 0.5, "target-us": deadlineMS * 1000 / 2, "give-up-us": deadlineMS * 1000, "stream": false}
}

// plan is a plan without quota or ceiling.
func plan(name string) object {
	return object{"name": name, "value-factor": 1.0, "units-per-s": 0.0, "most-at-once": 0.0, "at-once": 0,
		"extra-worth": 0.0, "over-cost": 0.0, "never-over-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0}
}

// settings are those of a small deployment, with the figures of cluj-main where it has any.
func settings(gateways int, classes, plans []object) object {
	return object{
		"peers-total": gateways, "rank": 0, "resolution-us": 4000, "discovery": "pushed",
		"areas": []string{"cluj-dc1"}, "kinds": []string{"std-3c"}, "locality": 0, "weights": "rough",
		"limits": object{"max-attempts": 5, "cancel": true, "may-probe": true, "retry-after": true,
			"max-retry-after-us": 1000000, "dial-timeout-us": 250000, "conn-idle-us": 30000000, "open-cap": 30000,
			"second-copies": false, "max-streams": 32, "peers": false},
		"obligations": object{"answer-slack-us": 16000, "ask-every-us": 10000000, "stop-sending-within-us": 250000,
			"fall-multiple": 3.0, "fall-us": 3000000, "cold-from": 0.26, "warm-within-us": 15000000},
		"specifics": object{"shared-counter": false, "counter-timeout-us": 50000, "max-units": 1,
			"meter-us": 2000000, "trued-up": false, "count-fee": 0.005, "inbox-per-s": 0.0},
		"load-info": object{"how": "probe", "names": []string{"latency_ms", "queue"}},
		"classes":   classes, "tiers-of-service": plans,
	}
}

// config is the file that DEPLOY-gapgap.md describes.
func config(listen, control, discovery, counter string, known object, set object) object {
	c := object{"name": "n1", "listen": listen, "discovery": discovery, "counter": counter,
		"seed": "8c1f30d27a5be964", "limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		"known": known, "settings": set}
	if control != "" {
		c["control"] = control
	}
	return c
}

// writeConfig writes a configuration file and replaces one that is there as a whole.
func (r *rig) writeConfig(name string, c object) string {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		fail("configuration: %v", err)
	}
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		fail("configuration: %v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		fail("configuration: %v", err)
	}
	return path
}

// tmp makes an empty folder for a process.
func (r *rig) tmp(name string) string {
	path := filepath.Join(r.dir, name)
	if err := os.MkdirAll(path, 0o755); err != nil {
		fail("folder: %v", err)
	}
	return path
}

// waitReady waits until a gateway answers PING with +PONG.
func (r *rig) waitReady(addr string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dial(addr)
		if err != nil {
			continue
		}
		c.write(command("PING"))
		line, err := c.readAnswer(time.Second)
		c.close()
		if err == nil && line.kind == '+' {
			r.note("the gateway at %s is ready", addr)
			return
		}
	}
	fail("the gateway at %s does not become ready", addr)
}

// operate makes one operator's call and returns the answer.
func operate(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection: " + err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	var b [4096]byte
	n, err := conn.Read(b[:])
	if err != nil {
		return "no answer: " + err.Error()
	}
	return strings.TrimSpace(string(b[:n]))
}

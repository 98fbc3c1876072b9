package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["hosted-reload-long"] = hostedReloadLong }

const hostedFile = `[node]
name = "n1"
discovery = "%s"
memory_mb = 64
sockets = 384
doors = 1
rank = 0

[limits]
retry_after = "1s"

[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "1s"
give_up = "3s"
%s
[[plan]]
name = "starter"

[[listener]]
name = "resp2"
protocol = "resp2"
address = "%s"
`

const hostedClass = `
[[class]]
name = "change"
effect = "keyed"
window = "1.2s"
worth = 5.0
aim = "600ms"
give_up = "2s"
`

// startHosted starts the hosted service with a file.
func (r *rig) startHosted(name, path string) *process {
	cmd := exec.Command("bin/gapgapd", "run", path)
	p := &process{name: name, cmd: cmd, log: &bytes.Buffer{}, ended: make(chan struct{})}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.tmp("t1")}
	cmd.Stdout, cmd.Stderr = p, p
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	r.procs = append(r.procs, p)
	r.note("%s started, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.note("%s ended: %v", name, err)
		close(p.ended)
	}()
	return p
}

// hostedReloadLong: the file of the hosted service gets one more class while a long value is being passed on.
func hostedReloadLong(r *rig) {
	const (
		size   = 2 << 20
		pieces = 60
		every  = 100 * time.Millisecond
	)
	full := strings.Repeat("v", size)
	b := startBackend("s-00000001", func(_ *backend, c *backendConn, words []string) {
		r.note("the backend has request %s", words[2])
		out := value("value of " + words[2])
		if strings.HasPrefix(words[2], "10") {
			out = value(full)
		}
		n := 1
		if len(out) > 64<<10 {
			n = pieces
		}
		for i := range n {
			if err := c.send(out[i*len(out)/n : (i+1)*len(out)/n]); err != nil {
				r.note("the backend could not go on after %d of %d bytes: %v", i*len(out)/n, len(out), err)
				return
			}
			if n > 1 {
				time.Sleep(every)
			}
		}
		r.note("the backend has sent the whole answer to %s", words[2])
	})
	disco := startAgent(b.entry("SERVING"))
	listen := freeAddr()
	path := filepath.Join(r.dir, "gapgapd.toml")
	write := func(more string) {
		if err := os.WriteFile(path+".new", fmt.Appendf(nil, hostedFile, disco.addr, more, listen), 0o644); err != nil {
			fail("%v", err)
		}
		os.Rename(path+".new", path)
	}
	write("")
	g := r.startHosted("gapgapd", path)
	r.waitReady(listen, 10*time.Second)
	time.Sleep(1200 * time.Millisecond) // SIGHUP never comes in the first second
	c, err := dial(listen)
	if err != nil {
		fail("%v", err)
	}
	defer c.close()
	l := list("evaluate", "starter", 3*time.Second, "spread=1", "first=0")
	c.write(command("Q.ASK", "00000000b4d65521", "1000000000000001", l))
	if _, err := c.in.Peek(1000); err != nil {
		fail("no value begins: %v", err)
	}
	r.note("the client has the first bytes of its value")
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		write(hostedClass)
		g.signal(r, syscall.SIGHUP)
	}
	a, err := c.readAnswer(15 * time.Second)
	switch {
	case err != nil:
		r.note("the client's value: %v", err)
		r.violation("the value did not become whole: %v", err)
	case a.served() && a.text == full:
		r.note("the client has its whole value")
	default:
		r.violation("the client got %c and %d bytes", a.kind, len(a.text))
	}
}

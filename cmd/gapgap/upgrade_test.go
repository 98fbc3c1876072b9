package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
	"gapgap/internal/fake/program"
	"gapgap/internal/handover"
)

// binary builds the real program once and returns its path.
var binary, removeBinary = program.Built("gapgap")

func TestMain(m *testing.M) {
	code := m.Run()
	removeBinary()
	os.Exit(code)
}

const (
	ceilingRate  = 200.0
	ceilingDepth = 100.0
)

// node is the machine of one gateway, on which processes of the real program start and end.
type node struct {
	t       *testing.T
	dir     string
	file    string
	listen  string
	servers []*flagserver.Server
	agent   *catalog.Agent
	env     []string
}

// process is one process of a node.
type process struct {
	n       *node
	cmd     *exec.Cmd
	control string
	log     *lockedLog
	ended   chan error
}

type lockedLog struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newNode(t *testing.T, backends int, cfg flagserver.Config) *node {
	t.Helper()
	n := &node{t: t, dir: t.TempDir(), listen: peer.FreeAddr(t)}
	var list []catalog.Endpoint
	for i := range backends {
		s, err := flagserver.Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		n.servers = append(n.servers, s)
		list = append(list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	agent, err := catalog.Start(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	n.agent = agent
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "window-us": 12000000, "worth": 1.0,
			"target-us": 3000000, "give-up-us": 3000000}
	}
	text, _ := json.Marshal(map[string]any{"name": "n1", "listen": n.listen, "discovery": agent.Addr(), "seed": "1",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		"settings": map[string]any{"peers-total": 1, "resolution-us": 4000,
			"areas": []string{"dc1"}, "kinds": []string{"std"},
			"limits": map[string]any{"max-attempts": 3, "cancel": true, "may-probe": true, "retry-after": true,
				"max-retry-after-us": 1000000, "dial-timeout-us": 1000000, "conn-idle-us": 30000000},
			"obligations": map[string]any{"stop-sending-within-us": 250000, "fall-multiple": 3.0, "fall-us": 3000000,
				"cold-from": 0.26, "warm-within-us": 15000000},
			"specifics": map[string]any{"max-units": 1},
			"classes":   []any{class("evaluate", "safe"), class("change", "keyed")},
			"tiers-of-service": []any{map[string]any{"name": "open", "value-factor": 1.0},
				map[string]any{"name": "capped", "value-factor": 1.0, "never-over-rate": ceilingRate,
					"cap-depth": ceilingDepth}}}})
	n.file = filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(n.file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return n
}

// start starts another process.
func (n *node) start() *process {
	n.t.Helper()
	bin, err := binary()
	if err != nil {
		n.t.Fatal(err)
	}
	p := &process{n: n, control: peer.FreeAddr(n.t), log: &lockedLog{}, ended: make(chan error, 1),
		cmd: exec.Command(bin)}
	p.cmd.Env = append([]string{"NODE_CONFIG=" + n.file, "NODE_CONTROL=" + p.control, "TMPDIR=" + n.dir,
		"PATH=" + os.Getenv("PATH")}, n.env...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	n.t.Cleanup(func() {
		p.cmd.Process.Kill()
		if n.t.Failed() {
			n.t.Logf("process %d:\n%s", p.cmd.Process.Pid, p.log)
		}
	})
	return p
}

// call sends an operator's command and returns the answer. An error means that the process does not answer.
func (p *process) call(line string) (string, error) {
	nc, err := net.Dial("tcp", p.control)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(peer.Patient))
	io.WriteString(nc, line+"\n")
	b, err := io.ReadAll(nc)
	return string(b), err
}

// waitReady waits until the process answers PING with YES.
func (p *process) waitReady() {
	p.n.t.Helper()
	for limit := time.Now().Add(peer.Patient); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if got, err := p.call("PING"); err == nil && got == "YES\n" {
			return
		}
		select {
		case err := <-p.ended:
			p.n.t.Fatalf("the process has ended: %v\n%s", err, p.log)
		default:
		}
	}
	p.n.t.Fatalf("the process is not ready\n%s", p.log)
}

// stop sends SIGTERM and waits until the process has ended without an error.
func (p *process) stop() {
	p.n.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			p.n.t.Errorf("the process ended with %v", err)
		}
	case <-time.After(peer.Patient):
		p.n.t.Error("the process does not end")
	}
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// waitLog waits for a line of the process's log.
func (p *process) waitLog(want string) {
	p.n.t.Helper()
	for limit := time.Now().Add(peer.Patient); !strings.Contains(p.log.String(),
		want); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			p.n.t.Fatalf("no %q in\n%s", want, p.log)
		}
	}
}

// client is one connection of a client.
type client struct {
	nc net.Conn
	in *bufio.Reader
}

// dial connects a client. Its connection stays open until the caller closes it or the test ends: without the reference
// of the clean-up function, the garbage collector would close one that the test has no further use for.
func (n *node) dial() (*client, error) {
	nc, err := net.Dial("tcp", n.listen)
	if err != nil {
		return nil, err
	}
	n.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(time.Minute))
	return &client{nc, bufio.NewReader(nc)}, nil
}

// ask sends a request and returns the first line of its answer.
func (c *client) ask(args ...string) (string, error) {
	if _, err := io.WriteString(c.nc, peer.Command(args...)); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line[0] != '$' {
		return line, nil
	}
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil {
		_, err = c.in.Discard(size + 2)
	}
	return line, err
}

// load is a number of clients that send requests without a pause, each on its own connection.
type load struct {
	n      *node
	stop   chan struct{}
	wg     sync.WaitGroup
	id     atomic.Int64
	mu     sync.Mutex
	served map[string]bool // by request id
	capped int             // of the served, under the ceiling
	busy   int
	failed []string
}

func (n *node) load(clients int) *load {
	l := &load{n: n, stop: make(chan struct{}), served: map[string]bool{}}
	for i := range clients {
		l.wg.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) run(i int) {
	c, err := l.n.dial()
	if err != nil {
		l.fail("dial", err)
		return
	}
	defer func() { c.nc.Close() }()
	customer := fmt.Sprintf("%016x", i)
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		id := fmt.Sprint(l.id.Add(1))
		name, list, body := "Q.ASK", "c=evaluate,t=open,d=3000,units=1,spread=1,first=0", []string(nil)
		capped := i%4 == 0
		switch {
		case capped:
			customer, list = "00000000000000ff", "c=evaluate,t=capped,d=3000,units=1,spread=1,first=0"
		case i%4 == 1:
			name, list, body = "Q.DO", "c=change,t=open,d=3000,k="+id+",units=1,spread=1,first=0", []string{"body"}
		}
		line, err := c.ask(append([]string{name, customer, id, list}, body...)...)
		l.mu.Lock()
		switch {
		case err != nil:
			l.failed = append(l.failed, fmt.Sprintf("client %d, request %s: %v", i, id, err))
		case line[0] == '$':
			l.served[id] = true
			if capped {
				l.capped++
			}
		case strings.HasPrefix(line, "-BUSY"):
			l.busy++
		default:
			l.failed = append(l.failed, fmt.Sprintf("client %d, request %s: %q", i, id, line))
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
		if line[0] != '$' {
			time.Sleep(5 * time.Millisecond)
		}
		if n%50 == 49 { // also open new connections
			c.nc.Close()
			if c, err = l.n.dial(); err != nil {
				l.fail("dial", err)
				return
			}
		}
	}
}

func (l *load) fail(what string, err error) {
	l.mu.Lock()
	l.failed = append(l.failed, fmt.Sprintf("%s: %v", what, err))
	l.mu.Unlock()
}

// waitServed waits until n more requests are served.
func (l *load) waitServed(n int) {
	l.n.t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.served)
	}
	for from, limit := count(), time.Now().Add(peer.Patient); count() < from+n; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			l.n.t.Fatalf("%d served, %d wanted; failed: %q", count()-from, n, l.failed)
		}
	}
}

func (l *load) stopAndCheck() {
	close(l.stop)
	l.wg.Wait()
	for _, f := range l.failed {
		l.n.t.Error(f)
	}
}

// TestUpgradesUnderLoad verifies twenty upgrades under load: every request gets exactly one answer, on the connection
// on which it was sent, no keyed request takes effect twice, the ceiling holds for both processes together, and an
// administrative ejection holds in all processes.
func TestUpgradesUnderLoad(t *testing.T) {
	n := newNode(t, 3, flagserver.Config{Delay: 15 * time.Millisecond, Keep: true})
	began := time.Now()
	p := n.start()
	p.waitReady()
	l := n.load(16)
	l.waitServed(100)
	var ejected, restored time.Time
	for i := range 20 {
		if i == 4 {
			if got, err := p.call("DETACH s-1"); got != "YES\n" {
				t.Fatalf("%q, %v", got, err)
			}
			ejected = time.Now()
		}
		next := n.start()
		next.waitReady()
		if i == 12 {
			restored = time.Now()
			if got, err := next.call("ATTACH s-1"); got != "YES\n" {
				t.Fatalf("%q, %v", got, err)
			}
		}
		p.stop()
		p = next
		l.waitServed(40)
	}
	l.stopAndCheck()
	took := time.Since(began).Seconds()
	if most := ceilingDepth + ceilingRate*(took+0.2); float64(l.capped) > most {
		t.Errorf("%d served under a ceiling that permits %.0f in %.1f s", l.capped, most, took)
	}
	if l.capped < 100 {
		t.Errorf("%d served under the ceiling: too few to test it", l.capped)
	}
	times := map[string]int{}
	for i, s := range n.servers {
		for _, c := range s.Sent() {
			times[c.ID]++
			if c.Name == "Q.DO" && times[c.ID] > 1 {
				t.Errorf("request %s took effect %d times", c.ID, times[c.ID])
			}
			if i == 1 && c.At.After(ejected) && c.At.Before(restored) {
				t.Errorf("%s went to the ejected backend %v after the answer to DETACH", c.ID, c.At.Sub(ejected))
			}
		}
	}
	for id := range l.served {
		if times[id] == 0 {
			t.Errorf("request %s was served, but no backend has received it", id)
		}
	}
	usedAgain := slices.ContainsFunc(n.servers[1].Sent(), func(s flagserver.Sent) bool { return s.At.After(restored) })
	if !usedAgain {
		t.Error("the restored backend is not used")
	}
	t.Logf("%d served, %d rejected in %.1f s", len(l.served), l.busy, took)
}

// TestConnectionsGoOn verifies that three kinds of connections survive an upgrade: an idle one, one with half of its
// next request received, and one with a request in flight.
func TestConnectionsGoOn(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	p := n.start()
	p.waitReady()
	dial := func() *peer.Peer { return peer.Dial(t, n.listen) }
	list := "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"
	idle, half, open := dial(), dial(), dial()
	for _, c := range []*peer.Peer{idle, half, open} {
		c.Command("Q.ASK", peer.Customer, "0"+fmt.Sprintf("%p", c), list)
		c.WantsPrefix("Q.ASK")
	}
	command := peer.Command("Q.ASK", peer.Customer, "half", list)
	half.Write(command[:30])
	n.servers[0].Set(flagserver.Config{Delay: 300 * time.Millisecond})
	open.Command("Q.ASK", peer.Customer, "open", list)
	next := n.start()
	next.waitReady()
	n.servers[0].Set(flagserver.Config{})
	idle.Command("Q.ASK", peer.Customer, "idle", list)
	idle.Wants("Q.ASK idle")
	half.Write(command[30:])
	half.Wants("Q.ASK half")
	open.Wants("Q.ASK open")
	p.stop()
	for _, c := range []*peer.Peer{idle, half, open} {
		c.Command("PING")
		c.Wants("+PONG")
	}
}

// nextConnection returns the next connection that the old process hands over. It waits for at most Patient.
func nextConnection(taken *handover.Taken) (nc net.Conn, unread []byte, err error) {
	timer := time.AfterFunc(peer.Patient, func() { taken.Link.Close() })
	defer timer.Stop()
	return taken.Link.Next()
}

// TestNewProcessFails verifies that a new process that fails at any step leaves the old one serving, which keeps the
// connections that it has not handed over.
func TestNewProcessFails(t *testing.T) {
	n := newNode(t, 2, flagserver.Config{Delay: 2 * time.Millisecond})
	p := n.start()
	p.waitReady()
	l := n.load(4)
	l.waitServed(20)
	for range 3 { // the new process ends before it has confirmed
		taken, err := handover.Take(n.dir)
		if err != nil {
			t.Fatal(err)
		}
		taken.Listener.Close()
		taken.Link.Close()
		l.waitServed(20)
	}
	p.waitLog("an upgrade has not come about")
	l.stopAndCheck()

	idle, err := n.dial()
	if err != nil {
		t.Fatal(err)
	}
	idle.ask("PING")
	// The new process ends after it has confirmed, and with it the connection that it was handed.
	taken, err := handover.Take(n.dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := taken.Link.Confirm(); err != nil {
		t.Fatal(err)
	}
	nc, _, err := nextConnection(taken)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	taken.Listener.Close()
	taken.Link.Close()
	p.waitLog("the other process has ended")
	l = n.load(4)
	l.waitServed(40)
	l.stopAndCheck()

	next := n.start() // a real process, killed as soon as it is ready
	next.waitReady()
	next.kill()
	for limit := time.Now().Add(peer.Patient); strings.Count(p.log.String(),
		"the other process has ended") < 2; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the old process does not resume serving")
		}
	}
	l = n.load(4)
	l.waitServed(40)
	l.stopAndCheck()
	last := n.start()
	last.waitReady()
	p.stop()
	l = n.load(4)
	l.waitServed(40)
	l.stopAndCheck()
}

// TestOldProcessKilled verifies that the new process serves if the old one is killed during the upgrade, and that the
// next upgrade works.
func TestOldProcessKilled(t *testing.T) {
	n := newNode(t, 2, flagserver.Config{Delay: 2 * time.Millisecond})
	p := n.start()
	p.waitReady()
	next := n.start()
	next.waitReady()
	p.kill()
	l := n.load(4)
	l.waitServed(40)
	third := n.start() // the next upgrade follows shortly
	third.waitReady()
	next.stop()
	l.waitServed(40)
	l.stopAndCheck()
}

// TestNoHandover verifies that an old process that hangs, or refuses since it is of another version, does not keep the
// new one from serving: it starts as after a restart.
func TestNoHandover(t *testing.T) {
	for name, answer := range map[string]string{"hangs": "", "refuses for good": "R" + "no"} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, 1, flagserver.Config{})
			upgrades, err := handover.Listen(n.dir)
			if err != nil {
				t.Fatal(err)
			}
			defer upgrades.Close()
			go func() {
				for {
					c, err := upgrades.AcceptUnix()
					if err != nil {
						return
					}
					if answer != "" {
						c.Write([]byte(answer))
					}
				}
			}()
			p := n.start()
			p.waitReady()
			p.waitLog("nothing is taken over")
			l := n.load(2)
			l.waitServed(10)
			l.stopAndCheck()
		})
	}
	// Without the upgrade socket both processes serve, and connections that wait as one ends are answered.
	t.Run("two listen", func(t *testing.T) {
		n := newNode(t, 1, flagserver.Config{})
		p := n.start()
		p.waitReady()
		if err := os.Remove(filepath.Join(n.dir, "gapgap-upgrade.sock")); err != nil {
			t.Fatal(err)
		}
		next := n.start()
		next.waitReady()
		for range 40 {
			c, err := n.dial()
			if err != nil {
				t.Fatal(err)
			}
			if got, err := c.ask("PING"); got != "+PONG\r\n" {
				t.Fatalf("%q, %v", got, err)
			}
			c.nc.Close()
		}
		p.stop()
		c, err := n.dial()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := c.ask("PING"); got != "+PONG\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
	})
}

// TestReloadDuringUpgrade verifies that SIGHUP during an upgrade makes both processes apply the new settings.
func TestReloadDuringUpgrade(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	p := n.start()
	p.waitReady()
	next := n.start()
	next.waitReady()
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `"name":"evaluate"`, `"name":"weigh"`, 1)
	if err := os.WriteFile(n.file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, q := range []*process{p, next} {
		q.cmd.Process.Signal(syscall.SIGHUP)
		for limit := time.Now().Add(peer.Patient); ; time.Sleep(2 * time.Millisecond) {
			if got, _ := q.call("INFO"); strings.Contains(got, "svc.cfg_accepted=1\n") {
				break
			}
			if time.Now().After(limit) {
				t.Fatal("the file is not applied")
			}
		}
	}
	p.stop()
	c, err := n.dial()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := c.ask("Q.ASK", peer.Customer, "1",
		"c=weigh,t=open,d=3000,units=1,spread=1,first=0"); err != nil || got[0] != '$' {
		t.Errorf("%q, %v", got, err)
	}
}

// residentMB returns the resident memory of a process and its peak.
func (p *process) residentMB() (now, most int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.n.t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) == 3 && (f[0] == "VmRSS:" || f[0] == "VmHWM:") {
			kb, _ := strconv.Atoi(f[1])
			if f[0] == "VmRSS:" {
				now = kb >> 10
			} else {
				most = kb >> 10
			}
		}
	}
	return now, most
}

// TestManyLongValuesAtOnce verifies that sixty values of 4 MiB at once, which no client reads to the end yet, stay
// within the gateway's memory limit, although they are four times as large, and that a value that is half read
// continues across an upgrade.
func TestManyLongValuesAtOnce(t *testing.T) {
	const size, clients = 4 << 20, 60
	n := newNode(t, 2, flagserver.Config{Value: strings.Repeat("v", size)})
	p := n.start()
	p.waitReady()
	all := make([]*client, clients)
	var wg sync.WaitGroup
	for i := range all {
		c, err := n.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.nc.Close()
		c.nc.(*net.TCPConn).SetReadBuffer(64 << 10)
		all[i] = c
		io.WriteString(c.nc, peer.Command("Q.ASK", peer.Customer, fmt.Sprint(i),
			"c=evaluate,t=open,d=3000,units=1,spread=1,first=0"))
	}
	var begun []*client // clients that were not rejected, which have a value to read
	for _, c := range all {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == fmt.Sprintf("$%d\r\n", size) {
			begun = append(begun, c)
		} else if !strings.HasPrefix(line, "-BUSY") {
			t.Errorf("%q", line)
		}
	}
	if _, most := p.residentMB(); most > 48 || len(begun) < clients/2 {
		t.Errorf("%d MB for %d of %d values of 4 MiB", most, len(begun), clients)
	}
	next := n.start()
	next.waitReady()
	p.cmd.Process.Signal(syscall.SIGTERM)
	for _, c := range begun {
		wg.Go(func() {
			if n, err := io.CopyN(io.Discard, c.in, size+2); err != nil {
				t.Errorf("a value ends after %d of %d bytes: %v", n, size, err)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(peer.Patient):
		t.Error("the old process does not end")
	}
	usable := 0
	for _, c := range all { // each connection is still usable, with the new process
		c.nc.SetDeadline(time.Now().Add(peer.Patient))
		if got, err := c.ask("PING"); err == nil && got == "+PONG\r\n" {
			usable++
		}
	}
	if usable != clients {
		t.Errorf("%d of %d connections are usable after the upgrade", usable, clients)
	}
}

// TestNothingOfThisWithoutControl verifies that without an admin address there is no upgrade: the process has one
// listener, whose port it does not share, and it creates no file.
func TestNothingOfThisWithoutControl(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	bin, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	run := func() (*exec.Cmd, *lockedLog) {
		log := &lockedLog{}
		cmd := exec.Command(bin)
		cmd.Env, cmd.Stderr = []string{"NODE_CONFIG=" + n.file, "TMPDIR=" + n.dir}, log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		return cmd, log
	}
	first, _ := run()
	for limit := time.Now().Add(peer.Patient); ; time.Sleep(2 * time.Millisecond) {
		if c, err := n.dial(); err == nil {
			if got, err := c.ask("PING"); err == nil && got == "+PONG\r\n" {
				break
			}
		}
		if time.Now().After(limit) {
			t.Fatal("the process does not serve")
		}
	}
	files, err := os.ReadDir(n.dir)
	if err != nil || len(files) != 1 {
		t.Errorf("files beside the configuration: %v, %v", files, err)
	}
	second, log := run()
	if err := second.Wait(); err == nil || !strings.Contains(log.String(), "address already in use") {
		t.Errorf("a second process: %v, %s", err, log)
	}
	first.Process.Signal(syscall.SIGTERM)
	if err := first.Wait(); err != nil {
		t.Error(err)
	}
}

// TestNoDirectory verifies that the gateway serves, takes operators' commands and can be replaced even if it can create
// neither files nor a Unix socket.
func TestNoDirectory(t *testing.T) {
	n := newNode(t, 2, flagserver.Config{})
	n.env = []string{"TMPDIR=" + filepath.Join(n.dir, "nowhere")}
	p := n.start()
	p.waitReady()
	for _, call := range []string{"DETACH s-0", "ATTACH s-0"} {
		if got, err := p.call(call); got != "YES\n" {
			t.Errorf("%s: %q, %v", call, got, err)
		}
	}
	next := n.start()
	next.waitReady()
	p.stop()
	l := n.load(2)
	l.waitServed(20)
	l.stopAndCheck()
}

// TestSeveralSignals verifies that after many signals at once the last content of the file is in force, however often
// the file was read.
func TestSeveralSignals(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	p := n.start()
	p.waitReady()
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		body := strings.Replace(string(text), `"name":"evaluate"`, fmt.Sprintf(`"name":"evaluate%d"`, i), 1)
		if i%3 == 1 {
			body = body[:len(body)/2]
		}
		if err := os.WriteFile(n.file+".new", []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(n.file+".new", n.file); err != nil {
			t.Fatal(err)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	list := "c=evaluate29,t=open,d=3000,units=1,spread=1,first=0"
	for limit := time.Now().Add(peer.Patient); ; time.Sleep(2 * time.Millisecond) {
		c, err := n.dial()
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.ask("Q.ASK", peer.Customer, "1", list)
		c.nc.Close()
		if err == nil && got[0] == '$' {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// TestDeployExample verifies that the example configuration is valid.
func TestDeployExample(t *testing.T) {
	t.Setenv("NODE_CONFIG", "../../deploy/gapgap.json")
	for _, name := range []string{"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONTROL"} {
		t.Setenv(name, "")
	}
	c, err := readConfig()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.CheckReload(c); err != nil {
		t.Error(err)
	}
	if c.Control == "" {
		t.Error("no admin address")
	}
}

// startHandover starts a process with a client and takes its state and listener from it. The process then waits for the
// confirmation.
func startHandover(t *testing.T) (*node, *process, *client, *handover.Taken) {
	t.Helper()
	n := newNode(t, 1, flagserver.Config{})
	p := n.start()
	p.waitReady()
	kept, err := n.dial()
	if err != nil {
		t.Fatal(err)
	}
	kept.ask("PING")
	taken, err := handover.Take(n.dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		taken.Link.Close()
		taken.Listener.Close()
	})
	return n, p, kept, taken
}

// TestNewProcessHangs verifies that a new process that hangs after its first message delays the old one for a bounded
// time only: connections that arrive meanwhile are served after that time, and open ones are served throughout.
func TestNewProcessHangs(t *testing.T) {
	n, p, kept, _ := startHandover(t) // which is not confirmed
	list := "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"
	if got, err := kept.ask("Q.ASK", peer.Customer, "kept", list); err != nil || got[0] != '$' {
		t.Errorf("on the open connection: %q, %v", got, err)
	}
	c, err := n.dial()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := c.ask("Q.ASK", peer.Customer, "new", list); err != nil || got[0] != '$' {
		t.Errorf("on the new connection: %q, %v", got, err)
	}
	p.waitLog("an upgrade has not come about")
}

// TestEndedAmidAHandover verifies a SIGTERM that reaches the old process after it has handed over its state and
// before the new one has confirmed. No connection is closed or reset, whether the new process then confirms or dies.
func TestEndedAmidAHandover(t *testing.T) {
	list := "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"
	for name, confirmed := range map[string]bool{"the new one serves": true, "the new one dies": false} {
		t.Run(name, func(t *testing.T) {
			n, p, kept, taken := startHandover(t)
			queued, err := n.dial() // in the listener's queue
			if err != nil {
				t.Fatal(err)
			}
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.waitLog("msg=ending")
			if got, err := kept.ask("Q.ASK", peer.Customer, "kept", list); err != nil || got[0] != '$' {
				t.Errorf("on the open connection: %q, %v", got, err)
			}
			if !confirmed {
				taken.Link.Close()
				if got, err := queued.ask("Q.ASK", peer.Customer, "waits", list); err != nil || got[0] != '$' {
					t.Errorf("on the new connection: %q, %v", got, err)
				}
				p.stop()
				return
			}
			if err := taken.Link.Confirm(); err != nil {
				t.Fatal(err)
			}
			nc, unread, err := nextConnection(taken)
			if err != nil || len(unread) > 0 {
				t.Fatalf("no connection is handed over: %q, %v", unread, err)
			}
			io.WriteString(nc, "+from the new one\r\n")
			nc.Close()
			if line, err := kept.in.ReadString('\n'); line != "+from the new one\r\n" {
				t.Errorf("%q, %v", line, err)
			}
			if err := <-p.ended; err != nil {
				t.Error(err)
			}
			if nc, err = taken.Listener.Accept(); err != nil ||
				nc.RemoteAddr().String() != queued.nc.LocalAddr().String() {
				t.Errorf("the queued connection was not handed over with the listener: %v", err)
			}
		})
	}
}

// TestKilledAtAnyMoment verifies that if either process of an upgrade is killed at an arbitrary moment, the other one
// serves and the next upgrade works.
func TestKilledAtAnyMoment(t *testing.T) {
	n := newNode(t, 2, flagserver.Config{Delay: time.Millisecond})
	p := n.start()
	p.waitReady()
	for i := range 12 {
		next := n.start()
		if i%2 == 0 { // kill the new process before, while or after it takes over
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			next.kill()
		} else { // kill the old process
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			p.kill()
			next.waitReady()
			p = next
		}
		deadline := time.Now().Add(peer.Patient)
		for served := 0; served < 5; {
			c, err := n.dial()
			if err == nil {
				got, e := c.ask("Q.ASK", peer.Customer, fmt.Sprint(i, "-", served),
					"c=evaluate,t=open,d=3000,units=1,spread=1,first=0")
				c.nc.Close()
				if e == nil && got[0] == '$' {
					served++
				}
			}
			if time.Now().After(deadline) {
				t.Fatalf("round %d: no process serves; %v", i, err)
			}
		}
	}
	last := n.start()
	last.waitReady()
	p.stop()
	l := n.load(4)
	l.waitServed(40)
	l.stopAndCheck()
}

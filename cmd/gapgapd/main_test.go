package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/cli"
	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
	"gapgap/internal/fake/program"
	"gapgap/internal/fake/quota"
)

// binary returns the path of the gapgapd binary, which is built once.
var binary, removeBinary = program.Built("gapgapd")

func TestMain(m *testing.M) {
	code := m.Run()
	removeBinary()
	removeRecordingBinary()
	os.Exit(code)
}

// process is a running gapgapd with its configuration file and the fakes that it uses.
type process struct {
	t           *testing.T
	file        string
	cmd         *exec.Cmd
	httpAddress string
	respAddress string
	ended       chan error
	server      *flagserver.Server
	counter     *quota.Counter
	agent       *catalog.Agent
	mu          sync.Mutex
	log         strings.Builder
}

const configFormat = `
[node]
discovery = %q
counter = %q
[limits]
retry_after = "5s"
counter_timeout = "2s"
[[class]]
name = "evaluate"
effect = "safe"
worth = 1.0
aim = "2s"
give_up = "3s"
[[plan]]
name = "open"
[[plan]]
name = "starter"
rate = 0.01
burst = 4.0
over_cost = 1.0
[[listener]]
name = "resp"
protocol = "resp2"
address = %q
[[listener]]
name = "http"
protocol = "authz"
address = %q
trusted = ["127.0.0.1"]
[[listener.check]]
path = "/check"
dialect = "traefik"
repeat = "request-id"
default_class = "evaluate"
within = "3s"
[[account]]
name = "free"
customer = "0000000000000001"
plan = "open"
keys = ["%x"]
[[account]]
name = "small"
customer = "0000000000000002"
plan = "starter"
keys = ["%x"]
`

func startProcess(t *testing.T) *process {
	t.Helper()
	p := &process{t: t, file: filepath.Join(t.TempDir(), "gapgapd.toml")}
	var err error
	if p.server, err = flagserver.Start(flagserver.Config{Keep: true}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.server.Close)
	if p.counter, err = quota.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.counter.Close)
	if p.agent, err = catalog.Start(catalog.Serving("s-0", p.server.Addr())); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.agent.Close)
	p.write("")
	p.start()
	return p
}

// write writes the configuration file, followed by more.
func (p *process) write(more string) {
	p.t.Helper()
	addr := func(s string) string {
		if s == "" {
			return "127.0.0.1:0"
		}
		return s
	}
	s := fmt.Sprintf(configFormat, p.agent.Addr(), p.counter.Addr(), addr(p.respAddress), addr(p.httpAddress), sha256.Sum256([]byte("key-free")), sha256.Sum256([]byte("key-small")))
	if err := os.WriteFile(p.file, []byte(s+more), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

var servingLine = regexp.MustCompile(`msg=serving .*listener=(\w+) address=(\S+)`)

// start starts the program and waits until a check is allowed.
func (p *process) start() {
	p.t.Helper()
	b, err := binary()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(b, "run", p.file)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, ended, up := p.cmd, make(chan error, 1), make(chan struct{})
	p.ended = ended
	p.t.Cleanup(func() { cmd.Process.Kill() })
	go func() {
		n := 0
		for in := bufio.NewScanner(out); in.Scan(); {
			p.mu.Lock()
			p.log.WriteString(in.Text() + "\n")
			p.mu.Unlock()
			if m := servingLine.FindStringSubmatch(in.Text()); m != nil {
				if m[1] == "resp" {
					p.respAddress = m[2]
				} else {
					p.httpAddress = m[2]
				}
				if n++; n == 2 {
					close(up)
				}
			}
		}
		ended <- cmd.Wait()
	}()
	select {
	case <-up:
	case err := <-ended:
		p.t.Fatalf("the process exited: %v\n%s", err, p.logText())
	case <-time.After(peer.Patient):
		p.t.Fatal("the listeners did not start")
	}
	for end := time.Now().Add(peer.Patient); ; time.Sleep(time.Millisecond) {
		if code, _, err := check(http.DefaultClient, p.httpAddress, "free", ""); err == nil && code == 200 {
			return
		} else if time.Now().After(end) {
			p.t.Fatalf("the process did not become ready: %d %v", code, err)
		}
	}
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// check sends one authorization check for an account and returns the status and the header of the response.
func check(c *http.Client, addr, account, id string) (int, http.Header, error) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/check", nil)
	req.Header = http.Header{"X-Forwarded-Method": {"GET"}, "X-Forwarded-Uri": {"/"}, "X-Forwarded-Host": {"x"},
		"Authorization": {"Bearer key-" + account}}
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header, err
}

func newClient(h2 bool) *http.Client {
	p := &http.Protocols{}
	p.SetHTTP1(!h2)
	p.SetUnencryptedHTTP2(h2)
	return &http.Client{Transport: &http.Transport{Protocols: p}, Timeout: peer.Patient}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// TestForwardAuthSIGTERM verifies that after SIGTERM every accepted check gets a complete response over HTTP/1.1 and
// HTTP/2, and every accepted request over RESP2, before the process exits. Some of the checks are waiting for the
// counter at that time, others keep coming.
func TestForwardAuthSIGTERM(t *testing.T) {
	p := startProcess(t)
	c := newClient(false)
	for range 4 { // uses up the gateway's own share
		if code, _, err := check(c, p.httpAddress, "small", ""); code != 200 {
			t.Fatal(code, err)
		}
	}
	calls := p.counter.Calls()
	resume := p.counter.Stall()
	type result struct {
		code int
		err  error
	}
	taken := make(chan result, 64)
	for i := range 20 {
		go func() {
			code, _, err := check(newClient(i%2 == 1), p.httpAddress, "small", fmt.Sprint("t", i))
			taken <- result{code, err}
		}()
	}
	for end := time.Now().Add(peer.Patient); p.counter.Calls() == calls; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no counter call was made")
		}
	}
	time.Sleep(200 * time.Millisecond) // until then the other checks have arrived
	p.server.Set(flagserver.Config{Delay: 700 * time.Millisecond})
	r := peer.Dial(t, p.respAddress)
	r.Command("Q.ASK", "0000000000000001", "r1", "c=evaluate,t=open,d=2000,units=1,spread=1,first=0")
	var loads sync.WaitGroup
	var answered, unexpected atomic.Int64
	stop := make(chan struct{})
	for i := range 8 { // load that continues until the listener is closed
		loads.Go(func() {
			c := newClient(i%2 == 1)
			defer c.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				code, _, err := check(c, p.httpAddress, "free", "")
				if err != nil {
					if !strings.Contains(err.Error(), "refused") && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "EOF") {
						t.Errorf("%v", err)
					}
					return // the listener is closed, or the connection was closed between two checks
				}
				if answered.Add(1); code != 200 {
					unexpected.Add(1)
				}
			}
		})
	}
	for answered.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	late := answered.Load()
	time.Sleep(100 * time.Millisecond)
	if code, _, err := check(newClient(false), p.httpAddress, "free", ""); code != 200 {
		t.Errorf("a new connection just after SIGTERM: %d %v", code, err)
	}
	resume()
	for range 20 {
		if r := <-taken; r.err != nil || r.code != 200 && r.code != 429 {
			t.Errorf("an accepted check: %d %v", r.code, r.err)
		}
	}
	r.Wants("Q.ASK r1")
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("the process exited with %v\n%s", err, p.logText())
		}
	case <-time.After(peer.Patient):
		t.Fatal("the process does not exit")
	}
	close(stop)
	loads.Wait()
	if unexpected.Load() > 0 || answered.Load() == late {
		t.Errorf("%d responses other than 200; %d responses, %d of them before SIGTERM", unexpected.Load(), answered.Load(), late)
	}
	if !strings.Contains(p.logText(), "unanswered=0") {
		t.Errorf("the log:\n%s", p.logText())
	}
}

// TestForwardAuthSIGKILL verifies that after SIGKILL under load the restarted process serves again. Requests that were
// in flight get no response. The process forgets which checks it has admitted, so a repeated check is charged once
// more, but only once; this is the documented loss.
func TestForwardAuthSIGKILL(t *testing.T) {
	p := startProcess(t)
	c := newClient(false)
	code, first, err := check(c, p.httpAddress, "free", "same")
	_, again, _ := check(c, p.httpAddress, "free", "same")
	id := first.Get("X-Gapgap-Request-Id")
	if code != 200 || id == "" || again.Get("X-Gapgap-Request-Id") != id {
		t.Fatal(code, err, id, again)
	}
	for range 4 {
		check(c, p.httpAddress, "small", "")
	}
	var loads sync.WaitGroup
	for range 4 {
		loads.Go(func() {
			c := newClient(false)
			for {
				if _, _, err := check(c, p.httpAddress, "free", ""); err != nil {
					return
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	p.signal(syscall.SIGKILL)
	<-p.ended
	loads.Wait()
	p.write("") // with the same addresses as before
	p.start()
	_, h, err := check(newClient(false), p.httpAddress, "free", "same")
	afterRestart := h.Get("X-Gapgap-Request-Id")
	_, again, _ = check(newClient(false), p.httpAddress, "free", "same")
	if err != nil || afterRestart == "" || afterRestart == id || again.Get("X-Gapgap-Request-Id") != afterRestart {
		t.Errorf("after the restart %q and %q, before %q, %v", afterRestart, again.Get("X-Gapgap-Request-Id"), id, err)
	}
}

// TestForwardAuthSIGHUP verifies that SIGHUP applies added and removed accounts, and that an invalid file changes
// nothing.
func TestForwardAuthSIGHUP(t *testing.T) {
	p := startProcess(t)
	until := func(account string, want int) {
		t.Helper()
		code := 0
		for end := time.Now().Add(peer.Patient); ; time.Sleep(5 * time.Millisecond) {
			if code, _, _ = check(http.DefaultClient, p.httpAddress, account, ""); code == want {
				return
			} else if time.Now().After(end) {
				t.Fatalf("%s: %d, want %d\n%s", account, code, want, p.logText())
			}
		}
	}
	more := fmt.Sprintf("[[account]]\nname = \"new\"\ncustomer = \"0000000000000003\"\nplan = \"open\"\nkeys = [\"%x\"]\n", sha256.Sum256([]byte("key-new")))
	until("new", 401)
	p.write(more)
	p.signal(syscall.SIGHUP)
	until("new", 200)
	for _, bad := range []string{"wrong = 1\n", "[[route]]\nname = \"more\"\n"} {
		p.write(bad)
		n := strings.Count(p.logText(), "is not used")
		p.signal(syscall.SIGHUP)
		for end := time.Now().Add(peer.Patient); strings.Count(p.logText(), "is not used") == n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%q is not rejected\n%s", bad, p.logText())
			}
		}
	}
	until("new", 200)
	p.write("")
	p.signal(syscall.SIGHUP)
	until("new", 401)
}

// TestForwardAuthCommandLine verifies the exit codes of the commands, and that an error is reported in one line before
// the service starts.
func TestForwardAuthCommandLine(t *testing.T) {
	line := func(in string, args ...string) (code int, out, errs string) {
		var o, e bytes.Buffer
		c := newCommand()
		c.SetIn(strings.NewReader(in))
		c.SetOut(&o)
		code = cli.Run(t.Context(), c, args, &e)
		return code, o.String(), e.String()
	}
	if code, out, errs := line("", "check", "../../deploy/gapgapd.toml"); code != cli.Good || !strings.Contains(out, "good") {
		t.Errorf("%d %q %q", code, out, errs)
	}
	if code, out, _ := line("secret\n", "hash"); code != cli.Good || strings.TrimSpace(out) != fmt.Sprintf("%x", sha256.Sum256([]byte("secret"))) {
		t.Errorf("%d %q", code, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	os.WriteFile(bad, []byte("[node]\n\nnom = 1\n"), 0o600)
	wrong := filepath.Join(t.TempDir(), "wrong.toml")
	os.WriteFile(wrong, []byte("[node]\nmemory_mb = \"much\"\n"), 0o600)
	for _, c := range []struct {
		code int
		says string
		args []string
	}{{cli.Misused, "Usage:", nil}, {cli.Misused, "accepts 1 arg", []string{"run"}}, {cli.Misused, "unknown flag", []string{"run", bad, "--x"}},
		{cli.Misused, "unknown command", []string{"serve"}}, {cli.Misused, "--log-level", []string{"run", bad, "--log-level", "loud"}},
		{cli.Misused, "--log-format", []string{"run", bad, "--log-format", "xml"}},
		{cli.Failed, "bad.toml:3: node.nom: is not known here", []string{"check", bad}}, {cli.Failed, "bad.toml:3: node.nom", []string{"run", bad}},
		{cli.Failed, "wrong.toml:2: node.memory_mb: is to be a whole number, not a TOML string", []string{"check", wrong}},
		{cli.Failed, "no such file", []string{"run", bad + "x"}}, {cli.Failed, "no key", []string{"hash"}}} {
		if code, _, errs := line("", c.args...); code != c.code || !strings.Contains(errs, c.says) || c.args != nil && !strings.HasPrefix(errs, "gapgapd: ") {
			t.Errorf("%v: %d %q", c.args, code, errs)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := fmt.Sprintf(configFormat, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:0", ln.Addr().String(), sha256.Sum256(nil), sha256.Sum256([]byte("x")))
	os.WriteFile(bad, []byte(s), 0o600)
	if code, _, errs := line("", "run", bad, "--log-format", "json"); code != cli.Failed || !strings.Contains(errs, "listener http") {
		t.Errorf("an address in use: %d %q", code, errs)
	}
}

// Package rig starts several real gapgapd beside each other and puts faults between them: each directed pair of doors talks through
// a line of its own (see [Line]); doors are killed, stopped, resumed and started again. All is on loopback and ends with Close.
package rig

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/power"
	"gapgap/internal/fake/quota"
)

const (
	readyWithin = 20 * time.Second
	logLines    = 4096 // of a door that are kept
	Key         = "rig"
	Customer    = "00000000b4d65521"

	// CalmEvery is the pause of the account that stays inside its quota, at each door: with five doors 3 a second of Plan's 5, and
	// less than each door's even part of it.
	CalmEvery = 1650 * time.Millisecond
	calmKey   = "calm"

	// fillsWithin is after what time a door that has started, whose shares begin empty as its earlier self may have spent them, serves all that is
	// inside a quota: Plan's ceiling fills in 2 s, and a part is there after 1.1 s at the latest.
	fillsWithin  = 3500 * time.Millisecond
	calmCustomer = "00000000b4d65522"
)

// Config says what to start.
type Config struct {
	Program string // gapgapd
	Dir     string // for files of doors
	Doors   int
	Fleet   bool               // doors have a [fleet]
	Node    string             // lines for [node]
	Plan    string             // lines for [[plan]] after its name, "business"
	InFleet string             // further lines for [fleet]
	Own     func(n int) string // further tables of one door's file; nil: none
	Seed    uint64             // of the lines
	Change  string             // lines for a class "change", keyed, after its window; empty: there is none
	Calm    int                // accounts beside those two, for [Rig.Calm]
	Work    time.Duration      // that a command takes of a flag server, one after another; 0: any number at once
	Record  bool               // Program is a test build that records what doors do to their disks: [Rig.PowerCut] leaves what a cut may leave
}

// Plan is the plan of the case that was measured from outside: a ceiling of 10 a second, 20 at once.
const Plan = "rate = 5.0\nburst = 10.0\nover_worth = 0.2\nceiling_rate = 10.0\nceiling_depth = 20.0\n"

// Rig is a running fleet with what stands round it.
type Rig struct {
	Config
	Doors   []*Door
	Counter *quota.Counter
	Servers []*flagserver.Server
	Group   *flagserver.Group // of the flag servers
	agent   *catalog.Agent
	list    []catalog.Endpoint
	lines   map[[2]int]*Line

	poweredAt time.Time
	powered   []time.Time
}

// Door is one gapgapd.
type Door struct {
	Name, Dir, Socket string
	Ahead             time.Duration // by how much its next process's clock is wrong, in builds that record their disks
	rig               *Rig
	n                 int

	mu    sync.Mutex
	cmd   *exec.Cmd
	addrs map[string]string
	log   []string
	news  chan struct{} // closed at each line of the log
	ended chan struct{}
	away  []away            // when it was not to be reached: killed, stopped, or not yet ready
	twin  bool              // a second process of its name: what goes to that door does not come here
	image map[string][]byte // what its disk had when its process was started
}

// Start starts all doors at once and waits until each serves.
func Start(cfg Config) (_ *Rig, err error) {
	r := &Rig{Config: cfg, Group: newGroup(), lines: map[[2]int]*Line{}}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	for i := range 2 {
		s, err := flagserver.Start(flagserver.Config{Keep: true, Delay: time.Millisecond, Group: r.Group, Work: cfg.Work, From: coldFrom, Within: warmWithin})
		if err != nil {
			return nil, err
		}
		r.Servers = append(r.Servers, s)
		r.list = append(r.list, catalog.Serving(fmt.Sprint("s-", i), s.Addr()))
	}
	if r.agent, err = catalog.Start(r.list...); err != nil {
		return nil, err
	}
	if r.Counter, err = quota.Start(); err != nil {
		return nil, err
	}
	for i := range cfg.Doors {
		d := &Door{Name: fmt.Sprint("n", i), Dir: filepath.Join(cfg.Dir, fmt.Sprint("n", i)), rig: r, n: i, news: make(chan struct{})}
		d.Socket = filepath.Join(d.Dir, "ctl")
		if err := os.MkdirAll(d.Dir, 0o700); err != nil {
			return nil, err
		}
		r.Doors = append(r.Doors, d)
		for j := range cfg.Doors {
			if i != j && cfg.Fleet {
				if r.lines[[2]int{i, j}], err = newLine(cfg.Seed + uint64(i*cfg.Doors+j)); err != nil {
					return nil, err
				}
			}
		}
	}
	if err := os.WriteFile(filepath.Join(cfg.Dir, "key"), []byte("rig rig rig rig rig rig rig rig \n"), 0o600); err != nil {
		return nil, err
	}
	for _, d := range r.Doors {
		if err := d.Begin(); err != nil {
			return nil, err
		}
	}
	for _, d := range r.Doors {
		if err := d.Ready(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Close ends all.
func (r *Rig) Close() {
	for _, d := range r.Doors {
		d.Kill()
	}
	for _, l := range r.lines {
		l.close()
	}
	if r.Counter != nil {
		r.Counter.Close()
	}
	if r.agent != nil {
		r.agent.Close()
	}
	for _, s := range r.Servers {
		s.Close()
	}
}

// Line is that from one door to another.
func (r *Rig) Line(from, to int) *Line { return r.lines[[2]int{from, to}] }

// Each does something to every line for which a condition holds.
func (r *Rig) Each(when func(from, to int) bool, f Fault) {
	for k, l := range r.lines {
		if when(k[0], k[1]) {
			l.Set(f)
		}
	}
}

// Heal takes all faults off the lines.
func (r *Rig) Heal() { r.Each(func(int, int) bool { return true }, Fault{}) }

// Split cuts every line between two groups, of which one is named.
func (r *Rig) Split(group ...int) {
	in := map[int]bool{}
	for _, n := range group {
		in[n] = true
	}
	r.Each(func(from, to int) bool { return in[from] != in[to] }, Fault{Cut: true})
}

// File is the text of a door's configuration.
func (r *Rig) File(n int) string {
	var b strings.Builder
	d := r.Doors[n]
	fmt.Fprintf(&b, "[node]\nname = %q\ndiscovery = %q\ncounter = %q\ndoors = %d\nrank = %d\n%s\n", d.Name, r.agent.Addr(), r.Counter.Addr(), r.Config.Doors, n, r.Node)
	b.WriteString("[limits]\nretry_after = \"5s\"\n[[class]]\nname = \"evaluate\"\neffect = \"safe\"\nworth = 1.0\naim = \"1s\"\ngive_up = \"2s\"\n")
	if r.Change != "" {
		b.WriteString(r.changeFile())
	}
	fmt.Fprintf(&b, "[[plan]]\nname = \"business\"\n%s", r.Plan)
	b.WriteString("[[listener]]\nname = \"resp2\"\nprotocol = \"resp2\"\naddress = \"127.0.0.1:0\"\n[[listener]]\nname = \"checks\"\nprotocol = \"authz\"\n" +
		"address = \"127.0.0.1:0\"\ntrusted = [\"127.0.0.0/8\"]\n[[listener.check]]\npath = \"/check\"\ndialect = \"traefik\"\nrepeat = \"nonce\"\ndefault_class = \"evaluate\"\n")
	for _, a := range [][3]string{{"acme", Customer, Key}, {"calm", calmCustomer, calmKey}} {
		fmt.Fprintf(&b, "[[account]]\nname = %q\ncustomer = %q\nplan = \"business\"\nkeys = [\"%x\"]\n", a[0], a[1], sha256.Sum256([]byte(a[2])))
	}
	if r.Change != "" {
		fmt.Fprintf(&b, "[[account]]\nname = \"trade\"\ncustomer = %q\nplan = \"trade\"\n", tradeCustomer)
	}
	for i := range r.Config.Calm {
		fmt.Fprintf(&b, "[[account]]\nname = \"calm-%d\"\ncustomer = \"%016x\"\nplan = \"business\"\n", i, calmBase+i)
	}
	if r.Own != nil {
		b.WriteString(r.Own(n))
	}
	if !r.Fleet {
		return b.String()
	}
	fmt.Fprintf(&b, "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = %q\nstate_dir = %q\ncontrol = %q\n%s\n", filepath.Join(r.Dir, "key"), d.Dir, d.Socket, r.InFleet)
	for j, o := range r.Doors {
		addr := "127.0.0.1:1" // its own is not looked at
		if j != n {
			addr = r.Line(n, j).Addr()
		}
		fmt.Fprintf(&b, "[[fleet.door]]\nname = %q\naddress = %q\n", o.Name, addr)
	}
	return b.String()
}

var serving = regexp.MustCompile(`msg=serving.* listener=(\S+) address=(\S+)`)

// Begin starts the process. It does not wait for it.
func (d *Door) Begin() error {
	file := filepath.Join(d.Dir, "gapgapd.toml")
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(d.rig.File(d.n), d.rig.Doors[d.n].Dir, d.Dir)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(d.rig.Program, "run", file)
	if d.rig.Record {
		var err error
		if d.image, err = power.ReadDir(d.Dir, noState); err != nil {
			return err
		}
		cmd.Env = append(os.Environ(), "GAPGAP_POWER_RECORD="+d.Dir+".record", "GAPGAP_POWER_FAULT="+d.Dir+".fault", "GAPGAP_POWER_CLOCK="+d.Ahead.String())
	}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.gone()
	d.mu.Lock()
	d.cmd, d.addrs, d.ended = cmd, map[string]string{}, ended
	d.mu.Unlock()
	go func() {
		defer close(ended)
		for in := bufio.NewScanner(out); in.Scan(); {
			d.line(in.Text())
		}
		io.Copy(io.Discard, out)
		cmd.Wait()
	}()
	return nil
}

func (d *Door) line(s string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.log) >= logLines {
		d.log = d.log[logLines/2:]
	}
	d.log = append(d.log, s)
	if m := serving.FindStringSubmatch(s); m != nil {
		if d.addrs[m[1]] = m[2]; m[1] == "fleet" && !d.twin {
			for k, l := range d.rig.lines {
				if k[1] == d.n {
					l.to(m[2])
				}
			}
		}
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Ready waits until all listeners serve.
func (d *Door) Ready() error {
	want := []string{"checks", "resp2"}
	if d.rig.Fleet {
		want = append(want, "fleet")
	}
	end := time.After(readyWithin)
	for {
		d.mu.Lock()
		missing := ""
		for _, w := range want {
			if d.addrs[w] == "" {
				missing = w
			}
		}
		news, ended, log := d.news, d.ended, strings.Join(d.log, "\n")
		d.mu.Unlock()
		if missing == "" {
			d.back()
			return nil
		}
		select {
		case <-news:
		case <-ended:
			return fmt.Errorf("%s has ended:\n%s", d.Name, log)
		case <-end:
			return fmt.Errorf("%s does not serve %s:\n%s", d.Name, missing, log)
		}
	}
}

// Twin starts a second process of a door's name, from a copy of its disk. It has no place in Doors, and ends with the door.
func (d *Door) Twin() (*Door, error) {
	t := &Door{Name: d.Name, Dir: d.Dir + "-twin", rig: d.rig, n: d.n, news: make(chan struct{}), twin: true}
	t.Socket = filepath.Join(t.Dir, "ctl")
	if err := os.CopyFS(t.Dir, os.DirFS(d.Dir)); err != nil && !errors.Is(err, fs.ErrInvalid) { // a socket can't be copied
		return nil, err
	}
	if err := t.Begin(); err != nil {
		return nil, err
	}
	return t, t.Ready()
}

// Addr is where a listener listens, by its name.
func (d *Door) Addr(listener string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[listener]
}

// Log is what the door has written, over all its starts.
func (d *Door) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.log, "\n")
}

func (d *Door) signal(s syscall.Signal) {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd != nil {
		cmd.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (d *Door) Kill() { d.end(syscall.SIGKILL) }

// Term ends it with SIGTERM and waits.
func (d *Door) Term() { d.end(syscall.SIGTERM) }

func (d *Door) end(s syscall.Signal) {
	d.gone()
	d.signal(s)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// PID is the process's number.
func (d *Door) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// CPU is the processor's time that the process has used so far; 0: it can't be told.
func (d *Door) CPU() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	user, err := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	if err != nil || err2 != nil {
		return 0
	}
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Hup has the process read its file again.
func (d *Door) Hup() { d.signal(syscall.SIGHUP) }

// Stop stops the process where it is; Cont lets it go on.
func (d *Door) Stop() {
	d.gone()
	d.signal(syscall.SIGSTOP)
}

func (d *Door) Cont() {
	d.signal(syscall.SIGCONT)
	d.back()
}

// away is a stretch in which a door was not to be reached; to is zero while it lasts.
type away struct{ from, to time.Time }

// gone notes that a door is not to be reached from now on.
func (d *Door) gone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.away); n == 0 || !d.away[n-1].to.IsZero() {
		d.away = append(d.away, away{from: time.Now()})
	}
}

// back notes that it is to be reached again.
func (d *Door) back() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.away); n > 0 && d.away[n-1].to.IsZero() {
		d.away[n-1].to = time.Now()
	}
}

// Away says whether the door was not to be reached at any time between two. Who was connected then may have got no answer.
func (d *Door) Away(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.away, func(a away) bool { return a.from.Before(to) && (a.to.IsZero() || from.Before(a.to)) })
}

// Restart starts the process anew and waits until it serves.
func (d *Door) Restart() error {
	if err := d.Begin(); err != nil {
		return err
	}
	return d.Ready()
}

// Served is one request that was let through. It was so between two times since the flood began: when its client asked, and when the answer, or
// what was let through, was seen.
type Served struct {
	Asked, At time.Duration
	Door      int
}

// Book is what a flood's clients have written down. Checks stand there with the time of their answer, requests over RESP2 with the time
// at which a flag server had them.
type Book struct {
	Served  []Served
	Refused int
	Errors  int           // no answer, the door having been away meanwhile
	Lost    []string      // no answer, or one that is not to the request, from a door that was there all the time
	Slowest time.Duration // answer of a door that was there all the time

	Decided []Decided // checks by the version of the policy by which they were decided, where the fleet has one

	Calm       int      // requests of the account that stays inside its quota, at doors that were there for fillsWithin ...
	CalmDenied []string // ... and those of them that were refused
}

// Decided is a check that a client asked and had answered at times since the flood began.
type Decided struct {
	Asked, Answered time.Duration
	Door            int
	Version         uint64
}

// Window is for how long, after somebody was first answered by a version, somebody was still decided by an earlier one, by the clients' clock:
// who was answered by that had asked so much later.
func (b *Book) Window() (worst time.Duration) {
	first := map[uint64]time.Duration{}
	for _, d := range b.Decided {
		if at, ok := first[d.Version]; !ok || d.Answered < at {
			first[d.Version] = d.Answered
		}
	}
	for _, d := range b.Decided {
		for v, at := range first {
			if v > d.Version {
				worst = max(worst, d.Asked-at)
			}
		}
	}
	return worst
}

// ended writes down that a door's answer has come, or that none does.
func (b *Book) ended(d *Door, begun, asked time.Time, err error) {
	now := time.Now()
	switch {
	case d.Away(asked, now):
		if err != nil {
			b.Errors++
		}
	case err != nil:
		b.Lost = append(b.Lost, fmt.Sprintf("%s, asked %.3f s after the start, for %.3f s: %v", d.Name, asked.Sub(begun).Seconds(), now.Sub(asked).Seconds(), err))
	default:
		b.Slowest = max(b.Slowest, now.Sub(asked))
	}
}

// In counts what was let through in a stretch of the flood, at all doors or at one.
func (b *Book) In(from, to time.Duration, doors ...int) (n int) {
	for _, s := range b.Served {
		ok := len(doors) == 0
		for _, d := range doors {
			ok = ok || d == s.Door
		}
		if ok && s.At >= from && s.At < to {
			n++
		}
	}
	return n
}

// Worst is by how many units some stretch of the flood certainly had more than rate*length+depth: what was asked and seen within it was let
// through within it, however late the one or the other came on a machine with much to do.
func (b *Book) Worst(rate, depth float64) (over float64) {
	over, _, _ = b.WorstStretch(rate, depth)
	return over
}

// WorstStretch is Worst, and the stretch, since the flood began.
func (b *Book) WorstStretch(rate, depth float64) (over float64, from, to time.Duration) {
	all := slices.SortedFunc(slices.Values(b.Served), func(a, b Served) int { return cmp.Compare(b.Asked, a.Asked) })
	var seen []time.Duration // of those that were asked from here on
	for _, s := range all {
		i, _ := slices.BinarySearch(seen, s.At)
		seen = slices.Insert(seen, i, s.At)
		for n, at := range seen {
			if o := float64(n+1) - depth - rate*(at-s.Asked).Seconds(); o > over {
				over, from, to = o, s.Asked, at
			}
		}
	}
	return over, from, to
}

// Flood has clients ask each of some doors as fast as they are answered, with a short pause, until the context ends: half of them for
// checks, half over RESP2. Beside them an account that stays inside its quota asks each of these doors now and then.
func (r *Rig) Flood(ctx context.Context, pause time.Duration, doors ...int) *Book {
	b := &Book{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	checks := func(d *Door, key string, pause time.Duration, told func(answer checkAnswer, asked time.Time, err error)) {
		c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		defer c.CloseIdleConnections()
		for ctx.Err() == nil {
			asked := time.Now()
			answer, err := d.check(ctx, c, key)
			if ctx.Err() == nil {
				mu.Lock()
				b.ended(d, begun, asked, err)
				if answer.policyVersion > 0 {
					decided := Decided{asked.Sub(begun), time.Since(begun), d.n, answer.policyVersion}
					b.Decided = append(b.Decided, decided)
				}
				told(answer, asked, err)
				mu.Unlock()
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
	for _, n := range doors {
		d := r.Doors[n]
		wg.Go(func() {
			r.requests(ctx, n, pause, func(asked time.Time, err error) {
				mu.Lock()
				defer mu.Unlock()
				b.ended(d, begun, asked, err)
			})
		})
		wg.Go(func() {
			checks(d, Key, pause, func(answer checkAnswer, asked time.Time, err error) {
				switch {
				case answer.allowed:
					b.Served = append(b.Served, Served{asked.Sub(begun), time.Since(begun), n})
				case err == nil:
					b.Refused++
				}
			})
		})
		wg.Go(func() {
			checks(d, calmKey, CalmEvery, func(answer checkAnswer, asked time.Time, err error) {
				if err != nil || d.Away(asked.Add(-fillsWithin), time.Now()) {
					return
				}
				if b.Calm++; !answer.allowed {
					b.CalmDenied = append(b.CalmDenied, fmt.Sprintf("%s, %.3f s after the start, answered %.3f s later: %s",
						d.Name, asked.Sub(begun).Seconds(), time.Since(asked).Seconds(), answer))
				}
			})
		})
	}
	wg.Wait()
	for _, s := range r.Servers {
		for _, c := range s.Sent() {
			if n, asked, ok := sentBy(c.ID); ok && slices.Contains(doors, n) && !c.At.Before(begun) {
				b.Served = append(b.Served, Served{asked.Sub(begun), c.At.Sub(begun), n})
			}
		}
	}
	return b
}

// requests asks one door over RESP2 until the context ends, and tells of each answer, or of none.
func (r *Rig) requests(ctx context.Context, n int, pause time.Duration, told func(asked time.Time, err error)) {
	var nc net.Conn
	var in *bufio.Reader
	var good time.Time // when the connection was last seen to work
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(pause)
		asked := time.Now()
		var err error
		if nc == nil {
			if nc, err = net.DialTimeout("tcp", r.Doors[n].Addr("resp2"), time.Second); err != nil {
				nc = nil
				if ctx.Err() == nil {
					told(asked, err)
				}
				continue
			}
			in, good = bufio.NewReader(nc), asked
		}
		nc.SetDeadline(time.Now().Add(2 * time.Second))
		err = request(nc, in, fmt.Sprintf("d%d-%d", n, asked.UnixNano()), len(r.Doors))
		if err != nil {
			nc.Close()
			nc = nil
			if r.Doors[n].Away(good, time.Now()) {
				asked = good // the connection was to the process before, and a door may be back within the pause
			}
		} else {
			good = time.Now()
		}
		if ctx.Err() == nil {
			told(asked, err)
		}
	}
}

// sentBy is the door that a request's id names, and when it was asked.
func sentBy(id string) (n int, asked time.Time, ok bool) {
	var at int64
	_, err := fmt.Sscanf(id, "d%d-%d", &n, &at)
	return n, time.Unix(0, at), err == nil
}

// Ask sends one request over RESP2 to a door and returns the first line of the answer, and after what time it came.
func (r *Rig) Ask(n int) (line string, took time.Duration, err error) {
	nc, err := net.DialTimeout("tcp", r.Doors[n].Addr("resp2"), time.Second)
	if err != nil {
		return "", 0, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	asked := time.Now()
	line, err = ask(nc, bufio.NewReader(nc), fmt.Sprintf("d%d-%d", n, asked.UnixNano()), len(r.Doors))
	return strings.TrimSpace(line), time.Since(asked), err
}

// ask sends one request and reads the first line of its answer.
func ask(nc net.Conn, in *bufio.Reader, id string, spread int) (string, error) {
	s := "*4\r\n"
	for _, a := range []string{"Q.ASK", Customer, id, fmt.Sprintf("c=evaluate,t=business,d=1000,units=1,spread=%d,first=0", spread)} {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(nc, s); err != nil {
		return "", err
	}
	return in.ReadString('\n')
}

// request sends one request and reads its answer, which must be the one to it.
func request(nc net.Conn, in *bufio.Reader, id string, spread int) error {
	line, err := ask(nc, in, id, spread)
	if err != nil {
		return err
	}
	if strings.HasPrefix(line, "-BUSY") {
		return nil
	}
	n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
	if line[0] != '$' || err != nil || n < 0 || n > 1<<20 {
		return fmt.Errorf("%w: %q", errOdd, line)
	}
	value := make([]byte, n+2)
	if _, err = io.ReadFull(in, value); err != nil {
		return err
	}
	if !bytes.Contains(value, []byte(id)) {
		return fmt.Errorf("%w: an answer to another request, %.80q", errOdd, value)
	}
	return nil
}

var errOdd = errors.New("neither let through nor refused")

// Check asks a door whether one request of the account may pass.
func (d *Door) Check(ctx context.Context, c *http.Client) (bool, error) {
	answer, err := d.check(ctx, c, Key)
	return answer.allowed, err
}

// checkAnswer is the answer to a check.
type checkAnswer struct {
	allowed bool
	status  int
	// policyVersion is the version of the policy that decided; 0: it is not told.
	policyVersion uint64
	// undecided is why the check was answered without a decision; empty: there was one.
	undecided string
	// rateLimit is how the account stands with its quota, as in the header RateLimit.
	rateLimit string
	// retryAfter is the pause that is asked for, in milliseconds.
	retryAfter string
}

// String implements fmt.Stringer.
func (a checkAnswer) String() string {
	return fmt.Sprintf("status %d, undecided %q, rate limit %q, retry after %q ms",
		a.status, a.undecided, a.rateLimit, a.retryAfter)
}

// check asks whether one request of the account that has a key may pass.
func (d *Door) check(ctx context.Context, c *http.Client, key string) (checkAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr("checks")+"/check", nil)
	if err != nil {
		return checkAnswer{}, err
	}
	req.Header = http.Header{"Authorization": {"Bearer " + key}, "X-Forwarded-Method": {"GET"},
		"X-Forwarded-Host": {"flags.example.org"}, "X-Forwarded-Uri": {"/v1/flags"}}
	res, err := c.Do(req)
	if err != nil {
		return checkAnswer{}, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	answer := checkAnswer{
		status:     res.StatusCode,
		undecided:  res.Header.Get("X-Gapgap-Undecided"),
		rateLimit:  res.Header.Get("RateLimit"),
		retryAfter: res.Header.Get("X-Gapgap-Retry-After-Ms"),
	}
	answer.policyVersion, _ = strconv.ParseUint(res.Header.Get("X-Gapgap-Policy"), 10, 64)
	switch res.StatusCode {
	case http.StatusOK:
		answer.allowed = true
		return answer, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return answer, nil
	}
	return checkAnswer{}, fmt.Errorf("%w: %d", errOdd, res.StatusCode)
}

// Command benchmark takes the figures of docs/measured.md. Servers run as processes of their own with one core's worth of
// threads; the load comes from this one. Each figure is a ratio within one run.
//
//	benchmark forward-auth [--for 5s] [--rounds 3]            checks against a bare handler; a quiet account beside a flood
//	benchmark pools [--for 5s] [--rounds 3]                   a quiet pool beside a flooded one; what pools cost
//	benchmark ceilings [--svg docs/ceilings.svg]              what of a ceiling is served by the skew of the demand
//	benchmark members [--fleet] GAPGAPD                       what three doors let through of a ceiling around a death, a stop and a cut
//	benchmark members-curves BEFORE NOW                       the same by 100 ms, of two builds, as a plot
//	benchmark members-cost GAPGAPD                            a door's processor time a request, in a fleet against alone
//	benchmark policy [--doors 3] [--mode wait] [--down up] GAPGAPD   a change of the fleet's policy under load
//	benchmark platform [--for 5s] [--rounds 3] [--value 5,65536] [--figures] GAPGAP...   builds of cmd/gapgap under the same load
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gapgap/internal/cli"
	"gapgap/internal/service/hosted"
)

func main() { os.Exit(cli.Run(context.Background(), command(), os.Args[1:], os.Stderr)) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "benchmark", Short: "Take the figures of docs/measured.md"}
	var lasts time.Duration
	var rounds int
	root.PersistentFlags().DurationVar(&lasts, "for", 5*time.Second, "length of each stretch")
	root.PersistentFlags().IntVar(&rounds, "rounds", 3, "how often each is measured, in turns")
	add := func(use, short string, args cobra.PositionalArgs, do func(args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error { return do(args) }}
		root.AddCommand(c)
		return c
	}
	add("forward-auth", "Checks against a bare handler; a quiet account beside a flood", cobra.NoArgs, func([]string) error { return forwardAuth(lasts, rounds) })
	add("pools", "A quiet pool beside a flooded one; what pools cost", cobra.NoArgs, func([]string) error { return pools(lasts, rounds) })
	var svg string
	add("ceilings", "What of a ceiling is served by the skew of the demand, in virtual time; draws a plot", cobra.NoArgs, func([]string) error {
		return ceilings(svg)
	}).Flags().StringVar(&svg, "svg", "docs/ceilings.svg", "the plot's file")
	var what carried
	p := add("platform GAPGAP...", "Builds of cmd/gapgap under the same load", cobra.MinimumNArgs(1), func(args []string) error {
		return platform(args, what, lasts, rounds)
	})
	p.Flags().IntSliceVar(&what.values, "value", []int{5}, "bytes of the answers' values, a stretch for each")
	p.Flags().BoolVar(&what.calls, "figures", false, "in turns without and with the figures fetched ten times a second")
	var fleet bool
	var rows string
	var nodes, inFleet []string
	mm := add("members GAPGAPD", "What three doors let through of a ceiling around a death, a stop and a cut", cobra.ExactArgs(1), func(args []string) error {
		return members(args[0], fleet, rows, nodes, inFleet)
	})
	mm.Flags().BoolVar(&fleet, "fleet", false, "the doors know each other")
	mm.Flags().StringVar(&rows, "rows", "", "one trouble by its name; left out: all")
	mm.Flags().StringArrayVar(&nodes, "node", []string{`ceilings = "even"`, `ceilings = "demand"`}, "a line for [node], a play for each")
	mm.Flags().StringArrayVar(&inFleet, "in-fleet", []string{""}, "a line for [fleet], a play for each")
	var curvesFile string
	add("members-curves BEFORE NOW", "The same by 100 ms around a death, a stop and a cut, of two builds of gapgapd; draws a plot", cobra.ExactArgs(2), func(args []string) error {
		return curves(args[0], args[1], curvesFile)
	}).Flags().StringVar(&curvesFile, "svg", "docs/members.svg", "the plot's file")
	var doors, changes, accounts int
	var mode, down string
	pl := add("policy GAPGAPD", "How long a change of the fleet's policy takes, its window, and what is served meanwhile", cobra.ExactArgs(1), func(args []string) error {
		return policy(args[0], doors, changes, accounts, mode, down)
	})
	pl.Flags().IntVar(&doors, "doors", 3, "doors")
	pl.Flags().IntVar(&changes, "changes", 5, "changes, one after another")
	pl.Flags().IntVar(&accounts, "accounts", 0, "accounts in the policy beside those that ask")
	pl.Flags().StringVar(&mode, "mode", "wait", "wait or fence")
	pl.Flags().StringVar(&down, "down", "up", "the last door is up, killed or stopped")
	add("members-cost GAPGAPD", "A door's processor time a request, in a fleet against alone", cobra.ExactArgs(1), func(args []string) error {
		return cost(args[0], lasts, rounds)
	})
	pw := powerPlay{each: 3 * time.Second, off: 500 * time.Millisecond, before: 8 * time.Second}
	pp := add("power GAPGAPD", "What a loss of power at all doors, flag servers and the counter costs", cobra.ExactArgs(1), func(args []string) error {
		return power(args[0], pw)
	})
	pp.Flags().IntVar(&pw.doors, "doors", 3, "doors")
	pp.Flags().IntVar(&pw.cuts, "cuts", 1, "losses of power, 3 s apart; 0: none")
	pp.Flags().DurationVar(&pw.after, "after", 20*time.Second, "length of the play after the last one")
	pp.Flags().BoolVar(&pw.fleet, "fleet", true, "the doors know each other")
	pp.Flags().StringVar(&pw.in, "in-fleet", "", "lines for [fleet]")
	pp.Flags().StringVar(&pw.node, "node", "", "lines for [node]")
	pp.Flags().StringVar(&pw.change, "class", "", "lines for the class \"change\"")
	pp.Flags().IntVar(&pw.changes, "changes", 8, "clients of changes")
	pp.Flags().IntVar(&pw.calm, "calm", 20, "accounts inside their quotas, each asking 4 times a second")
	add("power-cost GAPGAPD", "What it costs to remember the keys of changes", cobra.ExactArgs(1), func(args []string) error {
		return powerCost(args[0], lasts, rounds)
	})
	var powerFile string
	add("power-curves BEFORE NOW", "The same by 100 ms, of two builds of gapgapd; draws a plot", cobra.ExactArgs(2), func(args []string) error {
		return powerCurves(args[0], args[1], powerFile)
	}).Flags().StringVar(&powerFile, "svg", "docs/power.svg", "the plot's file")
	// What this program starts of itself.
	add("flood ADDRESS", "", cobra.ExactArgs(1), func(args []string) error { return serveFlood(args[0]) }).Hidden = true
	add("serve-bare", "", cobra.NoArgs, func([]string) error { return serveBare() }).Hidden = true
	add("serve-door FILE", "", cobra.ExactArgs(1), func(args []string) error { return serveDoor(args[0]) }).Hidden = true
	return root
}

// child is a server in a process of its own.
type child struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
	addr map[string]string
}

// spawn starts this program again as a server with one thread for Go code. It says name=address for each listener.
func spawn(args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, args...), addr: map[string]string{}}
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = bufio.NewReader(out)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	for {
		line, err := c.out.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("the server did not start: %w", err)
		}
		if line = strings.TrimSpace(line); line == "ready" {
			return c, nil
		}
		name, addr, _ := strings.Cut(line, "=")
		c.addr[name] = addr
	}
}

// use is what a server has used since it started.
type use struct {
	cpu     time.Duration
	mallocs uint64
	rss     int64 // bytes
}

func (c *child) use() (u use, err error) {
	if _, err = io.WriteString(c.in, "use\n"); err == nil {
		_, err = fmt.Fscanf(c.out, "%d %d %d\n", &u.cpu, &u.mallocs, &u.rss)
	}
	return u, err
}

func (c *child) end() {
	c.in.Close()
	c.cmd.Wait()
}

// answerUse serves the parent's questions until it closes the pipe.
func answerUse() {
	fmt.Println("ready")
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		var r syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &r)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Println(r.Utime.Nano()+r.Stime.Nano(), m.Mallocs, resident())
	}
}

func resident() int64 {
	b, _ := os.ReadFile("/proc/self/statm")
	var size, rss int64
	fmt.Sscan(string(b), &size, &rss)
	return rss * int64(os.Getpagesize())
}

// serveBare answers all with 200 and nothing else.
func serveBare() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	debug.SetGCPercent(400)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusOK) }))
	fmt.Printf("http=%s\n", ln.Addr())
	answerUse()
	return nil
}

// serveDoor runs a gapgapd.
func serveDoor(file string) error {
	cfg, err := hosted.Load(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(400) // as cmd/gapgapd has it with a memory limit; the bare server has it too
	s, err := hosted.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	go s.Serve(ctxForever{})
	for _, l := range cfg.Listeners {
		fmt.Printf("%s=%s\n", l.Name, s.Addr(l.Name))
	}
	for !s.Ready() {
		time.Sleep(time.Millisecond)
	}
	if name := os.Getenv("MEASURE_PROFILE"); name != "" { // a CPU profile of the whole run
		f, err := os.Create(name)
		if err != nil {
			return err
		}
		defer f.Close()
		pprof.StartCPUProfile(f)
		defer pprof.StopCPUProfile()
	}
	answerUse()
	return nil
}

// ctxForever is a context that never ends.
type ctxForever struct{}

func (ctxForever) Deadline() (time.Time, bool) { return time.Time{}, false }
func (ctxForever) Done() <-chan struct{}       { return nil }
func (ctxForever) Err() error                  { return nil }
func (ctxForever) Value(any) any               { return nil }

// load is what a number of connections got done.
type load struct {
	done, odd int
	took      []time.Duration
}

func (l *load) quantile(q float64) time.Duration {
	if len(l.took) == 0 {
		return 0
	}
	slices.Sort(l.took)
	return l.took[min(len(l.took)-1, int(q*float64(len(l.took))))]
}

// talk sends requests on one connection, one at a time, until the end: as fast as answers come, or at times that lie pause
// apart; a request that could not be sent in time counts its latency from then.
func talk(addr string, next func(n int) []byte, read func(*bufio.Reader) (bool, error), pause, offset time.Duration, end time.Time) (l load, err error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return l, err
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	due := time.Now().Add(offset)
	for n := 0; time.Now().Before(end); n++ {
		from := time.Now()
		if pause > 0 {
			time.Sleep(due.Sub(from))
			from = due
			due = due.Add(pause)
		}
		if _, err := nc.Write(next(n)); err != nil {
			return l, err
		}
		ok, err := read(in)
		if err != nil {
			return l, err
		}
		if l.done++; !ok {
			l.odd++
		}
		l.took = append(l.took, time.Since(from))
	}
	return l, nil
}

// drive talks on many connections and adds up.
func drive(conns int, addr string, next func(conn, n int) []byte, read func(*bufio.Reader) (bool, error), rate float64, lasts time.Duration) (sum load, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	pause := time.Duration(0)
	if rate > 0 {
		pause = time.Duration(float64(conns) / rate * float64(time.Second))
	}
	end := time.Now().Add(lasts)
	for i := range conns {
		wg.Go(func() {
			l, e := talk(addr, func(n int) []byte { return next(i, n) }, read, pause, pause*time.Duration(i)/time.Duration(conns), end)
			mu.Lock()
			defer mu.Unlock()
			sum.done += l.done
			sum.odd += l.odd
			sum.took = append(sum.took, l.took...)
			err = errors.Join(err, e)
		})
	}
	wg.Wait()
	return sum, err
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

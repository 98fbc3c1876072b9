// Command stand plays the cases of the review: it starts front doors with the deploy file's command, stands in for
// clients, backends, discovery and the counter, and judges one rule by what clients and backends see. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// world is what the cases share: the front doors of a small deployment and all that is round them.
type world struct {
	rec      *record
	folder   string
	run      string
	agent    *agent
	counter  *counterServer
	backends []*backend
	doors    []*door
	trouble  bool
}

func main() {
	runtime.LockOSThread() // the doors end with the thread that started them
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD (with RUN from the deploy file)")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	run := os.Getenv("RUN")
	if !ok || run == "" {
		fmt.Fprintln(os.Stderr, "no such case, or no RUN")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{rec: rec, folder: folder, run: run, trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end(2)
	}()
	hold := time.AfterFunc(110*time.Second, func() { w.end(2) })
	broken, err := play(w)
	hold.Stop()
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		w.end(2)
	case broken:
		w.end(1)
	}
	w.end(0)
}

// end ends all processes and exits.
func (w *world) end(code int) {
	for _, d := range w.doors {
		d.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(w.folder)
	} else {
		os.RemoveAll(w.folder)
	}
	w.rec.line("exit %d", code)
	w.rec.close()
	os.Exit(code)
}

// start starts the platform, the backends and the front doors, and waits until these are ready.
func (w *world) start(doors, backends int, reply func(b int) replier) error {
	var entries []entry
	for i := range backends {
		name := fmt.Sprintf("s-%08x", 0x5be2a07c+i)
		b, err := startBackend(name, uint64(i), w.rec, reply(i))
		if err != nil {
			return err
		}
		w.backends = append(w.backends, b)
		entries = append(entries, entry{Name: name, Address: b.addr, Zone: "cluj-dc1", Type: "std-3c", Group: i / 4,
			Status: "SERVING", Weight: 1})
	}
	var err error
	if w.agent, err = startAgent(entries); err != nil {
		return err
	}
	if w.counter, err = startCounter(); err != nil {
		return err
	}
	for i := range doors {
		d := &door{name: fmt.Sprintf("n%d", i+1), listen: freePort(), control: freePort()}
		w.doors = append(w.doors, d)
		tmp := fmt.Sprintf("%s/tmp%d", w.folder, i)
		if err := startDoor(d, w.run, w.folder, tmp, w.agent.addr, w.counter.addr, w.agent.snapshot(), doors,
			i); err != nil {
			return err
		}
	}
	for _, d := range w.doors {
		if err := d.waitReady(20 * time.Second); err != nil {
			return err
		}
		w.rec.line("door %s is ready, pid %d", d.name, d.cmd.Process.Pid)
	}
	return nil
}

// log returns what a front door has logged.
func (w *world) log(d *door) (string, error) {
	b, err := os.ReadFile(w.folder + "/" + d.name + ".log")
	return string(b), err
}

// Command stand2 plays one case of the review: it starts the gateway by the deploy file's command, with stand-ins for
// clients, backends and the platform, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"time"
)

const timeLimit = 115 * time.Second

var current *rig

// fail ends the case as one that could not run.
func fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(os.Stderr, "could not run:", text)
	if current != nil {
		current.note("could not run: %s", text)
		for _, p := range current.procs {
			current.note("log of %s:\n%s", p.name, p.logText())
		}
		current.close()
	}
	os.Exit(2)
}

var cases = map[string]func(*rig){}

// helpers are parts of a case that run as processes of their own.
var helpers = map[string]func(listen string, duration time.Duration){}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "helper" && helpers[os.Args[2]] != nil {
		seconds, _ := strconv.Atoi(os.Args[4])
		helpers[os.Args[2]](os.Args[3], min(timeLimit, time.Duration(seconds)*time.Second))
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with the thread that started them
	r, err := newRig(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	current = r
	time.AfterFunc(timeLimit, func() { fail("over %v", timeLimit) })
	r.note("case %s, trouble %t", os.Args[1], r.trouble)
	cases[os.Args[1]](r)
	broken := r.violations()
	r.note("the rule was broken %d times", broken)
	for _, p := range r.procs {
		r.note("log of %s:\n%s", p.name, p.logText())
	}
	r.close()
	fmt.Printf("%s: rule broken %d times (trouble %t)\n", os.Args[1], broken, r.trouble)
	if broken > 0 {
		os.Exit(1)
	}
}

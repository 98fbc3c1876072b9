package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/power"
)

// What clients of changes and of calm accounts go by.
const (
	tradeCustomer = "00000000b4d65000" // of changes
	calmBase      = 0x00000000b4d66000 // of the first of the calm accounts
	changeWaits   = time.Second        // that a client of a change waits for each try
	changeGivesUp = 15 * time.Second   // after which it asks no more
	busyMost      = 400 * time.Millisecond
	coldFrom      = 0.26             // part of its work that a server does when it is started ...
	warmWithin    = 15 * time.Second // ... and all after this, as the doors' files have it by default
	fallMultiple  = 3.0              // it falls when sent so many times what it can do ...
	fallWindow    = 3 * time.Second  // ... for this long
	window        = 30 * time.Second // in which the flag servers drop repeats of a key, while they have power
)

// changeFile are the tables for changes: the class, and a plan whose quota they don't reach.
func (r *Rig) changeFile() string {
	return "[[class]]\nname = \"change\"\neffect = \"keyed\"\nworth = 1.0\naim = \"1s\"\ngive_up = \"2s\"\nwindow = \"" + window.String() + "\"\n" + r.Change + "\n" +
		"[[plan]]\nname = \"trade\"\nrate = 2000.0\nburst = 4000.0\n"
}

// PowerCut takes the power from all at once: doors die, flag servers forget what ran, the counter's numbers are gone.
func (r *Rig) PowerCut() {
	var wg sync.WaitGroup
	for _, d := range r.Doors {
		wg.Go(d.Kill)
	}
	for _, s := range r.Servers {
		wg.Go(s.Drop)
	}
	r.Group.Forget()
	r.Counter.Empty()
	wg.Wait()
	for _, s := range r.Servers {
		s.Drop() // connections that were taken meanwhile
	}
	r.Group.Forget()
}

// noState says that a file in a door's directory is none that it keeps a state in.
func noState(name string) bool {
	return name == "gapgapd.toml" || name == "door.lock" || name == "ctl"
}

// Leave puts onto a dead door's disk what a power cut may leave of it, by chance: what was synced, and any part of the rest.
func (d *Door) Leave(how power.How, rng *rand.Rand) error {
	record, err := os.ReadFile(d.Dir + ".record")
	if err != nil {
		return err
	}
	return power.WriteDir(d.Dir, power.Replay(d.image, record).Cut(how, rng), noState)
}

// Disk is what a dead door's disk has, to be put back with SetDisk.
func (d *Door) Disk() (map[string][]byte, error) { return power.ReadDir(d.Dir, noState) }

// SetDisk puts an image onto a dead door's disk; nil: an empty disk.
func (d *Door) SetDisk(image map[string][]byte) error { return power.WriteDir(d.Dir, image, noState) }

// Fault has all that a door writes to its disk fail, "full" or "readonly", or be "slow 2s"; "" ends that.
func (d *Door) Fault(what string) error {
	if what == "" {
		return os.Remove(d.Dir + ".fault")
	}
	return os.WriteFile(d.Dir+".fault", []byte(what), 0o600)
}

// PowerOn has the flag servers listed as started now, and begins the process of each door, or of some. It waits for none.
func (r *Rig) PowerOn(doors ...int) error {
	r.poweredAt = time.Now()
	r.powered = append(r.powered, r.poweredAt)
	for _, s := range r.Servers {
		s.Restart(r.poweredAt)
	}
	var list []catalog.Endpoint
	for _, e := range r.list {
		e.SinceMS = r.poweredAt.UnixMilli()
		list = append(list, e)
	}
	r.agent.Set(list...)
	if len(doors) == 0 {
		for n := range r.Doors {
			doors = append(doors, n)
		}
	}
	for _, n := range doors {
		if err := r.Doors[n].Begin(); err != nil {
			return err
		}
	}
	return nil
}

// Pushed is by how many commands some flag server had more in some window, while it was cold, than it bears. Work has to be set.
func (r *Rig) Pushed() (over float64) {
	capacity := float64(time.Second) / float64(r.Work)
	for _, s := range r.Servers {
		sent := s.Sent()
		for n, on := range r.powered {
			until := on.Add(warmWithin)
			if n+1 < len(r.powered) && r.powered[n+1].Before(until) {
				until = r.powered[n+1]
			}
			end := 0
			for i, c := range sent {
				if c.At.Before(on) || !c.At.Before(until) {
					continue
				}
				for end = max(end, i); end < len(sent) && sent[end].At.Before(until) && sent[end].At.Sub(c.At) < fallWindow; {
					end++
				}
				bears := (&flagserver.Config{From: coldFrom, Within: warmWithin, Started: on})
				most := fallMultiple * bears.Bears(c.At) * capacity * fallWindow.Seconds()
				over = max(over, float64(end-i)-most-3*math.Sqrt(most)-3)
			}
		}
	}
	return over
}

// Try is what became of one try of a client.
type Try struct {
	Asked, Took time.Duration // since the play began
	Door        int
	Served      bool
	Busy        bool          // refused ...
	Pause       time.Duration // ... with when to come back; 0: not told
	Failed      bool          // an answer that is neither: it may have run
}

// ChangeBook is what clients of changes have written down, by key.
type ChangeBook struct {
	Keys map[string][]Try
}

// Served is how many keys were served, and how often.
func (b *ChangeBook) Served() (keys int) {
	for _, tries := range b.Keys {
		for _, t := range tries {
			if t.Served {
				keys++
				break
			}
		}
	}
	return keys
}

// Twice are the keys that had their effect more than once, by the flag servers' book, and all that had one.
func (r *Rig) Twice() (twice []string, all int) {
	n := map[string]int{}
	for _, e := range r.Group.Effects() {
		if n[e.Key]++; n[e.Key] == 2 {
			twice = append(twice, e.Key)
		}
	}
	return twice, len(n)
}

// Changes has clients ask for changes until the context ends, each with a key of its own, at a door by chance, and again by the same key at
// any door for as long as they are not served.
func (r *Rig) Changes(ctx context.Context, clients int, pause time.Duration, seed uint64) *ChangeBook {
	b := &ChangeBook{Keys: map[string][]Try{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for n := range clients {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			t := talks{r: r}
			defer t.close()
			for i := 0; ctx.Err() == nil; i++ {
				key := fmt.Sprintf("%016x", seed<<40|uint64(n)<<24|uint64(i))
				for first := time.Now(); ctx.Err() == nil && time.Since(first) < changeGivesUp; {
					try := t.ask(begun, rng.IntN(len(r.Doors)), changeWaits, "Q.DO", tradeCustomer,
						fmt.Sprintf("c=change,t=trade,d=%d,k=%s,units=1,spread=%d,first=0", changeWaits.Milliseconds(), key, len(r.Doors)))
					mu.Lock()
					b.Keys[key] = append(b.Keys[key], try)
					mu.Unlock()
					if try.Served {
						break
					}
					wait := time.Duration(rng.Int64N(int64(50 * time.Millisecond)))
					if try.Busy {
						wait += min(try.Pause, busyMost)
					}
					sleep(ctx, wait)
				}
				sleep(ctx, pause)
			}
		})
	}
	wg.Wait()
	return b
}

// Calm has so many accounts, each inside its quota, ask each door in turn, each so often, until the context ends. It returns all their tries.
func (r *Rig) Calm(ctx context.Context, each time.Duration) []Try {
	var all []Try
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for n := range r.Config.Calm {
		wg.Go(func() {
			t := talks{r: r}
			defer t.close()
			sleep(ctx, each*time.Duration(n)/time.Duration(r.Config.Calm))
			for i := n; ctx.Err() == nil; i++ {
				try := t.ask(begun, i%len(r.Doors), changeWaits, "Q.ASK", fmt.Sprintf("%016x", calmBase+n),
					fmt.Sprintf("c=evaluate,t=business,d=%d,units=1,spread=%d,first=0", changeWaits.Milliseconds(), len(r.Doors)))
				if ctx.Err() == nil {
					mu.Lock()
					all = append(all, try)
					mu.Unlock()
				}
				sleep(ctx, each-(time.Since(begun)-try.Asked))
			}
		})
	}
	wg.Wait()
	return all
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// talks are one client's connections to the doors.
type talks struct {
	r    *Rig
	open map[int]*talk
	last int
}

type talk struct {
	addr string
	nc   net.Conn
	in   *bufio.Reader
}

func (t *talks) close() {
	for _, k := range t.open {
		k.nc.Close()
	}
}

// ask sends one request and reads its answer.
func (t *talks) ask(begun time.Time, door int, within time.Duration, name, customer, list string) (try Try) {
	asked := time.Now()
	try = Try{Asked: asked.Sub(begun), Door: door}
	defer func() { try.Took = time.Since(asked) }()
	t.last++
	line, err := t.exchange(door, within, name, customer, fmt.Sprintf("p%p-%d", t, t.last), list)
	switch {
	case err != nil:
	case strings.HasPrefix(line, "$") && line != "$-1":
		try.Served = true
	case strings.HasPrefix(line, "-BUSY"):
		try.Busy = true
		if ms, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY"))); err == nil {
			try.Pause = time.Duration(ms) * time.Millisecond
		}
	default:
		try.Failed = true
	}
	return try
}

var errAway = errors.New("the door is not to be reached")

func (t *talks) exchange(door int, within time.Duration, words ...string) (line string, err error) {
	addr := t.r.Doors[door].Addr("resp2")
	if addr == "" {
		return "", errAway
	}
	k := t.open[door]
	if k == nil || k.addr != addr {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return "", err
		}
		if k != nil {
			k.nc.Close()
		}
		if t.open == nil {
			t.open = map[int]*talk{}
		}
		k = &talk{addr, nc, bufio.NewReader(nc)}
		t.open[door] = k
	}
	defer func() {
		if err != nil {
			k.nc.Close()
			delete(t.open, door)
		}
	}()
	k.nc.SetDeadline(time.Now().Add(within + 200*time.Millisecond))
	s := "*" + strconv.Itoa(len(words)) + "\r\n"
	for _, w := range words {
		s += "$" + strconv.Itoa(len(w)) + "\r\n" + w + "\r\n"
	}
	if _, err = io.WriteString(k.nc, s); err != nil {
		return "", err
	}
	if line, err = k.in.ReadString('\n'); err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if n, e := strconv.Atoi(strings.TrimPrefix(line, "$")); line[0] == '$' && e == nil && n >= 0 {
		_, err = io.CopyN(io.Discard, k.in, int64(n)+2)
	}
	return line, err
}

// newGroup makes the group of the rig's flag servers.
func newGroup() *flagserver.Group { return flagserver.NewGroup(window) }

// Says wants a line of the door's log.
func (d *Door) Says(what string) error {
	if !strings.Contains(d.Log(), what) {
		return fmt.Errorf("%s does not say %q", d.Name, what)
	}
	return nil
}

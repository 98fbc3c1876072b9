package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gapgap/internal/vfs"
)

// cluster is some voters in one goroutine: what they send goes into a list, and is lost by chance.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	dirs     []string
	voters   []*voter
	messages []message
	loss     float64
}

type message struct {
	from, to int
	data     []byte
}

type voter struct {
	log     *Log // nil: its process is down
	disk    *Disk
	index   uint64
	applied []uint64 // what was applied, by its number
	reads   int
}

func newCluster(t *testing.T, n int) *cluster {
	f := &cluster{t: t, rng: rand.New(rand.NewPCG(1, 2))}
	for range n {
		f.dirs = append(f.dirs, t.TempDir())
		f.voters = append(f.voters, nil)
	}
	for i := range n {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.voters {
			f.stop(i)
		}
	})
	return f
}

func (f *cluster) start(i int) {
	f.t.Helper()
	kept, err := OpenDisk(vfs.OS{}, f.dirs[i])
	if err != nil {
		f.t.Fatal(err)
	}
	v := &voter{disk: kept}
	var ranks []int
	for r := range f.voters {
		ranks = append(ranks, r)
	}
	v.log, err = New(Config{Voter: i, Voters: ranks, Disk: kept, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Send: func(to int, b []byte) { f.messages = append(f.messages, message{i, to, b}) },
		Apply: func(index uint64, b []byte) {
			if v.index = index; len(b) >= 8 {
				v.applied = append(v.applied, binary.BigEndian.Uint64(b))
			}
		},
		ReadConfirmed: func(uint64) { v.reads++ },
		Snapshot: func() (uint64, []byte, error) {
			b := []byte{}
			for _, x := range v.applied {
				b = binary.BigEndian.AppendUint64(b, x)
			}
			return v.index, b, nil
		},
		Restore: func(index uint64, b []byte) error {
			v.index, v.applied = index, nil
			for ; len(b) >= 8; b = b[8:] {
				v.applied = append(v.applied, binary.BigEndian.Uint64(b))
			}
			return nil
		}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.voters[i] = v
}

func (f *cluster) stop(i int) {
	if v := f.voters[i]; v != nil && v.log != nil {
		v.log = nil
	}
}

// tick is a tick of all, and what comes of it.
func (f *cluster) tick() {
	for _, v := range f.voters {
		if v.log != nil {
			v.log.Tick()
			v.log.Work()
		}
	}
	for n := 0; len(f.messages) > 0 && n < 10_000; n++ {
		s := f.messages[0]
		f.messages = f.messages[1:]
		if to := f.voters[s.to]; to.log != nil && f.rng.Float64() >= f.loss {
			if err := to.log.Step(s.from, s.data); err != nil {
				f.t.Errorf("%v", err)
			}
			to.log.Work()
		}
	}
}

func (f *cluster) until(most int, what string, done func() bool) {
	f.t.Helper()
	for range most {
		if done() {
			return
		}
		f.tick()
	}
	f.t.Fatalf("%s: not within %d ticks", what, most)
}

func (f *cluster) leader() *voter {
	for _, v := range f.voters {
		if v.log == nil {
			continue
		}
		if _, leads := v.log.Leading(); leads {
			return v
		}
	}
	return nil
}

func entry(n int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(n))
	return append(b, make([]byte, 56)...)
}

// A voter that was away for 10,000 entries catches up by a snapshot, over lines that lose a tenth; all have all in one order, also after each was
// started anew, and their files are bounded.
func TestPolicyLogCatchesUp(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3)
	f.until(200, "a leader", func() bool { return f.leader() != nil })
	f.stop(2)
	f.until(200, "a leader of two", func() bool { return f.leader() != nil })
	for n := 0; n < 10_000; {
		l := f.leader()
		if l == nil {
			f.tick()
			continue
		}
		for range 1000 {
			l.log.Propose(entry(n))
			n++
		}
		l.log.Work()
		f.tick()
	}
	f.until(200, "agreed", func() bool { return len(f.voters[0].applied) == 10_000 && len(f.voters[1].applied) == 10_000 })
	f.loss = 0.1
	f.start(2)
	f.until(2000, "caught up", func() bool { return len(f.voters[2].applied) == 10_000 })
	f.loss = 0
	for i := range 3 {
		f.stop(i)
		if info, err := os.Stat(filepath.Join(f.dirs[i], "policy.log")); err != nil || info.Size() > 4<<20 {
			t.Errorf("voter %d: %v, %v", i, info.Size(), err)
		}
		f.start(i)
	}
	f.until(200, "a leader again", func() bool { return f.leader() != nil && f.leader().log.HasStarted() })
	l := f.leader()
	l.log.Propose(entry(10_000))
	l.log.ConfirmRead(7)
	l.log.Work()
	f.until(200, "agreed again", func() bool {
		return len(f.voters[0].applied) == 10_001 && len(f.voters[1].applied) == 10_001 && len(f.voters[2].applied) == 10_001
	})
	for i, v := range f.voters {
		for n, x := range v.applied {
			if x != uint64(n) {
				t.Fatalf("voter %d: entry %d is %d", i, n, x)
			}
		}
	}
	if l.reads == 0 {
		t.Error("a read was not confirmed")
	}
}

// A voter that has lost its disk takes no part: what it said yes to before is not known any more.
func TestPolicyLogLostDisk(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 3)
	f.until(200, "a leader", func() bool { return f.leader() != nil })
	f.stop(1)
	os.Remove(filepath.Join(f.dirs[1], "policy.log"))
	f.start(1)
	for range 60 {
		f.tick()
	}
	if v := f.voters[1]; v.log.HasStarted() || !v.log.isLost {
		t.Error("it takes part")
	}
	f.stop(0)
	f.start(0)
	f.until(200, "a leader of those that have theirs", func() bool { return f.leader() != nil })
}

// A voter whose disk was lost for good is replaced by one with an empty disk, over lines that lose a tenth; from then on it counts: another voter may fail, all may start anew, and a second one may be
// replaced likewise. Nothing that was agreed on is lost, and all have it in one order.
func TestPolicyVoterReplaced(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{3, 5} {
		f := newCluster(t, voters)
		f.until(200, "a leader", func() bool { return f.leader() != nil })
		n := 0
		agree := func(most int) {
			t.Helper()
			for to := n + 20; n < to; n++ {
				f.until(most, "a leader", func() bool { return f.leader() != nil })
				l := f.leader()
				l.log.Propose(entry(n))
				f.until(most, fmt.Sprint("entry ", n), func() bool {
					if l.log != nil && !slices.Contains(l.applied, uint64(n)) && f.rng.IntN(20) == 0 {
						l.log.Propose(entry(n)) // it was lost
					}
					for _, v := range f.voters {
						if v.log != nil && slices.Contains(v.applied, uint64(n)) {
							return true
						}
					}
					return false
				})
			}
		}
		agree(300)
		for _, lost := range []int{1, voters - 1} {
			f.stop(lost)
			if err := os.Remove(filepath.Join(f.dirs[lost], "policy.log")); err != nil {
				t.Fatal(err)
			}
			f.start(lost)
			f.voters[lost].applied = nil
			agree(300)
			if f.voters[lost].log.HasStarted() {
				t.Fatal("it takes part before it is replaced")
			}
			f.loss = 0.1
			f.until(2000, "replaced", func() bool {
				l := f.leader()
				return l != nil && l.log.ReplaceVoter(lost) == nil && f.voters[lost].log.HasStarted()
			})
			f.loss = 0
			f.until(500, "caught up", func() bool { return slices.Contains(f.voters[lost].applied, uint64(n-1)) })
			down := (lost + 1) % voters // now the new one is needed for a majority of three
			f.stop(down)
			agree(500)
			f.start(down)
		}
		for i := range f.voters {
			f.stop(i)
		}
		for i := range f.voters {
			f.start(i)
		}
		agree(500)
		f.until(500, "all have all", func() bool {
			for _, v := range f.voters {
				if !slices.Contains(v.applied, uint64(n-1)) {
					return false
				}
			}
			return true
		})
		for i, v := range f.voters {
			at := uint64(0)
			for _, x := range v.applied { // an entry that was proposed again may stand twice
				if x != at && x+1 != at {
					t.Fatalf("voter %d: entry %d after %d", i, x, at)
				}
				at = x + 1
			}
		}
		if err := f.leader().log.ReplaceVoter(0); err == nil {
			t.Error("a voter that has its disk is replaced")
		}
	}
}

// Whatever byte of the file is changed or missing, the file is refused in one line or holds what it held.
func TestPolicyLogDamaged(t *testing.T) {
	t.Parallel()
	f := newCluster(t, 1)
	f.until(100, "a leader", func() bool { return f.leader() != nil })
	for n := range 50 {
		f.leader().log.Propose(entry(n))
		f.tick()
	}
	f.stop(0)
	path := filepath.Join(f.dirs[0], "policy.log")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	try := func(what string, b []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "policy.log"), b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := OpenDisk(vfs.OS{}, dir)
		if err == nil {
			_, err = d.load()
		}
		if err == nil {
			return
		}
		if refused++; !errors.Is(err, ErrDamaged) && !strings.Contains(err.Error(), "newer") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q", what, err)
		}
	}
	for n := range 60 {
		bad := append([]byte(nil), good...)
		i := f.rng.IntN(len(bad))
		for j := i; j < min(len(bad), i+64); j++ {
			bad[j] ^= byte(1 + f.rng.IntN(255))
		}
		try(fmt.Sprint("changed at ", i), bad)
		if n%2 == 0 {
			try(fmt.Sprint("cut at ", i), good[:i])
		}
	}
	if refused < 10 {
		t.Errorf("%d of 80 damaged files were refused", refused)
	}
}

func FuzzPolicyLogMessages(f *testing.F) {
	f.Add([]byte("B\x01\x00"))
	f.Add([]byte("R\x08\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		fl := newCluster(t, 3)
		for range 10 {
			fl.tick()
		}
		fl.voters[0].log.Step(1, b)
		fl.voters[0].log.Work()
	})
}

// delayWrites has a voter's writes wait in a list; write does the first of them.
func (f *cluster) delayWrites(i int) (write func()) {
	type job struct {
		write func() error
		done  func(error)
	}
	var jobs []job
	v := f.voters[i]
	v.log.cfg.WriteAsync = func(write func() error, done func(error)) { jobs = append(jobs, job{write, done}) }
	return func() {
		if len(jobs) > 1 {
			f.t.Errorf("voter %d has %d writes under way", i, len(jobs))
		}
		if len(jobs) > 0 && v.log != nil {
			j := jobs[0]
			jobs = nil
			j.done(j.write())
			v.log.Work()
		}
	}
}

// A disk that stands still stops nobody but its own voter, whether it leads or follows: the others decide and read, another one leads, and it
// has all once its disk goes on. What it did not keep it does not count.
func TestPolicyLogStuckDisk(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		f := newCluster(t, 3)
		f.until(200, "a leader", func() bool { return f.leader() != nil })
		f.leader().log.Propose(entry(0))
		f.until(50, "agreed", func() bool {
			return len(f.voters[0].applied) == 1 && len(f.voters[1].applied) == 1 && len(f.voters[2].applied) == 1
		})
		stuck := slices.IndexFunc(f.voters, func(v *voter) bool { return (v == f.leader()) == leads })
		write := f.delayWrites(stuck)
		f.leader().log.Propose(entry(1))
		f.leader().log.Work()
		f.until(20, "another one leads", func() bool { l := f.leader(); return l != nil && l != f.voters[stuck] })
		f.until(5, "agreed by two", func() bool { return len(f.leader().applied) == 2 })
		l := f.leader()
		l.log.ConfirmRead(3)
		l.log.Work()
		f.until(5, "a read", func() bool { return l.reads == 1 })
		if n := len(f.voters[stuck].applied); n != 1 {
			t.Errorf("the voter whose disk stands still has applied %d entries", n)
		}
		for n := range 1500 { // long
			if l := f.leader(); l != nil && n%2 == 0 {
				l.log.Propose(entry(2))
			}
			f.tick()
		}
		if n := len(f.voters[stuck].log.writes.waiting); n > maxWaiting+20 {
			t.Errorf("%d things wait for the disk", n)
		}
		f.until(200, "all have all", func() bool { write(); return len(f.voters[stuck].applied) == len(f.leader().applied) })
	}
}

// Voters whose writes are late by chance, and that are killed with writes under way: what one of them has applied all have in the end, in the same
// order, and no majority forgets it. A voter that counts what it has not kept is found.
func TestPolicyLogLateWrites(t *testing.T) {
	t.Parallel()
	play := func(seed uint64, broken bool) (wrong string) {
		f := newCluster(t, 3)
		f.rng = rand.New(rand.NewPCG(seed, 5))
		f.until(200, "a leader", func() bool { return f.leader() != nil })
		writes := make([]func(), 3)
		late := func(i int) {
			writes[i] = f.delayWrites(i)
			if broken { // it says so, and keeps one in five
				f.voters[i].log.cfg.WriteAsync = func(write func() error, done func(error)) {
					if f.rng.IntN(5) == 0 {
						write()
					}
					done(nil)
				}
				writes[i] = func() {}
			}
		}
		for i := range 3 {
			late(i)
		}
		var order []uint64 // as applied first by anybody
		check := func() bool {
			for i, v := range f.voters {
				for n, x := range v.applied {
					if n == len(order) {
						order = append(order, x)
					}
					if order[n] != x {
						wrong = fmt.Sprintf("seed %d: voter %d has %d at %d, not %d", seed, i, x, n, order[n])
						return false
					}
				}
			}
			return true
		}
		n := 0
		f.loss = 0.05
		for range 400 {
			if l := f.leader(); l != nil && f.rng.IntN(2) == 0 {
				l.log.Propose(entry(n))
				n++
			}
			f.tick()
			for i := range 3 {
				if f.rng.IntN(3) == 0 {
					writes[i]()
				}
			}
			if f.rng.IntN(15) == 0 {
				for _, i := range f.rng.Perm(3)[:1+f.rng.IntN(3)] { // one, two or all: with what was not written
					f.stop(i)
					f.start(i)
					late(i)
				}
			}
			if !check() {
				return wrong
			}
			for i, v := range f.voters {
				if v.log.failure != nil {
					return fmt.Sprintf("seed %d: voter %d: %v", seed, i, v.log.failure)
				}
			}
		}
		f.loss = 0
		end := func() bool {
			for i := range 3 {
				writes[i]()
			}
			return check() && len(f.voters[0].applied) == len(order) && len(f.voters[1].applied) == len(order) && len(f.voters[2].applied) == len(order)
		}
		for range 500 {
			if end() {
				return ""
			}
			f.tick()
		}
		if wrong == "" {
			wrong = fmt.Sprintf("seed %d: of %d that were applied the voters have %d, %d, %d in the end", seed, len(order), len(f.voters[0].applied), len(f.voters[1].applied), len(f.voters[2].applied))
		}
		return wrong
	}
	found := false // raft draws its time-outs itself, so no seed plays alike
	for seed := range uint64(20) {
		if wrong := play(seed, false); wrong != "" {
			t.Error(wrong)
		}
		found = found || play(seed, true) != ""
	}
	if !found {
		t.Error("voters that count what they have not kept were not found")
	}
}

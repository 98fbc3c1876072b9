package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"gapgap/internal/fake/power"
	"gapgap/internal/vfs"
)

func options(fs vfs.FS) Options {
	return Options{FS: fs, Dir: ".", Kind: "test", Version: 1, Segment: 400, Most: 64}
}

func open(fs vfs.FS) (*Log, []string, Found, error) {
	var all []string
	l, found, err := Open(options(fs), func(b []byte) error { all = append(all, string(b)); return nil })
	return l, all, found, err
}

// work is a long run: records in batches, drops, failures that are gone on from, starts anew. It returns what was kept, from the first that was not dropped
// on, and what was added behind that without being synced, when the power goes.
type work struct {
	fs       *power.Disk
	l        *Log
	kept     []string // that Sync has kept, whole batches ...
	segment  []uint64 // ... and in which segment each is
	open     []string // added since
	maybe    int      // of the kept, the first so many may be dropped already
	n        int
	failedBy []string // added and then failed: there or not
}

func (w *work) run(steps int, rng *rand.Rand) error {
	for range steps {
		switch rng.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			for range 1 + rng.IntN(3) {
				s := fmt.Sprintf("record %d %0*d", w.n, rng.IntN(40), 7)
				w.n++
				w.open = append(w.open, s)
				if err := w.l.Append([]byte(s)); err != nil {
					return err
				}
			}
			at := w.l.Segment()
			if err := w.l.Sync(); err != nil {
				return err
			}
			for _, s := range w.open {
				w.kept, w.segment = append(w.kept, s), append(w.segment, at)
			}
			w.open = nil
		case 6:
			if err := w.l.Cut(); err != nil {
				return err
			}
		case 7:
			before := w.l.Segment() - min(w.l.Segment(), 2)
			for w.maybe < len(w.kept) && w.segment[w.maybe] < before {
				w.maybe++
			}
			if err := w.l.Drop(before); err != nil {
				return err
			}
		case 8: // the disk is full for a moment
			s := fmt.Sprintf("lost %d", w.n)
			if err := w.l.Append([]byte(s)); err != nil {
				return err
			}
			w.failedBy = append(w.failedBy, s)
			w.fs.Fault = syscall.ENOSPC
			err := w.l.Sync()
			if w.fs.Fault = nil; !errors.Is(err, ErrFailed) {
				return err
			}
			if err := w.l.Append(nil); !errors.Is(err, ErrFailed) {
				return fmt.Errorf("after a failure: %w", err)
			}
			if err := w.l.Again(); err != nil {
				return err
			}
		case 9: // started anew, with no loss of power
			l, _, _, err := open(w.fs)
			if err != nil {
				return err
			}
			w.l = l
		}
	}
	return nil
}

// agree says whether what was read is what must be there: a stretch of the kept that leaves none out at the end, then some of what was under way.
func (w *work) agree(got []string) error {
	first := 0
	if len(w.kept) > 0 && len(got) > 0 {
		first = slices.Index(w.kept, got[0])
	}
	var want []string
	if first >= 0 && first <= w.maybe {
		want = w.kept[first:]
	} else {
		want = w.kept[w.maybe:]
	}
	if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
		return fmt.Errorf("%d records, not the %d that were kept: %q ... %q", len(got), len(want), got, want)
	}
	more := got[len(want):]
	if len(more) > len(w.open) || !slices.Equal(more, w.open[:len(more)]) {
		if len(more) == 1 && len(w.failedBy) > 0 && more[0] == w.failedBy[len(w.failedBy)-1] {
			return nil // the failure was that of the power
		}
		return fmt.Errorf("behind what was kept there is %q, of %q", more, w.open)
	}
	return nil
}

// The power is cut at each operation of a long run, each write and each sync, with what was not synced kept, lost, in part, torn and out of order: what Sync has
// kept is there, nothing else but what was under way, and the log goes on.
func TestPowerCutAtEachWriteAndSync(t *testing.T) {
	play := func(cut int, seed uint64) (*work, error) {
		w := &work{fs: power.NewDisk(nil)}
		w.fs.CutAt = cut
		l, _, _, err := open(w.fs)
		if err != nil {
			return w, err
		}
		w.l = l
		return w, w.run(120, rand.New(rand.NewPCG(seed, 1)))
	}
	images := 0
	for seed := range uint64(3) {
		whole, err := play(0, seed)
		if err != nil {
			t.Fatal(err)
		}
		for cut := 1; cut <= whole.fs.Ops; cut++ {
			w, err := play(cut, seed)
			if err != nil && !errors.Is(err, power.ErrCut) {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			for n := range 8 {
				rng := rand.New(rand.NewPCG(seed<<32|uint64(cut), uint64(n)))
				fs := power.NewDisk(w.fs.Cut(power.How(n%power.Hows), rng))
				l, got, _, err := open(fs)
				if err == nil {
					err = w.agree(got)
				}
				if err == nil { // it goes on, and so does what was read
					err = errors.Join(l.Append([]byte("after")), l.Sync())
				}
				if err == nil {
					if _, again, _, e := open(fs); e != nil || !slices.Equal(again, append(got, "after")) {
						err = fmt.Errorf("read again: %q, %w", again, e)
					}
				}
				if err != nil {
					t.Fatalf("seed %d, cut at operation %d, image %d: %v", seed, cut, n, err)
				}
				images++
			}
		}
	}
	t.Logf("%d images", images)
}

// A flipped bit in what was synced before the last sync is never read past, and nothing wrong is ever read.
func TestPowerFlippedBits(t *testing.T) {
	fs := power.NewDisk(nil)
	l, _, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	var kept []string
	for n := range 24 {
		kept = append(kept, fmt.Sprint("record ", n))
		if err := errors.Join(l.Append([]byte(kept[n])), l.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	image := fs.Cut(power.Kept, nil)
	last := ""
	for path := range image {
		last = max(last, path)
	}
	_, _, found, err := open(power.NewDisk(image))
	if err != nil || found.Segments < 2 {
		t.Fatalf("%+v, %v", found, err)
	}
	refused, torn := 0, 0
	for path, b := range image {
		for i := range b {
			for _, bad := range [][]byte{flip(b, i), b[:i]} {
				image[path] = bad
				_, got, _, err := open(power.NewDisk(image))
				switch {
				case errors.Is(err, ErrDamaged) || errors.Is(err, ErrNewer):
					refused++
				case err != nil:
					t.Fatalf("%s, byte %d: %v", path, i, err)
				case path == last && len(got) < len(kept) && slices.Equal(got, kept[:len(got)]): // as a tear
					torn++
					if len(bad) == len(b) && len(got) < len(kept)-1 {
						t.Fatalf("%s, byte %d flipped: %d of %d are read", path, i, len(got), len(kept))
					}
				case !slices.Equal(got, kept):
					t.Fatalf("%s, byte %d: read as %q", path, i, got)
				}
			}
		}
		image[path] = b
	}
	if refused == 0 || torn == 0 {
		t.Errorf("%d refused, %d taken for torn", refused, torn)
	}
	for _, other := range []Options{{FS: power.NewDisk(image), Dir: ".", Kind: "other", Version: 1, Segment: 400, Most: 64},
		{FS: power.NewDisk(image), Dir: ".", Kind: "test", Segment: 400, Most: 64}} {
		if _, _, err := Open(other, func([]byte) error { return nil }); err == nil {
			t.Errorf("a log of another kind or a newer version is opened: %+v", other)
		}
	}
}

func flip(b []byte, i int) []byte {
	bad := slices.Clone(b)
	bad[i] ^= 0x10
	return bad
}

// Much that is added at once goes into as many segments as it takes, each of which can be read.
func TestMuchAtOnce(t *testing.T) {
	fs := power.NewDisk(nil)
	o := options(fs)
	o.Segment = 2 << 20
	l, _, err := Open(o, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	const records, bytes = 40, 300 << 10 // 12 MB
	for range records {
		if err := l.Append(make([]byte, bytes)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	n := 0
	if _, found, err := Open(o, func(b []byte) error { n++; return nil }); err != nil || n != records || found.Segments < 4 {
		t.Errorf("%d records, %+v, %v", n, found, err)
	}
}

// What grows is bounded: a log has so many segments at most, and says so.
func TestLogIsBounded(t *testing.T) {
	l, _, _, err := open(power.NewDisk(nil))
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		if err = l.Cut(); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) || l.Segments() != 64 {
		t.Errorf("%d segments, %v", l.Segments(), err)
	}
	if err := errors.Join(l.Drop(l.Segment()), l.Again(), l.Append([]byte("x")), l.Sync()); err != nil {
		t.Errorf("with room again: %v", err)
	}
}

func FuzzSegment(f *testing.F) {
	fs := power.NewDisk(nil)
	l, _, _, err := open(fs)
	if err != nil {
		f.Fatal(err)
	}
	for range 3 {
		l.Append([]byte("abc"))
		l.Sync()
	}
	for _, b := range fs.Cut(power.Kept, nil) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, _, err := open(power.NewDisk(map[string][]byte{name(1): b})); err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Errorf("%v", err)
		}
	})
}

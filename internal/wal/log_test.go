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

func testOptions(fs vfs.FS) Options {
	return Options{FS: fs, Dir: ".", Kind: "test", Version: 1, SegmentBytes: 400, MaxSegments: 64}
}

// openAll opens a log and returns its records.
func openAll(fs vfs.FS) (*Log, []string, OpenStats, error) {
	var records []string
	log, stats, err := Open(testOptions(fs), func(record []byte) error {
		records = append(records, string(record))
		return nil
	})
	return log, records, stats, err
}

// mustOpen opens a log without use for its records.
func mustOpen(t testing.TB, fs vfs.FS) *Log {
	t.Helper()
	log, _, _, err := openAll(fs)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// workload is a long run of batches, rotations, drops, write failures and restarts, with what must be stored.
type workload struct {
	disk *power.Disk
	log  *Log
	// synced are the records that Sync has stored, syncedIn the segment of each.
	synced   []string
	syncedIn []uint64
	// droppable is how many of the synced records, the oldest, may have been dropped.
	droppable int
	// pending are the records appended since the last sync.
	pending []string
	// failed are the records whose sync has failed; each may be stored or not.
	failed []string
	// recordCount numbers the records.
	recordCount int
}

// run takes random steps.
func (w *workload) run(steps int, rng *rand.Rand) error {
	for range steps {
		var err error
		switch rng.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			err = w.appendBatch(rng)
		case 6:
			err = w.log.Rotate()
		case 7:
			err = w.drop()
		case 8:
			err = w.failAndResume()
		case 9:
			w.log, _, _, err = openAll(w.disk)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// appendBatch appends some records and syncs them.
func (w *workload) appendBatch(rng *rand.Rand) error {
	for range 1 + rng.IntN(3) {
		record := fmt.Sprintf("record %d %0*d", w.recordCount, rng.IntN(40), 7)
		w.recordCount++
		w.pending = append(w.pending, record)
		if err := w.log.Append([]byte(record)); err != nil {
			return err
		}
	}
	segment := w.log.CurrentSegment()
	if err := w.log.Sync(); err != nil {
		return err
	}
	for _, record := range w.pending {
		w.synced = append(w.synced, record)
		w.syncedIn = append(w.syncedIn, segment)
	}
	w.pending = nil
	return nil
}

// drop drops all segments but the last two or three.
func (w *workload) drop() error {
	before := w.log.CurrentSegment() - min(w.log.CurrentSegment(), 2)
	for w.droppable < len(w.synced) && w.syncedIn[w.droppable] < before {
		w.droppable++
	}
	return w.log.DropBefore(before)
}

// failAndResume appends a record while the disk is full.
func (w *workload) failAndResume() error {
	record := fmt.Sprintf("lost %d", w.recordCount)
	if err := w.log.Append([]byte(record)); err != nil {
		return err
	}
	w.failed = append(w.failed, record)
	w.disk.Fault = syscall.ENOSPC
	err := w.log.Sync()
	w.disk.Fault = nil
	if !errors.Is(err, ErrFailed) {
		return err
	}
	if err := w.log.Append(nil); !errors.Is(err, ErrFailed) {
		return errors.Join(errors.New("a record is taken after a failure"), err)
	}
	return w.log.Resume()
}

// check compares records that were read after a power loss with those that must be there: the synced ones without a gap
// at the end, then some of the pending ones.
func (w *workload) check(got []string) error {
	first := 0
	if len(w.synced) > 0 && len(got) > 0 {
		first = slices.Index(w.synced, got[0])
	}
	want := w.synced
	if first >= 0 && first <= w.droppable {
		want = w.synced[first:]
	} else {
		want = want[w.droppable:]
	}
	if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
		return fmt.Errorf("%d records, not the %d that were synced: %q, want %q", len(got), len(want), got, want)
	}
	rest := got[len(want):]
	if len(rest) <= len(w.pending) && slices.Equal(rest, w.pending[:len(rest)]) {
		return nil
	}
	if len(rest) == 1 && len(w.failed) > 0 && rest[0] == w.failed[len(w.failed)-1] {
		return nil // the power loss was the failure
	}
	return fmt.Errorf("the synced records are followed by %q, of %q", rest, w.pending)
}

// runWorkload runs a workload until the power is cut at an operation; zero: never.
func runWorkload(cutAt int, seed uint64) (*workload, error) {
	w := &workload{disk: power.NewDisk(nil)}
	w.disk.CutAt = cutAt
	log, _, _, err := openAll(w.disk)
	if err != nil {
		return w, err
	}
	w.log = log
	return w, w.run(120, rand.New(rand.NewPCG(seed, 1)))
}

// checkAfterPowerLoss opens a log from what a power loss has left, checks it, and appends a record that the next Open
// must read.
func (w *workload) checkAfterPowerLoss(files map[string][]byte) error {
	disk := power.NewDisk(files)
	log, got, _, err := openAll(disk)
	if err != nil {
		return err
	}
	if err := w.check(got); err != nil {
		return err
	}
	if err := errors.Join(log.Append([]byte("after")), log.Sync()); err != nil {
		return err
	}
	if _, again, _, err := openAll(disk); err != nil || !slices.Equal(again, append(got, "after")) {
		return fmt.Errorf("read again: %q, %w", again, err)
	}
	return nil
}

// TestPowerCutAtEachWriteAndSync cuts the power at each operation of a long run, with what was not synced stored, lost,
// in part, torn and out of order: what Sync has stored is there, else only what was pending, and the log goes on.
func TestPowerCutAtEachWriteAndSync(t *testing.T) {
	images := 0
	for seed := range uint64(3) {
		complete, err := runWorkload(0, seed)
		if err != nil {
			t.Fatal(err)
		}
		for cutAt := 1; cutAt <= complete.disk.Ops; cutAt++ {
			w, err := runWorkload(cutAt, seed)
			if err != nil && !errors.Is(err, power.ErrCut) {
				t.Fatalf("cut at %d: %v", cutAt, err)
			}
			for n := range 8 {
				rng := rand.New(rand.NewPCG(seed<<32|uint64(cutAt), uint64(n)))
				if err := w.checkAfterPowerLoss(w.disk.Cut(power.How(n%power.Hows), rng)); err != nil {
					t.Fatalf("seed %d, cut at operation %d, image %d: %v", seed, cutAt, n, err)
				}
				images++
			}
		}
	}
	t.Logf("%d images", images)
}

// damagedLog is a log of several segments of which one file at a time is damaged.
type damagedLog struct {
	records []string
	files   map[string][]byte
	// lastFile is the path of the last segment.
	lastFile string
	// refused and torn count how damage was taken.
	refused, torn int
}

// newDamagedLog writes a log of several segments, a sync for each record.
func newDamagedLog(t *testing.T) *damagedLog {
	t.Helper()
	disk := power.NewDisk(nil)
	log := mustOpen(t, disk)
	d := &damagedLog{}
	for n := range 24 {
		d.records = append(d.records, fmt.Sprint("record ", n))
		if err := errors.Join(log.Append([]byte(d.records[n])), log.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	d.files = disk.Cut(power.Kept, nil)
	for path := range d.files {
		d.lastFile = max(d.lastFile, path)
	}
	if _, _, stats, err := openAll(power.NewDisk(d.files)); err != nil || stats.Segments < 2 {
		t.Fatalf("%+v, %v", stats, err)
	}
	return d
}

// check opens the log with a file's content replaced from an offset on. It must be refused, read without a difference,
// or taken for torn at the end.
func (d *damagedLog) check(t *testing.T, path string, offset int, damaged []byte) {
	t.Helper()
	intact := d.files[path]
	d.files[path] = damaged
	_, got, _, err := openAll(power.NewDisk(d.files))
	d.files[path] = intact
	switch {
	case errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNewerVersion):
		d.refused++
	case err != nil:
		t.Fatalf("%s, byte %d: %v", path, offset, err)
	case path == d.lastFile && len(got) < len(d.records) && slices.Equal(got, d.records[:len(got)]):
		d.torn++
		isFlipped := len(damaged) == len(intact)
		if isFlipped && len(got) < len(d.records)-1 {
			t.Fatalf("%s, byte %d flipped: %d of %d are read", path, offset, len(got), len(d.records))
		}
	case !slices.Equal(got, d.records):
		t.Fatalf("%s, byte %d: read as %q", path, offset, got)
	}
}

// TestPowerFlippedBits flips a bit of each byte and cuts the files at each byte: damage to what was stored before the
// last sync is refused, and no damaged record is read.
func TestPowerFlippedBits(t *testing.T) {
	d := newDamagedLog(t)
	for path, content := range d.files {
		for offset := range content {
			d.check(t, path, offset, flipBit(content, offset))
			d.check(t, path, offset, content[:offset])
		}
	}
	if d.refused == 0 || d.torn == 0 {
		t.Errorf("%d refused, %d taken for torn", d.refused, d.torn)
	}
}

// TestOpenRefusesOtherLogs opens a log as one of another kind and with an older program.
func TestOpenRefusesOtherLogs(t *testing.T) {
	files := newDamagedLog(t).files
	cases := []struct {
		name   string
		change func(*Options)
		want   error
	}{
		{"another kind", func(o *Options) { o.Kind = "other" }, ErrCorrupt},
		{"a newer version", func(o *Options) { o.Version = 0 }, ErrNewerVersion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := testOptions(power.NewDisk(files))
			c.change(&options)
			if _, _, err := Open(options, func([]byte) error { return nil }); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// flipBit returns a copy with a bit of one byte flipped.
func flipBit(b []byte, offset int) []byte {
	damaged := slices.Clone(b)
	damaged[offset] ^= 0x10
	return damaged
}

// TestLargeBatch syncs more at once than a segment holds: it goes into several segments, each of which can be read.
func TestLargeBatch(t *testing.T) {
	const records, recordBytes = 40, 300 << 10
	options := testOptions(power.NewDisk(nil))
	options.SegmentBytes = 2 << 20
	log, _, err := Open(options, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for range records {
		if err := log.Append(make([]byte, recordBytes)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	n := 0
	_, stats, err := Open(options, func([]byte) error { n++; return nil })
	if err != nil || n != records || stats.Segments < 4 {
		t.Errorf("%d records, %+v, %v", n, stats, err)
	}
}

// TestAppendRefusesLargeRecord holds that a record too large for a frame is refused and the log works on.
func TestAppendRefusesLargeRecord(t *testing.T) {
	log := mustOpen(t, power.NewDisk(nil))
	var tooLarge *RecordTooLargeError
	if err := log.Append(make([]byte, maxFrameBytes)); !errors.As(err, &tooLarge) || tooLarge.Bytes != maxFrameBytes {
		t.Errorf("got %v", err)
	}
	if err := errors.Join(log.Append(make([]byte, maxFrameBytes-1)), log.Sync()); err != nil {
		t.Error(err)
	}
}

// TestSegmentsAreLimited rotates until the log is full, and goes on after segments were dropped.
func TestSegmentsAreLimited(t *testing.T) {
	log := mustOpen(t, power.NewDisk(nil))
	var err error
	for range 200 {
		if err = log.Rotate(); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) || log.SegmentCount() != 64 {
		t.Errorf("%d segments, %v", log.SegmentCount(), err)
	}
	err = errors.Join(log.DropBefore(log.CurrentSegment()), log.Resume(), log.Append([]byte("x")), log.Sync())
	if err != nil {
		t.Errorf("after segments were dropped: %v", err)
	}
}

// FuzzSegment opens arbitrary bytes as a segment. All errors are typed.
func FuzzSegment(f *testing.F) {
	disk := power.NewDisk(nil)
	log := mustOpen(f, disk)
	for range 3 {
		if err := errors.Join(log.Append([]byte("abc")), log.Sync()); err != nil {
			f.Fatal(err)
		}
	}
	for _, content := range disk.Cut(power.Kept, nil) {
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		disk := power.NewDisk(map[string][]byte{segmentName(1): content})
		_, _, _, err := openAll(disk)
		if err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) {
			t.Errorf("%v", err)
		}
	})
}

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

// openAll opens a log and returns it with its records.
func openAll(fs vfs.FS) (*Log, []string, OpenStats, error) {
	var records []string
	log, stats, err := Open(testOptions(fs), func(record []byte) error {
		records = append(records, string(record))
		return nil
	})
	return log, records, stats, err
}

// mustOpen opens a log and ignores its records.
func mustOpen(t testing.TB, fs vfs.FS) *Log {
	t.Helper()
	log, _, _, err := openAll(fs)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// workload runs batches, rotations, drops, write failures and restarts on a log, and tracks which records must be
// stored.
type workload struct {
	disk *power.Disk
	log  *Log
	// synced are the records that Sync has stored, syncedIn the segment number of each.
	synced   []string
	syncedIn []uint64
	// droppable is how many of the oldest synced records may have been dropped.
	droppable int
	// pending are the records appended since the last sync.
	pending []string
	// failed are the records whose sync has failed. Each of them may or may not be stored.
	failed []string
	// recordCount is the number of the next record.
	recordCount int
}

// run performs random operations.
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

// drop drops all segments except the current one and the two before it.
func (w *workload) drop() error {
	before := w.log.CurrentSegment() - min(w.log.CurrentSegment(), 2)
	for w.droppable < len(w.synced) && w.syncedIn[w.droppable] < before {
		w.droppable++
	}
	return w.log.DropBefore(before)
}

// failAndResume fails a sync with a full disk, checks that the log rejects records, and resumes it.
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
		return errors.Join(errors.New("Append accepted a record after a failed sync"), err)
	}
	return w.log.Resume()
}

// check compares the records read after a power loss with the expected ones: all synced records except dropped ones,
// followed by none, some or all of the pending ones in order, or by the last failed one.
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
		return fmt.Errorf("read %d records, want the %d synced ones: got %q, want %q", len(got), len(want), got, want)
	}
	rest := got[len(want):]
	if len(rest) <= len(w.pending) && slices.Equal(rest, w.pending[:len(rest)]) {
		return nil
	}
	if len(rest) == 1 && len(w.failed) > 0 && rest[0] == w.failed[len(w.failed)-1] {
		return nil // the sync failed because of the power loss
	}
	return fmt.Errorf("the synced records are followed by %q, want the pending records %q", rest, w.pending)
}

// runWorkload runs a workload until the power is cut at operation number cutAt; zero means never.
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

// checkAfterPowerLoss opens a log from the files left by a power loss and checks its records. It then appends a record
// and checks that the next Open reads it.
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
		return fmt.Errorf("after reopening: %q, %w", again, err)
	}
	return nil
}

// TestPowerCutAtEachWriteAndSync verifies that a log survives a power cut at any disk operation: all synced records are
// read, followed only by pending ones, and the log accepts new records. Unsynced writes are kept, lost, partly written,
// torn or reordered.
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
				t.Fatalf("cut at operation %d: %v", cutAt, err)
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
	t.Logf("checked %d disk images", images)
}

// damagedLog is a log with several segments, of which one file at a time is corrupted.
type damagedLog struct {
	records []string
	files   map[string][]byte
	// lastFile is the path of the last segment.
	lastFile string
	// rejected counts the corruptions that Open rejected, torn those that it discarded as a torn tail.
	rejected, torn int
}

// newDamagedLog writes an intact log with several segments, syncing after each record.
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

// check opens the log with the content of one file replaced by damaged, which differs from offset on. Open must reject
// the log, read all records unchanged, or discard the end of the last segment as a torn tail. A flipped bit must not
// discard more than the last record.
func (d *damagedLog) check(t *testing.T, path string, offset int, damaged []byte) {
	t.Helper()
	intact := d.files[path]
	d.files[path] = damaged
	_, got, _, err := openAll(power.NewDisk(d.files))
	d.files[path] = intact
	switch {
	case errors.Is(err, ErrCorrupt) || errors.Is(err, ErrNewerVersion):
		d.rejected++
	case err != nil:
		t.Fatalf("%s, byte %d: %v", path, offset, err)
	case path == d.lastFile && len(got) < len(d.records) && slices.Equal(got, d.records[:len(got)]):
		d.torn++
		isFlipped := len(damaged) == len(intact)
		if isFlipped && len(got) < len(d.records)-1 {
			t.Fatalf("%s, bit flipped in byte %d: %d of %d records were read", path, offset, len(got), len(d.records))
		}
	case !slices.Equal(got, d.records):
		t.Fatalf("%s, byte %d: read as %q", path, offset, got)
	}
}

// TestPowerFlippedBits verifies that corruption of data stored before the last sync is rejected and that no corrupt
// record is read. It flips a bit of each byte and truncates the files at each byte.
func TestPowerFlippedBits(t *testing.T) {
	d := newDamagedLog(t)
	for path, content := range d.files {
		for offset := range content {
			d.check(t, path, offset, flipBit(content, offset))
			d.check(t, path, offset, content[:offset])
		}
	}
	if d.rejected == 0 || d.torn == 0 {
		t.Errorf("%d corruptions were rejected, %d discarded as a torn tail", d.rejected, d.torn)
	}
}

// TestOpenRefusesOtherLogs verifies that Open rejects a log of another kind and one with a newer record version.
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

// flipBit returns a copy of b with one bit of the byte at offset flipped.
func flipBit(b []byte, offset int) []byte {
	damaged := slices.Clone(b)
	damaged[offset] ^= 0x10
	return damaged
}

// TestLargeBatch verifies that a batch larger than a segment is split into several segments and can be read back.
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

// TestAppendRefusesLargeRecord verifies that Append rejects a record that exceeds a frame, and that the log still works
// afterwards.
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

// TestSegmentsAreLimited verifies that Rotate fails with ErrFull at MaxSegments, and that the log can be resumed once
// segments have been dropped.
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
		t.Errorf("resume after dropping segments: %v", err)
	}
}

// FuzzSegment verifies that opening a segment with arbitrary content returns only ErrCorrupt or ErrNewerVersion.
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
			t.Errorf("unexpected error: %v", err)
		}
	})
}

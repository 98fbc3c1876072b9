package wal

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"gapgap/internal/fake/power"
	"gapgap/internal/golden"
)

// goldenErrors lists the errors that a trace identifies by their index.
var goldenErrors = []error{ErrCorrupt, ErrNewerVersion, ErrFailed, ErrFull}

// hashError adds the index of an error in goldenErrors and its text to a trace.
func hashError(trace *golden.Trace, err error) {
	if err == nil {
		trace.Int(-1)
		return
	}
	for i, known := range goldenErrors {
		if errors.Is(err, known) {
			trace.Int(int64(i))
		}
	}
	trace.String(err.Error())
}

// hashFiles adds the paths and contents of all files to a trace.
func hashFiles(trace *golden.Trace, files map[string][]byte) {
	for _, path := range slices.Sorted(maps.Keys(files)) {
		trace.String(path)
		trace.String(string(files[path]))
	}
}

// hashLog runs random operations on a log, opens copies of its files after power cuts and corruption, and returns the
// hash of all results.
func hashLog(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 93))
	trace := golden.NewTrace()
	disk := power.NewDisk(nil)
	openAndHash := func(fs *power.Disk) *Log {
		log, records, stats, err := openAll(fs)
		hashError(trace, err)
		trace.Int(int64(len(records)))
		for _, record := range records {
			trace.String(record)
		}
		trace.Int(int64(stats.Segments))
		trace.Int(int64(stats.Records))
		trace.Int(stats.TornBytes)
		return log
	}
	log := openAndHash(disk)
	for step := range 200 {
		switch rng.IntN(12) {
		case 0, 1, 2, 3, 4, 5:
			for range 1 + rng.IntN(3) {
				hashError(trace, log.Append(fmt.Appendf(nil, "record %d %0*d", step, rng.IntN(60), 7)))
			}
		case 6:
			hashError(trace, log.Rotate())
		case 7:
			hashError(trace, log.DropBefore(log.CurrentSegment()-min(log.CurrentSegment(), uint64(rng.IntN(6)))))
		case 8:
			hashError(trace, log.Append([]byte("lost")))
			disk.Fault = syscall.ENOSPC
			hashError(trace, log.Sync())
			disk.Fault = nil
			hashError(trace, log.Append(nil))
			hashError(trace, log.Resume())
		case 9:
			log = openAndHash(disk)
		case 10:
			hashError(trace, log.Append(make([]byte, 1<<20)))
		}
		trace.Bool(log.IsDirty())
		if rng.IntN(2) == 0 {
			hashError(trace, log.Sync())
		}
		trace.Bool(log.Err() != nil)
		trace.Uint(log.CurrentSegment())
		trace.Int(int64(log.SegmentCount()))
	}
	hashFiles(trace, disk.Cut(power.Kept, nil))
	for n := range 40 {
		files := disk.Cut(power.How(n%power.Hows), rng)
		if n >= 20 {
			corruptRandomFile(files, rng)
		}
		after := power.NewDisk(files)
		openAndHash(after)
		hashFiles(trace, after.Cut(power.Kept, nil))
	}
	return trace.Sum()
}

// corruptRandomFile flips a bit of a file, truncates the file or removes it.
func corruptRandomFile(files map[string][]byte, rng *rand.Rand) {
	paths := slices.Sorted(maps.Keys(files))
	if len(paths) == 0 {
		return
	}
	path := paths[rng.IntN(len(paths))]
	if len(files[path]) == 0 {
		return
	}
	at := rng.IntN(len(files[path]))
	switch rng.IntN(6) {
	case 0:
		delete(files, path)
	case 1:
		files[path] = files[path][:at]
	default:
		files[path] = flipBit(files[path], at)
	}
}

// TestGoldenTraces verifies that logs write, read and reject the same data as in the recorded traces.
func TestGoldenTraces(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/log.txt")
	for seed := range uint64(12) {
		name := fmt.Sprint("log/", seed)
		recorded.CheckRun(t, name, func() string { return hashLog(t, seed) })
	}
	recorded.CheckAllRun(t)
}

// TestGoldenSegments verifies the encoding of segments, and that Open reads the recorded ones.
func TestGoldenSegments(t *testing.T) {
	disk := power.NewDisk(nil)
	log, _, _, err := openAll(disk)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"first", "second", "third", "fourth"}
	for _, record := range want[:3] {
		if err := errors.Join(log.Append([]byte(record)), log.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(log.Rotate(), log.Append([]byte(want[3])), log.Sync()); err != nil {
		t.Fatal(err)
	}
	files := disk.Cut(power.Kept, nil)
	recorded := map[string][]byte{}
	for _, name := range []string{"0000000000000001.log", "0000000000000002.log"} {
		golden.CheckBytes(t, "testdata/golden/"+name+".hex", hexLines(files[name]))
		recorded[name] = bytesOfHexLines(t, golden.Read(t, "testdata/golden/"+name+".hex"))
	}
	if len(files) != len(recorded) {
		t.Errorf("%d files", len(files))
	}
	_, got, stats, err := openAll(power.NewDisk(recorded))
	if err != nil || !slices.Equal(got, want) || stats != (OpenStats{Segments: 2, Records: 4}) {
		t.Errorf("recorded segments are read as %q, %+v, %v", got, stats, err)
	}
}

// hexLines encodes bytes as lines of hexadecimal digits.
func hexLines(b []byte) (text []byte) {
	for line := range slices.Chunk(b, 32) {
		text = fmt.Appendf(text, "%x\n", line)
	}
	return text
}

// bytesOfHexLines decodes the output of hexLines.
func bytesOfHexLines(t *testing.T, text []byte) []byte {
	t.Helper()
	text = slices.DeleteFunc(slices.Clone(text), func(c byte) bool { return c == '\n' })
	b, err := hex.DecodeString(string(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

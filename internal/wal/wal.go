// Package wal is a log of records that outlive a power loss once [Log.Sync] returns. It is kept in segments, files that are only added to: old records
// go by dropping whole segments.
//
// Each record's checksum covers the one before, and after each sync the log notes, with the next write, up to where all was synced. So what a power cut
// has torn, which nobody was told is there, is told from damage to what was kept: the first is dropped, the second is refused. Damage to what was
// synced last before the cut looks like a tear.
//
// A Log belongs to one goroutine.
package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gapgap/internal/vfs"
)

// Errors of Open beside those of the file system.
var (
	ErrDamaged = errors.New("the log is damaged")
	ErrNewer   = errors.New("the log is of a newer version")
)

// ErrFailed says that a write or a sync has failed: nothing is kept until Again has returned nil.
var ErrFailed = errors.New("the log could not be written")

// ErrFull says that the log has as many segments as it may.
var ErrFull = errors.New("the log is full")

// Options say what a log is.
type Options struct {
	FS      vfs.FS
	Dir     string // exists; the log's files are the only ones with their ending there
	Kind    string // what it is for: another kind's files are refused
	Version uint16 // of the records; older ones are read, newer ones refused
	Segment int64  // bytes of a segment from which on the next one is begun
	Most    int    // segments
}

// Form of a segment: a head, then frames. A frame has the length and the checksum of what follows, a byte that says what it is, and its bytes.
const (
	ending    = ".log"
	magic     = "gapgap log\n"
	headBytes = len(magic) + 2 + 4 + 8 + 8 + 4 // kind, version, number, end of the one before, checksum
	frameHead = 8
	mostFrame = 1 << 20

	isRecord = 'r'
	isMark   = 'm'

	markMagic = "\x00gapgap synced\xff"
	markBytes = len(markMagic) + 8 + 8 + 4
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Found is what Open has found.
type Found struct {
	Segments, Records int
	Torn              int64 // bytes behind the last whole record, which nobody was told were kept
}

// Log is an open log.
type Log struct {
	o      Options
	first  uint64 // segment
	number uint64 // ... to which records are added
	file   vfs.File
	chain  uint32
	end    int64 // of what was written ...
	synced int64 // ... and of what was synced
	noted  bool  // a mark says so
	buf    []byte
	failed error
}

// Open reads what is there, each record to a function, and begins a new segment. An error says in one line what is wrong; then nothing was changed.
func Open(o Options, each func(record []byte) error) (*Log, Found, error) {
	l := &Log{o: o}
	var found Found
	names, err := o.FS.ReadDir(o.Dir)
	if err != nil {
		return nil, found, err
	}
	var numbers []uint64
	for _, e := range names {
		if n, err := strconv.ParseUint(strings.TrimSuffix(e.Name(), ending), 16, 64); err == nil && e.Name() == name(n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	var heads [][]byte
	for i, n := range numbers {
		path := filepath.Join(o.Dir, name(n))
		head, size, err := o.beginning(path)
		switch {
		case err != nil:
			return nil, found, err
		case i == len(numbers)-1 && size <= int64(headBytes) && !whole(head): // it was never used
			numbers = numbers[:i]
			continue
		}
		if err := o.head(head, n); err != nil {
			return nil, found, fmt.Errorf("%s: %w", path, err)
		}
		if i > 0 && n != numbers[i-1]+1 {
			return nil, found, fmt.Errorf("%s: %w: the segment before it is missing", path, ErrDamaged)
		}
		heads = append(heads, head)
	}
	last := int64(0)
	for i, number := range numbers { // one at a time, as together they may be large
		path := filepath.Join(o.Dir, name(number))
		b, err := vfs.ReadFile(o.FS, path, o.Segment+2*mostFrame)
		if errors.Is(err, vfs.ErrLarge) {
			return nil, found, fmt.Errorf("%s: %w: it is too long", path, ErrDamaged)
		} else if err != nil {
			return nil, found, err
		}
		until := int64(-1)
		if i+1 < len(heads) {
			until = int64(binary.LittleEndian.Uint64(heads[i+1][headBytes-12:]))
		}
		n, end, err := read(b, number, until, each)
		if err != nil {
			return nil, found, fmt.Errorf("%s: %w", path, err)
		}
		found.Records += n
		if last = end; until < 0 {
			found.Torn = int64(len(b)) - end
		}
	}
	if found.Segments = len(numbers); found.Segments > 0 {
		l.first, l.number = numbers[0], numbers[len(numbers)-1]
	} else {
		l.first = 1
	}
	if err := l.begin(last); err != nil {
		return nil, found, err
	}
	return l, found, nil
}

// beginning reads a file's first bytes, up to a head, and how long it is.
func (o *Options) beginning(path string) ([]byte, int64, error) {
	f, err := o.FS.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, 0, err
	}
	head, err := io.ReadAll(io.LimitReader(f, int64(headBytes)))
	return head, info.Size(), err
}

func name(n uint64) string { return fmt.Sprintf("%016x%s", n, ending) }

// whole says whether a head is there and right.
func whole(b []byte) bool {
	return len(b) >= headBytes && crc32.Checksum(b[:headBytes-4], table) == binary.LittleEndian.Uint32(b[headBytes-4:])
}

// head checks a segment's.
func (o *Options) head(b []byte, n uint64) error {
	at := len(magic)
	switch {
	case len(b) < headBytes || string(b[:at]) != magic || !whole(b):
		return fmt.Errorf("%w: its beginning is wrong", ErrDamaged)
	case binary.LittleEndian.Uint32(b[at+2:]) != crc32.Checksum([]byte(o.Kind), table):
		return fmt.Errorf("%w: it is not a %s", ErrDamaged, o.Kind)
	case binary.LittleEndian.Uint16(b[at:]) > o.Version:
		return fmt.Errorf("%w: %d; %d is known", ErrNewer, binary.LittleEndian.Uint16(b[at:]), o.Version)
	case binary.LittleEndian.Uint64(b[at+6:]) != n:
		return fmt.Errorf("%w: it is another segment's", ErrDamaged)
	}
	return nil
}

// read takes the records of a segment up to an end; negative: the last one, whose end is where it is torn.
func read(b []byte, number uint64, until int64, each func([]byte) error) (n int, end int64, err error) {
	chain, at := binary.LittleEndian.Uint32(b[headBytes-4:]), int64(headBytes)
	if until > int64(len(b)) || until >= 0 && until < at {
		return 0, 0, fmt.Errorf("%w: it has %d bytes of %d", ErrDamaged, len(b), until)
	}
	limit := int64(len(b))
	if until >= 0 {
		limit = until
	}
	for at < limit {
		frame, next := next(b[at:limit], chain)
		if frame == nil {
			if until >= 0 || synced(b[at:], number) > at {
				return n, at, fmt.Errorf("%w: what was kept at byte %d is wrong", ErrDamaged, at)
			}
			return n, at, nil
		}
		if frame[0] == isRecord {
			if err := each(frame[1:]); err != nil {
				return n, at, fmt.Errorf("%w: a record at byte %d: %w", ErrDamaged, at, err)
			}
			n++
		}
		at += frameHead + int64(len(frame))
		chain = next
	}
	return n, at, nil
}

// next is the frame at the beginning, and the checksum with which the one after it goes on; nil: there is none that is right.
func next(b []byte, chain uint32) (frame []byte, _ uint32) {
	if len(b) < frameHead+1 {
		return nil, 0
	}
	n, sum := binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
	if n == 0 || n > mostFrame || int(n) > len(b)-frameHead {
		return nil, 0
	}
	frame = b[frameHead : frameHead+int(n)]
	if sumOf(chain, frame) != sum || frame[0] != isRecord && frame[0] != isMark {
		return nil, 0
	}
	return frame, sum
}

func sumOf(chain uint32, frame []byte) uint32 {
	head := binary.LittleEndian.AppendUint32(nil, chain)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(frame)))
	return crc32.Update(crc32.Checksum(head, table), table, frame)
}

// synced is up to where some mark of the segment says that all was synced; the mark itself may follow what is wrong.
func synced(b []byte, number uint64) (most int64) {
	for {
		i := bytes.Index(b, []byte(markMagic))
		if i < 0 || len(b) < i+markBytes {
			return most
		}
		m := b[i : i+markBytes]
		if crc32.Checksum(m[:markBytes-4], table) == binary.LittleEndian.Uint32(m[markBytes-4:]) && binary.LittleEndian.Uint64(m[len(markMagic)+8:]) == number {
			most = max(most, int64(binary.LittleEndian.Uint64(m[len(markMagic):])))
		}
		b = b[i+1:]
	}
}

// begin begins the next segment, the one before ending somewhere. It is there after a power loss before anything is added to it.
func (l *Log) begin(end int64) error {
	if l.number+1-l.first >= uint64(l.o.Most) {
		return fmt.Errorf("%w: %d segments", ErrFull, l.o.Most)
	}
	n := l.number + 1
	head := []byte(magic)
	head = binary.LittleEndian.AppendUint16(head, l.o.Version)
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum([]byte(l.o.Kind), table))
	head = binary.LittleEndian.AppendUint64(head, n)
	head = binary.LittleEndian.AppendUint64(head, uint64(end))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, table))
	path := filepath.Join(l.o.Dir, name(n))
	f, err := l.o.FS.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(head)
	if err = errors.Join(err, f.Sync()); err == nil {
		err = l.o.FS.SyncDir(l.o.Dir)
	}
	if err != nil {
		return errors.Join(err, f.Close(), l.o.FS.Remove(path))
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.number, l.chain, l.end, l.synced, l.noted, l.buf = f, n, binary.LittleEndian.Uint32(head[headBytes-4:]), int64(headBytes), int64(headBytes), true, nil
	return nil
}

// Append adds a record, which is kept once Sync has returned nil. Many at once may be kept sooner.
func (l *Log) Append(record []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(record)+1 > mostFrame {
		return fmt.Errorf("a record of %d bytes, %d at most", len(record), mostFrame-1)
	}
	if len(l.buf) > 0 && len(l.buf)+len(record) > mostFrame { // a segment is read whole, so none grows by more at once
		if err := l.Sync(); err != nil {
			return err
		}
	}
	if !l.noted {
		l.noted = true
		mark := append([]byte{isMark}, markMagic...)
		mark = binary.LittleEndian.AppendUint64(mark, uint64(l.synced))
		mark = binary.LittleEndian.AppendUint64(mark, l.number)
		l.frame(binary.LittleEndian.AppendUint32(mark, crc32.Checksum(mark[1:], table)))
	}
	l.frame(append([]byte{isRecord}, record...))
	return nil
}

func (l *Log) frame(b []byte) {
	l.chain = sumOf(l.chain, b)
	l.buf = binary.LittleEndian.AppendUint32(l.buf, uint32(len(b)))
	l.buf = binary.LittleEndian.AppendUint32(l.buf, l.chain)
	l.buf = append(l.buf, b...)
}

// Dirty says whether something was added since the last Sync.
func (l *Log) Dirty() bool { return len(l.buf) > 0 }

// Sync keeps what was added. An error says that it may be there or not, and that the log has failed.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if len(l.buf) == 0 {
		return nil
	}
	n, err := l.file.Write(l.buf)
	if err == nil && n < len(l.buf) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return l.failed
	}
	l.end += int64(n)
	l.synced, l.noted, l.buf = l.end, false, l.buf[:0]
	if l.end >= l.o.Segment {
		return l.Cut()
	}
	return nil
}

// Cut begins a new segment, so that those before it can be dropped.
func (l *Log) Cut() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.begin(l.synced); err != nil {
		l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		return l.failed
	}
	return nil
}

// Failed says why nothing is kept any more; nil: the log stands.
func (l *Log) Failed() error { return l.failed }

// Again goes on after a failure with a new segment. What was added and not synced is gone.
func (l *Log) Again() error {
	if l.failed == nil {
		return nil
	}
	if err := l.begin(l.synced); err != nil {
		return err
	}
	l.failed = nil
	return nil
}

// Segment is the number of the one to which records are added now.
func (l *Log) Segment() uint64 { return l.number }

// Segments is how many there are.
func (l *Log) Segments() int { return int(l.number + 1 - l.first) }

// Drop removes the segments before one, the oldest first: a power loss may bring back the last that went, but leaves no gap.
func (l *Log) Drop(before uint64) error {
	for l.first < min(before, l.number) {
		if err := l.o.FS.Remove(filepath.Join(l.o.Dir, name(l.first))); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if err := l.o.FS.SyncDir(l.o.Dir); err != nil {
			return err
		}
		l.first++
	}
	return nil
}

// Close ends it without a sync.
func (l *Log) Close() error { return l.file.Close() }

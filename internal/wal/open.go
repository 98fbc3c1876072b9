package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"gapgap/internal/vfs"
)

// Errors of Open beside those of the file system.
var (
	ErrCorrupt      = errors.New("the log is damaged")
	ErrNewerVersion = errors.New("the log is of a newer version")
)

// unknownEnd stands for the end of the last segment, which no later header tells.
const unknownEnd = -1

// Options configure a log.
type Options struct {
	FS vfs.FS
	// Dir is a directory that exists. No other files in it may have the names of segments.
	Dir string
	// Kind names the log's purpose. Files of another kind are refused.
	Kind string
	// Version is that of the records. Older ones are read, newer ones refused.
	Version uint16
	// SegmentBytes is the size from which on the next segment is begun.
	SegmentBytes int64
	// MaxSegments limits the number of segments.
	MaxSegments int
}

// OpenStats tells what Open has read.
type OpenStats struct {
	Segments, Records int
	// TornBytes follow the last intact record. Sync never reported them as stored.
	TornBytes int64
}

// Open passes the stored records to a function, in order, and begins a new segment. An error of Open, which may wrap
// ErrCorrupt, ErrNewerVersion, ErrFull or the function's error, says in one line what is wrong. It leaves the files as
// they were.
func Open(options Options, each func(record []byte) error) (*Log, OpenStats, error) {
	var stats OpenStats
	headers, err := options.readHeaders()
	if err != nil {
		return nil, stats, err
	}
	end, err := options.readSegments(headers, each, &stats)
	if err != nil {
		return nil, stats, err
	}
	log := &Log{options: options, firstSegment: 1}
	if len(headers) > 0 {
		log.firstSegment = headers[0].number
		log.segment = headers[len(headers)-1].number
	}
	if err := log.beginSegment(end); err != nil {
		return nil, stats, err
	}
	return log, stats, nil
}

// readHeaders reads and checks the headers of all segments, in order. A last segment whose header was never completed
// is passed over.
func (o *Options) readHeaders() (headers []segmentHeader, err error) {
	numbers, err := o.segmentNumbers()
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		path := filepath.Join(o.Dir, segmentName(number))
		start, size, err := o.readStart(path)
		if err != nil {
			return nil, err
		}
		header, isIntact := decodeHeader(start)
		isLast := i == len(numbers)-1
		if isLast && !isIntact && size <= int64(headerBytes) {
			break
		}
		if !isIntact || string(start[:len(headerMagic)]) != headerMagic {
			return nil, fmt.Errorf("%s: %w: its beginning is wrong", path, ErrCorrupt)
		}
		if err := o.checkHeader(header, number); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if i > 0 && number != numbers[i-1]+1 {
			return nil, fmt.Errorf("%s: %w: the segment before it is missing", path, ErrCorrupt)
		}
		headers = append(headers, header)
	}
	return headers, nil
}

// segmentNumbers returns the numbers of all segments in order.
func (o *Options) segmentNumbers() (numbers []uint64, err error) {
	entries, err := o.FS.ReadDir(o.Dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if number, ok := segmentNumber(entry.Name()); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// readStart reads as much of a file as a header takes, and returns the file's size too.
func (o *Options) readStart(path string) (start []byte, size int64, err error) {
	file, err := o.FS.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // only read
	info, err := file.Stat()
	if err != nil {
		return nil, 0, err
	}
	start, err = io.ReadAll(io.LimitReader(file, int64(headerBytes)))
	return start, info.Size(), err
}

// checkHeader checks that an intact header is one of this log.
func (o *Options) checkHeader(header segmentHeader, number uint64) error {
	switch {
	case header.kindChecksum != checksum([]byte(o.Kind)):
		return fmt.Errorf("%w: it is not a %s", ErrCorrupt, o.Kind)
	case header.version > o.Version:
		return fmt.Errorf("%w: %d; %d is known", ErrNewerVersion, header.version, o.Version)
	case header.number != number:
		return fmt.Errorf("%w: it is another segment's", ErrCorrupt)
	}
	return nil
}

// readSegments reads the records of all segments and returns the end of the last one. It reads one segment at a time,
// as together they may be large.
func (o *Options) readSegments(
	headers []segmentHeader, each func(record []byte) error, stats *OpenStats,
) (end int64, err error) {
	for i, header := range headers {
		path := filepath.Join(o.Dir, segmentName(header.number))
		content, err := vfs.ReadFile(o.FS, path, o.SegmentBytes+2*maxFrameBytes)
		if errors.Is(err, vfs.ErrTooLarge) {
			return 0, fmt.Errorf("%s: %w: it is too long", path, ErrCorrupt)
		}
		if err != nil {
			return 0, err
		}
		knownEnd := int64(unknownEnd)
		if i+1 < len(headers) {
			knownEnd = headers[i+1].previousEnd
		}
		records := 0
		records, end, err = readRecords(content, header, knownEnd, each)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		stats.Records += records
		if knownEnd < 0 {
			stats.TornBytes = int64(len(content)) - end
		}
	}
	stats.Segments = len(headers)
	return end, nil
}

// readRecords passes the records of a segment to a function, up to the segment's end, which it returns. Where the end
// is unknown, the first frame that is not intact is taken for it, unless a mark says that this frame was synced.
func readRecords(
	content []byte, header segmentHeader, knownEnd int64, each func(record []byte) error,
) (records int, end int64, err error) {
	offset, limit := int64(headerBytes), int64(len(content))
	if knownEnd > limit || knownEnd >= 0 && knownEnd < offset {
		return 0, 0, fmt.Errorf("%w: it has %d bytes of %d", ErrCorrupt, limit, knownEnd)
	}
	if knownEnd >= 0 {
		limit = knownEnd
	}
	previous := header.checksum
	for offset < limit {
		frame, sum := decodeFrame(content[offset:limit], previous)
		if frame == nil {
			if knownEnd >= 0 || lastSynced(content[offset:], header.number) > offset {
				return records, offset, fmt.Errorf("%w: what was kept at byte %d is wrong", ErrCorrupt, offset)
			}
			return records, offset, nil
		}
		if frame[0] == frameRecord {
			if err := each(frame[1:]); err != nil {
				return records, offset, fmt.Errorf("%w: a record at byte %d: %w", ErrCorrupt, offset, err)
			}
			records++
		}
		offset += frameHeaderBytes + int64(len(frame))
		previous = sum
	}
	return records, offset, nil
}

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

// Errors of Open in addition to file system errors.
var (
	// ErrCorrupt reports stored data that is corrupt or missing, or a log of another kind.
	ErrCorrupt = errors.New("the log is damaged")
	// ErrNewerVersion reports a log whose record version is higher than Options.Version.
	ErrNewerVersion = errors.New("the log is of a newer version")
)

// unknownEnd marks the end of the last segment as unknown, as no later segment header records it.
const unknownEnd = -1

// Options configures a log.
type Options struct {
	FS vfs.FS
	// Dir is an existing directory. No other files in it may be named like segments.
	Dir string
	// Kind names the purpose of the log. Open rejects segments of another kind.
	Kind string
	// Version is the version of the record format. Open reads older versions and rejects newer ones.
	Version uint16
	// SegmentBytes is the size at which Sync begins the next segment.
	SegmentBytes int64
	// MaxSegments is the maximum number of segments.
	MaxSegments int
}

// OpenStats describes what Open has read.
type OpenStats struct {
	// Segments and Records count the segments and records that were read.
	Segments, Records int
	// TornBytes is the number of bytes after the last intact frame. Sync never reported them as stored.
	TornBytes int64
}

// Open passes the stored records to the function each, in order, and begins a new segment. Its errors may wrap
// ErrCorrupt, ErrNewerVersion, ErrFull or the error of each, and describe the problem in one line. On an error, the
// existing files are left unchanged.
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

// readHeaders reads and checks the headers of all segments, in order. It ignores a last segment whose header was not
// written completely.
func (o *Options) readHeaders() (headers []segmentHeader, err error) {
	numbers, err := o.segmentNumbers()
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		path := filepath.Join(o.Dir, segmentName(number))
		start, size, err := o.readHeaderBytes(path)
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

// segmentNumbers returns the numbers of all segments in ascending order.
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

// readHeaderBytes returns the first headerBytes bytes of a file, or fewer if it is shorter, and the size of the file.
func (o *Options) readHeaderBytes(path string) (start []byte, size int64, err error) {
	file, err := o.FS.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // opened read-only
	info, err := file.Stat()
	if err != nil {
		return nil, 0, err
	}
	start, err = io.ReadAll(io.LimitReader(file, int64(headerBytes)))
	return start, info.Size(), err
}

// checkHeader checks that an intact header has the kind of this log, a known version and the expected segment number.
func (o *Options) checkHeader(header segmentHeader, number uint64) error {
	switch {
	case header.kindChecksum != checksum([]byte(o.Kind)):
		return fmt.Errorf("%w: it is not a log of kind %q", ErrCorrupt, o.Kind)
	case header.version > o.Version:
		return fmt.Errorf("%w: version %d, the newest supported is %d", ErrNewerVersion, header.version, o.Version)
	case header.number != number:
		return fmt.Errorf("%w: its header has the number of another segment", ErrCorrupt)
	}
	return nil
}

// readSegments reads the records of all segments and returns the end offset of the last one. It holds only one segment
// in memory at a time, as all of them together may be large.
func (o *Options) readSegments(
	headers []segmentHeader, each func(record []byte) error, stats *OpenStats,
) (end int64, err error) {
	for i, header := range headers {
		path := filepath.Join(o.Dir, segmentName(header.number))
		content, err := vfs.ReadFile(o.FS, path, o.SegmentBytes+2*maxFrameBytes)
		if errors.Is(err, vfs.ErrTooLarge) {
			return 0, fmt.Errorf("%s: %w: it exceeds the maximum segment size", path, ErrCorrupt)
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

// readRecords passes the records of a segment to the function each and returns the end offset of the segment. If the
// end is not known, the segment ends before the first frame that is not intact, unless a sync marker shows that this
// frame was synced: then the segment is corrupt.
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

package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"gapgap/internal/vfs"
)

var (
	// ErrFailed reports that a write or a sync has failed. The log stores nothing until Resume has returned nil.
	ErrFailed = errors.New("the log could not be written")
	// ErrFull reports that the log has reached Options.MaxSegments.
	ErrFull = errors.New("the log is full")
)

// RecordTooLargeError reports a record that exceeds the maximum frame size.
type RecordTooLargeError struct {
	// Bytes is the size of the record, MaxBytes the largest size that Append accepts.
	Bytes, MaxBytes int
}

// Error implements error.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("a record of %d bytes, %d at most", e.Bytes, e.MaxBytes)
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	options      Options
	firstSegment uint64
	// segment is the number of the current segment, to which records are appended.
	segment uint64
	file    vfs.File
	// lastChecksum is the checksum of the last frame of the current segment, or of its header if it has no frames.
	lastChecksum uint32
	// syncedEnd is the offset up to which the current segment has been written and synced.
	syncedEnd int64
	// hasSyncMarker reports whether a marker for syncedEnd has been appended, or none is needed as the segment is new.
	hasSyncMarker bool
	// buffer holds the frames that have not been written yet.
	buffer []byte
	// failure is the error that Append and Sync return until Resume succeeds. It is nil while the log works.
	failure error
}

// beginSegment creates the next segment and makes it the current one. previousEnd is the end offset of the segment
// before it. The new segment is durable before anything is appended to it.
func (l *Log) beginSegment(previousEnd int64) error {
	if l.segment+1-l.firstSegment >= uint64(l.options.MaxSegments) {
		return fmt.Errorf("%w: %d segments", ErrFull, l.options.MaxSegments)
	}
	header := segmentHeader{
		version:      l.options.Version,
		kindChecksum: checksum([]byte(l.options.Kind)),
		number:       l.segment + 1,
		previousEnd:  previousEnd,
	}
	file, err := l.options.createSegment(&header)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close() // all records that Sync reported as stored are already synced
	}
	l.file = file
	l.segment = header.number
	l.lastChecksum = header.checksum
	l.syncedEnd = int64(headerBytes)
	l.hasSyncMarker = true
	l.buffer = nil
	return nil
}

// createSegment creates the file of a segment and syncs its header. It removes the file if that fails.
func (o *Options) createSegment(header *segmentHeader) (vfs.File, error) {
	path := filepath.Join(o.Dir, segmentName(header.number))
	file, err := o.FS.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(header.encode())
	err = errors.Join(err, file.Sync())
	if err == nil {
		err = o.FS.SyncDir(o.Dir)
	}
	if err != nil {
		return nil, errors.Join(err, file.Close(), o.FS.Remove(path))
	}
	return file, nil
}

// Append adds a record, which is stored once Sync has returned nil. Append itself syncs when the buffer is full, so
// part of a large batch may be stored earlier. The error is a *RecordTooLargeError, which leaves the log unchanged, or
// wraps ErrFailed.
func (l *Log) Append(record []byte) error {
	if l.failure != nil {
		return l.failure
	}
	if len(record)+1 > maxFrameBytes {
		return &RecordTooLargeError{Bytes: len(record), MaxBytes: maxFrameBytes - 1}
	}
	// Open reads a segment into memory as a whole, so the size of a single write is limited as well.
	if len(l.buffer) > 0 && len(l.buffer)+len(record) > maxFrameBytes {
		if err := l.Sync(); err != nil {
			return err
		}
	}
	if !l.hasSyncMarker {
		l.hasSyncMarker = true
		l.appendFrame(frameSyncMarker, encodeSyncMarker(l.syncedEnd, l.segment))
	}
	l.appendFrame(frameRecord, record)
	return nil
}

// appendFrame appends a frame to the buffer.
func (l *Log) appendFrame(kind byte, content []byte) {
	l.buffer, l.lastChecksum = appendFrame(l.buffer, l.lastChecksum, kind, content)
}

// IsDirty reports whether records have been appended since the last Sync.
func (l *Log) IsDirty() bool { return len(l.buffer) > 0 }

// Sync stores the appended records. After an error, which wraps ErrFailed, they may or may not be stored. Sync begins a
// new segment when the current one has reached Options.SegmentBytes.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	if len(l.buffer) == 0 {
		return nil
	}
	if err := l.writeBuffer(); err != nil {
		return l.fail(err)
	}
	l.syncedEnd += int64(len(l.buffer))
	l.hasSyncMarker = false
	l.buffer = l.buffer[:0]
	if l.syncedEnd >= l.options.SegmentBytes {
		return l.Rotate()
	}
	return nil
}

// writeBuffer writes the buffer to the current segment and syncs the file.
func (l *Log) writeBuffer() error {
	n, err := l.file.Write(l.buffer)
	if err != nil {
		return err
	}
	if n < len(l.buffer) {
		return io.ErrShortWrite
	}
	return l.file.Sync()
}

// fail marks the log as failed and returns an error that wraps ErrFailed and the cause.
func (l *Log) fail(cause error) error {
	l.failure = fmt.Errorf("%w: %w", ErrFailed, cause)
	return l.failure
}

// Rotate syncs the log and begins a new segment, so that the segments before it can be dropped. Errors wrap ErrFailed.
func (l *Log) Rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.beginSegment(l.syncedEnd); err != nil {
		return l.fail(err)
	}
	return nil
}

// Err returns the error of the last failure, or nil if the log works or has been resumed.
func (l *Log) Err() error { return l.failure }

// Resume begins a new segment after a failure. Records that were appended but not synced are lost.
func (l *Log) Resume() error {
	if l.failure == nil {
		return nil
	}
	if err := l.beginSegment(l.syncedEnd); err != nil {
		return err
	}
	l.failure = nil
	return nil
}

// CurrentSegment returns the number of the segment to which records are appended.
func (l *Log) CurrentSegment() uint64 { return l.segment }

// SegmentCount returns the number of segments, including the current one.
func (l *Log) SegmentCount() int { return int(l.segment + 1 - l.firstSegment) }

// DropBefore removes all segments with a lower number than the given one; the current segment is always kept. It
// removes the oldest first and syncs the directory after each, so that a power loss may bring back the segment removed
// last but never leaves a gap.
func (l *Log) DropBefore(segment uint64) error {
	for l.firstSegment < min(segment, l.segment) {
		path := filepath.Join(l.options.Dir, segmentName(l.firstSegment))
		if err := l.options.FS.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
			return err
		}
		l.firstSegment++
	}
	return nil
}

// Close closes the log without syncing it.
func (l *Log) Close() error { return l.file.Close() }

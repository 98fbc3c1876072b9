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
	// ErrFailed reports that a write or a sync has failed. Nothing is stored until Resume has returned nil.
	ErrFailed = errors.New("the log could not be written")
	// ErrFull reports that the log has as many segments as it may.
	ErrFull = errors.New("the log is full")
)

// RecordTooLargeError reports a record that does not fit into a frame.
type RecordTooLargeError struct {
	// Bytes is the record's size, MaxBytes the largest that is possible.
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
	// segment is the current one, which records are appended to.
	segment uint64
	file    vfs.File
	// lastChecksum is that of the last frame, or of the header.
	lastChecksum uint32
	// synced is how far the current segment was written and synced.
	synced int64
	// isSyncMarked tells whether a mark says so.
	isSyncMarked bool
	// buffer has the frames that are not written yet.
	buffer  []byte
	failure error
}

// beginSegment begins the next segment; previousEnd is where the one before ends. The new segment outlives a power loss
// before anything is appended to it.
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
		_ = l.file.Close() // all that counts of it was synced
	}
	l.file = file
	l.segment = header.number
	l.lastChecksum = header.checksum
	l.synced = int64(headerBytes)
	l.isSyncMarked = true
	l.buffer = nil
	return nil
}

// createSegment creates the file of a segment with its header. A file that could not be synced is removed.
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

// Append adds a record, which is stored once Sync has returned nil. When much is added at once, a part of it may be
// synced sooner. Errors are a *RecordTooLargeError, which changes nothing, or wrap ErrFailed.
func (l *Log) Append(record []byte) error {
	if l.failure != nil {
		return l.failure
	}
	if len(record)+1 > maxFrameBytes {
		return &RecordTooLargeError{Bytes: len(record), MaxBytes: maxFrameBytes - 1}
	}
	// A segment is read as a whole, so a write is limited as well.
	if len(l.buffer) > 0 && len(l.buffer)+len(record) > maxFrameBytes {
		if err := l.Sync(); err != nil {
			return err
		}
	}
	if !l.isSyncMarked {
		l.isSyncMarked = true
		l.appendFrame(frameMark, encodeMark(l.synced, l.segment))
	}
	l.appendFrame(frameRecord, record)
	return nil
}

// appendFrame adds a frame to the buffer.
func (l *Log) appendFrame(kind byte, content []byte) {
	l.buffer, l.lastChecksum = appendFrame(l.buffer, l.lastChecksum, kind, content)
}

// IsDirty tells whether records were added since the last Sync.
func (l *Log) IsDirty() bool { return len(l.buffer) > 0 }

// Sync stores what was added. After an error, which wraps ErrFailed, that may be stored or not.
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
	l.synced += int64(len(l.buffer))
	l.isSyncMarked = false
	l.buffer = l.buffer[:0]
	if l.synced >= l.options.SegmentBytes {
		return l.Rotate()
	}
	return nil
}

// writeBuffer writes and syncs the buffer.
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

// fail puts the log into its failed state and returns the error that describes it.
func (l *Log) fail(cause error) error {
	l.failure = fmt.Errorf("%w: %w", ErrFailed, cause)
	return l.failure
}

// Rotate syncs and begins a new segment, so that those before it can be dropped. Errors wrap ErrFailed.
func (l *Log) Rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.beginSegment(l.synced); err != nil {
		return l.fail(err)
	}
	return nil
}

// Err returns why nothing can be stored. It is nil while the log works.
func (l *Log) Err() error { return l.failure }

// Resume goes on after a failure with a new segment. Records that were added and not synced are lost.
func (l *Log) Resume() error {
	if l.failure == nil {
		return nil
	}
	if err := l.beginSegment(l.synced); err != nil {
		return err
	}
	l.failure = nil
	return nil
}

// CurrentSegment returns the number of the segment that records are appended to.
func (l *Log) CurrentSegment() uint64 { return l.segment }

// SegmentCount returns how many segments there are.
func (l *Log) SegmentCount() int { return int(l.segment + 1 - l.firstSegment) }

// DropBefore removes the segments before one, the oldest first: after a power loss the last removed one may be there
// again, but no gap.
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

// Close closes the log without a sync.
func (l *Log) Close() error { return l.file.Close() }

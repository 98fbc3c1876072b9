package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment consists of a header and frames. All numbers are little-endian.
//
// Header: magic, version (2 bytes), checksum of the log's kind (4), segment number (8), end offset of the previous
// segment (8), checksum of the header (4).
//
// Frame: length of kind and content (4), checksum (4), frame kind (1), content. The checksum covers the checksum of the
// previous frame (that of the header for the first frame), the length, the kind and the content.
const (
	segmentSuffix = ".log"

	headerMagic = "gapgap log\n"
	headerBytes = len(headerMagic) + 2 + 4 + 8 + 8 + checksumBytes

	checksumBytes    = 4
	frameHeaderBytes = 4 + checksumBytes
	// maxFrameBytes is the maximum size of a frame's kind and content together.
	maxFrameBytes = 1 << 20

	frameRecord     = 'r'
	frameSyncMarker = 'm'

	// syncMarkerMagic is the beginning of a sync marker's content. It allows finding markers after a corrupt frame.
	syncMarkerMagic = "\x00gapgap synced\xff"
	syncMarkerBytes = len(syncMarkerMagic) + 8 + 8 + checksumBytes
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, checksumTable) }

// segmentName returns the file name of the segment with the given number.
func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// segmentNumber parses the file name of a segment. ok is false for the names of other files.
func segmentNumber(name string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return number, err == nil && name == segmentName(number)
}

// segmentHeader is the decoded header of a segment.
type segmentHeader struct {
	version uint16
	// kindChecksum is the checksum of Options.Kind.
	kindChecksum uint32
	number       uint64
	// previousEnd is the end offset of the previous segment. The bytes after it were never synced.
	previousEnd int64
	// checksum is the checksum of the header, from which the chain of frame checksums starts.
	checksum uint32
}

// encode sets the checksum of the header and returns the encoded header.
func (h *segmentHeader) encode() []byte {
	b := []byte(headerMagic)
	b = binary.LittleEndian.AppendUint16(b, h.version)
	b = binary.LittleEndian.AppendUint32(b, h.kindChecksum)
	b = binary.LittleEndian.AppendUint64(b, h.number)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.previousEnd))
	h.checksum = checksum(b)
	return binary.LittleEndian.AppendUint32(b, h.checksum)
}

// decodeHeader decodes a header. ok is false if the header is truncated or corrupt.
func decodeHeader(b []byte) (header segmentHeader, ok bool) {
	if len(b) < headerBytes {
		return segmentHeader{}, false
	}
	fields := b[len(headerMagic):]
	header = segmentHeader{
		version:      binary.LittleEndian.Uint16(fields),
		kindChecksum: binary.LittleEndian.Uint32(fields[2:]),
		number:       binary.LittleEndian.Uint64(fields[6:]),
		previousEnd:  int64(binary.LittleEndian.Uint64(fields[14:])),
		checksum:     binary.LittleEndian.Uint32(fields[22:]),
	}
	return header, checksum(b[:headerBytes-checksumBytes]) == header.checksum
}

// frameChecksum returns the checksum of a frame. previous is the checksum of the frame or header before it.
func frameChecksum(previous uint32, frame []byte) uint32 {
	prefix := binary.LittleEndian.AppendUint32(nil, previous)
	prefix = binary.LittleEndian.AppendUint32(prefix, uint32(len(frame)))
	return crc32.Update(checksum(prefix), checksumTable, frame)
}

// appendFrame appends a frame to b and returns the extended slice and the checksum of the frame.
func appendFrame(b []byte, previous uint32, kind byte, content []byte) (appended []byte, sum uint32) {
	frame := append([]byte{kind}, content...)
	sum = frameChecksum(previous, frame)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(frame)))
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, frame...), sum
}

// decodeFrame returns the kind and content of the frame at the beginning of b, and its checksum. The frame is nil if it
// is truncated or corrupt.
func decodeFrame(b []byte, previous uint32) (frame []byte, sum uint32) {
	if len(b) < frameHeaderBytes+1 {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(b)
	sum = binary.LittleEndian.Uint32(b[4:])
	if length == 0 || length > maxFrameBytes || int(length) > len(b)-frameHeaderBytes {
		return nil, 0
	}
	frame = b[frameHeaderBytes : frameHeaderBytes+int(length)]
	if frameChecksum(previous, frame) != sum || frame[0] != frameRecord && frame[0] != frameSyncMarker {
		return nil, 0
	}
	return frame, sum
}

// encodeSyncMarker returns the content of a marker, which states that a segment was synced up to an offset.
func encodeSyncMarker(synced int64, segment uint64) []byte {
	mark := []byte(syncMarkerMagic)
	mark = binary.LittleEndian.AppendUint64(mark, uint64(synced))
	mark = binary.LittleEndian.AppendUint64(mark, segment)
	return binary.LittleEndian.AppendUint32(mark, checksum(mark))
}

// decodeSyncMarker decodes a marker. ok is false if the marker is corrupt or belongs to another segment.
func decodeSyncMarker(b []byte, segment uint64) (synced int64, ok bool) {
	sum := binary.LittleEndian.Uint32(b[syncMarkerBytes-checksumBytes:])
	fields := b[len(syncMarkerMagic):]
	if checksum(b[:syncMarkerBytes-checksumBytes]) != sum || binary.LittleEndian.Uint64(fields[8:]) != segment {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(fields)), true
}

// lastSynced returns the highest synced offset that a sync marker in b states, or zero if there is none. It searches
// for markers byte by byte, as the boundaries of frames after a corrupt one are unknown.
func lastSynced(b []byte, segment uint64) (offset int64) {
	for {
		i := bytes.Index(b, []byte(syncMarkerMagic))
		if i < 0 || len(b) < i+syncMarkerBytes {
			return offset
		}
		if synced, ok := decodeSyncMarker(b[i:i+syncMarkerBytes], segment); ok {
			offset = max(offset, synced)
		}
		b = b[i+1:]
	}
}

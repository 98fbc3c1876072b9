package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a header and frames. All numbers are little-endian.
//
// Header: magic, version (2 bytes), checksum of the kind (4), segment number (8), end of the segment before (8),
// checksum of the header (4).
//
// Frame: length (4), checksum (4), frame kind (1), content. The checksum covers that of the frame before, or that of
// the header, then the length, the kind and the content.
const (
	segmentSuffix = ".log"

	headerMagic = "gapgap log\n"
	headerBytes = len(headerMagic) + 2 + 4 + 8 + 8 + checksumBytes

	checksumBytes    = 4
	frameHeaderBytes = 4 + checksumBytes
	// maxFrameBytes limits the kind and content of a frame.
	maxFrameBytes = 1 << 20

	frameRecord = 'r'
	frameMark   = 'm'

	// markMagic begins the content of a mark. It finds marks behind a damaged frame.
	markMagic = "\x00gapgap synced\xff"
	markBytes = len(markMagic) + 8 + 8 + checksumBytes
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, checksumTable) }

// segmentName returns the file name of a segment.
func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// segmentNumber returns the number of a segment by its file name. It is false for other files.
func segmentNumber(name string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return number, err == nil && name == segmentName(number)
}

// segmentHeader is the header of a segment.
type segmentHeader struct {
	version      uint16
	kindChecksum uint32
	number       uint64
	// previousEnd is where the segment before ends; what follows there was never synced.
	previousEnd int64
	// checksum is that of the header, with which the chain of frames begins.
	checksum uint32
}

// encode returns the header's bytes, and sets its checksum.
func (h *segmentHeader) encode() []byte {
	b := []byte(headerMagic)
	b = binary.LittleEndian.AppendUint16(b, h.version)
	b = binary.LittleEndian.AppendUint32(b, h.kindChecksum)
	b = binary.LittleEndian.AppendUint64(b, h.number)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.previousEnd))
	h.checksum = checksum(b)
	return binary.LittleEndian.AppendUint32(b, h.checksum)
}

// decodeHeader reads a header. It is false if that is cut short or damaged.
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

// frameChecksum returns the checksum of a frame that follows one with the checksum previous.
func frameChecksum(previous uint32, frame []byte) uint32 {
	prefix := binary.LittleEndian.AppendUint32(nil, previous)
	prefix = binary.LittleEndian.AppendUint32(prefix, uint32(len(frame)))
	return crc32.Update(checksum(prefix), checksumTable, frame)
}

// appendFrame appends a frame of a kind to b, and returns its checksum too.
func appendFrame(b []byte, previous uint32, kind byte, content []byte) (appended []byte, sum uint32) {
	frame := append([]byte{kind}, content...)
	sum = frameChecksum(previous, frame)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(frame)))
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, frame...), sum
}

// decodeFrame returns the frame at the beginning of b, kind and content, and its checksum. The frame is nil if there is
// no intact one.
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
	if frameChecksum(previous, frame) != sum || frame[0] != frameRecord && frame[0] != frameMark {
		return nil, 0
	}
	return frame, sum
}

// encodeMark returns the content of a mark: all of a segment was synced up to an offset.
func encodeMark(synced int64, segment uint64) []byte {
	mark := []byte(markMagic)
	mark = binary.LittleEndian.AppendUint64(mark, uint64(synced))
	mark = binary.LittleEndian.AppendUint64(mark, segment)
	return binary.LittleEndian.AppendUint32(mark, checksum(mark))
}

// decodeMark reads a mark of a segment. It is false if the mark is damaged or of another segment.
func decodeMark(b []byte, segment uint64) (synced int64, ok bool) {
	sum := binary.LittleEndian.Uint32(b[markBytes-checksumBytes:])
	fields := b[len(markMagic):]
	if checksum(b[:markBytes-checksumBytes]) != sum || binary.LittleEndian.Uint64(fields[8:]) != segment {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(fields)), true
}

// lastSynced returns the highest offset that a mark in b says was synced. It searches for marks byte by byte, as frames
// behind a damaged one can't be followed.
func lastSynced(b []byte, segment uint64) (offset int64) {
	for {
		i := bytes.Index(b, []byte(markMagic))
		if i < 0 || len(b) < i+markBytes {
			return offset
		}
		if synced, ok := decodeMark(b[i:i+markBytes], segment); ok {
			offset = max(offset, synced)
		}
		b = b[i+1:]
	}
}

package resp

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"
)

const (
	// maxArrayItems is the limit on the items of an array.
	maxArrayItems = 64
	// maxArrayDepth is the limit on arrays within arrays.
	maxArrayDepth = 2
	// maxHeaderBytes is the limit on the bytes of a line that declares a length.
	maxHeaderBytes = 32
	// maxLineBytes is the limit on the bytes of a line that is a complete value.
	maxLineBytes = 4 << 10
	// lineEndBytes is the length of the \r\n that ends a line or a bulk string.
	lineEndBytes = 2
)

// messageLength returns the bytes of the first message in b, or 0 if it is not complete yet. It returns ErrMalformed
// for bytes that can't become a message within the limits, so that no memory is allocated for them.
func messageLength(b []byte, depth, maxValue int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	header, err := lineLength(b)
	if header == 0 || err != nil {
		return 0, err
	}
	line := b[1 : header-lineEndBytes]
	switch b[0] {
	case redcon.Bulk:
		return bulkLength(b, line, header, maxValue)
	case redcon.Array:
		return arrayLength(b, line, header, depth, maxValue)
	default:
		return header, nil
	}
}

// lineLength returns the bytes of the first line in b with its line end, or 0 if it is not complete yet.
func lineLength(b []byte) (int, error) {
	limit := maxLineBytes
	switch b[0] {
	case redcon.Integer, redcon.String, redcon.Error:
	case redcon.Bulk, redcon.Array:
		limit = maxHeaderBytes
	default:
		return 0, ErrMalformed
	}
	end := bytes.IndexByte(b[:min(len(b), limit)], '\n')
	switch {
	case end < 0 && len(b) >= limit:
		return 0, ErrMalformed
	case end < 0:
		return 0, nil
	case end == 1 || b[end-1] != '\r':
		return 0, ErrMalformed
	}
	return end + 1, nil
}

// bulkLength returns the bytes of a bulk string whose size is declared by line, which ends at header.
func bulkLength(b []byte, line []byte, header, maxValue int) (int, error) {
	size, err := strconv.Atoi(string(line))
	if err != nil || size < -1 || size > maxValue {
		return 0, ErrMalformed
	}
	if size < 0 {
		return header, nil
	}
	end := header + size
	if len(b) < end+lineEndBytes {
		return 0, nil
	}
	if b[end] != '\r' || b[end+1] != '\n' {
		return 0, ErrMalformed
	}
	return end + lineEndBytes, nil
}

// arrayLength returns the bytes of an array whose number of items is declared by line, which ends at header.
func arrayLength(b []byte, line []byte, header, depth, maxValue int) (int, error) {
	count, err := strconv.Atoi(string(line))
	if err != nil || count < -1 || count > maxArrayItems || depth == 0 {
		return 0, ErrMalformed
	}
	end := header
	for range count {
		length, err := messageLength(b[end:], depth-1, maxValue)
		if length == 0 || err != nil {
			return 0, err
		}
		end += length
	}
	return end, nil
}

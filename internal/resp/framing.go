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

// scanner finds the end of a message. It remembers how far it has come, so that each item is scanned once however the
// bytes arrive. The zero value is at the start of a message.
type scanner struct {
	// end is the number of bytes of the items that are complete.
	end int
	// depth is the number of arrays that are not complete, and itemsLeft their missing items, the outermost first.
	depth     int
	itemsLeft [maxArrayDepth]int
}

// messageLength returns the bytes of the first message in b, or 0 if it is not complete yet. b begins with the bytes of
// the call before. messageLength returns ErrMalformed for bytes that can't become a message within the limits, so that
// no memory is allocated for them.
func (s *scanner) messageLength(b []byte, maxValue int) (int, error) {
	for s.end < len(b) {
		length, items, err := itemLength(b[s.end:], maxValue)
		if length == 0 || err != nil {
			return 0, err
		}
		if b[s.end] == redcon.Array && s.depth == maxArrayDepth {
			return 0, ErrMalformed
		}
		s.end += length
		if items > 0 {
			s.itemsLeft[s.depth] = items
			s.depth++
			continue
		}
		if s.completeItem() {
			return s.end, nil
		}
	}
	return 0, nil
}

// declaredLength returns the bytes of the message in b up to the end of the item that is not complete, as far as its
// size is known. messageLength has been called with b.
func (s *scanner) declaredLength(b []byte) int {
	item := b[s.end:]
	if len(item) == 0 || item[0] != redcon.Bulk {
		return len(b)
	}
	header, err := lineLength(item)
	if header == 0 || err != nil {
		return len(b)
	}
	size, err := strconv.Atoi(string(item[1 : header-lineEndBytes]))
	if err != nil {
		return len(b)
	}
	return s.end + header + size + lineEndBytes
}

// completeItem counts a complete item, and the arrays that it completes. It reports whether the message is complete.
func (s *scanner) completeItem() bool {
	for s.depth > 0 {
		s.itemsLeft[s.depth-1]--
		if s.itemsLeft[s.depth-1] > 0 {
			return false
		}
		s.depth--
	}
	return true
}

// itemLength returns the bytes of the first item in b, or 0 if it is not complete yet. Of an array it returns the bytes
// of its header and the number of its items.
func itemLength(b []byte, maxValue int) (length, items int, err error) {
	header, err := lineLength(b)
	if header == 0 || err != nil {
		return 0, 0, err
	}
	line := b[1 : header-lineEndBytes]
	switch b[0] {
	case redcon.Bulk:
		length, err = bulkLength(b, line, header, maxValue)
		return length, 0, err
	case redcon.Array:
		items, err = arrayItems(line)
		return header, items, err
	}
	return header, 0, nil
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

// arrayItems returns the number of items that the header line of an array declares. -1 stands for a null.
func arrayItems(line []byte) (int, error) {
	count, err := strconv.Atoi(string(line))
	if err != nil || count < -1 || count > maxArrayItems {
		return 0, ErrMalformed
	}
	return count, nil
}

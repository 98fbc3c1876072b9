package resp

import (
	"bytes"
	"cmp"
	"strconv"

	"github.com/tidwall/redcon"
)

// StartLongValue consumes the header of a message for which Next returned ErrLongValue. It returns the number of items
// of the array and the size of the first in bytes. The caller reads the first item and its line end with ReadLongValue,
// and each further item with Next.
func (r *Reader) StartLongValue() (items, size int) {
	consumed, items, size := r.longValueHeader()
	r.start += consumed
	r.scan = scanner{}
	return items, size
}

// AwaitLongValue waits until the first byte of a long value has come, which it leaves to ReadLongValue.
func (r *Reader) AwaitLongValue() error {
	for !r.HasPartialMessage() {
		if err := r.fill(defaultBufferBytes); err != nil {
			return err
		}
	}
	return nil
}

// ReadLongValue reads a part of a long value, first from the buffer and then from the source.
func (r *Reader) ReadLongValue(b []byte) (int, error) {
	if n := copy(b, r.buffer[r.start:]); n > 0 {
		r.start += n
		return n, nil
	}
	return r.Source.Read(b)
}

// hasLongValue reports whether the next message is an array whose first item is longer than MaxValue and not longer
// than MaxStreamedValue.
func (r *Reader) hasLongValue() bool {
	_, _, size := r.longValueHeader()
	return size > cmp.Or(r.MaxValue, MaxValueBytes) && size <= r.MaxStreamedValue
}

// longValueHeader parses the header of an array and of the bulk string that is its first item. It returns the bytes of
// both headers, the number of items and the size of the string; all are 0 if there is no such header, or not yet.
func (r *Reader) longValueHeader() (consumed, items, size int) {
	b := r.buffer[r.start:]
	if r.MaxStreamedValue == 0 || len(b) == 0 || b[0] != redcon.Array {
		return 0, 0, 0
	}
	b = b[:min(len(b), 2*maxHeaderBytes)]
	items, arrayHeader := parseLengthLine(b, redcon.Array)
	if arrayHeader == 0 || items < 1 || items > maxArrayItems {
		return 0, 0, 0
	}
	size, bulkHeader := parseLengthLine(b[arrayHeader:], redcon.Bulk)
	if bulkHeader == 0 || size < 0 {
		return 0, 0, 0
	}
	return arrayHeader + bulkHeader, items, size
}

// FirstValue returns the first item of the next message, which is not complete yet, if the message is an array that
// begins with a complete bulk string that is not null; otherwise nil. The bytes are valid until the next call of Next.
func (r *Reader) FirstValue() []byte {
	b := r.buffer[r.start:]
	if len(b) == 0 || b[0] != redcon.Array {
		return nil
	}
	_, header := parseLengthLine(b[:min(len(b), maxHeaderBytes)], redcon.Array)
	if header == 0 || len(b) == header || b[header] != redcon.Bulk || bytes.HasPrefix(b[header:], []byte("$-")) {
		return nil
	}
	length, _, err := itemLength(b[header:], cmp.Or(r.MaxValue, MaxValueBytes))
	if err != nil || length == 0 {
		return nil
	}
	return b[header : header+length]
}

// parseLengthLine parses a line such as $12. It returns the number and the bytes of the line, or 0 bytes if it is not
// such a line or not complete.
func parseLengthLine(b []byte, kind redcon.Type) (number, consumed int) {
	end := bytes.IndexByte(b, '\n')
	if end < 3 || redcon.Type(b[0]) != kind || b[end-1] != '\r' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(b[1 : end-1]))
	if err != nil {
		return 0, 0
	}
	return n, end + 1
}

// Package resp reads RESP2 messages within bounds: redcon parses, this package frames and limits.
package resp

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"gapgap/internal/resourcelimit"
)

const (
	MaxValueBytes      = 64 << 10 // bytes of a value
	maxOverheadBytes   = 8 << 10  // bytes of a whole command or answer beside a value
	maxArrayItems      = 64       // items of an array
	maxHeaderBytes     = 32       // bytes of the line that gives a length
	maxLineBytes       = 4 << 10  // bytes of a line that is a value by itself
	defaultBufferBytes = 4 << 10  // bytes of a reader's buffer but for long messages
)

// Errors of a Reader beside those of what it reads from.
var (
	ErrMalformed = errors.New("malformed RESP")
	ErrNoMemory  = errors.New("no memory left for a message")
	ErrLongValue = errors.New("a message that begins with a long value") // see Reader.Long
)

// Reader reads whole RESP messages. Redcon's own reader takes any length that the other side names and
// can't tell a message that is not yet complete from one that never will be, so frame goes first.
type Reader struct {
	Source           io.Reader
	Memory           *resourcelimit.Bytes // for what goes beyond the usual buffer; nil: unbounded
	MaxValue         int                  // bytes of a value; 0: MostValue
	MaxStreamedValue int                  // bytes of a value that an array may begin with, if it is longer than Most; 0: none is
	buffer           []byte
	start            int // of what is not yet used
}

// Next returns the next message. Its bytes are good until the next call.
func (r *Reader) Next() (redcon.RESP, error) {
	mostValue := cmp.Or(r.MaxValue, MaxValueBytes)
	mostMessage := mostValue + maxOverheadBytes
	for {
		if r.hasLongValue() {
			return redcon.RESP{}, ErrLongValue
		}
		if n, err := messageLength(r.buffer[r.start:], 2, mostValue); err != nil {
			return redcon.RESP{}, err
		} else if n > 0 {
			_, m := redcon.ReadNextRESP(r.buffer[r.start : r.start+n])
			r.start += n
			if m.Type == 0 {
				return m, ErrMalformed
			}
			return m, nil
		}
		if r.start > 0 {
			r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
			r.start = 0
		}
		switch {
		case len(r.buffer) == 0 && cap(r.buffer) != defaultBufferBytes: // also gives back what a long message took
			r.Release()
			r.buffer = make([]byte, 0, defaultBufferBytes)
		case len(r.buffer) >= mostMessage:
			return redcon.RESP{}, ErrMalformed
		case len(r.buffer) == cap(r.buffer):
			size := min(2*cap(r.buffer), mostMessage)
			if r.Memory != nil && !r.Memory.TryReserve(int64(size-cap(r.buffer))) {
				return redcon.RESP{}, ErrNoMemory
			}
			r.buffer = append(make([]byte, 0, size), r.buffer...)
		}
		n, err := r.Source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if n == 0 && err != nil {
			return redcon.RESP{}, err
		}
	}
}

// SetMemory moves what the buffer costs to another budget, which holds for what follows.
func (r *Reader) SetMemory(to *resourcelimit.Bytes) {
	if n := int64(cap(r.buffer) - defaultBufferBytes); n > 0 && r.Memory != to {
		r.Memory.Release(n)
		to.Adjust(n)
	}
	r.Memory = to
}

// Release gives the buffer back.
func (r *Reader) Release() {
	if r.Memory != nil && cap(r.buffer) > defaultBufferBytes {
		r.Memory.Release(int64(cap(r.buffer) - defaultBufferBytes))
	}
	r.buffer, r.start = nil, 0
}

// hasLongValue says that the next message is an array that begins with a bulk string longer than Most, and not than Longer.
func (r *Reader) hasLongValue() bool {
	_, _, size := r.longValueHeader()
	return size > cmp.Or(r.MaxValue, MaxValueBytes) && size <= r.MaxStreamedValue
}

// longValueHeader reads the beginning of an array whose first item is a bulk string: the bytes that it takes, the items of the array and
// the string's size; 0 where there is no such, or not yet.
func (r *Reader) longValueHeader() (taken, items, size int) {
	b := r.buffer[r.start:]
	if r.MaxStreamedValue == 0 || len(b) == 0 || b[0] != redcon.Array {
		return 0, 0, 0
	}
	b = b[:min(len(b), 2*maxHeaderBytes)]
	items, n := parseLengthLine(b, redcon.Array)
	if n == 0 || items < 1 || items > maxArrayItems {
		return 0, 0, 0
	}
	size, m := parseLengthLine(b[n:], redcon.Bulk)
	if m == 0 || size < 0 {
		return 0, 0, 0
	}
	return n + m, items, size
}

// parseLengthLine reads a line such as $12 and returns the number and the bytes of the line; 0 where it is none, or not yet whole.
func parseLengthLine(b []byte, kind redcon.Type) (number, taken int) {
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

// StartLongValue takes the beginning of a message for which Next returned ErrLong: the items of the array and the size of the first. The
// caller reads that and its end of line by ReadLong, and each further item by Next.
func (r *Reader) StartLongValue() (items, size int) {
	n, items, size := r.longValueHeader()
	r.start += n
	return items, size
}

// ReadLongValue reads some of a long value into b, what was read already first.
func (r *Reader) ReadLongValue(b []byte) (int, error) {
	if n := copy(b, r.buffer[r.start:]); n > 0 {
		r.start += n
		return n, nil
	}
	return r.Source.Read(b)
}

// Unread is what was read and not used: the beginning of the next message, or whole ones. It is good until the next call.
func (r *Reader) Unread() []byte { return r.buffer[r.start:] }

// Prefill makes a Reader that has read nothing yet begin with what another one left unread.
func (r *Reader) Prefill(b []byte) {
	r.buffer = append(make([]byte, 0, max(defaultBufferBytes, len(b))), b...)
	if n := cap(r.buffer) - defaultBufferBytes; n > 0 && r.Memory != nil {
		r.Memory.Adjust(int64(n))
	}
}

// HasPartialMessage tells whether a message has begun and not ended.
func (r *Reader) HasPartialMessage() bool { return r.start < len(r.buffer) }

// messageLength returns the length of the first message in b, 0 if it is not complete yet. It refuses what can't become
// a message within the limits, before memory is taken for it.
func messageLength(b []byte, depth, mostValue int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	most := maxLineBytes
	if b[0] == redcon.Bulk || b[0] == redcon.Array {
		most = maxHeaderBytes
	}
	end := bytes.IndexByte(b[:min(len(b), most)], '\n')
	switch b[0] {
	case redcon.Integer, redcon.String, redcon.Error, redcon.Bulk, redcon.Array:
	default:
		return 0, ErrMalformed
	}
	if end < 0 && len(b) >= most || end == 1 || end > 0 && b[end-1] != '\r' {
		return 0, ErrMalformed
	}
	if end < 0 {
		return 0, nil
	}
	line, at := b[1:end-1], end+1
	switch b[0] {
	case redcon.Bulk:
		size, err := strconv.Atoi(string(line))
		switch {
		case err != nil || size < -1 || size > mostValue:
			return 0, ErrMalformed
		case size < 0:
			return at, nil
		case len(b) < at+size+2:
			return 0, nil
		case b[at+size] != '\r' || b[at+size+1] != '\n':
			return 0, ErrMalformed
		}
		return at + size + 2, nil
	case redcon.Array:
		count, err := strconv.Atoi(string(line))
		if err != nil || count < -1 || count > maxArrayItems || depth == 0 {
			return 0, ErrMalformed
		}
		for range count {
			n, err := messageLength(b[at:], depth-1, mostValue)
			if n == 0 || err != nil {
				return 0, err
			}
			at += n
		}
	}
	return at, nil
}

// ParseDecimal reads a number in plain digits. What the standard library takes besides, such as signs, exponents and hex,
// a backend may read otherwise.
func ParseDecimal(s string) (float64, bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}

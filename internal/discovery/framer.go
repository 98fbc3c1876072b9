package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
)

// maxListBytes bounds the size of a list.
const maxListBytes = 1 << 20

var (
	errUnexpectedData = errors.New("unexpected data between lists")
	errListTooLong    = fmt.Errorf("list exceeds %d bytes", maxListBytes)
)

// framer splits the byte stream of a watch into lists, each a JSON object. A list ends with the brace that closes it
// and may span several lines. Only white space may separate lists; an empty line is a keep-alive. The zero value is
// ready to use.
type framer struct {
	// text has the bytes of an incomplete list.
	text []byte
	// depth is the number of open braces and brackets.
	depth int
	// inString reports that the stream is within a string, escaped that the last byte there was an escaping backslash.
	inString bool
	escaped  bool
	// listStarted reports that the incomplete list began within the last call of next.
	listStarted bool
}

// isInside reports whether a list has begun and not ended.
func (f *framer) isInside() bool { return f.depth > 0 }

// next consumes bytes up to the end of a list, or all bytes. It returns the list if one was completed, and the number
// of bytes consumed.
func (f *framer) next(b []byte) (list *EndpointList, used int, err error) {
	f.listStarted = false
	start := 0
	for i, c := range b {
		switch {
		case f.depth == 0 && c == '{':
			f.depth = 1
			f.listStarted = true
			start = i
		case f.depth == 0:
			if !isSpace(c) {
				return nil, i, errUnexpectedData
			}
		case f.scanByte(c):
			f.text = append(f.text, b[start:i+1]...)
			list, err = f.decode()
			return list, i + 1, err
		}
	}
	if f.depth > 0 {
		f.text = append(f.text, b[start:]...)
		if len(f.text) > maxListBytes {
			return nil, len(b), errListTooLong
		}
	}
	return nil, len(b), nil
}

// scanByte processes one byte within a list and reports whether it ends the list.
func (f *framer) scanByte(c byte) bool {
	switch {
	case f.escaped:
		f.escaped = false
	case f.inString:
		f.escaped = c == '\\'
		f.inString = c != '"'
	case c == '"':
		f.inString = true
	case c == '{' || c == '[':
		f.depth++
	case c == '}' || c == ']':
		f.depth--
		return f.depth == 0
	}
	return false
}

// decode decodes the completed list and resets the buffer.
func (f *framer) decode() (*EndpointList, error) {
	list := &EndpointList{}
	err := json.Unmarshal(f.text, list)
	f.text = f.text[:0]
	f.listStarted = false
	return list, err
}

// isSpace reports whether a byte is white space that may separate lists.
func isSpace(c byte) bool { return c == '\n' || c == '\r' || c == ' ' || c == '\t' }

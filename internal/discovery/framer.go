package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
)

// maxListBytes bounds a list.
const maxListBytes = 1 << 20

var (
	errNoList   = errors.New("what comes is no list")
	errLongList = fmt.Errorf("a list of over %d bytes", maxListBytes)
)

// framer cuts the stream of a watch into lists. A list ends with its last brace, whatever lines it stands on. White
// space stands between lists; an empty line is a sign of life. The zero value is ready.
type framer struct {
	// text is the beginning of a list.
	text []byte
	// depth counts the braces and brackets that are open.
	depth int
	// quoted says that the stream is within a string, escaped that it is behind a backslash there.
	quoted  bool
	escaped bool
	// fresh says that the present list began with the last bytes.
	fresh bool
}

// isInside tells whether a list has begun and not ended.
func (f *framer) isInside() bool { return f.depth > 0 }

// next takes bytes up to the end of a list, or all of them. It returns the list that ended, if one did, and how many
// bytes were used.
func (f *framer) next(b []byte) (list *EndpointList, used int, err error) {
	f.fresh = false
	start := 0
	for i, c := range b {
		switch {
		case f.depth == 0 && c == '{':
			f.depth = 1
			f.fresh = true
			start = i
		case f.depth == 0:
			if !isSpace(c) {
				return nil, i, errNoList
			}
		case f.closes(c):
			f.text = append(f.text, b[start:i+1]...)
			list, err = f.decode()
			return list, i + 1, err
		}
	}
	if f.depth > 0 {
		f.text = append(f.text, b[start:]...)
		if len(f.text) > maxListBytes {
			return nil, len(b), errLongList
		}
	}
	return nil, len(b), nil
}

// closes takes one byte within a list and tells whether it ends the list.
func (f *framer) closes(c byte) bool {
	switch {
	case f.escaped:
		f.escaped = false
	case f.quoted:
		f.escaped = c == '\\'
		f.quoted = c != '"'
	case c == '"':
		f.quoted = true
	case c == '{' || c == '[':
		f.depth++
	case c == '}' || c == ']':
		f.depth--
		return f.depth == 0
	}
	return false
}

// decode reads the list that is complete.
func (f *framer) decode() (*EndpointList, error) {
	list := &EndpointList{}
	err := json.Unmarshal(f.text, list)
	f.text = f.text[:0]
	f.fresh = false
	return list, err
}

// isSpace tells whether a byte may stand between lists.
func isSpace(c byte) bool { return c == '\n' || c == '\r' || c == ' ' || c == '\t' }

package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
)

// framer cuts what a watch brings into lists. A list ends with its last brace, whatever lines it stands on; what stands between two is white space, an
// empty line being a sign of life. The zero value is ready.
type framer struct {
	list   []byte // the beginning of a list
	depth  int    // braces and brackets open
	quoted bool   // within a string ...
	escape bool   // ... behind a backslash
	fresh  bool   // the list began with the last bytes
}

// inside says that a list has begun and not ended.
func (f *framer) inside() bool { return f.depth > 0 }

var (
	errNoList   = errors.New("what comes is no list")
	errLongList = fmt.Errorf("a list of over %d bytes", mostList)
)

// next takes bytes up to the end of a list, or all of them, and returns the list that ended, if one did.
func (f *framer) next(b []byte) (m *Members, used int, err error) {
	f.fresh = false
	from := 0
	for i, c := range b {
		switch {
		case f.depth == 0 && c == '{':
			f.depth, f.fresh, from = 1, true, i
		case f.depth == 0:
			if c != '\n' && c != '\r' && c != ' ' && c != '\t' {
				return nil, i, errNoList
			}
		case f.escape:
			f.escape = false
		case f.quoted:
			f.escape, f.quoted = c == '\\', c != '"'
		case c == '"':
			f.quoted = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			if f.depth--; f.depth > 0 {
				break
			}
			f.list = append(f.list, b[from:i+1]...)
			m = &Members{}
			err = json.Unmarshal(f.list, m)
			f.list, f.fresh = f.list[:0], false
			return m, i + 1, err
		}
	}
	if f.depth > 0 {
		if f.list = append(f.list, b[from:]...); len(f.list) > mostList {
			return nil, len(b), errLongList
		}
	}
	return nil, len(b), nil
}

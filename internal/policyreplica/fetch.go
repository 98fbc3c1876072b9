package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

// Bounds of what is carried in parts.
const (
	partBytes  = 8 << 10
	window     = 24 // parts that are asked for at once
	partWithin = 150 * time.Millisecond
	mostFrags  = 64 // of one message
)

// get asks for a part of a document.
type get struct {
	Hash policy.Hash `cbor:"1,keyasint"`
	At   int64       `cbor:"2,keyasint"`
}

// part is one; a Size of 0 says that the door has not got it.
type part struct {
	Hash policy.Hash `cbor:"1,keyasint"`
	At   int64       `cbor:"2,keyasint"`
	Size int64       `cbor:"3,keyasint"`
	Data []byte      `cbor:"4,keyasint"`
}

// frag is a part of a message that is too long for a datagram.
type frag struct {
	ID   uint32 `cbor:"1,keyasint"`
	N    uint16 `cbor:"2,keyasint"`
	Of   uint16 `cbor:"3,keyasint"`
	Data []byte `cbor:"4,keyasint"`
}

// joins puts one sender's message together; a later one takes its place.
type joins struct {
	id   uint32
	left int
	all  [][]byte
}

func (j *joins) add(f *frag) (whole []byte) {
	if f.Of == 0 || f.Of > mostFrags || f.N >= f.Of {
		return nil
	}
	if f.ID != j.id || len(j.all) != int(f.Of) {
		*j = joins{f.ID, int(f.Of), make([][]byte, f.Of)}
	}
	if j.all[f.N] != nil {
		return nil
	}
	j.all[f.N] = f.Data
	if j.left--; j.left > 0 {
		return nil
	}
	for _, b := range j.all {
		whole = append(whole, b...)
	}
	return whole
}

// fetch gets one document in parts from any of some doors.
type fetch struct {
	hash  policy.Hash
	from  []int // doors that may have it, the likeliest first
	turn  int
	size  int64 // -1: not known yet
	b     []byte
	asked map[int64]time.Duration // parts on their way
	next  int64                   // the first part that was never asked for
	have  int64                   // bytes
	got   map[int64]bool
	since time.Duration
	none  int // answers that a door has not got it
}

func newFetch(h policy.Hash, from []int, now time.Duration) *fetch {
	return &fetch{hash: h, from: from, size: -1, asked: map[int64]time.Duration{}, got: map[int64]bool{}, since: now}
}

// asks returns what is to be asked for now, and whom.
func (f *fetch) asks(now time.Duration) (to int, all []get) {
	late := false
	for at, when := range f.asked {
		if now-when >= partWithin {
			late = late || when > 0
			all = append(all, get{f.hash, at})
		}
	}
	if late {
		f.turn++ // that door may have gone
	}
	for len(f.asked)+len(all) < window && (f.size < 0 && f.next == 0 || f.next < f.size) {
		all = append(all, get{f.hash, f.next})
		f.next += partBytes
	}
	for _, g := range all {
		f.asked[g.At] = now
	}
	if len(f.from) == 0 {
		return 0, nil
	}
	return f.from[f.turn%len(f.from)], all
}

// take takes a part; whole: the document is there.
func (f *fetch) take(p *part) (whole []byte, ok bool) {
	if p.Size == 0 { // it has not got it
		if when, ok := f.asked[p.At]; ok && when > 0 {
			f.turn++
			if f.none++; f.none%max(1, len(f.from)) > 0 { // else none has: it is asked for again after a while
				f.asked[p.At] = 0 // at once, of the next door
			}
		}
		return nil, false
	}
	if p.Size > policy.MaxDocumentBytes || f.size >= 0 && p.Size != f.size || p.At < 0 || p.At%partBytes != 0 || f.got[p.At] {
		return nil, false
	}
	if int64(len(p.Data)) != min(partBytes, p.Size-p.At) {
		return nil, false
	}
	if f.size < 0 {
		f.size, f.b = p.Size, make([]byte, p.Size)
	}
	delete(f.asked, p.At)
	copy(f.b[p.At:], p.Data)
	f.got[p.At] = true
	if f.have += int64(len(p.Data)); f.have < f.size {
		return nil, false
	}
	if policy.HashOf(f.b) == f.hash {
		return f.b, true
	}
	*f = *newFetch(f.hash, f.from, f.since) // somebody told it wrong: all again, from another door
	f.turn++
	return nil, false
}

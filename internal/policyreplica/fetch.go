package policyreplica

import (
	"time"

	"gapgap/internal/policy"
)

// Bounds of what is carried in parts.
const (
	chunkBytes = 8 << 10
	window     = 24 // parts that are asked for at once
	partWithin = 150 * time.Millisecond
	mostFrags  = 64 // of one message
)

// chunkRequest asks for a part of a document.
type chunkRequest struct {
	Hash   policy.Hash `cbor:"1,keyasint"`
	Offset int64       `cbor:"2,keyasint"`
}

// chunk is one; a Size of 0 says that the door has not got it.
type chunk struct {
	Hash         policy.Hash `cbor:"1,keyasint"`
	Offset       int64       `cbor:"2,keyasint"`
	DocumentSize int64       `cbor:"3,keyasint"`
	Data         []byte      `cbor:"4,keyasint"`
}

// fragment is a part of a message that is too long for a datagram.
type fragment struct {
	MessageID uint32 `cbor:"1,keyasint"`
	Index     uint16 `cbor:"2,keyasint"`
	Count     uint16 `cbor:"3,keyasint"`
	Data      []byte `cbor:"4,keyasint"`
}

// reassembly puts one sender's message together; a later one takes its place.
type reassembly struct {
	messageID uint32
	missing   int
	fragments [][]byte
}

func (j *reassembly) add(f *fragment) (whole []byte) {
	if f.Count == 0 || f.Count > mostFrags || f.Index >= f.Count {
		return nil
	}
	if f.MessageID != j.messageID || len(j.fragments) != int(f.Count) {
		*j = reassembly{f.MessageID, int(f.Count), make([][]byte, f.Count)}
	}
	if j.fragments[f.Index] != nil {
		return nil
	}
	j.fragments[f.Index] = f.Data
	if j.missing--; j.missing > 0 {
		return nil
	}
	for _, b := range j.fragments {
		whole = append(whole, b...)
	}
	return whole
}

// download gets one document in parts from any of some doors.
type download struct {
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

func newDownload(h policy.Hash, from []int, now time.Duration) *download {
	return &download{hash: h, from: from, size: -1, asked: map[int64]time.Duration{}, got: map[int64]bool{}, since: now}
}

// nextRequests returns what is to be asked for now, and whom.
func (f *download) nextRequests(now time.Duration) (to int, all []chunkRequest) {
	late := false
	for at, when := range f.asked {
		if now-when >= partWithin {
			late = late || when > 0
			all = append(all, chunkRequest{f.hash, at})
		}
	}
	if late {
		f.turn++ // that door may have gone
	}
	for len(f.asked)+len(all) < window && (f.size < 0 && f.next == 0 || f.next < f.size) {
		all = append(all, chunkRequest{f.hash, f.next})
		f.next += chunkBytes
	}
	for _, g := range all {
		f.asked[g.Offset] = now
	}
	if len(f.from) == 0 {
		return 0, nil
	}
	return f.from[f.turn%len(f.from)], all
}

// receive takes a part; whole: the document is there.
func (f *download) receive(p *chunk) (whole []byte, ok bool) {
	if p.DocumentSize == 0 { // it has not got it
		if when, ok := f.asked[p.Offset]; ok && when > 0 {
			f.turn++
			if f.none++; f.none%max(1, len(f.from)) > 0 { // else none has: it is asked for again after a while
				f.asked[p.Offset] = 0 // at once, of the next door
			}
		}
		return nil, false
	}
	if p.DocumentSize > policy.MaxDocumentBytes || f.size >= 0 && p.DocumentSize != f.size || p.Offset < 0 || p.Offset%chunkBytes != 0 || f.got[p.Offset] {
		return nil, false
	}
	if int64(len(p.Data)) != min(chunkBytes, p.DocumentSize-p.Offset) {
		return nil, false
	}
	if f.size < 0 {
		f.size, f.b = p.DocumentSize, make([]byte, p.DocumentSize)
	}
	delete(f.asked, p.Offset)
	copy(f.b[p.Offset:], p.Data)
	f.got[p.Offset] = true
	if f.have += int64(len(p.Data)); f.have < f.size {
		return nil, false
	}
	if policy.HashOf(f.b) == f.hash {
		return f.b, true
	}
	*f = *newDownload(f.hash, f.from, f.since) // somebody told it wrong: all again, from another door
	f.turn++
	return nil, false
}

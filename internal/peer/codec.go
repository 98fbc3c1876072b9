package peer

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/cluster"
)

// Form of a datagram: a version, the salt of its sender's process, a count, and the sealed message. Each process seals with a key of its
// own, drawn from the shared one and its salt, so that counts may serve as nonces.
const (
	version   = 1
	saltBytes = 16
	headBytes = 1 + saltBytes + 8

	mostBytes = 16 << 10 // of a datagram; the largest that is sent has some 3 KB
	leastKey  = 16       // bytes of a shared key
)

// message is what is sealed.
type message struct {
	ListHash      uint32           `cbor:"1,keyasint"` // a hash of the names: doors with different lists do not understand each other
	From          uint16           `cbor:"2,keyasint"`
	To            uint16           `cbor:"3,keyasint"`
	Cluster       *cluster.Message `cbor:"4,keyasint,omitempty"`
	StatusRequest uint32           `cbor:"5,keyasint,omitempty"` // for the receiver's view, by a number
	StatusReply   *statusReply     `cbor:"6,keyasint,omitempty"`
	LoanRequest   *LoanRequest     `cbor:"7,keyasint,omitempty"`
	Loan          *Loan            `cbor:"8,keyasint,omitempty"`
	Policy        []byte           `cbor:"9,keyasint,omitempty"`
	Keys          []byte           `cbor:"10,keyasint,omitempty"`
	SentAt        int64            `cbor:"11,keyasint,omitempty"` // its sender's clock, Unix nanoseconds; with a beat
}

// MaxPayloadBytes bounds what one datagram carries of policy, or of keys.
const MaxPayloadBytes = 12 << 10

// LoanRequest asks for a loan of a customer's ceiling.
type LoanRequest struct {
	Pool     string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Plan     uint16 `cbor:"3,keyasint"`
	At       int64  `cbor:"4,keyasint"` // when it was asked for, in nanoseconds on its door's clock
}

// Loan answers a Want.
type Loan struct {
	Request LoanRequest `cbor:"1,keyasint"`
	Rate    float64     `cbor:"2,keyasint"`
	Depth   float64     `cbor:"3,keyasint"`
}

// mostName bounds the names in a Want.
const mostName = 64

func (w *LoanRequest) good() bool { return len(w.Pool) <= mostName && len(w.Customer) <= mostName }

// statusReply is how a door sees all others.
type statusReply struct {
	Number       uint32   `cbor:"1,keyasint"`
	States       []byte   `cbor:"2,keyasint"` // by rank, each a members.State
	Incarnations []uint32 `cbor:"3,keyasint"` // their incarnations
	Fraction     float64  `cbor:"4,keyasint"`
	RecoveryStep string   `cbor:"5,keyasint,omitempty"` // of its recovery
}

// mostStep bounds what a door says of its recovery.
const mostStep = 160

// Errors of open.
var (
	errForm     = errors.New("no datagram of this form")
	errStranger = errors.New("not sealed with the fleet's key")
	errList     = errors.New("from a door with another list of doors")
	errTo       = errors.New("to another door")
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	return m
}()

// listOf is the hash of a list of doors.
func listOf(names []string) uint32 {
	h := fnv.New32a()
	for _, n := range names {
		fmt.Fprintf(h, "%q ", n)
	}
	return h.Sum32()
}

// codec seals and opens. Sealing and opening may be done by one goroutine each.
type codec struct {
	shared []byte
	list   uint32
	rank   int
	doors  int

	own   cipher.AEAD
	head  [headBytes]byte
	count uint64

	known map[[saltBytes]byte]cipher.AEAD // of processes that were heard of
	order [][saltBytes]byte
}

func newCodec(key []byte, names []string, rank int) (*codec, error) {
	c := &codec{shared: key, list: listOf(names), rank: rank, doors: len(names), known: map[[saltBytes]byte]cipher.AEAD{}}
	c.head[0] = version
	salt := c.head[1 : 1+saltBytes]
	rand.Read(salt)
	var err error
	c.own, err = aead(key, salt)
	return c, err
}

func aead(key, salt []byte) (cipher.AEAD, error) {
	k, err := hkdf.Key(sha256.New, key, salt, "gapgap fleet", 32)
	if err != nil {
		return nil, err
	}
	b, err := aes.NewCipher(k)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}

func nonce(head []byte) []byte {
	var n [12]byte
	copy(n[4:], head[1+saltBytes:headBytes])
	return n[:]
}

// seal makes a datagram.
func (c *codec) seal(m *message) ([]byte, error) {
	m.ListHash, m.From = c.list, uint16(c.rank)
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	c.count++
	binary.BigEndian.PutUint64(c.head[1+saltBytes:], c.count)
	out := make([]byte, headBytes, headBytes+len(body)+c.own.Overhead())
	copy(out, c.head[:])
	return c.own.Seal(out, nonce(out), body, out[:headBytes]), nil
}

// open reads a datagram.
func (c *codec) open(b []byte) (*message, error) {
	if len(b) < headBytes || len(b) > mostBytes || b[0] != version {
		return nil, errForm
	}
	salt := [saltBytes]byte(b[1 : 1+saltBytes])
	a, known := c.known[salt]
	if !known {
		var err error
		if a, err = aead(c.shared, salt[:]); err != nil {
			return nil, err
		}
	}
	body, err := a.Open(nil, nonce(b[:headBytes]), b[headBytes:], b[:headBytes])
	if err != nil {
		return nil, errStranger
	}
	if !known { // only now, so that strangers fill nothing
		if len(c.order) >= 2*c.doors+16 {
			delete(c.known, c.order[0])
			c.order = c.order[1:]
		}
		c.known[salt], c.order = a, append(c.order, salt)
	}
	m := &message{}
	if err := decoder.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errForm, err)
	}
	switch {
	case m.ListHash != c.list:
		return nil, errList
	case int(m.To) != c.rank:
		return nil, errTo
	case int(m.From) >= c.doors:
		return nil, errForm
	}
	return m, nil
}

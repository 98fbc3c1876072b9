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
)

// A datagram has a header of version, the salt of its sender's process and a count, then the sealed message. Each
// process seals with a key of its own, derived from the shared key and its salt, so that counts serve as nonces.
const (
	datagramVersion = 1
	saltSize        = 16
	countSize       = 8
	headerSize      = 1 + saltSize + countSize
	nonceSize       = 12
	derivedKeySize  = 32

	// maxDatagramBytes bounds a datagram; the largest that is sent has about 3 KB.
	maxDatagramBytes = 16 << 10
	// minSharedKeyBytes is the least length of the shared key.
	minSharedKeyBytes = 16
	// extraKnownSenders is how many processes are remembered beyond two for each gateway.
	extraKnownSenders = 16

	// keyContext separates keys that are derived for datagrams from others. It is part of the wire format.
	keyContext = "gapgap fleet"
)

// Errors of opener.open.
var (
	errMalformedDatagram = errors.New("no datagram of this form")
	errNotAuthentic      = errors.New("not sealed with the fleet's key")
	errOtherList         = errors.New("from a door with another list of doors")
	errOtherReceiver     = errors.New("to another door")
)

// decoder reads messages strictly.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 4096,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	return mode
}

// hashList returns the hash of a list of gateways' names.
func hashList(names []string) uint32 {
	h := fnv.New32a()
	for _, name := range names {
		_, _ = fmt.Fprintf(h, "%q ", name) // a hash takes all that is written
	}
	return h.Sum32()
}

// salt is what a process's key is derived with.
type salt [saltSize]byte

// deriveCipher returns the cipher of a process.
func deriveCipher(sharedKey []byte, s salt) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, sharedKey, s[:], keyContext, derivedKeySize)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// nonceOf returns the nonce of a datagram: the count in its header.
func nonceOf(header []byte) []byte {
	var nonce [nonceSize]byte
	copy(nonce[nonceSize-countSize:], header[1+saltSize:headerSize])
	return nonce[:]
}

// sealer makes datagrams. It belongs to one goroutine.
type sealer struct {
	listHash uint32
	index    int
	salt     salt
	cipher   cipher.AEAD
	// count is that of the last datagram.
	count uint64
}

// newSealer returns a sealer for the gateway at a position of a list.
func newSealer(sharedKey []byte, names []string, index int) (*sealer, error) {
	var s salt
	rand.Read(s[:])
	aead, err := deriveCipher(sharedKey, s)
	if err != nil {
		return nil, err
	}
	return &sealer{listHash: hashList(names), index: index, salt: s, cipher: aead}, nil
}

// seal returns the datagram of a message to m.To. It sets the message's ListHash and From.
func (s *sealer) seal(m *message) ([]byte, error) {
	m.ListHash, m.From = s.listHash, uint16(s.index)
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	s.count++
	datagram := make([]byte, 0, headerSize+len(body)+s.cipher.Overhead())
	datagram = append(datagram, datagramVersion)
	datagram = append(datagram, s.salt[:]...)
	datagram = binary.BigEndian.AppendUint64(datagram, s.count)
	return s.cipher.Seal(datagram, nonceOf(datagram), body, datagram), nil
}

// opener reads datagrams. It belongs to one goroutine.
type opener struct {
	sharedKey []byte
	listHash  uint32
	index     int
	gateways  int
	// known has the ciphers of processes that were heard of, and order their salts, the oldest first.
	known map[salt]cipher.AEAD
	order []salt
}

// newOpener returns an opener for the gateway at a position of a list.
func newOpener(sharedKey []byte, names []string, index int) *opener {
	return &opener{
		sharedKey: sharedKey,
		listHash:  hashList(names),
		index:     index,
		gateways:  len(names),
		known:     map[salt]cipher.AEAD{},
	}
}

// open returns the message of a datagram. Its error wraps one of those above.
func (o *opener) open(datagram []byte) (*message, error) {
	if len(datagram) < headerSize || len(datagram) > maxDatagramBytes || datagram[0] != datagramVersion {
		return nil, errMalformedDatagram
	}
	body, err := o.decrypt(datagram[:headerSize], datagram[headerSize:])
	if err != nil {
		return nil, err
	}
	m := &message{}
	if err := decoder.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedDatagram, err)
	}
	switch {
	case m.ListHash != o.listHash:
		return nil, errOtherList
	case int(m.To) != o.index:
		return nil, errOtherReceiver
	case int(m.From) >= o.gateways:
		return nil, errMalformedDatagram
	}
	return m, nil
}

// decrypt returns the sealed part of a datagram. It remembers the sender only if the datagram is authentic, so that
// nothing is stored for others.
func (o *opener) decrypt(header, sealed []byte) ([]byte, error) {
	sender := salt(header[1 : 1+saltSize])
	aead, isKnown := o.known[sender]
	if !isKnown {
		var err error
		if aead, err = deriveCipher(o.sharedKey, sender); err != nil {
			return nil, err
		}
	}
	body, err := aead.Open(nil, nonceOf(header), sealed, header)
	if err != nil {
		return nil, errNotAuthentic
	}
	if !isKnown {
		o.remember(sender, aead)
	}
	return body, nil
}

// remember stores the cipher of a process, in place of the oldest one if there are too many.
func (o *opener) remember(sender salt, aead cipher.AEAD) {
	if len(o.order) >= 2*o.gateways+extraKnownSenders {
		delete(o.known, o.order[0])
		o.order = o.order[1:]
	}
	o.known[sender] = aead
	o.order = append(o.order, sender)
}

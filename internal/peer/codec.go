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

// A datagram consists of a header and the encrypted message. The header has the version, the salt of the sending
// process and a sequence number. Each process encrypts with its own key, derived from the shared key and its salt, so
// that sequence numbers can serve as nonces.
const (
	datagramVersion = 1
	saltSize        = 16
	sequenceSize    = 8
	headerSize      = 1 + saltSize + sequenceSize
	nonceSize       = 12
	derivedKeySize  = 32

	// maxDatagramBytes is the maximum size of a datagram; the largest that is sent has about 3 KB.
	maxDatagramBytes = 16 << 10
	// minSharedKeyBytes is the minimum length of the shared key.
	minSharedKeyBytes = 16
	// extraKnownSenders is the number of cached ciphers beyond two per gateway.
	extraKnownSenders = 16

	// keyContext is the context of the key derivation, which separates keys for datagrams from other derived keys. It
	// is part of the wire format.
	keyContext = "gapgap fleet"
)

// Errors of opener.open. Operator documentation quotes some of the texts.
var (
	errMalformedDatagram = errors.New("malformed datagram")
	errNotAuthentic      = errors.New("not sealed with the fleet's key")
	errListMismatch      = errors.New("from a door with another list of doors")
	errWrongReceiver     = errors.New("addressed to another gateway")
)

// decoder decodes messages. It rejects duplicate keys, tags, indefinite lengths and oversized values.
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
		panic(err) // only if the options above are invalid
	}
	return mode
}

// hashNames returns the hash of the list of gateway names.
func hashNames(names []string) uint32 {
	h := fnv.New32a()
	for _, name := range names {
		_, _ = fmt.Fprintf(h, "%q ", name) // writes to a hash do not fail
	}
	return h.Sum32()
}

// salt is the random value that a process's key is derived from, together with the shared key.
type salt [saltSize]byte

// deriveCipher returns the cipher of the process with a salt.
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

// datagramNonce returns the nonce of a datagram, which is the sequence number in its header.
func datagramNonce(header []byte) []byte {
	var nonce [nonceSize]byte
	copy(nonce[nonceSize-sequenceSize:], header[1+saltSize:headerSize])
	return nonce[:]
}

// sealer encrypts messages into datagrams. It belongs to one goroutine.
type sealer struct {
	listHash uint32
	index    int
	salt     salt
	cipher   cipher.AEAD
	// sequence is the sequence number of the last datagram.
	sequence uint64
}

// newSealer returns a sealer for the gateway at an index of the list.
func newSealer(sharedKey []byte, names []string, index int) (*sealer, error) {
	var s salt
	rand.Read(s[:])
	aead, err := deriveCipher(sharedKey, s)
	if err != nil {
		return nil, err
	}
	return &sealer{listHash: hashNames(names), index: index, salt: s, cipher: aead}, nil
}

// seal returns the datagram of a message, whose To must be set. It sets ListHash and From.
func (s *sealer) seal(m *message) ([]byte, error) {
	m.ListHash, m.From = s.listHash, uint16(s.index)
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	s.sequence++
	datagram := make([]byte, 0, headerSize+len(body)+s.cipher.Overhead())
	datagram = append(datagram, datagramVersion)
	datagram = append(datagram, s.salt[:]...)
	datagram = binary.BigEndian.AppendUint64(datagram, s.sequence)
	return s.cipher.Seal(datagram, datagramNonce(datagram), body, datagram), nil
}

// opener decrypts and decodes datagrams. It belongs to one goroutine.
type opener struct {
	sharedKey []byte
	listHash  uint32
	index     int
	gateways  int
	// ciphers has the ciphers of the processes that authentic datagrams came from, and senders their salts, the oldest
	// first.
	ciphers map[salt]cipher.AEAD
	senders []salt
}

// newOpener returns an opener for the gateway at an index of the list.
func newOpener(sharedKey []byte, names []string, index int) *opener {
	return &opener{
		sharedKey: sharedKey,
		listHash:  hashNames(names),
		index:     index,
		gateways:  len(names),
		ciphers:   map[salt]cipher.AEAD{},
	}
}

// open returns the message of a datagram. Its error wraps one of those above, unless the key derivation fails.
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
		return nil, errListMismatch
	case int(m.To) != o.index:
		return nil, errWrongReceiver
	case int(m.From) >= o.gateways:
		return nil, errMalformedDatagram
	}
	return m, nil
}

// decrypt returns the decrypted body of a datagram. It caches the sender's cipher only if the datagram is authentic, so
// that datagrams of processes without the key use no memory.
func (o *opener) decrypt(header, sealed []byte) ([]byte, error) {
	sender := salt(header[1 : 1+saltSize])
	aead, isKnown := o.ciphers[sender]
	if !isKnown {
		var err error
		if aead, err = deriveCipher(o.sharedKey, sender); err != nil {
			return nil, err
		}
	}
	body, err := aead.Open(nil, datagramNonce(header), sealed, header)
	if err != nil {
		return nil, errNotAuthentic
	}
	if !isKnown {
		o.addSender(sender, aead)
	}
	return body, nil
}

// addSender caches the cipher of a process and evicts the oldest one if the cache is full.
func (o *opener) addSender(sender salt, aead cipher.AEAD) {
	if len(o.senders) >= 2*o.gateways+extraKnownSenders {
		delete(o.ciphers, o.senders[0])
		o.senders = o.senders[1:]
	}
	o.ciphers[sender] = aead
	o.senders = append(o.senders, sender)
}

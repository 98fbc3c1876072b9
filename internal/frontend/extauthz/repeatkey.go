package extauthz

import (
	"crypto/sha256"
	"net/http"
	"strconv"

	"gapgap/internal/decisioncache"
)

// repeatIdentity has the properties that must be equal, besides the request id or nonce, for a check to be a repeat of
// another. Therefore a client that chooses its own ids can only repeat its own checks.
type repeatIdentity struct {
	customer string
	target   target
	units    float64
	class    int
}

// repeatKey returns the key by which repeats of a check are recognized. ok is false if they can't be recognized. The
// error is a *headerError.
func (r *Route) repeatKey(identity repeatIdentity, header http.Header) (key decisioncache.Key, ok bool, err error) {
	name := ""
	switch r.Repeat {
	case Never:
		return key, false, nil
	case ByRequestID:
		name = r.RequestIDHeader
	case ByNonce:
		name = r.NonceHeader
	}
	id, err := singleValue(header, name)
	if id == "" || err != nil {
		return key, false, err
	}
	return identity.key(id), true, nil
}

// key returns a digest of the identity and a request id or nonce.
func (i *repeatIdentity) key(id string) decisioncache.Key {
	var buffer [512]byte
	text := buffer[:0]
	t := &i.target
	for _, part := range [...]string{i.customer, t.method, t.scheme, t.host, t.uri, id} {
		// Length prefixes make the encoding of the list of parts unambiguous.
		text = strconv.AppendInt(text, int64(len(part)), 10)
		text = append(text, ':')
		text = append(text, part...)
	}
	text = strconv.AppendFloat(text, i.units, 'g', -1, 64)
	text = append(text, ' ')
	text = strconv.AppendInt(text, int64(i.class), 10)
	digest := sha256.Sum256(text)
	var key decisioncache.Key
	copy(key[:], digest[:])
	return key
}

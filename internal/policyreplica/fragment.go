package policyreplica

const (
	// fragmentBytes is the length of the data of every fragment but the last of a message.
	fragmentBytes = 8 << 10
	// maxUnfragmentedBytes is the greatest length of a message that is sent in one datagram.
	maxUnfragmentedBytes = fragmentBytes + 1024
	// maxFragments limits the number of fragments of a received message.
	maxFragments = 64
)

// fragment is a part of an encoded message that is too long for a datagram.
type fragment struct {
	// MessageID differs from that of the sender's previous message.
	MessageID uint32 `cbor:"1,keyasint"`
	// Index is the position of this fragment among the Count fragments of the message.
	Index uint16 `cbor:"2,keyasint"`
	Count uint16 `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint"`
}

// splitMessage splits an encoded message into fragments.
func splitMessage(messageID uint32, encoded []byte) []fragment {
	count := (len(encoded) + fragmentBytes - 1) / fragmentBytes
	fragments := make([]fragment, 0, count)
	for index := range count {
		start := index * fragmentBytes
		fragments = append(fragments, fragment{
			MessageID: messageID,
			Index:     uint16(index),
			Count:     uint16(count),
			Data:      encoded[start:min(len(encoded), start+fragmentBytes)],
		})
	}
	return fragments
}

// reassembly joins the fragments of one sender's message. A fragment of another message discards the previous message.
type reassembly struct {
	messageID uint32
	// missing is the number of fragments that have not arrived.
	missing int
	// fragments has the data by fragment index; nil: not yet arrived.
	fragments [][]byte
}

// add adds a fragment. It returns the encoded message once all fragments have arrived, and nil otherwise.
func (r *reassembly) add(f *fragment) (encoded []byte) {
	if f.Count == 0 || f.Count > maxFragments || f.Index >= f.Count {
		return nil
	}
	if f.MessageID != r.messageID || len(r.fragments) != int(f.Count) {
		*r = reassembly{messageID: f.MessageID, missing: int(f.Count), fragments: make([][]byte, f.Count)}
	}
	if r.fragments[f.Index] != nil {
		return nil
	}
	r.fragments[f.Index] = f.Data
	r.missing--
	if r.missing > 0 {
		return nil
	}
	for _, data := range r.fragments {
		encoded = append(encoded, data...)
	}
	return encoded
}

package resp

import (
	"cmp"
	"errors"
	"io"

	"github.com/tidwall/redcon"

	"gapgap/internal/resourcelimit"
)

const (
	// MaxValueBytes is the default limit on the bytes of a value.
	MaxValueBytes = 64 << 10
	// maxOverheadBytes is the limit on the bytes of a message beside one value of the largest size.
	maxOverheadBytes = 8 << 10
	// defaultBufferBytes is the size of a reader's buffer while it reads no long message.
	defaultBufferBytes = 4 << 10
)

// Errors of a Reader. Errors of its source are returned unchanged.
var (
	// ErrMalformed is returned for bytes that can't become a message within the limits.
	ErrMalformed = errors.New("malformed RESP")
	// ErrNoMemory is returned when the memory limit has no bytes left for a message.
	ErrNoMemory = errors.New("no memory left for a message")
	// ErrLongValue is returned by Next for a message that the caller reads with StartLongValue and ReadLongValue.
	ErrLongValue = errors.New("the message begins with a long value")
)

// Reader reads complete RESP messages. Redcon's own reader accepts any length that the other side declares and does not
// distinguish an incomplete message from a malformed one, so the Reader checks lengths before it allocates memory.
// A Reader is not safe for concurrent use.
type Reader struct {
	// Source is what the messages are read from.
	Source io.Reader
	// Memory limits the buffer bytes beyond the default buffer size; nil means no limit.
	Memory *resourcelimit.Bytes
	// WaitForMemory, if not nil, reserves bytes of Memory for a message longer than the default buffer. It may block
	// until they are available. The buffer then gets the size that the message declares at once, so that no message
	// waits for memory while it holds some. If it is nil, such a message is not read beyond the limit (ErrNoMemory),
	// and the buffer grows with the bytes that have come, as the source may declare more than it sends.
	WaitForMemory func(n int64) error
	// MaxValue is the limit on the bytes of a value; 0 means MaxValueBytes.
	MaxValue int
	// MaxStreamedValue is the limit on the bytes of a value longer than MaxValue that an array may begin with; 0 means
	// that no value may be longer than MaxValue.
	MaxStreamedValue int

	buffer []byte
	// start is the index of the first unread byte of the buffer.
	start int
	// scan is how far the message that begins there has been scanned.
	scan scanner
}

// Next returns the next message. Its bytes are valid until the next call. It returns ErrLongValue, ErrMalformed,
// ErrNoMemory, or an error of the source or of WaitForMemory.
func (r *Reader) Next() (redcon.RESP, error) {
	maxValue := cmp.Or(r.MaxValue, MaxValueBytes)
	for {
		if r.hasLongValue() {
			return redcon.RESP{}, ErrLongValue
		}
		length, err := r.scan.messageLength(r.buffer[r.start:], maxValue)
		if err != nil {
			return redcon.RESP{}, err
		}
		if length > 0 {
			return r.parse(length)
		}
		if err := r.fill(maxValue + maxOverheadBytes); err != nil {
			return redcon.RESP{}, err
		}
	}
}

// parse parses the message in the next length bytes of the buffer.
func (r *Reader) parse(length int) (redcon.RESP, error) {
	_, message := redcon.ReadNextRESP(r.buffer[r.start : r.start+length])
	r.start += length
	r.scan = scanner{}
	if message.Type == 0 {
		return message, ErrMalformed
	}
	return message, nil
}

// fill reads more bytes from the source into the buffer, which holds one message of maxMessage bytes at most.
func (r *Reader) fill(maxMessage int) error {
	if r.start > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
		r.start = 0
	}
	if err := r.ensureSpace(maxMessage); err != nil {
		return err
	}
	n, err := r.Source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n == 0 {
		return err
	}
	return nil
}

// ensureSpace makes space for at least one more byte. It resets an empty buffer to its default size, which releases the
// memory of a long message.
func (r *Reader) ensureSpace(maxMessage int) error {
	switch {
	case len(r.buffer) == 0 && cap(r.buffer) != defaultBufferBytes:
		r.Release()
		r.buffer = make([]byte, 0, defaultBufferBytes)
	case len(r.buffer) >= maxMessage:
		return ErrMalformed
	case len(r.buffer) == cap(r.buffer):
		size := r.nextSize(maxMessage)
		if err := r.reserve(int64(size - cap(r.buffer))); err != nil {
			return err
		}
		r.buffer = append(make([]byte, 0, size), r.buffer...)
	}
	return nil
}

// nextSize returns the size to which a full buffer grows.
func (r *Reader) nextSize(maxMessage int) int {
	size := 2 * cap(r.buffer)
	if r.WaitForMemory != nil {
		size = max(size, r.scan.declaredLength(r.buffer)+maxOverheadBytes)
	}
	return min(size, maxMessage)
}

// reserve reserves memory for n more bytes of the buffer. It waits only if the buffer holds none yet.
func (r *Reader) reserve(n int64) error {
	switch {
	case r.Memory == nil:
		return nil
	case r.WaitForMemory != nil && cap(r.buffer) <= defaultBufferBytes:
		return r.WaitForMemory(n)
	case r.Memory.TryReserve(n):
		return nil
	}
	return ErrNoMemory
}

// SetMemory changes the memory limit and moves the bytes that the buffer has reserved to the new one.
func (r *Reader) SetMemory(to *resourcelimit.Bytes) {
	if n := int64(cap(r.buffer) - defaultBufferBytes); n > 0 && r.Memory != to {
		r.Memory.Release(n)
		to.Adjust(n)
	}
	r.Memory = to
}

// Release drops the buffer with its unread bytes and releases its memory.
func (r *Reader) Release() {
	if r.Memory != nil && cap(r.buffer) > defaultBufferBytes {
		r.Memory.Release(int64(cap(r.buffer) - defaultBufferBytes))
	}
	r.buffer = nil
	r.start = 0
	r.scan = scanner{}
}

// Unread returns the bytes that were read from the source and are not part of a returned message. They are valid until
// the next call.
func (r *Reader) Unread() []byte {
	return r.buffer[r.start:]
}

// Prefill makes a new Reader begin with the unread bytes of another Reader.
func (r *Reader) Prefill(unread []byte) {
	r.buffer = append(make([]byte, 0, max(defaultBufferBytes, len(unread))), unread...)
	if n := cap(r.buffer) - defaultBufferBytes; n > 0 && r.Memory != nil {
		r.Memory.Adjust(int64(n))
	}
}

// HasPartialMessage reports whether bytes beyond the last returned message were read.
func (r *Reader) HasPartialMessage() bool {
	return r.start < len(r.buffer)
}

package extauthz

import (
	"net/http"

	"gapgap/internal/resourcelimit"
)

// exchangeBytes is the estimated memory of a request in addition to its header.
const exchangeBytes = 3 << 10

// memoryReservation is the memory that is reserved for a request: first from the process's limit, then from the pool's.
type memoryReservation struct {
	limit *resourcelimit.Bytes
	size  int64
}

// reserveMemory reserves bytes of a limit. ok is false if the limit has too few left.
func reserveMemory(limit *resourcelimit.Bytes, size int64) (reserved memoryReservation, ok bool) {
	if !limit.TryReserve(size) {
		return memoryReservation{}, false
	}
	return memoryReservation{limit: limit, size: size}, true
}

// moveTo moves the reservation to a pool's limit and returns false if that has too few bytes left. With a nil limit it
// does nothing.
func (r *memoryReservation) moveTo(limit *resourcelimit.Bytes) bool {
	if limit == nil || limit == r.limit {
		return true
	}
	if !limit.TryReserve(r.size) {
		return false
	}
	r.limit.Release(r.size)
	r.limit = limit
	return true
}

// release ends the reservation.
func (r *memoryReservation) release() {
	r.limit.Release(r.size)
}

// headerSize returns the size of a header in bytes and its number of fields.
func headerSize(header http.Header) (size int64, fields int) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value))
			fields++
		}
	}
	return size, fields
}

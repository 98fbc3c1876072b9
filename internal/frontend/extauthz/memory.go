package extauthz

import (
	"net/http"

	"gapgap/internal/resourcelimit"
)

// exchangeBytes is what a request costs in bytes beside its header.
const exchangeBytes = 3 << 10

// memoryReservation is the memory that a request counts with: at first toward the process's limit, then toward the
// pool's.
type memoryReservation struct {
	limit *resourcelimit.Bytes
	size  int64
}

// reserveMemory reserves bytes of a limit. ok is false if they don't fit.
func reserveMemory(limit *resourcelimit.Bytes, size int64) (reserved memoryReservation, ok bool) {
	if !limit.TryReserve(size) {
		return memoryReservation{}, false
	}
	return memoryReservation{limit: limit, size: size}, true
}

// moveTo makes the reservation count toward a pool's limit and returns false if it does not fit there. A nil limit
// leaves it as it is.
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

// headerSize returns the bytes and the number of the fields of a header.
func headerSize(header http.Header) (size int64, fields int) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value))
			fields++
		}
	}
	return size, fields
}

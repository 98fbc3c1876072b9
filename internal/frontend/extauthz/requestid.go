package extauthz

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	// requestIDPrefixBytes is the length of the random part of request ids, which distinguishes processes.
	requestIDPrefixBytes = 8
	// requestIDBase is the base of the number in request ids.
	requestIDBase = 36
)

// newRequestIDPrefix returns the prefix of the request ids of a process.
func newRequestIDPrefix() string {
	var random [requestIDPrefixBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:]) + "-"
}

// formatRequestID returns the id of an admitted request as clients see it.
func (s *Shared) formatRequestID(id uint64) string {
	return s.requestIDPrefix + strconv.FormatUint(id, requestIDBase)
}

// parseRequestID is the inverse of formatRequestID. ok is false if the text is not a request id of this process.
func (s *Shared) parseRequestID(text string) (id uint64, ok bool) {
	number, ok := strings.CutPrefix(text, s.requestIDPrefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(number, requestIDBase, 64)
	return id, err == nil
}

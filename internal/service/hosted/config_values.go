package hosted

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"gapgap/internal/frontend/extauthz"
)

// maxNameBytes bounds the length of names.
const maxNameBytes = 64

// nameCharacters has the characters that a name may contain.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._"

// fieldErrorf returns an *[extauthz.Fault] for a field of the file.
func fieldErrorf(field, format string, args ...any) error {
	return &extauthz.Fault{Field: field, Err: fmt.Errorf(format, args...)}
}

// valueOr returns the value that a pointer points to, or a default if the pointer is nil.
func valueOr[T any](pointer *T, defaultValue T) T {
	if pointer == nil {
		return defaultValue
	}
	return *pointer
}

// isPlainName reports whether a name is valid in a RESP2 list of names and values and in a quoted header field.
func isPlainName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && strings.Trim(name, nameCharacters) == ""
}

// parsePrefixes parses a list of networks and single addresses.
func parsePrefixes(field string, texts []string) ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for i, text := range texts {
		prefix, ok := parsePrefix(text)
		if !ok {
			return nil, fieldErrorf(fmt.Sprintf("%s[%d]", field, i), "%q is not an IP address or network", text)
		}
		prefixes = append(prefixes, prefix.Masked())
	}
	return prefixes, nil
}

// parsePrefix parses a network or a single address.
func parsePrefix(text string) (prefix netip.Prefix, ok bool) {
	prefix, err := netip.ParsePrefix(text)
	if err == nil {
		return prefix, true
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, false
	}
	address = address.Unmap()
	return netip.PrefixFrom(address, address.BitLen()), true
}

// isAllowed reports whether a listener may use an address: it must be a loopback address or in node.allow.
func isAllowed(address netip.Addr, allowed []netip.Prefix) bool {
	return address.IsLoopback() || slices.ContainsFunc(allowed, func(prefix netip.Prefix) bool {
		return prefix.Contains(address.Unmap())
	})
}

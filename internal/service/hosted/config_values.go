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

// nameCharacters are those that a name may consist of.
const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._"

// fieldErrorf returns an *[extauthz.Fault] of a field of the file.
func fieldErrorf(field, format string, args ...any) error {
	return &extauthz.Fault{Field: field, Err: fmt.Errorf(format, args...)}
}

// valueOr returns what a pointer points to, or a default where it is nil.
func valueOr[T any](pointer *T, otherwise T) T {
	if pointer == nil {
		return otherwise
	}
	return *pointer
}

// isPlainName reports whether a name may stand in a RESP2 list of names and values and in a quoted header field.
func isPlainName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && strings.Trim(name, nameCharacters) == ""
}

// parsePrefixes parses addresses, each a single one or a whole network.
func parsePrefixes(field string, texts []string) ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for i, text := range texts {
		prefix, ok := parsePrefix(text)
		if !ok {
			return nil, fieldErrorf(fmt.Sprintf("%s[%d]", field, i), "%q is no address or network", text)
		}
		prefixes = append(prefixes, prefix.Masked())
	}
	return prefixes, nil
}

// parsePrefix parses a network, or a single address.
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

// isAllowed reports whether an address may be listened on: it is loopback or in node.allow.
func isAllowed(address netip.Addr, allowed []netip.Prefix) bool {
	return address.IsLoopback() || slices.ContainsFunc(allowed, func(prefix netip.Prefix) bool {
		return prefix.Contains(address.Unmap())
	})
}

package extauthz

import (
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
)

// isTrustedAddress reports whether a proxy at an address may send checks.
func (c *Config) isTrustedAddress(address net.Addr) bool {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return false
	}
	ip, ok := netip.AddrFromSlice(tcp.IP)
	if !ok {
		return false
	}
	ip = ip.Unmap()
	return slices.ContainsFunc(c.Trusted, func(prefix netip.Prefix) bool { return prefix.Contains(ip) })
}

// hasTrustedCertificate reports whether a proxy may send checks by its verified client certificate. state is nil
// without TLS.
func (c *Config) hasTrustedCertificate(state *tls.ConnectionState) bool {
	if state == nil || len(state.VerifiedChains) == 0 {
		return false
	}
	certificate := state.VerifiedChains[0][0]
	return slices.ContainsFunc(c.TrustedCertificates, func(name string) bool {
		return certificate.Subject.CommonName == name || slices.Contains(certificate.DNSNames, name)
	})
}

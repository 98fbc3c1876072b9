package hosted

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"gapgap/internal/frontend/extauthz"
)

// The values of the protocol of a listener.
const (
	protocolRESP2   = "resp2"
	protocolAuthz   = "authz"
	protocolMetrics = "metrics"
)

// listeners validates the listeners and returns at least one.
func (f *configFile) listeners(pools []Pool, allowed []netip.Prefix) ([]Listener, error) {
	if len(f.Listeners) == 0 {
		return nil, fieldErrorf("listener", "at least one listener is required")
	}
	bounds := newCheckBounds(pools)
	var listeners []Listener
	for i := range f.Listeners {
		listener, err := f.listener(i, listeners, bounds, allowed)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// listener validates one listener. others has the listeners before it.
func (f *configFile) listener(
	i int, others []Listener, bounds checkBounds, allowed []netip.Prefix,
) (Listener, error) {
	table := &f.Listeners[i]
	prefix := fmt.Sprintf("listener[%d]", i)
	listener := Listener{
		Name:    cmp.Or(table.Name, fmt.Sprint(table.Protocol, "-", i)),
		Address: table.Address,
	}
	if err := f.checkListenerAddress(i, listener.Name, others, allowed); err != nil {
		return Listener{}, err
	}
	switch table.Protocol {
	case protocolRESP2:
		listener.RESP2 = true
		return listener, table.checkRESP2(prefix)
	case protocolMetrics:
		listener.Metrics = true
		return listener, table.checkMetrics(prefix)
	case protocolAuthz:
		err := table.configureAuthz(&listener, prefix, bounds)
		return listener, err
	}
	return Listener{}, fieldErrorf(prefix+".protocol", "%q is not resp2, authz or metrics", table.Protocol)
}

// checkListenerAddress checks that a listener's address is allowed, and that its address and name are unique.
func (f *configFile) checkListenerAddress(i int, name string, others []Listener, allowed []netip.Prefix) error {
	field := func(name string) string { return fmt.Sprintf("listener[%d].%s", i, name) }
	address, err := netip.ParseAddrPort(f.Listeners[i].Address)
	if err != nil {
		return fieldErrorf(field("address"), "%q is not an IP address with a port", f.Listeners[i].Address)
	}
	if !isAllowed(address.Addr(), allowed) {
		return fieldErrorf(field("address"), "%s is neither loopback nor in node.allow", address.Addr())
	}
	for j, other := range others {
		otherAddress, _ := netip.ParseAddrPort(other.Address) // already validated
		if otherAddress == address && address.Port() != 0 {
			return fieldErrorf(field("address"), "%s is also the address of listener[%d]", address, j)
		}
		if other.Name == name {
			return fieldErrorf(field("name"), "%q is also the name of listener[%d]", name, j)
		}
	}
	return nil
}

// hasAuthzKeys reports whether the table has keys that are only valid for authorization checks.
func (table *listenerTable) hasAuthzKeys() bool {
	return len(table.Checks) > 0 || len(table.Trusted) > 0 || len(table.TrustedCertificates) > 0 ||
		table.EndPath != ""
}

// checkRESP2 checks that the table has no keys that are invalid for RESP2.
func (table *listenerTable) checkRESP2(prefix string) error {
	if table.TLS != nil {
		return fieldErrorf(prefix+".tls", "is not supported by resp2")
	}
	if table.hasAuthzKeys() {
		return fieldErrorf(prefix+".protocol",
			"resp2 does not support check, trusted, trusted_certificates or end_path")
	}
	return nil
}

// checkMetrics checks that the table has no keys that are invalid for metrics.
func (table *listenerTable) checkMetrics(prefix string) error {
	if table.TLS != nil || table.hasAuthzKeys() {
		return fieldErrorf(prefix+".protocol",
			"metrics does not support tls, check, trusted, trusted_certificates or end_path")
	}
	return nil
}

// configureAuthz validates a listener for authorization checks and sets its fields other than the name and address.
func (table *listenerTable) configureAuthz(listener *Listener, prefix string, bounds checkBounds) error {
	files, err := table.tlsFiles(prefix)
	if err != nil {
		return err
	}
	trusted, err := parsePrefixes(prefix+".trusted", table.Trusted)
	if err != nil {
		return err
	}
	config := extauthz.Config{
		Name:                listener.Name,
		EndPath:             table.EndPath,
		Trusted:             trusted,
		TrustedCertificates: table.TrustedCertificates,
		MaxHeaderBytes:      cmp.Or(table.MaxHeaderBytes, extauthz.DefaultMaxHeaderBytes),
		MaxHeaders:          cmp.Or(table.MaxHeaders, extauthz.DefaultMaxHeaders),
		MaxBody:             cmp.Or(table.MaxBody, extauthz.DefaultMaxBody),
		HeaderTimeout:       cmp.Or(time.Duration(table.HeaderTimeout), extauthz.DefaultHeaderTimeout),
		IdleTimeout:         cmp.Or(time.Duration(table.IdleTimeout), extauthz.DefaultIdleTimeout),
		MaxStreams:          cmp.Or(table.MaxStreams, extauthz.DefaultMaxStreams),
	}
	for i := range table.Checks {
		route, err := checkRoute(&table.Checks[i], fmt.Sprintf("%s.check[%d]", prefix, i), bounds)
		if err != nil {
			return err
		}
		config.Routes = append(config.Routes, route)
	}
	if err := config.Check(); err != nil {
		var field *extauthz.Fault
		errors.As(err, &field)
		return &extauthz.Fault{Field: prefix + "." + field.Field, Err: field.Err}
	}
	listener.Authz = config
	listener.TLS = files
	return nil
}

// tlsFiles returns the files of a listener with TLS, after checking that they can be loaded, or nil if the listener
// does not use TLS. It rejects trusted certificates without a client CA: only verified client certificates can be
// trusted.
func (table *listenerTable) tlsFiles(prefix string) (*TLSFiles, error) {
	var files *TLSFiles
	if table.TLS != nil {
		files = &TLSFiles{
			Certificate: table.TLS.Certificate,
			Key:         table.TLS.Key,
			ClientCA:    table.TLS.ClientCA,
		}
		if _, err := files.load(); err != nil {
			return nil, fieldErrorf(prefix+".tls", "%w", err)
		}
	}
	if len(table.TrustedCertificates) > 0 && (files == nil || files.ClientCA == "") {
		return nil, fieldErrorf(prefix+".trusted_certificates", "requires tls with client_ca")
	}
	return files, nil
}

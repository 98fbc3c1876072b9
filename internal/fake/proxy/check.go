package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// hopByHopHeaders are the header fields that a proxy must not forward (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// envoyRequestHeaders are the request headers that Envoy sends with a check: the configured allowed_headers, and
// Authorization, which Envoy always sends.
var envoyRequestHeaders = []string{"Authorization", "X-Api-Key", "Idempotency-Key"}

// check sends one check for a request. The caller must close the answer's body.
func (p *Proxy) check(r *http.Request, id string) (*http.Response, error) {
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if p.config.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, p.config.Timeout)
	}
	request, err := p.newCheck(ctx, r, id)
	if err != nil {
		cancel()
		return nil, err
	}
	answer, err := p.client.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancellingBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// cancellingBody is an answer's body that cancels the check's context when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// newCheck builds the check for a request in the way of the configured proxy.
func (p *Proxy) newCheck(ctx context.Context, r *http.Request, id string) (*http.Request, error) {
	method, url := http.MethodGet, p.config.Check
	if p.config.Kind == Envoy { // the request's own method, and its path after the prefix
		method, url = r.Method, p.config.Check+r.RequestURI
	}
	check, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if p.config.Kind == Envoy {
		copyEnvoyHeaders(check, r)
	} else {
		check.Header = r.Header.Clone()
		removeHeaders(check.Header, hopByHopHeaders)
		check.Header.Del("Content-Length")
	}
	if p.config.PassClientHeaders {
		for name, values := range r.Header {
			check.Header[name] = values
		}
	}
	for name, value := range p.proxyHeaders(r, id) {
		if p.config.PassClientHeaders && r.Header.Get(name) != "" {
			continue
		}
		check.Header.Set(name, value)
	}
	return check, nil
}

// copyEnvoyHeaders copies the request headers that Envoy sends with a check, and the host.
func copyEnvoyHeaders(check, r *http.Request) {
	for _, name := range envoyRequestHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			check.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	check.Host = r.Host
}

func removeHeaders(header http.Header, names []string) {
	for _, name := range names {
		header.Del(name)
	}
}

// proxyHeaders returns the headers that the proxy sets itself, overriding those of its client.
func (p *Proxy) proxyHeaders(r *http.Request, id string) map[string]string {
	headers := p.proxyHeadersOfKind(r)
	if !p.config.OmitRequestID {
		headers["X-Request-Id"] = id
	}
	return headers
}

func (p *Proxy) proxyHeadersOfKind(r *http.Request) map[string]string {
	clientHost, _, _ := net.SplitHostPort(r.RemoteAddr) // always valid: the HTTP server sets RemoteAddr
	switch p.config.Kind {
	case Nginx: // set with proxy_set_header in the check's location
		return map[string]string{
			"X-Original-Method": r.Method,
			"X-Original-Uri":    r.RequestURI,
			"X-Original-Host":   r.Host,
		}
	case Traefik, Caddy:
		return map[string]string{
			"X-Forwarded-Method": r.Method,
			"X-Forwarded-Uri":    r.RequestURI,
			"X-Forwarded-Host":   r.Host,
			"X-Forwarded-Proto":  "http",
			"X-Forwarded-For":    clientHost,
		}
	case Envoy:
		headers := map[string]string{"X-Forwarded-For": clientHost}
		if p.config.Timeout > 0 {
			timeout := p.config.Timeout.Truncate(time.Millisecond).String()
			headers["X-Envoy-Expected-Rq-Timeout-Ms"] = strings.TrimSuffix(timeout, "ms")
		}
		return headers
	}
	return map[string]string{}
}

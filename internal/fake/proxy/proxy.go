// Package proxy is a fake of the web proxies that ask for authorization over HTTP: nginx with auth_request, Traefik
// with ForwardAuth, Caddy with forward_auth and Envoy with the HTTP service of ext_authz. Each is written from its
// public documentation: what it sends with a check, what it makes of the answer, and what its own client gets.
package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// Kind is a web proxy's product.
type Kind string

// Kinds of proxies.
const (
	// Nginx is nginx with auth_request.
	Nginx Kind = "nginx"
	// Traefik is Traefik with ForwardAuth.
	Traefik Kind = "traefik"
	// Caddy is Caddy with forward_auth.
	Caddy Kind = "caddy"
	// Envoy is Envoy with the HTTP service of ext_authz.
	Envoy Kind = "envoy"
)

// maxIdleConnections bounds the idle connections of a proxy's own client for checks.
const maxIdleConnections = 64

// Config sets how a proxy behaves.
type Config struct {
	// Kind is the product.
	Kind Kind
	// Check is the URL of the check; for Envoy it is the prefix of the request's own path.
	Check string
	// Timeout bounds one check; 0: it has no limit.
	Timeout time.Duration
	// Retries is the number of further checks of a request after one that had no answer.
	Retries int
	// Client makes the checks; nil: a client of the proxy's own.
	Client *http.Client
	// Service serves the requests that are let through.
	Service http.Handler
	// NoID leaves out the header X-Request-Id.
	NoID bool
	// Spoof has its client's headers passed on as they are, as by a proxy that is configured wrongly.
	Spoof bool
}

// Proxy is one running proxy.
type Proxy struct {
	*httptest.Server
	config Config
	client *http.Client
}

// Start starts a proxy on a free port of loopback. Its caller closes it.
func Start(cfg Config) *Proxy {
	client := cfg.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	}
	withoutRedirects := *client
	withoutRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	p := &Proxy{config: cfg, client: &withoutRedirects}
	p.Server = httptest.NewServer(p)
	return p
}

// ServeHTTP implements http.Handler for the proxy's clients: it makes a check, and calls the service or answers with
// what the proxy makes of the check's answer.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := p.checkWithRetries(r)
	if err != nil {
		w.WriteHeader(statusWithoutAnswer[p.config.Kind])
		return
	}
	defer func() { _ = answer.Body.Close() }() // it was only read
	if p.letsThrough(answer) {
		_, _ = io.Copy(io.Discard, answer.Body) // nothing in it is needed
		p.config.Service.ServeHTTP(w, withIdentity(r, answer))
		return
	}
	switch p.config.Kind {
	case Nginx:
		writeNginxAnswer(w, answer)
	case Envoy:
		writeEnvoyAnswer(w, answer)
	default:
		writeAnswer(w, answer)
	}
}

// checkWithRetries makes a check, and the configured number of further ones while there is no answer. All have the
// same id.
func (p *Proxy) checkWithRetries(r *http.Request) (answer *http.Response, err error) {
	id := newID()
	for range 1 + p.config.Retries {
		if answer, err = p.check(r, id); err == nil {
			break
		}
	}
	return answer, err
}

// newID returns a random id of a request.
func newID() string {
	var id [16]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Package proxy implements fakes of the web proxies that check requests with an authorization service over HTTP: nginx
// with auth_request, Traefik with ForwardAuth, Caddy with forward_auth and Envoy with the HTTP service of ext_authz.
// Each follows the proxy's public documentation: what it sends with a check, how it interprets the answer and what it
// returns to its client.
package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// Kind is the web proxy that is imitated.
type Kind string

// Values of Kind.
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

// maxIdleConnections is the maximum number of idle connections of a proxy's default client for checks.
const maxIdleConnections = 64

// Config sets the behavior of a proxy.
type Config struct {
	// Kind is the web proxy to imitate.
	Kind Kind
	// Check is the URL of the check. For Envoy it is the prefix before the request's own path.
	Check string
	// Timeout is the time limit of one check. 0 means no limit.
	Timeout time.Duration
	// Retries is the maximum number of retries of a check that had no answer.
	Retries int
	// Client sends the checks. If nil, the proxy uses a client of its own.
	Client *http.Client
	// Service serves the requests that are admitted.
	Service http.Handler
	// OmitRequestID omits the header X-Request-Id from checks.
	OmitRequestID bool
	// PassClientHeaders forwards the client's headers with checks unchanged, as a misconfigured proxy does. They take
	// precedence over the headers that the proxy sets.
	PassClientHeaders bool
}

// Proxy is a running fake proxy.
type Proxy struct {
	*httptest.Server
	config Config
	client *http.Client
}

// Start starts a proxy on a free loopback port. The caller must close it.
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

// ServeHTTP implements http.Handler for the proxy's clients. It sends a check and then either calls the service or
// responds with what the proxy derives from the check's answer.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := p.checkWithRetries(r)
	if err != nil {
		w.WriteHeader(checkErrorStatus[p.config.Kind])
		return
	}
	defer func() { _ = answer.Body.Close() }() // only read from, so an error loses nothing
	if p.allows(answer) {
		_, _ = io.Copy(io.Discard, answer.Body) // the body is not needed
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

// checkWithRetries sends a check and, while there is no answer, retries it up to Config.Retries times. All attempts
// have the same ID.
func (p *Proxy) checkWithRetries(r *http.Request) (answer *http.Response, err error) {
	id := newID()
	for range 1 + p.config.Retries {
		if answer, err = p.check(r, id); err == nil {
			break
		}
	}
	return answer, err
}

// newID returns a random request ID.
func newID() string {
	var id [16]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

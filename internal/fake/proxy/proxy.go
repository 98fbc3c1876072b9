// Package proxy is a stand-in for the web proxies that ask for authorization over HTTP: nginx with auth_request, Traefik
// with ForwardAuth, Caddy with forward_auth and Envoy with the HTTP service of ext_authz. Each is written from its
// public documentation: what it sends with a check, what it makes of the answer, and what its own client sees.
package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// Kind is a proxy.
type Kind string

const (
	Nginx   Kind = "nginx"
	Traefik Kind = "traefik"
	Caddy   Kind = "caddy"
	Envoy   Kind = "envoy"
)

// Config is how a proxy is set up.
type Config struct {
	Kind    Kind
	Check   string        // URL of the check, for Envoy with the path prefix
	Timeout time.Duration // of one check
	Retries int           // further checks of a request after a time-out
	Client  *http.Client  // for checks; nil: one of its own
	Service http.Handler  // what stands behind the proxy
	NoID    bool          // it sets no id of the request
	Spoof   bool          // it is set up wrongly, and passes its client's headers on as they are
}

// Proxy is one proxy.
type Proxy struct {
	*httptest.Server
	cfg    Config
	client *http.Client
}

// Start listens on loopback.
func Start(cfg Config) *Proxy {
	p := &Proxy{cfg: cfg, client: cfg.Client}
	if p.client == nil {
		p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	c := *p.client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	p.client = &c
	p.Server = httptest.NewServer(p)
	return p
}

// hopByHop are the fields of RFC 9110, 7.6.1, that no proxy passes on.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// ServeHTTP is what a client of the proxy gets.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := newID()
	var res *http.Response
	var err error
	for range 1 + p.cfg.Retries { // with the same id each time
		if res, err = p.ask(r, id); err == nil {
			break
		}
	}
	if err != nil { // nginx and Caddy say 500 or 502, Envoy its status_on_error
		w.WriteHeader(map[Kind]int{Nginx: 500, Traefik: 500, Caddy: 502, Envoy: 403}[p.cfg.Kind])
		return
	}
	defer res.Body.Close()
	if pass := res.StatusCode/100 == 2 && (p.cfg.Kind != Envoy || res.StatusCode == 200); pass {
		io.Copy(io.Discard, res.Body)
		up := r.Clone(r.Context())
		for _, h := range []string{"X-Gapgap-Account", "X-Gapgap-Plan", "X-Gapgap-Request-Id"} {
			if up.Header.Del(h); res.Header.Get(h) != "" { // what the check answered, never what the client sent
				up.Header.Set(h, res.Header.Get(h))
			}
		}
		p.cfg.Service.ServeHTTP(w, up)
		return
	}
	switch p.cfg.Kind {
	case Nginx:
		p.nginx(w, res)
	case Envoy:
		if res.StatusCode >= 500 { // counts as an error of the service, with failure_mode_allow off
			w.WriteHeader(http.StatusForbidden)
			return
		}
		pass(w, res, "Retry-After", "X-Gapgap-Retry-After-Ms", "Www-Authenticate", "Content-Type", "Ratelimit", "Ratelimit-Policy")
	default:
		pass(w, res)
	}
}

// nginx makes of an answer what auth_request does: 401 with its challenge, 403, and 500 for all else. The page for
// operators sets auth_request_set $gapgap_status $upstream_http_x_gapgap_status and the like, and an error_page for 403
// that returns that status with Retry-After.
func (p *Proxy) nginx(w http.ResponseWriter, res *http.Response) {
	switch res.StatusCode {
	case http.StatusUnauthorized:
		w.Header()["Www-Authenticate"] = res.Header["Www-Authenticate"]
		w.WriteHeader(http.StatusUnauthorized)
	case http.StatusForbidden:
		code := http.StatusForbidden
		switch res.Header.Get("X-Gapgap-Status") {
		case "429":
			code = http.StatusTooManyRequests
		case "503":
			code = http.StatusServiceUnavailable
		}
		if v := res.Header.Get("Retry-After"); v != "" {
			w.Header().Set("Retry-After", v)
		}
		w.WriteHeader(code)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// pass passes an answer on: all of its fields, or the named ones.
func pass(w http.ResponseWriter, res *http.Response, only ...string) {
	for k, v := range res.Header {
		if len(only) == 0 || contains(only, k) {
			w.Header()[k] = v
		}
	}
	for _, h := range hopByHop {
		w.Header().Del(h)
	}
	w.WriteHeader(res.StatusCode)
	io.Copy(w, res.Body)
}

func contains(list []string, s string) bool {
	for _, o := range list {
		if o == s {
			return true
		}
	}
	return false
}

// ask makes one check.
func (p *Proxy) ask(r *http.Request, id string) (*http.Response, error) {
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if p.cfg.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, p.cfg.Timeout)
	}
	method, url := http.MethodGet, p.cfg.Check
	if p.cfg.Kind == Envoy { // the request's own method and path behind the prefix
		method, url = r.Method, p.cfg.Check+r.RequestURI
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	if p.cfg.Kind == Envoy { // allowed_headers; Authorization always goes along
		for _, h := range []string{"Authorization", "X-Api-Key", "Idempotency-Key"} {
			if v := r.Header.Values(h); len(v) > 0 {
				req.Header[http.CanonicalHeaderKey(h)] = v
			}
		}
		req.Host = r.Host
	} else {
		req.Header = r.Header.Clone()
		for _, h := range append(hopByHop, "Content-Length") {
			req.Header.Del(h)
		}
	}
	if p.cfg.Spoof {
		for k, v := range r.Header {
			req.Header[k] = v
		}
	}
	for k, v := range p.fields(r, id) {
		if p.cfg.Spoof && r.Header.Get(k) != "" {
			continue
		}
		req.Header.Set(k, v)
	}
	res, err := p.client.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	res.Body = &body{res.Body, cancel}
	return res, nil
}

// body ends the check's time when the answer has been read.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// fields are those that the proxy sets itself, whatever its client sent.
func (p *Proxy) fields(r *http.Request, id string) map[string]string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	f := map[string]string{}
	switch p.cfg.Kind {
	case Nginx: // proxy_set_header in the location of the check
		f["X-Original-Method"], f["X-Original-Uri"], f["X-Original-Host"] = r.Method, r.RequestURI, r.Host
	case Traefik, Caddy:
		f["X-Forwarded-Method"], f["X-Forwarded-Uri"], f["X-Forwarded-Host"] = r.Method, r.RequestURI, r.Host
		f["X-Forwarded-Proto"], f["X-Forwarded-For"] = "http", host
	case Envoy:
		f["X-Forwarded-For"] = host
		if p.cfg.Timeout > 0 {
			f["X-Envoy-Expected-Rq-Timeout-Ms"] = strings.TrimSuffix(p.cfg.Timeout.Truncate(time.Millisecond).String(), "ms")
		}
	}
	if !p.cfg.NoID {
		f["X-Request-Id"] = id
	}
	return f
}

func newID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

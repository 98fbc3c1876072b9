package extauthz

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is the form in which a kind of proxy asks and understands answers.
type Dialect int

const (
	// Nginx is nginx's auth_request, which understands 2xx, 401 and 403. It turns any other status into 500.
	Nginx Dialect = iota
	// Traefik is Traefik's ForwardAuth with X-Forwarded-* headers. Answers other than 2xx go to the client as they are.
	Traefik
	// Caddy is Caddy's forward_auth, which works like Traefik.
	Caddy
	// Envoy is Envoy's ext_authz over HTTP: the client's own method, and its path behind a prefix. Only 200 passes.
	Envoy
)

// Dialects has the dialects by their names in a configuration.
var Dialects = map[string]Dialect{
	"nginx":   Nginx,
	"traefik": Traefik,
	"caddy":   Caddy,
	"envoy":   Envoy,
}

// Repeat says how a check that is asked again is recognized.
type Repeat int

const (
	// Never means that each check counts by itself.
	Never Repeat = iota
	// ByRequestID recognizes a check by the proxy's id of the request.
	ByRequestID
	// ByNonce recognizes a check by a nonce of the client.
	ByNonce
)

// Repeats has the values of Repeat by their names in a configuration.
var Repeats = map[string]Repeat{
	"never":      Never,
	"request-id": ByRequestID,
	"nonce":      ByNonce,
}

// Identity is a way to identify the account of a check.
type Identity int

const (
	// ByKey takes an API key from Authorization: Bearer or from the key header.
	ByKey Identity = iota
	// ByHeader takes the account's name from a header that the proxy sets.
	ByHeader
	// ByCertificate takes the name of the client's certificate from a header that the proxy sets.
	ByCertificate
)

// Identities has the values of Identity by their names in a configuration.
var Identities = map[string]Identity{
	"key":         ByKey,
	"header":      ByHeader,
	"certificate": ByCertificate,
}

// Route is one path of a listener and how checks are asked there. Header names are in canonical form.
type Route struct {
	// Path is the prefix before the client's own path for Envoy, and the whole path of a check for others.
	Path    string
	Dialect Dialect
	// Identify lists ways to identify the account, in this order: the first that is present decides.
	Identify []Identity
	// KeyHeader may have the API key if Authorization has none; empty: it is not read.
	KeyHeader string
	// AccountHeader is read for ByHeader.
	AccountHeader string
	// CertificateHeader is read for ByCertificate.
	CertificateHeader string
	Repeat            Repeat
	// RequestIDHeader is read for ByRequestID.
	RequestIDHeader string
	// NonceHeader is read for ByNonce.
	NonceHeader string
	// UnitsHeader may override the units of the rules; empty: it is not read.
	UnitsHeader string
	// DefaultClass is the class of requests that no rule matches. If it is empty or unknown to the pool, they are
	// forbidden.
	DefaultClass string
	// Within is how long the answer of a check may take.
	Within time.Duration
	// AllowUndecided lets requests pass whose checks can't be decided.
	AllowUndecided bool
}

// validate returns the field that is wrong, except for the path, and what is wrong with it.
func (r *Route) validate() (field string, err error) {
	switch {
	case len(r.Identify) == 0:
		return "identify", errors.New("is empty")
	case r.Within <= 0:
		return "within", errors.New("is not above 0")
	case r.Repeat == ByRequestID && r.RequestIDHeader == "":
		return "request_id_header", errors.New("is empty")
	case r.Repeat == ByNonce && r.NonceHeader == "":
		return "nonce_header", errors.New("is empty")
	}
	for _, identity := range r.Identify {
		if identity == ByHeader && r.AccountHeader == "" {
			return "account_header", errors.New("is empty, but identify names header")
		}
		if identity == ByCertificate && r.CertificateHeader == "" {
			return "certificate_header", errors.New("is empty, but identify names certificate")
		}
	}
	return "", nil
}

// envoyTimeoutHeader is where Envoy tells how long it waits, in milliseconds.
const envoyTimeoutHeader = "X-Envoy-Expected-Rq-Timeout-Ms"

// timeout returns how long the answer of a check may take. That is less than Route.Within if Envoy waits for less.
func (r *Route) timeout(header http.Header) time.Duration {
	if r.Dialect != Envoy {
		return r.Within
	}
	values := header[envoyTimeoutHeader]
	if len(values) != 1 {
		return r.Within
	}
	milliseconds, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || milliseconds == 0 {
		return r.Within
	}
	return min(r.Within, time.Duration(milliseconds)*time.Millisecond)
}

// findRoute returns the route of a request, or nil. For Envoy it also returns the client's URI, which is what follows
// the longest prefix that matches.
func (c *Config) findRoute(request *http.Request) (found *Route, uri string) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Dialect != Envoy {
			if request.URL.Path == route.Path {
				return route, ""
			}
			continue
		}
		rest, ok := strings.CutPrefix(request.RequestURI, strings.TrimSuffix(route.Path, "/"))
		isWhole := ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
		if isWhole && (found == nil || len(route.Path) > len(found.Path)) {
			found = route
			uri = rest
		}
	}
	if found != nil && (uri == "" || uri[0] == '?') {
		uri = "/" + uri
	}
	return found, uri
}

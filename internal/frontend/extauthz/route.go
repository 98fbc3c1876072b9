package extauthz

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is how a kind of web proxy sends checks and interprets answers.
type Dialect int

const (
	// Nginx is nginx's auth_request, which understands 2xx, 401 and 403 and turns any other status into 500.
	Nginx Dialect = iota
	// Traefik is Traefik's ForwardAuth with X-Forwarded-* headers. Answers other than 2xx are sent to the client
	// unchanged.
	Traefik
	// Caddy is Caddy's forward_auth, which works like Traefik.
	Caddy
	// Envoy is Envoy's ext_authz over HTTP. A check has the client's method, and the client's path after a prefix. Only
	// 200 lets the request pass.
	Envoy
)

// Dialects has the dialects by their names in the configuration.
var Dialects = map[string]Dialect{
	"nginx":   Nginx,
	"traefik": Traefik,
	"caddy":   Caddy,
	"envoy":   Envoy,
}

// Repeat is how repeats of a check are recognized.
type Repeat int

const (
	// Never means that they are not recognized: each check is decided and charged by itself.
	Never Repeat = iota
	// ByRequestID recognizes them by the request id that the web proxy assigns.
	ByRequestID
	// ByNonce recognizes them by a nonce of the client.
	ByNonce
)

// Repeats has the values of Repeat by their names in the configuration.
var Repeats = map[string]Repeat{
	"never":      Never,
	"request-id": ByRequestID,
	"nonce":      ByNonce,
}

// Identity is a way to identify the account of a check.
type Identity int

const (
	// ByKey uses the API key in Authorization: Bearer or in the key header.
	ByKey Identity = iota
	// ByHeader uses the account's name in a header that the web proxy sets.
	ByHeader
	// ByCertificate uses the name of the client's certificate in a header that the web proxy sets.
	ByCertificate
)

// Identities has the values of Identity by their names in the configuration.
var Identities = map[string]Identity{
	"key":         ByKey,
	"header":      ByHeader,
	"certificate": ByCertificate,
}

// Route is a path of a listener with the form of its checks. Header names are in canonical form.
type Route struct {
	// Path is the prefix of the client's path for Envoy, and the whole path of a check for other dialects.
	Path    string
	Dialect Dialect
	// Identify lists the ways to identify the account. The first whose credential is present is used.
	Identify []Identity
	// KeyHeader is read for the API key if Authorization has none. If it is empty, no header is read.
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
	// UnitsHeader overrides the units of the rules. If it is empty, no header is read.
	UnitsHeader string
	// DefaultClass is the class of requests that no rule matches. If it is empty or unknown in the pool, these requests
	// are forbidden.
	DefaultClass string
	// Within is the timeout for answering a check.
	Within time.Duration
	// AllowUndecided lets requests pass if their checks can't be decided.
	AllowUndecided bool
}

// validate checks all fields except the path. With an error it returns the name of the invalid field.
func (r *Route) validate() (field string, err error) {
	switch {
	case len(r.Identify) == 0:
		return "identify", errors.New("must not be empty")
	case r.Within <= 0:
		return "within", errors.New("must be above 0")
	case r.Repeat == ByRequestID && r.RequestIDHeader == "":
		return "request_id_header", errors.New("must not be empty")
	case r.Repeat == ByNonce && r.NonceHeader == "":
		return "nonce_header", errors.New("must not be empty")
	}
	for _, identity := range r.Identify {
		if identity == ByHeader && r.AccountHeader == "" {
			return "account_header", errors.New("must not be empty, as identify contains header")
		}
		if identity == ByCertificate && r.CertificateHeader == "" {
			return "certificate_header", errors.New("must not be empty, as identify contains certificate")
		}
	}
	return "", nil
}

// envoyTimeoutHeader is how long Envoy waits for an answer, in milliseconds.
const envoyTimeoutHeader = "X-Envoy-Expected-Rq-Timeout-Ms"

// timeout returns the timeout for answering a check: Route.Within, or Envoy's own timeout if that is shorter.
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

// findRoute returns the route of a request, or nil. For Envoy it also returns the client's URI: what follows the
// longest matching prefix.
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

// Package extauthz is the front that answers HTTP authorization checks (forward authentication): a web proxy asks whether a
// request may pass before it goes to a customer's own service. Each check becomes a request for leave at the core, so
// quotas, ceilings and at-once caps are those of the other fronts; see docs/design/forward-auth.md.
//
// Handlers run on net/http's goroutines: they read, check and write. The memory of verdicts and the holds belong to the
// core's loop goroutine, which handlers reach by posting tasks.
package extauthz

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"gapgap/internal/account"
)

// Dialect is the form in which a kind of proxy asks and understands answers.
type Dialect int

const (
	Nginx   Dialect = iota // auth_request: 2xx, 401 and 403 are understood, all else becomes 500
	Traefik                // ForwardAuth: X-Forwarded-*; an answer that is not 2xx goes to the client as it is
	Caddy                  // forward_auth: as Traefik
	Envoy                  // ext_authz over HTTP: the request's own method and path behind a prefix; only 200 passes
)

// Dialects are the names of dialects in a configuration.
var Dialects = map[string]Dialect{"nginx": Nginx, "traefik": Traefik, "caddy": Caddy, "envoy": Envoy}

// Repeat says by what a check that is asked again is known.
type Repeat int

const (
	Never       Repeat = iota // each check counts by itself
	ByRequestID               // the proxy's id of the request
	ByNonce                   // account, method and URI with a nonce of the client
)

// Repeats are the names of Repeat in a configuration.
var Repeats = map[string]Repeat{"never": Never, "request-id": ByRequestID, "nonce": ByNonce}

// Identity is a way to tell whose check it is.
type Identity int

const (
	ByKey         Identity = iota // an API key: Authorization: Bearer, or the key header
	ByHeader                      // the account's name in a header that the proxy sets
	ByCertificate                 // the name of the client's certificate in a header that the proxy sets
)

// Identities are the names of Identity in a configuration.
var Identities = map[string]Identity{"key": ByKey, "header": ByHeader, "certificate": ByCertificate}

// Route is one path of a listener and how it is asked there.
type Route struct {
	Path              string // Envoy: the prefix before the request's own path; else the whole path of a check
	Dialect           Dialect
	Identify          []Identity // tried in this order; the first that is present decides
	KeyHeader         string     // beside Authorization
	AccountHeader     string
	CertificateHeader string
	Repeat            Repeat
	RequestIDHeader   string
	NonceHeader       string
	UnitsHeader       string        // empty: units come by the rules only
	DefaultClass      string        // for what no rule matches; empty, or one that the pool has not: forbidden
	Within            time.Duration // a check is answered within this
	AllowUndecided    bool          // what can't be decided passes; else it does not
}

// Config is one listener.
type Config struct {
	Name                string // in the log
	Routes              []Route
	EndPath             string         // POST here with ?id= ends a granted request; empty: none
	Trusted             []netip.Prefix // addresses that may ask
	TrustedCertificates []string       // names in client certificates that may ask, where the listener has TLS
	MaxHeaderBytes      int
	MaxHeaders          int
	MaxBody             int64 // read and thrown away; a longer one is refused
	HeaderTimeout       time.Duration
	IdleTimeout         time.Duration
	MaxStreams          int // open at once on an HTTP/2 connection
}

// Defaults of Config and Route.
const (
	DefaultWithin         = 500 * time.Millisecond
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxHeaders     = 100
	DefaultMaxBody        = 64 << 10
	DefaultHeaderTimeout  = 2500 * time.Millisecond
	DefaultIdleTimeout    = 60 * time.Second
	DefaultMaxStreams     = 100
	DefaultRequestID      = "X-Request-Id"
	DefaultNonce          = "Idempotency-Key"
	DefaultKeyHeader      = "X-Api-Key"
)

// Fault is a fault of one field of a Config.
type Fault = account.Error

// Check says what is wrong with a Config, as a [Fault] whose field is in the names of the configuration file.
func (c *Config) Check() error {
	fault := func(field, format string, args ...any) error {
		return &Fault{Field: field, Err: fmt.Errorf(format, args...)}
	}
	if len(c.Routes) == 0 {
		return fault("check", "there is none")
	}
	if len(c.Trusted) == 0 && len(c.TrustedCertificates) == 0 {
		return fault("trusted", "nobody may ask: name addresses or trusted_certificates")
	}
	for _, f := range []struct {
		name string
		bad  bool
	}{{"max_header_bytes", c.MaxHeaderBytes < 1024}, {"max_headers", c.MaxHeaders < 8}, {"max_body", c.MaxBody < 0},
		{"header_timeout", c.HeaderTimeout <= 0}, {"idle_timeout", c.IdleTimeout <= 0}, {"max_streams", c.MaxStreams < 1}} {
		if f.bad {
			return fault(f.name, "is too small")
		}
	}
	seen := map[string]bool{}
	for i, r := range c.Routes {
		at := func(name string) string { return fmt.Sprintf("check[%d].%s", i, name) }
		switch {
		case !strings.HasPrefix(r.Path, "/"):
			return fault(at("path"), "does not begin with '/'")
		case seen[r.Path]:
			return fault(at("path"), "%q stands twice", r.Path)
		case r.Path == c.EndPath:
			return fault(at("path"), "%q is the end path", r.Path)
		case r.Dialect == Envoy && r.Path != "/" && strings.HasSuffix(r.Path, "/"):
			return fault(at("path"), "a prefix ends without '/'")
		case len(r.Identify) == 0:
			return fault(at("identify"), "is empty")
		case r.Within <= 0:
			return fault(at("within"), "is not above 0")
		case r.Repeat == ByRequestID && r.RequestIDHeader == "":
			return fault(at("request_id_header"), "is empty")
		case r.Repeat == ByNonce && r.NonceHeader == "":
			return fault(at("nonce_header"), "is empty")
		}
		for _, id := range r.Identify {
			if id == ByHeader && r.AccountHeader == "" {
				return fault(at("account_header"), "is empty, but identify names header")
			}
			if id == ByCertificate && r.CertificateHeader == "" {
				return fault(at("certificate_header"), "is empty, but identify names certificate")
			}
		}
		seen[r.Path] = true
	}
	return nil
}

// trusts says whether an address may ask.
func (c *Config) trusts(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	ip, ok := netip.AddrFromSlice(tcp.IP)
	if !ok {
		return false
	}
	ip = ip.Unmap()
	for _, p := range c.Trusted {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

var errTwice = errors.New("stands more than once")

package extauthz

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"gapgap/internal/account"
)

// Defaults of Config and Route.
const (
	// DefaultWithin is the default of Route.Within.
	DefaultWithin = 500 * time.Millisecond
	// DefaultMaxHeaderBytes is the default of Config.MaxHeaderBytes.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxHeaders is the default of Config.MaxHeaders.
	DefaultMaxHeaders = 100
	// DefaultMaxBody is the default of Config.MaxBody.
	DefaultMaxBody = 64 << 10
	// DefaultHeaderTimeout is the default of Config.HeaderTimeout.
	DefaultHeaderTimeout = 2500 * time.Millisecond
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultMaxStreams is the default of Config.MaxStreams.
	DefaultMaxStreams = 100
	// DefaultRequestID is the default of Route.RequestIDHeader.
	DefaultRequestID = "X-Request-Id"
	// DefaultNonce is the default of Route.NonceHeader.
	DefaultNonce = "Idempotency-Key"
	// DefaultKeyHeader is the default of Route.KeyHeader.
	DefaultKeyHeader = "X-Api-Key"
)

// Smallest values that Config.Check accepts.
const (
	minHeaderBytes = 1024
	minHeaders     = 8
)

// Config configures one listener.
type Config struct {
	// Name is the listener's name in log lines and routing rules.
	Name string
	// Routes are the paths that take checks; at least one.
	Routes []Route
	// EndPath is the path of end calls: a POST with ?id= ends an admitted request. If it is empty, there are none.
	EndPath string
	// Trusted are the addresses of proxies that may send checks.
	Trusted []netip.Prefix
	// TrustedCertificates are names in client certificates of proxies that may send checks, for listeners with TLS.
	TrustedCertificates []string
	// MaxHeaderBytes is the maximum size of a request's header.
	MaxHeaderBytes int
	// MaxHeaders is the maximum number of header fields of a request.
	MaxHeaders int
	// MaxBody is the maximum size of a request's body in bytes. Bodies are read and discarded.
	MaxBody int64
	// HeaderTimeout is how long a request's header, and then its body, may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
	// MaxStreams is the maximum number of concurrent streams of an HTTP/2 connection.
	MaxStreams int
}

// Fault is an error in one field of a Config.
type Fault = account.Error

// Check returns a [*Fault] for the first invalid field. The field's path is that in the configuration file, relative to
// the listener.
func (c *Config) Check() error {
	if len(c.Routes) == 0 {
		return newFault("check", "must not be empty")
	}
	if len(c.Trusted) == 0 && len(c.TrustedCertificates) == 0 {
		return newFault("trusted", "must not be empty unless trusted_certificates is set")
	}
	if field := c.fieldTooSmall(); field != "" {
		return newFault(field, "is too small")
	}
	seen := map[string]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		field, err := c.checkPath(route, seen)
		if err == nil {
			field, err = route.validate()
		}
		if err != nil {
			return &Fault{Field: fmt.Sprintf("check[%d].%s", i, field), Err: err}
		}
		seen[route.Path] = true
	}
	return nil
}

// newFault returns a [*Fault] for a field.
func newFault(field, problem string) error {
	return &Fault{Field: field, Err: errors.New(problem)}
}

// fieldTooSmall returns the name of the first field whose value is too small, or an empty string.
func (c *Config) fieldTooSmall() string {
	switch {
	case c.MaxHeaderBytes < minHeaderBytes:
		return "max_header_bytes"
	case c.MaxHeaders < minHeaders:
		return "max_headers"
	case c.MaxBody < 0:
		return "max_body"
	case c.HeaderTimeout <= 0:
		return "header_timeout"
	case c.IdleTimeout <= 0:
		return "idle_timeout"
	case c.MaxStreams < 1:
		return "max_streams"
	default:
		return ""
	}
}

// checkPath validates the path of a route, which must differ from those in seen. With an error it returns the name of
// the invalid field.
func (c *Config) checkPath(route *Route, seen map[string]bool) (field string, err error) {
	switch {
	case !strings.HasPrefix(route.Path, "/"):
		return "path", errors.New("must begin with '/'")
	case seen[route.Path]:
		return "path", fmt.Errorf("%q is used by another route", route.Path)
	case route.Path == c.EndPath:
		return "path", fmt.Errorf("%q is the end path of the listener", route.Path)
	case route.Dialect == Envoy && route.Path != "/" && strings.HasSuffix(route.Path, "/"):
		return "path", errors.New("a prefix must not end with '/'")
	default:
		return "", nil
	}
}

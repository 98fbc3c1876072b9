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
	// Routes are the paths at which checks are asked; at least one.
	Routes []Route
	// EndPath is where a POST with ?id= ends an admitted request; empty: nowhere.
	EndPath string
	// Trusted are the addresses of proxies that may ask.
	Trusted []netip.Prefix
	// TrustedCertificates are names in client certificates of proxies that may ask, for listeners with TLS.
	TrustedCertificates []string
	// MaxHeaderBytes bounds the header of a request in bytes.
	MaxHeaderBytes int
	// MaxHeaders bounds the number of header fields of a request.
	MaxHeaders int
	// MaxBody bounds a request's body in bytes. A body is read and discarded.
	MaxBody int64
	// HeaderTimeout is how long a request's header, and then its body, may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
	// MaxStreams bounds the open streams of an HTTP/2 connection.
	MaxStreams int
}

// Fault is a fault in one field of a Config.
type Fault = account.Error

// Check returns a [*Fault] for the first field that can't be used. Its field is named as in the configuration file,
// below the listener.
func (c *Config) Check() error {
	if len(c.Routes) == 0 {
		return newFault("check", "there is none")
	}
	if len(c.Trusted) == 0 && len(c.TrustedCertificates) == 0 {
		return newFault("trusted", "nobody may ask: name addresses or trusted_certificates")
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

// newFault returns the fault of a field.
func newFault(field, problem string) error {
	return &Fault{Field: field, Err: errors.New(problem)}
}

// fieldTooSmall returns the name of the first number that is too small, or an empty string.
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

// checkPath checks the path of a route against those that were seen before it and returns the field that is wrong.
func (c *Config) checkPath(route *Route, seen map[string]bool) (field string, err error) {
	switch {
	case !strings.HasPrefix(route.Path, "/"):
		return "path", errors.New("does not begin with '/'")
	case seen[route.Path]:
		return "path", fmt.Errorf("%q stands twice", route.Path)
	case route.Path == c.EndPath:
		return "path", fmt.Errorf("%q is the end path", route.Path)
	case route.Dialect == Envoy && route.Path != "/" && strings.HasSuffix(route.Path, "/"):
		return "path", errors.New("a prefix ends without '/'")
	default:
		return "", nil
	}
}

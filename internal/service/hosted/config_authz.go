package hosted

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gapgap/internal/frontend/extauthz"
)

// The values of the key undecided of a check.
const (
	undecidedDeny  = "deny"
	undecidedAllow = "allow"
)

// repeatNever is the default of the key repeat of a check.
const repeatNever = "never"

// checkBounds has the values that the pools allow in the paths of authorization checks.
type checkBounds struct {
	// classes has the class names of all pools.
	classes []string
	// maxTimeout is the shortest client timeout of all classes.
	maxTimeout time.Duration
}

// maxCheckTimeout bounds how long a check may take, whatever the client timeouts of the classes.
const maxCheckTimeout = time.Hour

// newCheckBounds returns the bounds from the pools' classes.
func newCheckBounds(pools []Pool) checkBounds {
	bounds := checkBounds{maxTimeout: maxCheckTimeout}
	for _, pool := range pools {
		bounds.classes = append(bounds.classes, pool.Node.Transport.Classes...)
		for _, class := range pool.Node.Settings.Classes {
			bounds.maxTimeout = min(bounds.maxTimeout, class.ClientTimeout)
		}
	}
	return bounds
}

// checkRoute validates one path for authorization checks. prefix precedes the names of its fields in errors.
func checkRoute(table *checkTable, prefix string, bounds checkBounds) (extauthz.Route, error) {
	route := extauthz.Route{
		Path:              table.Path,
		KeyHeader:         http.CanonicalHeaderKey(valueOr(table.KeyHeader, extauthz.DefaultKeyHeader)),
		AccountHeader:     http.CanonicalHeaderKey(table.AccountHeader),
		CertificateHeader: http.CanonicalHeaderKey(table.CertificateHeader),
		RequestIDHeader:   http.CanonicalHeaderKey(cmp.Or(table.RequestIDHeader, extauthz.DefaultRequestID)),
		NonceHeader:       http.CanonicalHeaderKey(cmp.Or(table.NonceHeader, extauthz.DefaultNonce)),
		UnitsHeader:       http.CanonicalHeaderKey(table.UnitsHeader),
		DefaultClass:      table.DefaultClass,
		Within:            cmp.Or(time.Duration(table.Within), extauthz.DefaultWithin),
		AllowUndecided:    table.Undecided == undecidedAllow,
	}
	var ok bool
	if route.Dialect, ok = extauthz.Dialects[table.Dialect]; !ok {
		return extauthz.Route{}, fieldErrorf(prefix+".dialect", "%q is not nginx, traefik, caddy or envoy",
			table.Dialect)
	}
	if route.Repeat, ok = extauthz.Repeats[cmp.Or(table.Repeat, repeatNever)]; !ok {
		return extauthz.Route{}, fieldErrorf(prefix+".repeat", "%q is not never, request-id or nonce", table.Repeat)
	}
	var err error
	if route.Identify, err = parseIdentities(table.Identify, prefix+".identify"); err != nil {
		return extauthz.Route{}, err
	}
	if table.DefaultClass != "" && !slices.Contains(bounds.classes, table.DefaultClass) {
		return extauthz.Route{}, fieldErrorf(prefix+".default_class", "no class is named %q", table.DefaultClass)
	}
	if route.Within > bounds.maxTimeout {
		return extauthz.Route{}, fieldErrorf(prefix+".within", "%v exceeds %v, the smallest give_up of a class",
			route.Within, bounds.maxTimeout)
	}
	if !slices.Contains([]string{"", undecidedDeny, undecidedAllow}, table.Undecided) {
		return extauthz.Route{}, fieldErrorf(prefix+".undecided", "%q is not deny or allow", table.Undecided)
	}
	return route, nil
}

// parseIdentities returns the ways to identify the account of a check, in the order of the file. The default is by key.
func parseIdentities(names []string, field string) ([]extauthz.Identity, error) {
	if len(names) == 0 {
		return []extauthz.Identity{extauthz.ByKey}, nil
	}
	var identities []extauthz.Identity
	for i, name := range names {
		identity, ok := extauthz.Identities[name]
		if !ok {
			return nil, fieldErrorf(fmt.Sprintf("%s[%d]", field, i), "%q is not key, header or certificate", name)
		}
		identities = append(identities, identity)
	}
	return identities, nil
}

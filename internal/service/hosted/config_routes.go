package hosted

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"gapgap/internal/account"
	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/route"
)

// defaultTargetWeight is the default weight of a route's target.
const defaultTargetWeight = 1.0

// pathKinds has the values of the key kind of a route.
var pathKinds = map[string]route.PathKind{
	"":         route.Prefix,
	"prefix":   route.Prefix,
	"exact":    route.Exact,
	"template": route.Template,
}

// routes compiles the routing table. The pools and accounts of the configuration must be set.
func (f *configFile) routes(c *Config) (*route.Table, error) {
	var pools []string
	for _, pool := range c.Pools {
		pools = append(pools, pool.Node.Name)
	}
	defaultPool, err := f.defaultPool(pools)
	if err != nil {
		return nil, err
	}
	var rules []route.Rule
	for i := range f.Routes {
		rule, err := f.routeRule(i, c.Accounts)
		if err != nil {
			return nil, err
		}
		rules = append(rules, rule)
	}
	table, err := route.Compile(rules, defaultPool, pools)
	if err != nil {
		return nil, routeFieldError(err)
	}
	return table, nil
}

// defaultPool returns the name of the pool for requests that no route matches. It may be empty.
func (f *configFile) defaultPool(pools []string) (string, error) {
	named := f.Node.DefaultPool
	if len(f.Pools) > 0 {
		return named, nil
	}
	if named != "" {
		return "", fieldErrorf("node.default_pool", "requires [[pool]] tables")
	}
	return pools[0], nil
}

// routeRule returns the rule of one route for the routing table.
func (f *configFile) routeRule(i int, accounts *account.Table) (route.Rule, error) {
	table := &f.Routes[i]
	field := func(name string) string { return fmt.Sprintf("route[%d].%s", i, name) }
	kind, isKind := pathKinds[table.Kind]
	if !isKind {
		return route.Rule{}, fieldErrorf(field("kind"), "%q is not prefix, exact or template", table.Kind)
	}
	if table.Listener != "" && !f.hasListener(table.Listener) {
		return route.Rule{}, fieldErrorf(field("listener"), "no listener is named %q", table.Listener)
	}
	customer := "" // all protocols identify accounts by their customers
	if table.Account != "" {
		found := accounts.ByName(table.Account)
		if found == nil {
			return route.Rule{}, fieldErrorf(field("account"), "no account is named %q", table.Account)
		}
		customer = found.Customer
	}
	return route.Rule{
		Name:     table.Name,
		Listener: table.Listener,
		Host:     table.Host,
		Path:     table.Path,
		Kind:     kind,
		Methods:  table.Methods,
		Headers:  routeHeaders(table.Headers),
		Class:    table.Class,
		Account:  customer,
		Targets:  routeTargets(table.Targets),
	}, nil
}

// hasListener reports whether the file has a listener of this name.
func (f *configFile) hasListener(name string) bool {
	return slices.ContainsFunc(f.Listeners, func(listener listenerTable) bool { return listener.Name == name })
}

// routeHeaders returns the headers that a route matches on, sorted by name.
func routeHeaders(values map[string]string) []route.Header {
	var headers []route.Header
	for name, value := range values {
		headers = append(headers, route.Header{Name: http.CanonicalHeaderKey(name), Value: value})
	}
	slices.SortFunc(headers, func(a, b route.Header) int { return cmp.Compare(a.Name, b.Name) })
	return headers
}

// routeTargets returns the targets of a route.
func routeTargets(tables []routeTargetTable) []route.Target {
	var targets []route.Target
	for _, table := range tables {
		targets = append(targets, route.Target{
			Pool:   table.Pool,
			Weight: valueOr(table.Weight, defaultTargetWeight),
		})
	}
	return targets
}

// routeFieldError converts an error of the routing table to an error of a field of the file.
func routeFieldError(err error) error {
	var rule *route.Error
	if !errors.As(err, &rule) {
		return err
	}
	if rule.Index < 0 {
		return &extauthz.Fault{Field: "node.default_pool", Err: rule.Err}
	}
	field := rule.Field
	if field == "targets" {
		field = "to"
	}
	return fieldErrorf(fmt.Sprintf("route[%d].%s", rule.Index, field), "rule %q: %w", rule.Rule, rule.Err)
}

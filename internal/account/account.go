// Package account maps the credentials of a check to an account, and its host, method and path to a class and units. A
// [Table] is compiled once from the configuration, is immutable, and is replaced as a whole. The package does no I/O.
package account

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Spec describes one account as it is configured.
type Spec struct {
	Name         string        // identifies the account in output and in the account header
	Customer     string        // customer number of the RESP2 protocol: 16 hex digits, below 2^33
	Plan         string        // name of the plan
	Keys         []string      // SHA-256 of each API key, in hex
	Certificates []string      // names in client certificates
	Classes      []string      // classes that the account is entitled to; empty: all
	Gateways     int           // number of gateways that the account's requests come through; 0: all
	HoldFor      time.Duration // how long an admitted request counts as in flight without an end call, if limited
}

// Rule assigns a class and units to checks. All of its conditions that are set must match.
type Rule struct {
	Host    string   // exact name, or *.suffix; empty: any
	Methods []string // empty: any
	Path    string   // prefix of whole path segments; empty: any
	Class   string
	Units   float64 // 0 means 1
}

// Names are the names of the classes and plans of a pool, in the order of their indices.
type Names struct {
	Classes, Plans []string
	Policies       map[string][]string // by plan, the value of the RateLimit-Policy header; nil: the header is not sent
	HasOtherPools  bool                // other pools exist; plans and classes of accounts may be theirs
}

// Account is a compiled Spec.
type Account struct {
	Name, Customer, PlanName string
	Plan, Gateways           int
	HoldFor                  time.Duration
	classes                  []bool // whether the account is entitled to the class of that index; nil: to all

	// HeaderValues are values of header fields, built once, that all answers to the account's checks contain.
	HeaderValues struct{ Name, Plan, Policy []string }
}

// Entitled reports whether the account may use a class.
func (a *Account) Entitled(class int) bool { return a.classes == nil || a.classes[class] }

// hashedKey is an API key of an account.
type hashedKey struct {
	hash    [sha256.Size]byte
	account *Account
}

// compiledRule is a Rule with its names resolved. Either host or suffix is empty; without both, any host matches.
type compiledRule struct {
	host, suffix string
	methods      []string
	path         string
	class        int
	units        float64
}

// Table holds compiled accounts and rules.
type Table struct {
	byName        map[string]*Account
	byCustomer    map[string]*Account
	byCertificate map[string]*Account
	byKeyPrefix   map[uint64][]hashedKey // by the first 8 bytes of the hash
	rules         []compiledRule
	maxUnits      float64
}

// Error is an error in one field of a configuration.
type Error struct {
	Field string // path of the field, such as account[2].keys[0]
	Err   error
}

func (e *Error) Error() string { return e.Field + ": " + e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// fieldError returns an *Error for the field whose path is given by a format.
func fieldError(err error, format string, args ...any) error {
	return &Error{fmt.Sprintf(format, args...), err}
}

// Compile checks accounts and rules and returns a Table of them. Its error is an *[Error]. A check may take maxUnits at
// most; 0 means 1e9.
func Compile(specs []Spec, rules []Rule, names Names, maxUnits float64) (*Table, error) {
	t := &Table{byName: map[string]*Account{}, byCustomer: map[string]*Account{}, byCertificate: map[string]*Account{},
		byKeyPrefix: map[uint64][]hashedKey{}, maxUnits: cmp.Or(maxUnits, 1e9)}
	for i, s := range specs {
		if err := t.addAccount(i, s, names); err != nil {
			return nil, err
		}
	}
	for i, r := range rules {
		c, err := t.compileRule(i, r, names)
		if err != nil {
			return nil, err
		}
		t.rules = append(t.rules, c)
	}
	return t, nil
}

// addAccount checks the account of an index in the configuration and adds it.
func (t *Table) addAccount(i int, s Spec, names Names) error {
	if s.Name == "" || strings.Trim(s.Name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") != "" {
		return fieldError(errors.New("must consist of letters, digits, '-', '.' and '_'"), "account[%d].name", i)
	}
	if t.byName[s.Name] != nil {
		return fieldError(fmt.Errorf("%q is used by another account", s.Name), "account[%d].name", i)
	}
	id, err := Customer(s.Customer)
	if err != nil {
		return fieldError(err, "account[%d].customer", i)
	}
	if other := t.byCustomer[id]; other != nil {
		return fieldError(fmt.Errorf("is already the customer of account %q", other.Name), "account[%d].customer", i)
	}
	if names.HasOtherPools && !slices.Contains(names.Plans, s.Plan) {
		t.addCredentials(s, &Account{Name: s.Name, Customer: id, Plan: -1})
		return nil
	}
	a := &Account{Name: s.Name, Customer: id, PlanName: s.Plan, Gateways: s.Gateways, HoldFor: s.HoldFor}
	a.HeaderValues.Name, a.HeaderValues.Plan = []string{s.Name}, []string{s.Plan}
	if p := names.Policies; p != nil && s.Plan != "" {
		a.HeaderValues.Policy = p[s.Plan]
	}
	if a.Plan = slices.Index(names.Plans, s.Plan); a.Plan < 0 {
		return fieldError(fmt.Errorf("plan %q does not exist", s.Plan), "account[%d].plan", i)
	}
	if s.Gateways < 0 {
		return fieldError(errors.New("must not be negative"), "account[%d].doors", i)
	}
	if s.HoldFor < 0 {
		return fieldError(errors.New("must not be negative"), "account[%d].hold", i)
	}
	if len(s.Classes) > 0 {
		a.classes = make([]bool, len(names.Classes))
		for j, c := range s.Classes {
			k := slices.Index(names.Classes, c)
			if k < 0 && names.HasOtherPools {
				continue
			}
			if k < 0 {
				return fieldError(fmt.Errorf("class %q does not exist", c), "account[%d].classes[%d]", i, j)
			}
			a.classes[k] = true
		}
	}
	for j, k := range s.Keys {
		raw, err := hex.DecodeString(k)
		if err != nil || len(raw) != sha256.Size {
			return fieldError(errors.New("must be a SHA-256 of 64 hex digits"), "account[%d].keys[%d]", i, j)
		}
		h := [sha256.Size]byte(raw)
		if other := t.byHash(h); other != nil {
			return fieldError(fmt.Errorf("is already a key of account %q", other.Name), "account[%d].keys[%d]", i, j)
		}
		prefix := binary.BigEndian.Uint64(h[:])
		t.byKeyPrefix[prefix] = append(t.byKeyPrefix[prefix], hashedKey{h, a})
	}
	for j, c := range s.Certificates {
		if c == "" {
			return fieldError(errors.New("must not be empty"), "account[%d].certificates[%d]", i, j)
		}
		if other := t.byCertificate[c]; other != nil {
			return fieldError(fmt.Errorf("%q is already a certificate of account %q", c, other.Name),
				"account[%d].certificates[%d]", i, j)
		}
		t.byCertificate[c] = a
	}
	t.byName[a.Name], t.byCustomer[a.Customer] = a, a
	return nil
}

// addCredentials makes an account without a plan in this pool known by its name, keys and certificates.
func (t *Table) addCredentials(s Spec, a *Account) {
	for _, k := range s.Keys {
		if raw, err := hex.DecodeString(k); err == nil && len(raw) == sha256.Size {
			h := [sha256.Size]byte(raw)
			t.byKeyPrefix[binary.BigEndian.Uint64(h[:])] = append(
				t.byKeyPrefix[binary.BigEndian.Uint64(h[:])], hashedKey{h, a})
		}
	}
	for _, c := range s.Certificates {
		t.byCertificate[c] = a
	}
	t.byName[a.Name] = a
}

// Customer checks a customer number, which is 16 hex digits of a number below 2^33, and returns it in lower case.
func Customer(s string) (string, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 || n >= 1<<33 {
		return "", errors.New("must be 16 hex digits of a number below 2^33")
	}
	return strings.ToLower(s), nil
}

// compileRule checks and compiles the rule of an index in the configuration.
func (t *Table) compileRule(i int, r Rule, names Names) (compiledRule, error) {
	c := compiledRule{units: cmp.Or(r.Units, 1)}
	if c.class = slices.Index(names.Classes, r.Class); c.class < 0 {
		return c, fieldError(fmt.Errorf("class %q does not exist", r.Class), "rule[%d].class", i)
	}
	if !(c.units > 0 && c.units <= t.maxUnits) {
		return c, fieldError(fmt.Errorf("must be above 0 and at most %v", t.maxUnits), "rule[%d].units", i)
	}
	host := strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if rest, ok := strings.CutPrefix(host, "*."); ok {
		c.suffix = "." + rest
		host = rest
	} else {
		c.host = host
	}
	if strings.ContainsAny(host, "*/: \t") {
		return c, fieldError(errors.New("must be a host name without port, or *. and a host name"), "rule[%d].host", i)
	}
	for j, m := range r.Methods {
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" {
			return c, fieldError(errors.New("must be in capital letters"), "rule[%d].methods[%d]", i, j)
		}
	}
	c.methods = r.Methods
	if r.Path != "" {
		if !strings.HasPrefix(r.Path, "/") || path.Clean(r.Path) != strings.TrimSuffix(r.Path, "/") && r.Path != "/" {
			return c, fieldError(errors.New("must be a normalized path beginning with '/'"), "rule[%d].path", i)
		}
		c.path = strings.TrimSuffix(r.Path, "/")
	}
	return c, nil
}

// ByName returns the account of a name, or nil.
func (t *Table) ByName(name string) *Account { return t.byName[name] }

// ByCustomer returns the account of a customer number in lower case, or nil.
func (t *Table) ByCustomer(id string) *Account { return t.byCustomer[id] }

// ByCertificate returns the account of a name in a client certificate, or nil.
func (t *Table) ByCertificate(name string) *Account { return t.byCertificate[name] }

// ByKey returns the account of an API key, or nil. Only hashes of keys are stored, and they are compared in constant
// time.
func (t *Table) ByKey(key string) *Account { return t.byHash(sha256.Sum256([]byte(key))) }

// byHash returns the account that has the API key of a hash, or nil.
func (t *Table) byHash(h [sha256.Size]byte) *Account {
	var found *Account
	for _, k := range t.byKeyPrefix[binary.BigEndian.Uint64(h[:])] {
		if subtle.ConstantTimeCompare(k.hash[:], h[:]) == 1 {
			found = k.account
		}
	}
	return found
}

// Match returns the class and units of a check by the first rule that matches; ok is false if none does. The host and
// path must be normalized by [Target].
func (t *Table) Match(host, method, path string) (class int, units float64, ok bool) {
	for i := range t.rules {
		if r := &t.rules[i]; r.matches(host, method, path) {
			return r.class, r.units, true
		}
	}
	return 0, 0, false
}

// matches reports whether all conditions of the rule match.
func (r *compiledRule) matches(host, method, path string) bool {
	if r.host != "" && r.host != host || r.suffix != "" && !strings.HasSuffix(host, r.suffix) {
		return false
	}
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	return r.path == "" || strings.HasPrefix(path, r.path) && (len(path) == len(r.path) || path[len(r.path)] == '/')
}

// Units parses the units that a trusted proxy states for a check. It returns false if they are malformed or too many.
func (t *Table) Units(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v > 0 && v <= t.maxUnits
}

// Errors of Target. Clients are told the texts.
var (
	ErrHost = errors.New("the host can't be read")
	ErrPath = errors.New("the path can't be read")
)

// Target normalizes the host and the URI of a check to the form that rules match. The host becomes lower case and loses
// its port and final dot. The path is unescaped once, loses its query, and its empty and dot segments are resolved (RFC
// 3986, section 5.2.4). Characters that a service might interpret in another way, such as NUL or a backslash, are an
// error.
func Target(host, uri string) (string, string, error) {
	h, err := normalizeHost(host)
	if err != nil {
		return "", "", err
	}
	p, err := normalizePath(uri)
	return h, p, err
}

// normalizeHost returns a host in lower case without port and final dot.
func normalizeHost(host string) (string, error) {
	if strings.HasPrefix(host, "[") { // an IPv6 literal
		end := strings.IndexByte(host, ']')
		if end < 0 || !validPort(host[end+1:]) {
			return "", ErrHost
		}
		host = host[:end+1]
		if strings.Trim(host[1:end], "0123456789abcdefABCDEF:.") != "" || end == 1 {
			return "", ErrHost
		}
		return strings.ToLower(host), nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !validPort(host[i:]) {
			return "", ErrHost
		}
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	hasUpper := false
	for i := range len(host) {
		switch c := host[i]; {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_':
		case c >= 'A' && c <= 'Z':
			hasUpper = true
		case c == '.' && i > 0 && host[i-1] != '.':
		default:
			return "", ErrHost
		}
	}
	if hasUpper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// validPort reports whether a string is empty or a colon with a port number.
func validPort(s string) bool {
	return s == "" || s[0] == ':' && len(s) <= 6 && strings.Trim(s[1:], "0123456789") == ""
}

// normalizePath returns the unescaped path of a URI, without query and without empty and dot segments.
func normalizePath(uri string) (string, error) {
	if i := strings.IndexAny(uri, "?#"); i >= 0 {
		uri = uri[:i]
	}
	if uri == "" || uri == "*" {
		return "/", nil
	}
	if uri[0] != '/' {
		return "", ErrPath
	}
	if strings.IndexByte(uri, '%') >= 0 {
		unescaped, err := url.PathUnescape(uri)
		if err != nil {
			return "", ErrPath
		}
		uri = unescaped
	}
	needsCleaning := false
	for i := range len(uri) {
		c := uri[i]
		if c < ' ' || c == 0x7f || c == '\\' {
			return "", ErrPath
		}
		needsCleaning = needsCleaning || c == '/' && (i+1 < len(uri) && (uri[i+1] == '.' || uri[i+1] == '/'))
	}
	if needsCleaning {
		uri = path.Clean(uri)
	}
	return uri, nil
}
